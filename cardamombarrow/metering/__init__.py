"""Usage by workspace and demand by service.

Entries count; control processes collect the counts. Counts are totals by
window, so that a repeated report changes nothing.
"""
