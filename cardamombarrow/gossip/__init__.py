"""What the instances of a failure domain tell each other, as pure code.

No socket, no thread, no clock: time comes in as ``now_s``. `peers` carries
the messages; `docs/gossip.md` tells the whole.
"""
