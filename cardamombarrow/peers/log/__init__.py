"""The links between control processes, for the replicated log."""
