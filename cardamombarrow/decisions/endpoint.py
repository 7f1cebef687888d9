"""What one instance knows of one endpoint."""

import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["EndpointState"]


@dataclasses.dataclass(slots=True)
class EndpointState:
    """An endpoint as one instance sees it.

    Attributes:
        configured_slots: Most requests it runs at once, from the document.
        leaving: It gets no new work.
        running: This instance's requests on it.
        share: Slots of it that this instance may use now.
        report: Its last load report, or None.
        others: What other deciding instances have on it, by instance.
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
    report: messages.LoadReport | None = None
    others: dict[ids.InstanceId, messages.PeerLoad] = dataclasses.field(
        default_factory=dict
    )

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

    def held_against(self, rank: int) -> int:
        """Counts the requests on it that one of a rank finds in its way.

        An endpoint puts back the less urgent ones where all its places are
        taken.
        """
        own = sum(run.job.rank <= rank for run in self.running.values())
        others = sum(
            other <= rank
            for load in self.others.values()
            for other in load.ranks
        )
        return own + others

    @property
    def known_running(self) -> int:
        """Requests on it, with those that other deciding instances told of."""
        others = sum(len(load.ranks) for load in self.others.values())
        return len(self.running) + others

    @property
    def unread(self) -> int:
        """Requests on it without a first event, others' included."""
        own = sum(run.first_token_s is None for run in self.running.values())
        return own + sum(load.unread for load in self.others.values())

    def others_reading_s(self, token_s: float, now_s: float) -> float:
        """Returns the time for which it still reads others' prompts.

        Args:
            token_s: Time to read a token.
            now_s: The time.
        """
        left_s = (
            load.unread_tokens * token_s - (now_s - load.seen_at_s)
            for load in self.others.values()
        )
        return sum(max(each_s, 0.0) for each_s in left_s)

    def own_load(self, now_s: float) -> messages.PeerLoad:
        """Returns what this instance has on it, to be told to others."""
        unread = [
            run.job.unread_tokens
            for run in self.running.values()
            if run.first_token_s is None
        ]
        return messages.PeerLoad(
            tuple(sorted(run.job.rank for run in self.running.values())),
            len(unread),
            sum(unread),
            now_s,
        )

    @property
    def expected_tokens_left(self) -> float:
        """Estimated tokens that this instance's requests still need."""
        return sum(
            max(running.job.expected_tokens - running.tokens, 1.0)
            for running in self.running.values()
        )
