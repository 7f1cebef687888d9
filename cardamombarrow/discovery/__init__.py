"""Which endpoints there are, and which of them leave, as a list tells."""
