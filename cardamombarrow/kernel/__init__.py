"""Base modules used by all subpackages: errors, ids, settings, logs."""
