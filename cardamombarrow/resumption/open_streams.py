"""Which software versions may have begun streams that are still open.

A stream is open until its caller's time limit: until then the caller may resume
it at any entry. Entries and control processes share, for the streams of each
class that a version of a service began, until when the last of them is open.
This outlives the entries that began the streams and costs nothing per stream.
"""

from collections import abc
import dataclasses
import math

from cardamombarrow.kernel import ids

__all__ = [
    "ANY_CLASS",
    "LONGEST_STREAM_S",
    "AcknowledgedStreams",
    "GroupEnd",
    "OpenStreams",
    "Origin",
    "Report",
    "ReportedStreams",
    "StreamGroup",
    "unclassed",
]

LONGEST_STREAM_S = 600.0
"""Time after which no caller resumes a stream, whatever limit it has stated.
An instance that has run for this long knows all open streams by itself."""

MAX_GROUPS = 16_384
"""Most groups of streams. A list of endpoints that names so many versions has
mistakes, and each instance would send all of them to others."""

REPORT_AHEAD_S = 15.0
"""How far beyond the last open stream a report reaches, so that steady traffic
needs one report of each group in half of this time, and waits for none."""

ANY_CLASS = ids.ClassId("")
"""Class of streams whose class is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What wrote the first event of a stream."""

    service: ids.ServiceId
    software: ids.SoftwareVersion


@dataclasses.dataclass(frozen=True, slots=True)
class StreamGroup:
    """The streams of a class that one version of a service began."""

    class_id: ids.ClassId
    origin: Origin


def unclassed(origin: Origin) -> StreamGroup:
    """Returns the group of an origin's streams whose class is not known."""
    return StreamGroup(ANY_CLASS, origin)


GroupEnd = tuple[StreamGroup, float]
"""A group, and the local time until which one of its streams is open."""


class OpenStreams:
    """Until when the last stream of each group is open."""

    def __init__(self):
        self._until_s: dict[StreamGroup, float] = {}
        self._overflow_until_s = -math.inf

    def extend(self, group: StreamGroup, until_s: float) -> bool:
        """Records that a group has an open stream until a time.

        Returns:
            Whether there was room for the group.
        """
        known_s = self._until_s.get(group, -math.inf)
        if group not in self._until_s and len(self._until_s) >= MAX_GROUPS:
            self._overflow_until_s = max(self._overflow_until_s, until_s)
            return False
        self._until_s[group] = max(known_s, until_s)
        return True

    def items(self, now_s: float) -> list[GroupEnd]:
        """Returns the groups with open streams, and until when."""
        for group, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                del self._until_s[group]
        return list(self._until_s.items())

    def has_all(self, now_s: float) -> bool:
        """Returns whether no group was left out for want of room."""
        return now_s >= self._overflow_until_s


@dataclasses.dataclass(frozen=True)
class Report:
    """What an entry reports to control of open streams.

    Attributes:
        items: Groups, and until when their streams are open.
        are_all: Whether no other group has open streams.
    """

    items: tuple[GroupEnd, ...]
    are_all: bool


class ReportedStreams:
    """What an entry has told the control process that it follows."""

    def __init__(self):
        self._until_s: dict[StreamGroup, float] = {}
        self._told_all = False

    def covers(self, group: StreamGroup, until_s: float) -> bool:
        """Returns whether control knows of a stream that is open so long."""
        return until_s <= self._until_s.get(group, -math.inf)

    def take(
        self,
        own: abc.Iterable[GroupEnd],
        known: abc.Iterable[GroupEnd],
        *,
        first: bool,
        knows_all: bool,
    ) -> Report:
        """Returns what to report now.

        Args:
            own: The groups of this entry's streams.
            known: All known groups with open streams.
            first: Whether another control process gets the report.
            knows_all: Whether `known` has all of them.
        """
        if first:
            self._until_s.clear()
            self._told_all = False
        due = [
            (group, until_s + REPORT_AHEAD_S)
            for group, until_s in own
            if not self.covers(group, until_s + REPORT_AHEAD_S / 2)
        ]
        self._until_s.update(due)
        tells_all = knows_all and not self._told_all
        self._told_all = self._told_all or knows_all
        if first or tells_all:
            due += known
        return Report(tuple(due), tells_all)


class AcknowledgedStreams:
    """What a majority of the control processes has stored."""

    def __init__(self):
        self._until_s: dict[StreamGroup, float] = {}

    def covers(self, group: StreamGroup, until_s: float) -> bool:
        """Returns whether a stream that is open so long has been stored."""
        return until_s <= self._until_s.get(group, -math.inf)

    def is_due(self, group: StreamGroup, until_s: float) -> bool:
        """Returns whether a group should be stored again."""
        return not self.covers(group, until_s + REPORT_AHEAD_S / 2)

    def due(self, own: abc.Iterable[GroupEnd]) -> tuple[GroupEnd, ...]:
        """Returns what is to be stored now.

        Args:
            own: The groups of this entry's streams.
        """
        return tuple(
            (group, until_s + REPORT_AHEAD_S)
            for group, until_s in own
            if self.is_due(group, until_s)
        )

    def add(self, items: abc.Iterable[GroupEnd], now_s: float) -> None:
        """Records what a majority has stored in one round trip.

        Acknowledgements of several round trips do not add up: a control process
        may have restarted between them, and have lost what it stored.
        """
        self._until_s = {
            group: until_s
            for group, until_s in self._until_s.items()
            if until_s > now_s
        }
        for group, until_s in items:
            known_s = self._until_s.get(group, -math.inf)
            self._until_s[group] = max(known_s, until_s)
