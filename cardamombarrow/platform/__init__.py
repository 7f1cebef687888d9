"""The platform's lagging list of live and leaving instances and endpoints."""
