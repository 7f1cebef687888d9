"""What may have begun a stream that an entry does not know."""

import collections
from collections import abc

from cardamombarrow.kernel import ids
from cardamombarrow.resumption import open_streams

__all__ = ["Candidates"]

SILENCE_S = 12.0
"""Time without news after which this entry does not tell others that it knows
all open streams: it was cut off or stood still. Control has closed a link that
was silent for so long, and tells everything again on the next one."""


class Candidates:
    """Versions that are listed, or may have open streams; not thread-safe."""

    def __init__(self, now_s: float, lifetime_s: float):
        """Builds a table of an entry that has just started.

        Args:
            now_s: The local time.
            lifetime_s: Time for which streams stay open whose callers' limits
                are not known.
        """
        self.lifetime_s = lifetime_s
        self._longest_s = 0.0
        self._since_s = self._news_s = self._listed_s = now_s
        self._was_told_all = False
        self._listed: set[open_streams.Origin] = set()
        self._open = open_streams.OpenStreams()
        self._own = open_streams.OpenStreams()
        self._reported = open_streams.ReportedStreams()
        self._acknowledged = open_streams.AcknowledgedStreams()

    def touch(self, now_s: float) -> None:
        """Records that news of other instances have arrived."""
        if now_s - self._news_s >= SILENCE_S:
            self.doubt(now_s)
        self._news_s = now_s

    def touch_list(self, now_s: float) -> None:
        """Records that the list has been read."""
        self.touch(now_s)
        self._listed_s = now_s

    def doubt(self, now_s: float) -> None:
        """Records that news may have been lost on the way."""
        self._was_told_all = False
        self._since_s = now_s

    def ages_s(self, now_s: float) -> tuple[float, float]:
        """Returns the ages of the list and of the last news of any kind."""
        return now_s - self._listed_s, now_s - self._news_s

    def has_room(self, now_s: float) -> bool:
        """Returns whether no group was left out for want of room."""
        return self._open.has_all(now_s) and self._own.has_all(now_s)

    def are_all(self, now_s: float) -> bool:
        """Returns whether nothing else had open streams lately.

        Others may have begun some since: a single stream must not be resumed
        by it.
        """
        if now_s - self._news_s >= SILENCE_S or not self.has_room(now_s):
            return False
        return self._was_told_all or (
            now_s - self._since_s >= open_streams.LONGEST_STREAM_S
        )

    def of_class(
        self,
        class_id: ids.ClassId,
        services: abc.Collection[ids.ServiceId],
        now_s: float,
    ) -> frozenset[open_streams.Origin]:
        """Returns what may have begun a stream of a class.

        Args:
            class_id: The class.
            services: The services that serve it now; others may have begun
                streams under an earlier document.
            now_s: The local time.
        """
        found = {each for each in self._listed if each.service in services}
        # Its class may have had another name when it began.
        found.update(
            group.origin
            for group, _ in self._open.items(now_s)
            if group.class_id == class_id or group.origin.service in services
        )
        return frozenset(found)

    def mixed(self, now_s: float) -> set[ids.ServiceId]:
        """Returns the services whose streams may be confused with others."""
        by_service = collections.defaultdict(set)
        by_class = collections.defaultdict(set)
        for origin in self._listed:
            by_service[origin.service].add(origin)
        for group, _ in self._open.items(now_s):
            by_service[group.origin.service].add(group.origin)
            if group.class_id != open_streams.ANY_CLASS:
                by_class[group.class_id].add(group.origin)
        return {
            origin.service
            for origins in (*by_service.values(), *by_class.values())
            if len(origins) > 1
            for origin in origins
        }

    def set_listed(
        self, listed: set[open_streams.Origin], now_s: float
    ) -> bool:
        """Sets the listed versions; returns whether there are new ones."""
        new = listed - self._listed
        end_s = now_s + self.lifetime_s
        self._extend_listed(now_s)
        # Entries that have the previous list may still begin streams, and only
        # control knows how long theirs are open.
        gone_s = now_s + open_streams.LONGEST_STREAM_S
        if self._was_told_all:
            gone_s = end_s
        for origin in self._listed - listed:
            self._open.extend(open_streams.unclassed(origin), gone_s)
        self._listed = listed
        return bool(new)

    def _extend_listed(self, now_s: float) -> None:
        """Records that a stream of each listed version may begin now."""
        end_s = now_s + max(self.lifetime_s, self._longest_s)
        for origin in self._listed:
            self._own.extend(open_streams.unclassed(origin), end_s)

    def _own_items(self, now_s: float) -> list[open_streams.GroupEnd]:
        """Returns what this entry has begun, or may begin now."""
        self._extend_listed(now_s)
        return self._own.items(now_s)

    def is_listed_due(self, now_s: float) -> bool:
        """Returns whether a majority should be told (again) of the list."""
        return any(
            self._acknowledged.is_due(group, until_s)
            for group, until_s in self._own_items(now_s)
            if group.class_id == open_streams.ANY_CLASS
        )

    def extend(self, origin: open_streams.Origin, until_s: float) -> None:
        """Records a stream of any entry, whose class is not known."""
        self._open.extend(open_streams.unclassed(origin), until_s)

    def add_own(
        self, group: open_streams.StreamGroup, until_s: float, now_s: float
    ) -> bool:
        """Records a stream of this entry; returns whether control knows."""
        self._longest_s = max(self._longest_s, until_s - now_s)
        self._open.extend(group, until_s)
        self._own.extend(group, until_s)
        return self._reported.covers(group, until_s)

    def is_acknowledged(
        self, group: open_streams.StreamGroup, until_s: float
    ) -> bool:
        """Returns whether a majority of the control processes knows."""
        return self._acknowledged.covers(group, until_s)

    def is_established(
        self, origin: open_streams.Origin, until_s: float
    ) -> bool:
        """Returns whether a majority counts an origin's streams as open.

        They need not know of which class.
        """
        return self._acknowledged.covers(
            open_streams.unclassed(origin), until_s
        )

    def is_due(self, group: open_streams.StreamGroup, until_s: float) -> bool:
        """Returns whether a majority should be told (again) of a group."""
        return self._acknowledged.is_due(group, until_s)

    def unacknowledged(self, now_s: float) -> tuple[open_streams.GroupEnd, ...]:
        """Returns what a majority of the control processes is to store."""
        return self._acknowledged.due(self._own_items(now_s))

    def acknowledge(
        self, items: abc.Iterable[open_streams.GroupEnd], now_s: float
    ) -> None:
        """Records what a majority has stored in one round trip."""
        self._acknowledged.add(items, now_s)

    def merge(
        self, items: abc.Iterable[open_streams.GroupEnd], *, are_all: bool
    ) -> None:
        """Merges what control knows.

        Args:
            items: Groups, and until when their streams are open.
            are_all: Whether no other group has open streams.
        """
        for group, until_s in items:
            self._open.extend(group, until_s)
        self._was_told_all = self._was_told_all or are_all

    def take_report(self, now_s: float, *, first: bool) -> open_streams.Report:
        """Returns what control does not know yet.

        Args:
            now_s: The local time.
            first: Whether it is the first report on a link.
        """
        return self._reported.take(
            self._own_items(now_s),
            self._open.items(now_s),
            first=first,
            knows_all=self.are_all(now_s),
        )
