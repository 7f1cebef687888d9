"""What callers used and ask for, counted where it is served.

Entries count; control processes gather. Counts are totals by window, so that
telling them twice changes nothing.
"""
