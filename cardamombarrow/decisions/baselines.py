"""Baseline policies, against which the others are measured."""

import collections
from collections import abc

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = [
    "BoundedAdmission",
    "FifoQueue",
    "FixedLimits",
    "ImmediateRetry",
    "MeanEstimate",
    "NeverPreempt",
    "NeverSpill",
    "NoQuarantine",
    "RoundRobinChoice",
    "StaticShares",
]

QUEUE_BOUND_JOBS = 1_000
IMMEDIATE_RETRIES = 2
FIXED_RETRY_AFTER_S = 1.0


@registry.plugin("queue", "fifo")
class FifoQueue(base.Queue):
    """Serves in order of arrival, regardless of the tier."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._jobs: dict[ids.RequestId, messages.Job] = {}
        self._by_service: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    def push(self, job: messages.Job, now_s: float) -> None:
        """Adds a job at the end."""
        self._jobs[job.request_id] = job
        self._by_service[job.service] += 1

    def remove(self, request_id: ids.RequestId) -> messages.Job | None:
        """Removes a job without serving it."""
        job = self._jobs.pop(request_id, None)
        if job is not None:
            self._by_service[job.service] -= 1
        return job

    def take(
        self, free_slots: base.FreeSlots, now_s: float
    ) -> messages.Job | None:
        """Removes the oldest job; without a free slot it blocks later ones."""
        blocked = set()
        for job in self._jobs.values():
            if job.service in blocked:
                continue
            if free_slots.candidates(job):
                return self.remove(job.request_id)
            blocked.add(job.service)
        return None

    def jobs(self) -> abc.Iterable[messages.Job]:
        """Iterates in order of arrival."""
        return self._jobs.values()

    def jobs_ahead(self, job: messages.Job) -> int:
        """Counts all queued jobs of the service."""
        return self._by_service[job.service]

    def __len__(self) -> int:
        """Counts the queued jobs."""
        return len(self._jobs)


@registry.plugin("admission", "bounded")
class BoundedAdmission(base.Admission):
    """Refuses only when the queue is at its bound."""

    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Refuses at `QUEUE_BOUND_JOBS`."""
        if backlog.jobs_ahead >= QUEUE_BOUND_JOBS:
            return f"{backlog.jobs_ahead} requests are already waiting"
        return None


@registry.plugin("limits", "fixed")
class FixedLimits(base.Limits):
    """The document's slots, regardless of load."""

    def limit(self, state: endpoint_module.EndpointState, now_s: float) -> int:
        """Returns the configured slots."""
        return state.configured_slots


@registry.plugin("choice", "round-robin")
class RoundRobinChoice(base.Choice):
    """Selects each endpoint in turn."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._turn: collections.Counter[ids.ServiceId] = collections.Counter()

    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns the next candidate in turn."""
        self._turn[job.service] += 1
        chosen = candidates[self._turn[job.service] % len(candidates)]
        return chosen, "next in turn"


@registry.plugin("shares", "static")
class StaticShares(base.Shares):
    """An equal part for every live instance, at least one slot."""

    def share(
        self,
        state: endpoint_module.EndpointState,
        limit: int,
        own: messages.PeerDemand,
        peers: abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        """Returns `limit` over the number of instances."""
        return max(1, limit // (len(peers) + 1))


@registry.plugin("retry", "immediate")
class ImmediateRetry(base.Retry):
    """Up to two immediate retries, and a fixed retry-after time."""

    def may_retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
    ) -> bool:
        """Allows `IMMEDIATE_RETRIES` retries if the job may run twice."""
        allowed = outcome.not_run or job.repeatable
        return allowed and job.attempts <= IMMEDIATE_RETRIES

    def retry_after_s(self, backlog: messages.Backlog) -> float:
        """Returns `FIXED_RETRY_AFTER_S`."""
        return FIXED_RETRY_AFTER_S


@registry.plugin("quarantine", "none")
class NoQuarantine(base.Quarantine):
    """Never blocks a request."""

    def refuse(self, job: messages.Job, now_s: float) -> str | None:
        """Refuses nothing."""
        return None

    def on_crash(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Ignores the crash."""


@registry.plugin("spill", "never")
class NeverSpill(base.Spill):
    """Keeps every job in its own failure domain."""

    crosses_domains = False

    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Allows nothing."""
        return False


@registry.plugin("preemption", "never")
class NeverPreempt(base.PreemptionPolicy):
    """Never preempts a request."""

    def victim(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Running | None:
        """Returns None."""
        return None


@registry.plugin("estimate", "mean")
class MeanEstimate(base.Estimate):
    """The running mean of the class, starting at the document's value."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._mean: dict[ids.ClassId, float] = {}

    def expected_tokens(self, job: messages.Job) -> float:
        """Returns the mean length of the class."""
        first = self.document.classes[job.class_id].expected_tokens
        return self._mean.get(job.class_id, float(first))

    def learn(self, job: messages.Job, tokens: int) -> None:
        """Moves the mean a twentieth of the way."""
        mean = self.expected_tokens(job)
        self._mean[job.class_id] = mean + (tokens - mean) / 20
