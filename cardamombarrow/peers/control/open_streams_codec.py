"""Conversion between open streams and protobuf."""

from collections import abc

from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.resumption import open_streams

__all__ = ["open_streams_from_wire", "open_streams_to_wire"]

_MS = 1_000


def open_streams_to_wire(
    items: abc.Iterable[open_streams.GroupEnd], now_s: float
) -> list[control_pb2.OpenStreams]:
    """Converts groups and the local times until which they are open."""
    return [
        control_pb2.OpenStreams(
            class_id=group.class_id,
            service=group.origin.service,
            software=group.origin.software,
            left_ms=round(max(until_s - now_s, 0.0) * _MS),
        )
        for group, until_s in items
    ]


def open_streams_from_wire(
    received: abc.Iterable[control_pb2.OpenStreams], now_s: float
) -> abc.Iterator[open_streams.GroupEnd]:
    """Converts them back."""
    for each in received:
        origin = open_streams.Origin(
            ids.ServiceId(each.service), ids.SoftwareVersion(each.software)
        )
        group = open_streams.StreamGroup(ids.ClassId(each.class_id), origin)
        yield group, now_s + each.left_ms / _MS
