"""Calls to the platform that one control process makes for all.

These are usage reports and orders of endpoints. The replicated log stores the
process that holds the duties, its fencing token and the committed reports.
"""
