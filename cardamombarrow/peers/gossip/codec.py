"""Conversion between the gossip table's messages and protobuf.

Times are sent as ages or as remaining times, because the clocks of two
instances are independent.
"""

from collections import abc
import math

from cardamombarrow.decisions import messages
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import suspect_codec
from cardamombarrow.peers.gossip import gossip_pb2

__all__ = [
    "delta_from_wire",
    "delta_to_wire",
    "digest_from_wire",
    "digest_to_wire",
]

_MS = 1_000

_MAX_MS = 2**32 - 1
"""Longest time that a field of a message holds."""

MAX_INCARNATION = 2**62
"""An instance whose earlier process has a higher one could not exceed it."""

_ENDED = -1.0
"""Wire value of a rate limit that has ended."""


def digest_to_wire(digest: rows.Digest) -> list[gossip_pb2.GossipDigestRow]:
    """Converts a digest."""
    return [
        gossip_pb2.GossipDigestRow(
            instance=instance, incarnation=incarnation, version=version
        )
        for instance, (incarnation, version) in digest.items()
    ]


def digest_from_wire(
    wire: abc.Iterable[gossip_pb2.GossipDigestRow],
) -> rows.Digest:
    """Converts a digest back."""
    return {
        ids.InstanceId(row.instance): (row.incarnation, row.version)
        for row in wire
    }


def delta_to_wire(delta: rows.RowDelta, now_s: float) -> gossip_pb2.GossipRow:
    """Converts a row's delta; longer times are sent as `_MAX_MS`."""
    wire = gossip_pb2.GossipRow(
        instance=delta.instance,
        incarnation=delta.incarnation,
        version=delta.version,
        since=delta.since,
        age_ms=_to_ms(delta.age_s),
        # The address never changes within an incarnation.
        address=delta.head.address if delta.since == 0 else "",
        applied_revision=delta.head.applied_revision,
        left=delta.head.left,
    )
    for (kind, name), value in delta.items:
        _ENCODERS[kind](wire, name, value, now_s)
    return wire


def _to_ms(time_s: float) -> int:
    return min(int(max(0.0, time_s) * _MS), _MAX_MS)


def _put_demand(
    wire: gossip_pb2.GossipRow, name: str, value: float | None, now_s: float
) -> None:
    wire.demand_services.append(name)
    wire.demand.append(value or 0.0)


def _put_in_flight(
    wire: gossip_pb2.GossipRow,
    name: str,
    value: rows.InFlight | None,
    now_s: float,
) -> None:
    if value is not None:
        wire.in_flight_list = value.list_hash
        wire.in_flight.extend(value.counts)


def _put_leaving(
    wire: gossip_pb2.GossipRow, name: str, value: bool | None, now_s: float
) -> None:
    names = wire.leaving_endpoints if value else wire.returned_endpoints
    names.append(name)


def _put_quarantine(
    wire: gossip_pb2.GossipRow, name: str, value: float | None, now_s: float
) -> None:
    left_s = 0.0 if value is None else value - now_s
    wire.quarantined.append(name)
    wire.quarantine_left_ms.append(_to_ms(left_s))


def _put_report(
    wire: gossip_pb2.GossipRow,
    name: int,
    value: messages.LoadReport | None,
    now_s: float,
) -> None:
    if value is None:
        wire.removed_reports.append(name)
        return
    wire.report_endpoints.append(name)
    wire.report_running.append(value.running)
    wire.report_waiting.append(value.waiting)
    wire.report_cache_used_share.append(value.cache_used_share)
    wire.report_leaving.append(value.leaving)
    wire.report_age_ms.append(_to_ms(now_s - value.measured_at_s))


def _put_listing(
    wire: gossip_pb2.GossipRow,
    name: str,
    value: rows.ListingStamp | None,
    now_s: float,
) -> None:
    if value is not None:
        wire.listing_hash = value.text_hash
        wire.listing_age_ms = _to_ms(now_s - value.read_s)


def _put_listed(
    wire: gossip_pb2.GossipRow, name: str, value: str | None, now_s: float
) -> None:
    wire.listed = value or ""


def _put_rate_limit(
    wire: gossip_pb2.GossipRow,
    name: int,
    value: messages.RateLimit | None,
    now_s: float,
) -> None:
    if value is None:
        wire.removed_limits.append(name)
        return
    wire.limit_endpoints.append(name)
    wire.limit_per_s.append(_ENDED if value.per_s is None else value.per_s)
    wire.limit_age_ms.append(_to_ms(now_s - value.received_s))


def _put_suspects(
    wire: gossip_pb2.GossipRow,
    name: int,
    value: messages.SuspectReport | None,
    now_s: float,
) -> None:
    # A report ends by its age at each receiver, not when it is removed.
    if value is not None:
        wire.suspects.extend(suspect_codec.suspects_to_wire([value], now_s))


def _put_rejection_pause(
    wire: gossip_pb2.GossipRow,
    name: int,
    value: messages.RejectionPause | None,
    now_s: float,
) -> None:
    # A pause ends by itself at each receiver.
    if value is not None:
        wire.rejecting_endpoints.append(name)
        wire.rejection_pause_left_ms.append(_to_ms(value.until_s - now_s))
        wire.rejection_limit_per_s.append(value.limit_per_s)


