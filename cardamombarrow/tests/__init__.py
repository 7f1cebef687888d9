"""Tests of whole processes, and of rules that hold across subpackages."""
