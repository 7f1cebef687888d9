"""At-most-once claims for unrepeatable requests, on the replicated log."""
