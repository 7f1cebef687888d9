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
    "InFlight",
    "Item",
    "ItemKind",
    "Key",
    "ListingMark",
    "RowDelta",
    "Value",
    "endpoint_hash",
]


class ItemKind(enum.IntEnum):
    """What an item of a row tells; a number, because it is hashed often."""

    DEMAND = 1
    """Requests waiting and running, by service."""

    IN_FLIGHT = 2
    """Requests that the instance has on each endpoint; one item."""

    LEAVING = 3
    """Its own sources say that the endpoint leaves, by endpoint."""

    QUARANTINE = 4
    """Local time at which the quarantine ends, by fingerprint."""

    REPORT = 5
    """The endpoint's load report that it polled, by endpoint's hash."""

    LISTING = 6
    """Which list of endpoints it read, and when; one item."""

    LISTED = 7
    """That list as text; one item."""

    RATE_LIMIT = 8
    """The rate limit that an endpoint stated to it, by endpoint's hash."""


Key = tuple[ItemKind, str | int]


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """Requests on each endpoint, as an array over a list of endpoints.

    One item for each endpoint, named by a hash, took more bytes and more time
    than all else in a row. Instances mostly have the same list of endpoints
    in force; where they do not, the numbers are of no use to each other until
    the newer document has come.

    Attributes:
        list_hash: `endpoint_hash` of the sorted endpoints, joined by spaces.
        counts: One number for each of them.
    """

    list_hash: int
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListingMark:
    """That an instance read a list of endpoints.

    A list seldom changes and is read often. Its text is sent when it changes,
    and these few bytes at each reading.

    Attributes:
        text_hash: `endpoint_hash` of the list's text.
        read_s: Local time at which it was read.
    """

    text_hash: int
    read_s: float


Value = (
    float
    | int
    | bool
    | str
    | messages.LoadReport
    | messages.RateLimit
    | InFlight
    | ListingMark
)


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
        address: ``host:port`` at which the instance listens for others; the
            same within an incarnation, and not repeated in later deltas.
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
