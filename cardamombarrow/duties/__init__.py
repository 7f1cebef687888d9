"""Calls to the platform that one control process makes for all.

Usage reports and orders of endpoints. Who makes them, under which fencing
token, and what was reported is kept by the replicated log.
"""
