"""What every subpackage stands on: errors, ids, settings, registry, logs."""
