"""The `entry` role: accepts callers' requests, places and relays them."""
