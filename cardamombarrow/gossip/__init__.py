"""Gossip between the instances of a failure domain, as pure code.

No socket, thread or clock: the time is passed in as ``now_s``. `peers`
transports the messages; `docs/gossip.md` describes the protocol.
"""
