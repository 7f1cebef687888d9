"""Typed messages of the gossip table."""

import dataclasses
import enum
import hashlib

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = [
    "Changes",
    "Digest",
    "Head",
    "Item",
    "ItemKind",
    "Key",
    "RowDelta",
    "Value",
    "endpoint_hash",
]


class ItemKind(enum.Enum):
    """What an item of a row tells."""

    DEMAND = "demand"
    """Requests waiting and running, by service."""

    IN_FLIGHT = "in_flight"
    """Requests that the instance has on an endpoint, by endpoint's hash."""

    LEAVING = "leaving"
    """Its own sources say that the endpoint leaves, by endpoint."""

    QUARANTINE = "quarantine"
    """Local time at which the quarantine ends, by fingerprint."""

    REPORT = "report"
    """The endpoint's load report that it polled, by endpoint's hash."""


Key = tuple[ItemKind, str | int]
Value = float | int | bool | messages.LoadReport


def endpoint_hash(endpoint: ids.EndpointId) -> int:
    """Returns 64 bits that stand for an endpoint on the wire.

    An address of 18 bytes for each endpoint, instance and second is most of
    what gossip would send; 8 bytes do. Two of 640 endpoints share a hash with
    a chance of 1 in 10^14.
    """
    digest = hashlib.blake2b(endpoint.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@dataclasses.dataclass(slots=True)
class Item:
    """One item of a row.

    Attributes:
        version: The row's version when it changed last, or later.
        value: None where it was removed.
        changed_s: Local time at which the change came in.
    """

    version: int
    value: Value | None
    changed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What every delta of a row repeats.

    Attributes:
        address: ``host:port`` at which the instance listens for others.
        left: The instance has said goodbye.
    """

    address: str
    applied_revision: ids.Revision
    left: bool = False


Digest = dict[ids.InstanceId, tuple[int, int]]
"""Incarnation and version of each row that is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowDelta:
    """What changed in one instance's row after a version.

    Attributes:
        incarnation: Grows with each start of the instance.
        version: The row's version with this delta; grows every second, so
            that it is the heartbeat as well.
        since: The version that the delta starts from; 0 is the whole row.
        age_s: Time since the instance itself had this version.
        items: Changed items; None removes one.
    """

    instance: ids.InstanceId
    incarnation: int
    version: int
    since: int
    age_s: float
    head: Head
    items: list[tuple[Key, Value | None]]


@dataclasses.dataclass(slots=True)
class Changes:
    """What came in by a set of deltas.

    Attributes:
        items: Changed items by instance, with their new value.
        refreshed: Instances whose row is newer than before.
        left: Instances that said goodbye.
    """

    items: list[tuple[ids.InstanceId, Key, Value | None]] = dataclasses.field(
        default_factory=list
    )
    refreshed: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    left: list[ids.InstanceId] = dataclasses.field(default_factory=list)
