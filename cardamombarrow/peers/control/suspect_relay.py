"""Relays reports of requests that crash endpoints between failure domains.

Each entry sends its reports to the control process that it follows, which
passes them on at once to its other followers; the other control processes
query it once a second. A request that crashes its endpoint is therefore known
in all domains within two seconds. The first message of an entry on a link
contains all reports that it knows, so that a control process that has restarted
gets them back.

Reports are sent more than once, and identified by instance and number.
"""

from collections import abc
import random

from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import recent_items

__all__ = ["MAX_REPORTS", "SuspectRelay"]

REPORT_TTL_S = 600.0
"""How long a report is relayed: an entry that starts gets all that count."""

MAX_REPORTS = 512

_MS = 1_000


class SuspectRelay:
    """The recent reports; runs on the loop thread of a control process."""

    def __init__(self, rng: random.Random):
        self._items: recent_items.RecentItems[control_pb2.SuspectReport] = (
            recent_items.RecentItems(REPORT_TTL_S, MAX_REPORTS, rng)
        )
        self._known: dict[tuple[str, int], None] = {}

    @property
    def number(self) -> int:
        """The number of the newest report."""
        return self._items.number

    def put(
        self,
        reports: abc.Iterable[control_pb2.SuspectReport],
        source: str,
        now_s: float,
    ) -> bool:
        """Adds reports.

        Args:
            reports: The reports.
            source: The reporting entry; empty if another control process
                relays the reports of its entries.
            now_s: The current time.

        Returns:
            Whether any of them is new.
        """
        before = self.number
        for report in reports:
            key = (report.instance, report.number)
            if key in self._known:
                continue
            self._known[key] = None
            if len(self._known) > MAX_REPORTS:
                del self._known[next(iter(self._known))]
            self._items.add(report, source, now_s)
        return self.number != before

    def since(
        self, number: int, now_s: float, *, own: bool = False
    ) -> list[control_pb2.SuspectReport]:
        """Returns the reports after a number, the oldest first.

        Args:
            number: The number of the last ones.
            now_s: The current time.
            own: Only reports that entries sent here: control processes query
                each other, so relayed reports would circulate between them.
        """
        reports = []
        for item in self._items.newest_since(number, now_s):
            if own and not item.source:
                continue
            report = control_pb2.SuspectReport()
            report.CopyFrom(item.value)
            report.age_ms += int((now_s - item.added_s) * _MS)
            reports.append(report)
        return reports[::-1]