_ENCODERS = {
    rows.ItemKind.DEMAND: _put_demand,
    rows.ItemKind.IN_FLIGHT: _put_in_flight,
    rows.ItemKind.LEAVING: _put_leaving,
    rows.ItemKind.QUARANTINE: _put_quarantine,
    rows.ItemKind.REPORT: _put_report,
    rows.ItemKind.LISTING: _put_listing,
    rows.ItemKind.LISTED: _put_listed,
    rows.ItemKind.RATE_LIMIT: _put_rate_limit,
    rows.ItemKind.SUSPECTS: _put_suspects,
    rows.ItemKind.REJECTION_PAUSE: _put_rejection_pause,
}


def delta_from_wire(
    wire: gossip_pb2.GossipRow, now_s: float, waited_s: float = 0.0
) -> rows.RowDelta:
    """Converts a row's delta back; items that can't be used are left out.

    Args:
        wire: The delta.
        now_s: The current time.
        waited_s: Longest time for which it may have been on its way.

    Raises:
        ValueError: The row can't be used.
    """
    if not 0 <= wire.incarnation < MAX_INCARNATION:
        raise ValueError("incarnation")
    sent_s = now_s - waited_s
    return rows.RowDelta(
        instance=ids.InstanceId(wire.instance),
        incarnation=wire.incarnation,
        version=wire.version,
        since=wire.since,
        age_s=wire.age_ms / _MS + waited_s,
        head=rows.RowHeader(
            wire.address, ids.Revision(wire.applied_revision), wire.left
        ),
        items=list(_items(wire, sent_s)),
    )


def _items(
    wire: gossip_pb2.GossipRow, now_s: float
) -> abc.Iterator[tuple[rows.Key, rows.Value | None]]:
    kind = rows.ItemKind
    for service, demand in zip(wire.demand_services, wire.demand):
        if _is_count(demand):
            yield (kind.DEMAND, service), demand or None
    if wire.in_flight_list:
        counts = tuple(wire.in_flight)
        yield (kind.IN_FLIGHT, ""), rows.InFlight(wire.in_flight_list, counts)
    for endpoint in wire.leaving_endpoints:
        yield (kind.LEAVING, endpoint), True
    for endpoint in wire.returned_endpoints:
        yield (kind.LEAVING, endpoint), None
    for fingerprint, left_ms in zip(wire.quarantined, wire.quarantine_left_ms):
        value = now_s + left_ms / _MS if left_ms else None
        yield (kind.QUARANTINE, fingerprint), value
    if wire.listed:
        yield (kind.LISTED, ""), wire.listed
    if wire.listing_hash:
        read_s = now_s - wire.listing_age_ms / _MS
        yield (
            (kind.LISTING, ""),
            rows.ListingStamp(wire.listing_hash, read_s),
        )
    for report in suspect_codec.suspects_from_wire(wire.suspects, now_s):
        yield (kind.SUSPECTS, report.number), report
    yield from _rejection_pauses(wire, now_s)
    yield from _rate_limits(wire, now_s)
    yield from _reports(wire, now_s)


def _is_count(value: float) -> bool:
    return math.isfinite(value) and value >= 0.0


def _rejection_pauses(
    wire: gossip_pb2.GossipRow, now_s: float
) -> abc.Iterator[tuple[rows.Key, rows.Value | None]]:
    pauses = zip(
        wire.rejecting_endpoints,
        wire.rejection_pause_left_ms,
        wire.rejection_limit_per_s,
    )
    for endpoint_hash, left_ms, limit_per_s in pauses:
        if not _is_count(limit_per_s):
            continue
        pause = messages.RejectionPause(now_s + left_ms / _MS, limit_per_s)
        yield (rows.ItemKind.REJECTION_PAUSE, endpoint_hash), pause


def _rate_limits(
    wire: gossip_pb2.GossipRow, now_s: float
) -> abc.Iterator[tuple[rows.Key, rows.Value | None]]:
    for endpoint in wire.removed_limits:
        yield (rows.ItemKind.RATE_LIMIT, endpoint), None
    columns = zip(wire.limit_endpoints, wire.limit_per_s, wire.limit_age_ms)
    for endpoint, per_s, age_ms in columns:
        if not math.isfinite(per_s):
            continue
        limit = messages.RateLimit(
            None if per_s < 0.0 else per_s, now_s - age_ms / _MS
        )
        yield (rows.ItemKind.RATE_LIMIT, endpoint), limit


def _reports(
    wire: gossip_pb2.GossipRow, now_s: float
) -> abc.Iterator[tuple[rows.Key, rows.Value | None]]:
    for endpoint in wire.removed_reports:
        yield (rows.ItemKind.REPORT, endpoint), None
    columns = zip(
        wire.report_endpoints,
        wire.report_running,
        wire.report_waiting,
        wire.report_cache_used_share,
        wire.report_leaving,
        wire.report_age_ms,
    )
    for endpoint, running, waiting, used, leaving, age_ms in columns:
        if not _is_count(used):
            continue
        report = messages.LoadReport(
            running=running,
            waiting=waiting,
            cache_used_share=used,
            leaving=leaving,
            measured_at_s=now_s - age_ms / _MS,
        )
        yield (rows.ItemKind.REPORT, endpoint), report
