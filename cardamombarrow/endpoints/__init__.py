"""Endpoints: how each kind is spoken to, and how its load is read."""
