"""Discovery of endpoints, live and leaving, from an external list."""
