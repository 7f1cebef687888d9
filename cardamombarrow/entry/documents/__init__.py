"""The document in force, its confirmation, and news with it."""
