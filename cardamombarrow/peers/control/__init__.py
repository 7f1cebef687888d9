"""The links to control processes, and those between them."""
