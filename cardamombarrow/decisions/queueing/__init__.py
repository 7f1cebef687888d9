"""Which requests wait, in which order, and which are refused or retried.

`tiers` leads: it orders the waiting requests. `admission` decides who may wait,
`retry` who is sent again and when refused callers should return.
"""
