"""Placement for a whole failure domain: one instance decides for all.

An entry knows the load of an engine only from its own requests. Where thirty
entries share the engines of a domain, each of them sends to one engine once in
many seconds, and its estimate of the engine's queue is mostly wrong. So the
entries of a domain ask one of them, the placer, where to send a request. The
placer sees every placement, first event and end, and decides with the same
dispatcher.

The placer is optional: an entry that gets no answer in time immediately decides
by itself, and no request is refused because the placer is unavailable. The role
needs no lease. Two instances that place at the same time cost some queueing
delay but break nothing, because only the entry that holds a request sends it.
"""
