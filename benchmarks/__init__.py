"""Benchmarks of the decisions, in virtual time, and of real processes.

``python -m benchmarks`` prints a table per load pattern.
"""
