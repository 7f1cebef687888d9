"""Reports on whether each request class met its sold attainment target.

They are computed from the entries' log lines, so they need no running process
and can cover any period of the logs.
"""
