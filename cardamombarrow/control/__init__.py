"""The `control` role: replicates and serves the persistent state."""
