"""Typed messages of the gossip table."""

import dataclasses
import enum
import hashlib

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = [
    "Changes",
    "Digest",
    "InFlight",
    "Item",
    "ItemKind",
    "Key",
    "ListingStamp",
    "RowDelta",
    "RowHeader",
    "Value",
    "endpoint_hash",
]


class ItemKind(enum.IntEnum):
    """Kind of an item of a row; an integer because it is hashed often."""

    DEMAND = 1
    """Requests waiting and running, by service."""

    IN_FLIGHT = 2
    """Requests that the instance has in flight on each endpoint; one item."""

    LEAVING = 3
    """The instance's own sources report it as leaving, by endpoint."""

    QUARANTINE = 4
    """Local time at which the quarantine ends, by fingerprint."""

    REPORT = 5
    """The load report that the instance polled, by endpoint hash."""

    LISTING = 6
    """Which list of endpoints the instance fetched, and when; one item."""

    LISTED = 7
    """The text of that list; one item."""

    RATE_LIMIT = 8
    """The rate limit that an endpoint stated, by endpoint hash."""

    SUSPECTS = 9
    """What the instance saw of requests that may crash endpoints, by number."""

    REJECTION_PAUSE = 10
    """The pause after a rejection of its request, by endpoint hash."""


Key = tuple[ItemKind, str | int]


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """Requests in flight on each endpoint, as an array over their list.

    One item per endpoint, keyed by a hash, took more bytes and time than the
    rest of the row. Instances mostly have the same list of endpoints in force;
    until they do, the receiver ignores the counts.

    Attributes:
        list_hash: `endpoint_hash` of the sorted endpoints, joined by spaces.
        counts: One count per endpoint of that list.
    """

    list_hash: int
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListingStamp:
    """Identifies a fetched list of endpoints by hash and time.

    A list rarely changes and is fetched often. Its text is sent only when it
    changes, these few bytes after each fetch.

    Attributes:
        text_hash: `endpoint_hash` of the list's text.
        read_s: Local time at which it was fetched.
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
    | messages.RejectionPause
    | messages.SuspectReport
    | InFlight
    | ListingStamp
)


def endpoint_hash(endpoint: ids.EndpointId) -> int:
    """Returns the 64-bit hash that identifies an endpoint on the wire.

    Addresses of 18 bytes, sent for each endpoint by each instance every
    second, would dominate the gossip traffic; a hash takes 8 bytes. The
    probability that two of 640 endpoints collide is 1 in 10^14.
    """
    digest = hashlib.blake2b(endpoint.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@dataclasses.dataclass(slots=True)
class Item:
    """One item of a row.

    Attributes:
        version: The row's version at the last change of the item, or later.
        value: None if the item was removed.
        changed_s: Local time at which the change was received.
    """

    version: int
    value: Value | None
    changed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RowHeader:
    """Header of a row; part of each delta.

    Attributes:
        address: ``host:port`` at which the instance listens for others;
            constant within an incarnation and omitted from later deltas.
        left: Whether the instance has announced its shutdown.
    """

    address: str
    applied_revision: ids.Revision
    left: bool = False


Digest = dict[ids.InstanceId, tuple[int, int]]
"""Incarnation and version of each known row."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowDelta:
    """Changes of one instance's row after a version.

    Attributes:
        incarnation: Increases with each start of the instance.
        version: The row's version after this delta; it increases every second
            and also serves as the heartbeat.
        since: The version that the delta starts from; 0 for the whole row.
        age_s: Time since the instance itself had this version.
        items: Changed items; the value None removes an item.
    """

    instance: ids.InstanceId
    incarnation: int
    version: int
    since: int
    age_s: float
    head: RowHeader
    items: list[tuple[Key, Value | None]]


@dataclasses.dataclass(slots=True)
class Changes:
    """Result of applying a set of deltas.

    Attributes:
        items: Changed items with their instance and new value.
        refreshed: Instances whose row is newer than before.
        left: Instances that announced their shutdown.
    """

    items: list[tuple[ids.InstanceId, Key, Value | None]] = dataclasses.field(
        default_factory=list
    )
    refreshed: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    left: list[ids.InstanceId] = dataclasses.field(default_factory=list)
