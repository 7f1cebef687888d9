"""Conversion between the origins of streams and protobuf."""

from collections import abc
import itertools

from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.resumption import core as resumption

__all__ = ["origins_from_wire", "origins_to_wire"]


def origins_to_wire(
    records: abc.Iterable[resumption.Record], now_s: float
) -> list[placing_pb2.StreamOrigins]:
    """Converts records, grouped by origin."""
    groups: dict[
        tuple[resumption.Origin | None, bool], placing_pb2.StreamOrigins
    ] = {}
    for record in records:
        origin = record.origin
        other_domain = record.source is resumption.Source.OTHER_DOMAIN
        group = groups.get((origin, other_domain))
        if group is None:
            group = placing_pb2.StreamOrigins(
                service="" if origin is None else origin.service,
                software="" if origin is None else origin.software,
                other_domain=other_domain,
                conflicting=origin is None,
            )
            groups[origin, other_domain] = group
        group.streams.append(record.key)
        group.age_ms.append(round(max(now_s - record.begun_s, 0.0) * 1_000))
        group.left_s.append(int(max(record.until_s - now_s, 0.0)))
    return list(groups.values())


def origins_from_wire(
    groups: abc.Iterable[placing_pb2.StreamOrigins],
    now_s: float,
    nearest: resumption.Source,
) -> abc.Iterator[resumption.Record]:
    """Converts them back.

    Args:
        groups: The groups.
        now_s: The local time.
        nearest: Source of the streams that the sender's domain began.
    """
    for group in groups:
        origin = resumption.Origin(
            ids.ServiceId(group.service), ids.SoftwareVersion(group.software)
        )
        source = (
            resumption.Source.OTHER_DOMAIN if group.other_domain else nearest
        )
        for key, age_ms, left_s in zip(
            group.streams,
            group.age_ms,
            group.left_s or itertools.repeat(None),
            strict=False,
        ):
            yield resumption.Record(
                key,
                None if group.conflicting else origin,
                now_s - age_ms / 1_000,
                source,
                None if left_s is None else now_s + left_s,
            )
