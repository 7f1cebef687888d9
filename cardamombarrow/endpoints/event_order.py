"""Checks that the runs of a stream follow each other without a gap."""

from collections import abc
import re

__all__ = ["EventOrder"]

_NUMBER = re.compile(r"[0-9]{1,18}")


class EventOrder:
    """The ids of a stream's events, over the runs of one answer.

    Endpoints go on after an event whose id they are given, and ids are
    increasing numbers. One that ignores the id, or counts otherwise, would
    repeat events or leave some out.

    Attributes:
        last_id: Id of the last event that has one; at first that after which
            the caller asked to go on, empty for none.
    """

    def __init__(self, resume_after: str):
        """Builds the order of a stream of which nothing was relayed.

        Args:
            resume_after: Id of the last event that the caller already has;
                empty for none.
        """
        self.last_id = resume_after
        self._last = _parse(resume_after)
        self._relayed = False
        self._in_run = False
        self._ends_with_id = False
        self._increases = True
        self._has_gaps = False

    @property
    def can_go_on(self) -> bool:
        """Whether `last_id` tells which events have been relayed."""
        return self._relayed and self._ends_with_id and self._increases

    def begin_run(self) -> None:
        """Records that the next events are those of a new run."""
        self._in_run = False

    def follows(self, event_ids: abc.Sequence[str]) -> bool:
        """Returns whether events of the run may be relayed now.

        Whether ids may have gaps shows only in what was relayed.

        Args:
            event_ids: The ids of the events, in order; empty for none.
        """
        if self._in_run or not event_ids:
            return True
        first = _parse(event_ids[0])
        if not self._relayed:
            return first is None or self._last is None or first > self._last
        if first is None or self._last is None:
            return False
        if self._has_gaps:
            return first > self._last
        return first == self._last + 1

    def add(self, event_ids: abc.Iterable[str]) -> None:
        """Records events that are relayed.

        Args:
            event_ids: The ids of the events, in order; empty for none.
        """
        for event_id in event_ids:
            self._relayed = self._in_run = True
            number = _parse(event_id)
            self._ends_with_id = number is not None
            if number is None:
                continue
            if self._last is not None:
                self._increases &= number > self._last
                self._has_gaps |= number > self._last + 1
            self._last, self.last_id = number, event_id


def _parse(event_id: str) -> int | None:
    return int(event_id) if _NUMBER.fullmatch(event_id) else None
