"""Holder and usage reports of the duties, as a state machine on the log.

The platform refuses a call whose fencing token is lower than one that it has
seen. A call that got no answer may still be carried out seconds later, so the
holder also takes a new token before it contradicts such a call.

All reports of one window must be equal, also those of different holders. So a
report is committed before it is sent, and only the first commit counts.
"""

import dataclasses

from cardamombarrow.kernel import ids
from cardamombarrow.orders import machine as orders_machine

__all__ = ["DutiesState", "Report"]

MAX_SETTLED = 16
"""Stored windows whose report the platform has taken."""

MAX_OPEN = 64
"""Stored windows whose report is not taken; the oldest are dropped."""


@dataclasses.dataclass(frozen=True)
class Report:
    """Usage report of one window.

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
        holder_state: The current holder.
        before: Instance of the previous holder; empty if there was none.
        reports: Committed reports, by window.
    """

    def __init__(self):
        self.holder_state = orders_machine.HolderState()
        self.before = ids.InstanceId("")
        self.reports: dict[int, Report] = {}

    def take(self, instance: ids.InstanceId) -> orders_machine.Holder:
        """Makes a control process the holder, under a new token."""
        if self.holder_state.holder.instance != instance:
            self.before = self.holder_state.holder.instance
        return self.holder_state.take(instance)

    def renew(self, holder: orders_machine.Holder) -> bool:
        """Returns whether this is still the holder."""
        return self.holder_state.renew(holder)

    def commit(
        self,
        window: int,
        counts: dict[ids.WorkspaceId, int],
        holder: orders_machine.Holder,
    ) -> Report | None:
        """Commits the report of a window, unless one is committed already.

        Returns:
            The committed report of the window; None if the caller is no longer
            the holder, or if the window is too old to be stored.
        """
        committed = self.reports.get(window)
        if committed is not None:
            return committed
        if not self.renew(holder) or window < self._oldest():
            return None
        report = Report(dict(counts), holder.fencing)
        # Replaced, not changed: other threads may be reading it.
        self.reports = {**self.reports, window: report}
        self._trim()
        return report

    def settle(self, window: int) -> None:
        """Records that the platform has taken a report."""
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
        return 0 if newest is None else newest - MAX_OPEN

    def _trim(self) -> None:
        oldest = self._oldest()
        settled = sorted(w for w, r in self.reports.items() if r.taken)
        dropped = set(settled[:-MAX_SETTLED])
        self.reports = {
            window: report
            for window, report in self.reports.items()
            if window >= oldest and window not in dropped
        }

    def to_json(self) -> dict:
        """Returns the state as plain JSON values, for a snapshot."""
        return {
            "holder": self.holder_state.to_json(),
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
        state.holder_state = orders_machine.HolderState.from_json(raw["holder"])
        state.before = ids.InstanceId(raw["before"])
        for item in raw["reports"]:
            counts = {
                ids.WorkspaceId(name): count
                for name, count in item["counts"].items()
            }
            report = Report(counts, item["fencing"], item["taken"])
            state.reports[item["window"]] = report
        return state
