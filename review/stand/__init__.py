"""Stand-ins of the platform, its servers and its callers, for the cases."""
