"""The links between the entries of a failure domain."""
