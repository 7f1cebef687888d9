"""Which endpoints and instances there are, and which of them work.

`roster` leads: it holds the endpoints, their loads and the slots on them.
`failures` and `quarantine` leave out endpoints and requests that fail,
`scaling` plans the number of endpoints.
"""
