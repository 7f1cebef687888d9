"""Sharing of reports of suspects between the instances of a domain."""

from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.gossip import rows

__all__ = ["SuspectGossip"]


class SuspectGossip:
    """Publishes this instance's reports."""

    def __init__(self, broker: broker_module.Broker):
        self._broker = broker
        self._published: set[int] = set()

    def collect(self) -> dict[rows.Key, rows.Value]:
        """Returns the items of this instance's row."""
        reports = self._broker.own_suspects()
        self._published = {report.number for report in reports}
        return {
            (rows.ItemKind.SUSPECTS, report.number): report
            for report in reports
        }

    def is_urgent(self) -> bool:
        """Returns whether a report is not published yet."""
        return any(
            report.number not in self._published
            for report in self._broker.own_suspects()
        )
