"""What one instance knows of one endpoint."""

import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["EndpointState"]


MOST_BORROWED = 2
"""Slots above the share; docs/decisions/endpoints.md has the figures."""


@dataclasses.dataclass(slots=True)
class EndpointState:
    """An endpoint as one instance sees it.

    Attributes:
        configured_slots: Most requests it runs at once, from the document.
        leaving: It gets no new work.
        running: This instance's requests on it.
        share: Slots of it that this instance may use now.
        limit: Slots that all instances may use together.
        others_running: Requests of the other instances on it, as they last
            told; None where one of them has not told of late.
        report: Its last load report, or None.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    configured_slots: int
    leaving: bool = False
    running: dict[ids.RequestId, messages.Running] = dataclasses.field(
        default_factory=dict
    )
    share: int = 0
    limit: int = 0
    others_running: int | None = None
    report: messages.LoadReport | None = None

    def slots_for(self, *, highest: bool) -> int:
        """Returns the slots that a job may find taken at most.

        Load pattern: an instance's few slots are all taken, and a request of
        the highest tier arrives while slots of other instances lie idle.
        Without this it waits, or a running answer gives way for it, beside
        free slots. So the highest tier may use up to `MOST_BORROWED` slots
        above the share, as far as the others leave the limit unused. Lower
        tiers keep to the share: what is told is a second old, and all
        instances would take the same idle slot at once.
        """
        if not highest or self.others_running is None:
            return self.share
        unused = self.limit - self.others_running - 2
        return max(self.share, min(unused, self.share + MOST_BORROWED))

    @property
    def free_slots(self) -> int:
        """Slots that this instance may still use."""
        return self.share - len(self.running)

    @property
    def in_flight(self) -> int:
        """Requests on it: this instance's, and others' by its last report.

        The report is late: it misses what this instance placed since, so
        those are counted from this instance's own books, and only what the
        report shows beyond its older requests is taken for others' work.
        """
        own = len(self.running)
        if self.report is None:
            return own
        reported = self.report.running + self.report.waiting
        measured_at_s = self.report.measured_at_s
        old = sum(r.placed_s < measured_at_s for r in self.running.values())
        return own + max(0, reported - old)

    @property
    def expected_tokens_left(self) -> float:
        """Estimated tokens that this instance's requests still need."""
        return sum(
            max(running.job.expected_tokens - running.tokens, 1.0)
            for running in self.running.values()
        )
