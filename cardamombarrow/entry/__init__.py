"""The `entry` role: takes callers' requests, decides, relays, settles."""
