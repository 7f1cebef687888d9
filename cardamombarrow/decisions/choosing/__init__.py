"""Where a request is sent.

`first_event` leads: it selects the endpoint with the lowest expected time to
first token. `choice` selects by the expected finish, and `spill` decides
whether a request may leave its failure domain.
"""
