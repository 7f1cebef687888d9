"""Communication between the system's own processes, over grpclib."""
