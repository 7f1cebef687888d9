"""Who holds the duties and what was reported, as a state machine on the log.

The platform refuses a call whose fencing token is lower than one that it has
seen. A call that got no answer may still be carried out seconds later, so the
holder also takes a new token before it contradicts such a call.

Two reports of one window must not differ, whoever sends them: what is reported
is committed first, and the first commit stands.
"""

import dataclasses

from cardamombarrow.kernel import ids
from cardamombarrow.orders import machine as orders_machine

__all__ = ["DutiesState", "Report"]

SETTLED_KEPT = 16
"""Windows remembered whose report was taken."""

OPEN_KEPT = 64
"""Windows remembered whose report was not taken; the oldest are given up."""


@dataclasses.dataclass(frozen=True)
class Report:
    """What is reported of one window.

    Attributes:
        counts: Requests that began to run, by workspace.
        fencing: Token of the holder that committed it.
        taken: Whether the platform has taken it.
    """

    counts: dict[ids.WorkspaceId, int]
    fencing: int
    taken: bool = False


class DutiesState:
    """Holder and reports; the same at every voter.

    Attributes:
        holders: The present holder.
        before: The holder's instance before the present one; empty where
            there was none.
        reports: Committed reports, by window.
    """

    def __init__(self):
        self.holders = orders_machine.OrdersState()
        self.before = ids.InstanceId("")
        self.reports: dict[int, Report] = {}

    def take(self, instance: ids.InstanceId) -> orders_machine.Holder:
        """Makes a control process the holder, under a new token."""
        if self.holders.holder.instance != instance:
            self.before = self.holders.holder.instance
        return self.holders.take(instance)

    def renew(self, holder: orders_machine.Holder) -> bool:
        """Tells whether a holder is still the one."""
        return self.holders.renew(holder)

    def commit(
        self,
        window: int,
        counts: dict[ids.WorkspaceId, int],
        holder: orders_machine.Holder,
    ) -> Report | None:
        """Fixes the report of a window.

        Returns:
            What stands for the window; None where the one that asks is not
            the holder any more, or the window is too old to be known.
        """
        standing = self.reports.get(window)
        if standing is not None:
            return standing
        if not self.renew(holder) or window < self._oldest():
            return None
        report = Report(dict(counts), holder.fencing)
        # Another thread may be reading: what it reads is never changed.
        self.reports = {**self.reports, window: report}
        self._trim()
        return report

    def settle(self, window: int) -> None:
        """Notes that the platform has taken a report."""
        if window in self.reports:
            taken = dataclasses.replace(self.reports[window], taken=True)
            self.reports = {**self.reports, window: taken}
            self._trim()

    @property
    def last_window(self) -> int | None:
        """The newest window that has a report."""
        return max(self.reports, default=None)

    def _oldest(self) -> int:
        newest = self.last_window
        return 0 if newest is None else newest - OPEN_KEPT

    def _trim(self) -> None:
        oldest = self._oldest()
        settled = sorted(w for w, r in self.reports.items() if r.taken)
        gone = set(settled[:-SETTLED_KEPT])
        self.reports = {
            window: report
            for window, report in self.reports.items()
            if window >= oldest and window not in gone
        }

    def to_json(self) -> dict:
        """Returns the state as plain JSON values, for a snapshot."""
        return {
            "holder": self.holders.to_json(),
            "before": self.before,
            "reports": [
                {"window": window, **dataclasses.asdict(report)}
                for window, report in sorted(self.reports.items())
            ],
        }

    @classmethod
    def from_json(cls, raw: dict) -> "DutiesState":
        """Reads what `to_json` wrote."""
        state = cls()
        state.holders = orders_machine.OrdersState.from_json(raw["holder"])
        state.before = ids.InstanceId(raw["before"])
        for item in raw["reports"]:
            counts = {
                ids.WorkspaceId(name): count
                for name, count in item["counts"].items()
            }
            report = Report(counts, item["fencing"], item["taken"])
            state.reports[item["window"]] = report
        return state
