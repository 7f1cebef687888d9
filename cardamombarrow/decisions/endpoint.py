"""State of one endpoint as one instance sees it."""

import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["EndpointState"]


@dataclasses.dataclass(slots=True)
class EndpointState:
    """Slots, requests and load of an endpoint.

    Attributes:
        configured_slots: Most concurrent requests, from the document.
        software: Version of its software; empty if unknown.
        leaving: Whether it gets no new requests.
        running: This instance's requests on it; changed by `add` and `remove`.
        share: Its slots that this instance may use now.
        report: Its last load report, or None.
        peer_loads: Load from other instances that place requests, by instance;
            changed by `set_peer_load`.
        unread: Requests on it without a first token, other instances'
            included.
        peer_running: Requests on it that other instances reported.
        own_unread: This instance's requests on it without a first token, in
            the order in which they were placed.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    configured_slots: int
    software: ids.SoftwareVersion = ids.UNKNOWN_SOFTWARE
    leaving: bool = False
    running: dict[ids.RequestId, messages.Running] = dataclasses.field(
        default_factory=dict
    )
    share: int = 0
    report: messages.LoadReport | None = None
    peer_loads: dict[ids.InstanceId, messages.PeerLoad] = dataclasses.field(
        default_factory=dict
    )
    unread: int = 0
    peer_running: int = 0
    own_unread: dict[ids.RequestId, messages.Running] = dataclasses.field(
        default_factory=dict
    )

    def add(self, running: messages.Running) -> None:
        """Adds a request of this instance."""
        self.running[running.job.request_id] = running
        if running.first_token_s is None:
            self.unread += 1
            self.own_unread[running.job.request_id] = running

    def set_first_token(self, running: messages.Running, now_s: float) -> None:
        """Records the first token of a request of this instance."""
        self.unread -= running.first_token_s is None
        self.own_unread.pop(running.job.request_id, None)
        running.first_token_s = now_s

    def remove(self, request_id: ids.RequestId) -> None:
        """Removes a request of this instance."""
        running = self.running.pop(request_id)
        self.own_unread.pop(request_id, None)
        self.unread -= running.first_token_s is None

    def set_peer_load(
        self, instance: ids.InstanceId, load: messages.PeerLoad | None
    ) -> bool:
        """Sets the load of another instance; None removes it.

        Returns:
            Whether the instance had a load before.
        """
        before = self.peer_loads.pop(instance, None)
        if before is not None:
            self.unread -= before.unread
            self.peer_running -= len(before.ranks)
        if load is not None:
            self.peer_loads[instance] = load
            self.unread += load.unread
            self.peer_running += len(load.ranks)
        return before is not None

    @property
    def free_slots(self) -> int:
        """Free slots in this instance's share."""
        return self.share - len(self.running)

    @property
    def in_flight(self) -> int:
        """Requests on it: this instance's, and others' by the last report.

        The report lacks requests placed since it was measured. Own requests
        are therefore counted directly, and only the excess of the report over
        the own requests placed before it counts as other instances' load.
        """
        own = len(self.running)
        if self.report is None:
            return own
        reported = self.report.running + self.report.waiting
        measured_at_s = self.report.measured_at_s
        included = sum(
            r.placed_s < measured_at_s for r in self.running.values()
        )
        return own + max(0, reported - included)

    def count_not_preemptible(self, last_equal_rank: int) -> int:
        """Counts the requests on it that a request can't preempt.

        An endpoint whose slots are all taken preempts less urgent requests.

        Args:
            last_equal_rank: The highest rank that the endpoint gets as the
                same priority as the request's.
        """
        own = sum(
            run.job.rank <= last_equal_rank for run in self.running.values()
        )
        reported = sum(
            load.count_up_to(last_equal_rank)
            for load in self.peer_loads.values()
        )
        return own + reported

    def count_unread(self, last_equal_rank: int) -> float:
        """Counts the requests without a first token up to a rank.

        Other instances report only the number over all ranks; the part up to
        the rank is estimated by the ranks of all their requests.
        """
        own = sum(
            run.job.rank <= last_equal_rank for run in self.own_unread.values()
        )
        reported = 0.0
        for load in self.peer_loads.values():
            if load.unread and load.ranks:
                as_urgent = load.count_up_to(last_equal_rank)
                reported += load.unread * as_urgent / len(load.ranks)
        return own + reported

    @property
    def total_running(self) -> int:
        """Requests on it, with those that other instances reported."""
        return len(self.running) + self.peer_running

    def peer_prefill_s(self, token_s: float, now_s: float) -> float:
        """Returns the remaining prefill time of other instances' prompts.

        Args:
            token_s: Prefill time per token.
            now_s: Current time.
        """
        remaining_s = (
            load.unread_tokens * token_s - (now_s - load.seen_at_s)
            for load in self.peer_loads.values()
        )
        return sum(max(prefill_s, 0.0) for prefill_s in remaining_s)

    def own_load(self, now_s: float) -> messages.PeerLoad:
        """Returns this instance's load on it, to report to other instances."""
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
        """Expected remaining answer tokens of this instance's requests."""
        return sum(
            max(running.job.expected_tokens - running.tokens, 1.0)
            for running in self.running.values()
        )
