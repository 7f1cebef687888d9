"""Measurements: decisions in virtual time, cost of a decision, a real burst.

``python -m benchmarks`` prints a table per load pattern.
"""
