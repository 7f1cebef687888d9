"""Tests with real processes, and of rules for all subpackages."""
