"""Reports for those who sold the capacity: was each promise kept?

They are worked out from the entries' log lines, so they need nothing that
runs and can be made for any time that the logs cover.
"""
