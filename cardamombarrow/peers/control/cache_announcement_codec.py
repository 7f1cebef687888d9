"""Conversion between hints about the caches of engines and protobuf."""

from collections import abc

from cardamombarrow.decisions import messages
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2

__all__ = ["cache_announcements_from_wire", "cache_announcements_to_wire"]


def cache_announcements_to_wire(
    news: abc.Iterable[messages.CacheAnnouncement],
) -> list[control_pb2.KeptParts]:
    """Converts hints about the caches of engines."""
    return [
        control_pb2.KeptParts(
            endpoint=rows.endpoint_hash(each.endpoint),
            parts=each.parts,
            age_ms=int(each.age_s * 1_000),
        )
        for each in news
    ]


def cache_announcements_from_wire(
    wire: abc.Iterable[control_pb2.KeptParts],
    known: abc.Mapping[int, ids.EndpointId],
) -> list[messages.CacheAnnouncement]:
    """Converts hints back; leaves out endpoints that are not known here."""
    return [
        messages.CacheAnnouncement(
            known[each.endpoint], tuple(each.parts), each.age_ms / 1_000
        )
        for each in wire
        if each.endpoint in known
    ]
