"""Orders to engines: which models and versions they load.

The document defines what should be loaded. One control process at a time sends
orders, under a fencing token from the replicated log.
"""
