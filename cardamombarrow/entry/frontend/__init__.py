"""Callers: protocols, routes, and answers that need no request handler."""
