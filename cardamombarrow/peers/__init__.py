"""Messages between the system's own processes, over grpclib."""
