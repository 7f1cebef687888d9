"""Orders to engines: which models and versions they load.

What should be loaded follows from the document. One control process at a time
gives orders, under a fencing token from the replicated log.
"""
