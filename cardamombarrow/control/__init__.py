"""The `control` role: the state that must survive, and who serves it."""
