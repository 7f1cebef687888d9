"""Usage and demand of all entries, as collected at a control process."""

import collections
from collections import abc
import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["Demand", "DemandTable", "SourceCounts", "UsageTable"]

MAX_WINDOWS = 8
"""Stored windows: those whose report may be due, and some spare ones."""

DEMAND_TTL_S = 4.0
"""Time after which the last report of an entry no longer counts."""


@dataclasses.dataclass(frozen=True)
class SourceCounts:
    """Totals of one entry in one window.

    Attributes:
        source: Identifies the entry and its start.
    """

    source: str
    window: int
    counts: dict[ids.WorkspaceId, int]


@dataclasses.dataclass
class _Row:
    counts: dict[ids.WorkspaceId, int]
    number: int = 0
    direct: bool = False


class UsageTable:
    """Usage totals by window and source; used on one loop.

    A total only grows, so the greater of two is the later one. Rows may
    therefore arrive twice, in any order and over several routes.
    """

    def __init__(self, first_number: int):
        """Builds an empty table.

        Args:
            first_number: First change number. It should be random, so that a
                request with a number of another process gets all rows.
        """
        self._first_number = self._number = first_number
        self._windows: dict[int, dict[str, _Row]] = {}

    def put(self, reported: SourceCounts, *, direct: bool) -> None:
        """Merges the totals of one entry and window.

        Args:
            reported: The totals.
            direct: Whether the entry itself reported them. Only direct totals
                are relayed, as each control process queries each other one.
        """
        newest = max(self._windows, default=reported.window)
        if reported.window <= newest - MAX_WINDOWS:
            return
        rows = self._windows.setdefault(reported.window, {})
        row = rows.setdefault(reported.source, _Row({}))
        for workspace, count in reported.counts.items():
            if count > row.counts.get(workspace, 0):
                row.counts[workspace] = count
        if direct:
            self._number += 1
            row.number = self._number
            row.direct = True
        for window in sorted(self._windows)[:-MAX_WINDOWS]:
            del self._windows[window]

    def own_since(self, number: int) -> tuple[list[SourceCounts], int]:
        """Returns the direct totals changed since a number, and the newest."""
        if not self._first_number <= number <= self._number:
            number = self._first_number
        reported = [
            SourceCounts(source, window, dict(row.counts))
            for window, rows in self._windows.items()
            for source, row in rows.items()
            if row.direct and row.number > number
        ]
        return reported, self._number

    def totals(self) -> dict[int, dict[ids.WorkspaceId, int]]:
        """Returns the totals of all entries, by window."""
        return {
            window: _total(rows.values())
            for window, rows in self._windows.items()
        }

    def sources(self) -> dict[int, int]:
        """Returns the number of entries that reported, by window."""
        return {window: len(rows) for window, rows in self._windows.items()}


def _total(rows: abc.Iterable[_Row]) -> dict[ids.WorkspaceId, int]:
    total: collections.Counter[ids.WorkspaceId] = collections.Counter()
    for row in rows:
        total.update(row.counts)
    return dict(total)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand of a failure domain for a service.

    Attributes:
        reading: Endpoints that prefill alone keeps busy.
        running: Running requests.
    """

    domain: ids.DomainId
    service: ids.ServiceId
    reading: float
    running: float


@dataclasses.dataclass
class _EntryDemand:
    domain: ids.DomainId
    received_s: float
    prefill_s: float
    reading: float = 0.0
    running: int = 0


class DemandTable:
    """Demand of the entries here and at other control processes."""

    def __init__(self):
        self._own_demand: dict[tuple[str, ids.ServiceId], _EntryDemand] = {}
        self._peer_demand: dict[str, tuple[float, list[Demand]]] = {}

    def put(
        self,
        source: str,
        domain: ids.DomainId,
        service: ids.ServiceId,
        prefill_s: float,
        running: int,
        now_s: float,
    ) -> None:
        """Records an entry's demand for one service.

        Args:
            source: Identifies the entry and its start.
            domain: Its failure domain.
            service: The service.
            prefill_s: Engine time of prefill since the start of the entry.
            running: Requests that run now.
            now_s: Monotonic time.
        """
        key = source, service
        previous = self._own_demand.get(key)
        current = _EntryDemand(domain, now_s, prefill_s, 0.0, running)
        if previous is not None and now_s > previous.received_s:
            added_s = max(prefill_s - previous.prefill_s, 0.0)
            current.reading = added_s / (now_s - previous.received_s)
        self._own_demand[key] = current

    def put_peer_demand(
        self, peer: str, demands: list[Demand], now_s: float
    ) -> None:
        """Records the demand of the entries of another control process."""
        self._peer_demand[peer] = now_s, demands

    def own_demand(self, now_s: float) -> list[Demand]:
        """Returns the demand of the entries that report to this process."""
        fresh = {
            key: current
            for key, current in self._own_demand.items()
            if now_s - current.received_s <= DEMAND_TTL_S
        }
        self._own_demand = fresh
        return _sum(
            Demand(current.domain, service, current.reading, current.running)
            for (_, service), current in fresh.items()
        )

    def all(self, now_s: float) -> list[Demand]:
        """Returns the demand of all entries."""
        peer_demand = (
            demand
            for received_s, demands in self._peer_demand.values()
            if now_s - received_s <= DEMAND_TTL_S
            for demand in demands
        )
        return _sum([*self.own_demand(now_s), *peer_demand])


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
