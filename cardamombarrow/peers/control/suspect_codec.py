"""Conversion between reports of suspects and protobuf.

Times are sent as ages, because the clocks of two instances are independent.
"""

from collections import abc

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2

__all__ = ["suspects_from_wire", "suspects_to_wire"]

_MS = 1_000


def suspects_to_wire(
    reports: abc.Iterable[messages.SuspectReport], now_s: float
) -> list[control_pb2.SuspectReport]:
    """Converts reports of suspects."""
    return [
        control_pb2.SuspectReport(
            instance=report.instance,
            number=report.number,
            fingerprints=report.fingerprints,
            endpoint=report.endpoint or "",
            age_ms=int(max(0.0, now_s - report.seen_s) * _MS),
            parts=[
                control_pb2.PromptParts(parts=parts) for parts in report.parts
            ],
            answered_parts=report.answered,
        )
        for report in reports
    ]


def suspects_from_wire(
    wire: abc.Iterable[control_pb2.SuspectReport], now_s: float
) -> list[messages.SuspectReport]:
    """Converts reports of suspects back."""
    return [
        messages.SuspectReport(
            instance=ids.InstanceId(report.instance),
            number=report.number,
            fingerprints=tuple(map(ids.Fingerprint, report.fingerprints)),
            endpoint=ids.EndpointId(report.endpoint) or None,
            seen_s=now_s - report.age_ms / _MS,
            parts=tuple(
                tuple(map(ids.PartKey, each.parts)) for each in report.parts
            ),
            answered=tuple(map(ids.PartKey, report.answered_parts)),
        )
        for report in wire
    ]
