"""Placement for a whole failure domain: one instance decides for all.

An entry knows the load of an engine by its own requests only. Where thirty
entries share the engines of a domain, each of them sends to one engine once in
many seconds, and what it believes of the engine's queue is mostly wrong. So
the entries of a domain ask one of themselves, the placer, where a request goes.
It sees every placement, first event and end, and decides with the same
dispatcher.

This is help and not a need: an entry that gets no answer in time decides by
itself at once, and nothing is refused because the placer is away. No lease
guards the part. Two instances that both place cost some waiting and break
nothing, because the entry that holds a request is the only one to send it.
"""
