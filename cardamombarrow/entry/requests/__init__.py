"""Handling of one request, from admission to settlement."""
