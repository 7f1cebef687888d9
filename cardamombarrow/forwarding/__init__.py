"""Serving callers through other entries while no endpoint is reachable.

`reachability` tells whether this entry is cut off from all endpoints; `core`
forwards its requests to another entry, where `app` receives them.
"""
