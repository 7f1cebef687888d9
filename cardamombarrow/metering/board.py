"""What entries have counted, gathered at a control process."""

import collections
from collections import abc
import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["Demand", "DemandBoard", "SourceCounts", "UsageBoard"]

WINDOWS_KEPT = 8
"""Windows held: those whose report may still be due, and some to spare."""

DEMAND_LIFE_S = 4.0
"""An entry that tells nothing for this long asks for nothing any more."""


@dataclasses.dataclass(frozen=True)
class SourceCounts:
    """Totals of one entry in one window.

    Attributes:
        source: The entry and its start.
    """

    source: str
    window: int
    counts: dict[ids.WorkspaceId, int]


@dataclasses.dataclass
class _Row:
    counts: dict[ids.WorkspaceId, int]
    number: int = 0
    direct: bool = False


class UsageBoard:
    """Totals by window and source; used on one loop.

    A total only grows, so of two the greater one is the later: rows may come
    twice, in any order and by several ways.
    """

    def __init__(self, first_number: int):
        """Builds an empty board.

        Args:
            first_number: Where numbers begin; drawn by lot, so that whoever
                comes with a number of another process gets all.
        """
        self._first = self._number = first_number
        self._windows: dict[int, dict[str, _Row]] = {}

    def put(self, told: SourceCounts, *, direct: bool) -> None:
        """Takes totals.

        Args:
            told: The totals.
            direct: Whether the entry told them itself. Only those are passed
                on: each control process asks each other one.
        """
        newest = max(self._windows, default=told.window)
        if told.window <= newest - WINDOWS_KEPT:
            return
        rows = self._windows.setdefault(told.window, {})
        row = rows.setdefault(told.source, _Row({}))
        for workspace, count in told.counts.items():
            if count > row.counts.get(workspace, 0):
                row.counts[workspace] = count
        if direct:
            self._number += 1
            row.number = self._number
            row.direct = True
        for window in sorted(self._windows)[:-WINDOWS_KEPT]:
            del self._windows[window]

    def own_since(self, number: int) -> tuple[list[SourceCounts], int]:
        """Returns what entries told here after a number, and the next one."""
        if not self._first <= number <= self._number:
            number = self._first
        told = [
            SourceCounts(source, window, dict(row.counts))
            for window, rows in self._windows.items()
            for source, row in rows.items()
            if row.direct and row.number > number
        ]
        return told, self._number

    def totals(self) -> dict[int, dict[ids.WorkspaceId, int]]:
        """Returns what all entries counted, by window."""
        return {
            window: _total(rows.values())
            for window, rows in self._windows.items()
        }

    def sources(self) -> dict[int, int]:
        """Counts the entries that told something, by window."""
        return {window: len(rows) for window, rows in self._windows.items()}


def _total(rows: abc.Iterable[_Row]) -> dict[ids.WorkspaceId, int]:
    total: collections.Counter[ids.WorkspaceId] = collections.Counter()
    for row in rows:
        total.update(row.counts)
    return dict(total)


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a failure domain asks of a service.

    Attributes:
        reading: Endpoints kept busy by reading prompts alone.
        running: Requests that run.
    """

    domain: ids.DomainId
    service: ids.ServiceId
    reading: float
    running: float


@dataclasses.dataclass
class _Asked:
    domain: ids.DomainId
    heard_s: float
    reading_s: float
    reading: float = 0.0
    running: int = 0


class DemandBoard:
    """What entries ask for, here and at other control processes."""

    def __init__(self):
        self._asked: dict[tuple[str, ids.ServiceId], _Asked] = {}
        self._others: dict[str, tuple[float, list[Demand]]] = {}

    def put(
        self,
        source: str,
        domain: ids.DomainId,
        service: ids.ServiceId,
        reading_s: float,
        running: int,
        now_s: float,
    ) -> None:
        """Takes what an entry tells of one service.

        Args:
            source: The entry and its start.
            domain: Its failure domain.
            service: The service.
            reading_s: Engine seconds of reading since its start.
            running: Requests that run now.
            now_s: Monotonic time.
        """
        key = source, service
        before = self._asked.get(key)
        asked = _Asked(domain, now_s, reading_s, 0.0, running)
        if before is not None and now_s > before.heard_s:
            grown_s = max(reading_s - before.reading_s, 0.0)
            asked.reading = grown_s / (now_s - before.heard_s)
        self._asked[key] = asked

    def put_others(
        self, peer: str, demands: list[Demand], now_s: float
    ) -> None:
        """Takes what another control process's entries ask for."""
        self._others[peer] = now_s, demands

    def own(self, now_s: float) -> list[Demand]:
        """Returns what the entries that tell this process ask for."""
        fresh = {
            key: asked
            for key, asked in self._asked.items()
            if now_s - asked.heard_s <= DEMAND_LIFE_S
        }
        self._asked = fresh
        return _sum(
            Demand(asked.domain, service, asked.reading, asked.running)
            for (_, service), asked in fresh.items()
        )

    def all(self, now_s: float) -> list[Demand]:
        """Returns what all entries ask for."""
        others = (
            demand
            for heard_s, demands in self._others.values()
            if now_s - heard_s <= DEMAND_LIFE_S
            for demand in demands
        )
        return _sum([*self.own(now_s), *others])


def _sum(demands: abc.Iterable[Demand]) -> list[Demand]:
    sums: dict[tuple[ids.DomainId, ids.ServiceId], list[float]] = {}
    for each in demands:
        total = sums.setdefault((each.domain, each.service), [0.0, 0.0])
        total[0] += each.reading
        total[1] += each.running
    return [
        Demand(domain, service, reading, running)
        for (domain, service), (reading, running) in sorted(sums.items())
    ]
