"""Abstract base classes of the policies, one for each plug-in slot.

A policy is built from a `context.PolicyContext`, registers itself with
``registry.plugin(<slot>, <name>)`` and is chosen by name in ``[policies]`` of
the document. All methods are called under the dispatcher's lock.
"""

import abc
from collections import abc as collections_abc
import math

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "Admission",
    "Choice",
    "Estimate",
    "FreeSlots",
    "Limits",
    "Policy",
    "PreemptionPolicy",
    "Quarantine",
    "Queue",
    "Retry",
    "Shares",
    "Spill",
]

UNBOUNDED = 1 << 30


class Policy(abc.ABC):
    """Base of all policies."""

    def __init__(self, context: context_module.PolicyContext):
        self.context = context
        self.document = context.document

    def configure(self, document: schema.Document) -> None:
        """Applies a newer document; the policy keeps its state."""
        self.document = document


class FreeSlots(abc.ABC):
    """The slots on which a queued job could run now."""

    @abc.abstractmethod
    def candidates(
        self, job: messages.Job
    ) -> list[endpoint_module.EndpointState]:
        """Returns endpoints with a slot that the job may take."""

    def is_late(self, job: messages.Job) -> bool:
        """Returns whether a job can no longer meet its target."""
        return False

    def orders_late_jobs(self, service: ids.ServiceId) -> bool:
        """Returns whether late jobs of a service go behind the others."""
        return False

    def services(self) -> collections_abc.Iterable[ids.ServiceId] | None:
        """Returns the services with changes; None means all services."""
        return None

    def capacity(self, service: ids.ServiceId) -> capacity_module.Capacity:
        """Returns this instance's slots of a service and their use."""
        raise NotImplementedError


class Queue(Policy):
    """Selects the job to serve next."""

    @abc.abstractmethod
    def push(self, job: messages.Job, now_s: float) -> None:
        """Adds a job."""

    @abc.abstractmethod
    def remove(self, request_id: ids.RequestId) -> messages.Job | None:
        """Removes a job without serving it."""

    @abc.abstractmethod
    def take(self, free_slots: FreeSlots, now_s: float) -> messages.Job | None:
        """Removes and returns the next job that has a free slot, or None."""

    @abc.abstractmethod
    def jobs(self) -> collections_abc.Iterable[messages.Job]:
        """Iterates over all queued jobs."""

    @abc.abstractmethod
    def jobs_ahead(self, job: messages.Job) -> int:
        """Counts queued jobs of the same service served before a job."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Counts all queued jobs."""

    def work_ahead_s(
        self, job: messages.Job, capacity: capacity_module.Capacity
    ) -> float:
        """Returns the slot-seconds of the queued jobs before a job."""
        return self.jobs_ahead(job) * capacity.mean_hold_s()

    def tier_waiting(self, job: messages.Job) -> int:
        """Counts the other queued jobs of a job's tier and service."""
        return self.jobs_ahead(job)

    def lower_waiting(self, job: messages.Job) -> int:
        """Counts the queued jobs of lower tiers than a job's."""
        return 0

    def share_ahead(self, job: messages.Job, is_late: bool) -> float:
        """Returns the share of the jobs of a job's tier that precede it.

        Args:
            job: The job, which need not be queued.
            is_late: Whether it can no longer meet its target.
        """
        return 1.0

    def oldest_wait_s(self, job: messages.Job, now_s: float) -> float:
        """Returns how long the next job of the same tier has waited."""
        return 0.0

    def waiting_ranks(
        self, service: ids.ServiceId
    ) -> collections_abc.Iterable[int]:
        """Returns the ranks with queued jobs, if the queue has tiers."""
        return ()

    def head_jobs(
        self, service: ids.ServiceId
    ) -> collections_abc.Iterable[messages.Job]:
        """Returns the first jobs of the highest waiting tier, in order.

        A queue without tiers returns none: nothing is preempted for its jobs.
        """
        return ()

    def evict(self, job: messages.Job) -> messages.Job | None:
        """Removes and returns a job of a lower tier to make space for a job."""
        return None

    def settle(self, job: messages.Job, tokens: int) -> None:
        """Accounts for the actual length of a served job."""


class Admission(Policy):
    """Decides whether a job may wait or is refused."""

    @abc.abstractmethod
    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why an arriving job is refused, or None if it may wait."""

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why a waiting job is given up, or None if it may wait."""
        return "deadline passed" if now_s >= job.deadline_s else None

    def next_check_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns when `give_up` has to be called next for a job."""
        return job.deadline_s

    def max_waiting(self) -> int:
        """Returns the maximum number of requests waiting in an instance."""
        return UNBOUNDED


class Limits(Policy):
    """Limits the concurrent requests of an endpoint."""

    @abc.abstractmethod
    def limit(self, state: endpoint_module.EndpointState, now_s: float) -> int:
        """Returns the limit over all instances."""

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Handles the first token of a request."""

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Handles the end of a request."""


class Choice(Policy):
    """Selects the endpoint of a job.

    Attributes:
        engine_preempts: Whether a full endpoint may be sent a more urgent job,
            because its engine preempts a less urgent one by itself.
    """

    engine_preempts = False

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> list[endpoint_module.EndpointState]:
        """Prepares for `available` calls on the endpoints of a service.

        Returns:
            The endpoints for which `available` may return True.
        """
        return states

    def recheck_after_s(self, job: messages.Job) -> float | None:
        """Returns the wait after which `available` may change, or None."""
        return None

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Returns whether an endpoint with a free slot may get the job."""
        return True

    @abc.abstractmethod
    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns one of the candidates (never empty) and the reason."""

    def expected_first_token_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the least time to the first token of a job placed now.

        Args:
            job: The job.
            states: The endpoints that could take it.
            now_s: Current time.
        """
        return 0.0

    def uncached_tokens(self, job: messages.Job, now_s: float) -> float:
        """Returns the prompt tokens of a job that no endpoint has cached."""
        return 0.0

    def prefill_ahead_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> float:
        """Returns the prefill at an endpoint that would precede a job."""
        return 0.0

    def prefill_tokens_per_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the prefill rate that this instance has for a job.

        Args:
            job: The job.
            states: The endpoints that could take it.
            now_s: Current time.
        """
        return math.inf

    def on_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records that another instance placed a job on an endpoint."""

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the endpoint fetches the prompt's prefix from."""
        return None

    def on_report(
        self,
        state: endpoint_module.EndpointState,
        report: messages.LoadReport,
    ) -> None:
        """Handles a load report of an endpoint."""

    def on_reachable(self, endpoint: ids.EndpointId) -> None:
        """Handles the end of a time in which no endpoint could be reached."""

    def speed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> messages.EndpointSpeed | None:
        """Returns the speed of an endpoint; None if it is not learned."""
        return None

    def count_slow_endpoints(self, now_s: float) -> int:
        """Counts the endpoints that are known to be slow."""
        return 0

    def on_endpoint_removed(self, endpoint: ids.EndpointId) -> None:
        """Handles the removal of an endpoint."""

    def take_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns changes in the engines' caches for other instances."""
        return []

    def merge_announcements(
        self,
        news: collections_abc.Iterable[messages.CacheAnnouncement],
        now_s: float,
    ) -> None:
        """Applies changes in engines' caches from other instances."""

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Handles the first token of a request."""

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Handles the end of a request."""


class Shares(Policy):
    """Splits an endpoint's slots among the instances of a domain."""

    @abc.abstractmethod
    def share(
        self,
        state: endpoint_module.EndpointState,
        limit: int,
        own: messages.PeerDemand,
        peers: collections_abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        """Returns this instance's slots out of `limit`."""


class Retry(Policy):
    """Decides on retries, and when refused callers should come back."""

    @abc.abstractmethod
    def may_retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
    ) -> bool:
        """Returns whether a request that failed undelivered is retried."""

    @abc.abstractmethod
    def retry_after_s(self, backlog: messages.Backlog) -> float:
        """Returns when a refused caller should come back."""

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns the delay before a retry."""
        return 0.0

    def on_finish(self, job: messages.Job, outcome: messages.Outcome) -> None:
        """Handles the end of a request."""

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a run that is cancelled now could be retried."""
        return False

    def on_place(self, job: messages.Job, now_s: float) -> None:
        """Handles the placement of a request."""

    def reserve(self, job: messages.Job, now_s: float) -> bool:
        """Takes the retry of a run that is to be preempted, if there is one."""
        return True

    def use(self, job: messages.Job, now_s: float) -> messages.RetryUse | None:
        """Returns what is used of the bound on retries of a job's service."""
        return None

    def on_arrival(self, job: messages.Job, now_s: float) -> None:
        """Handles the arrival of a request."""


class Quarantine(Policy):
    """Blocks requests that crash endpoints."""

    @abc.abstractmethod
    def refuse(self, job: messages.Job, now_s: float) -> str | None:
        """Returns why a job must not run, or None."""

    @abc.abstractmethod
    def on_crash(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Handles the crash of an endpoint that ran these jobs."""

    def must_run_alone(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a job may only run alone on an endpoint."""
        return False

    def retry_after_s(self, job: messages.Job, now_s: float) -> float | None:
        """Returns when a refused job may be run again; None if unknown."""
        return None

    def on_first_token(self, job: messages.Job, now_s: float) -> None:
        """Handles the first token of a request."""

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Handles the end of a request."""

    def review(self, now_s: float) -> None:
        """Revises what is blocked, as far as time alone changes it."""

    def next_review_s(self) -> float:
        """Returns when `review` has to be called; infinity for never."""
        return math.inf

    def culprits(self) -> tuple[part_evidence.Culprit, ...]:
        """Returns the parts of prompts that are quarantined."""
        return ()

    def accused_count(self, now_s: float) -> int:
        """Counts the parts of prompts that are accused of several crashes."""
        return 0

    def marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their remaining seconds."""
        return {}

    def merge(self, marks: dict[ids.Fingerprint, float], now_s: float) -> None:
        """Adds fingerprints that another instance quarantined."""

    def reports(self, now_s: float) -> list[messages.SuspectReport]:
        """Returns the observations of all instances that still count."""
        return []

    def take_own_reports(self) -> list[messages.SuspectReport]:
        """Returns the observations made here since the last call."""
        return []

    def merge_reports(
        self,
        reports: collections_abc.Iterable[messages.SuspectReport],
        now_s: float,
    ) -> None:
        """Adds observations of other instances."""

    def suspect_count(self) -> int:
        """Returns the number of requests that have to run alone."""
        return 0


class Spill(Policy):
    """Decides whether a job may leave its failure domain.

    Attributes:
        joins_domains: Whether endpoints of other domains compete with local
            ones by cost, and not only when the local domain has no free slot.
        crosses_domains: Whether a job may leave its domain at all.
    """

    joins_domains = False
    crosses_domains = True

    @abc.abstractmethod
    def allow(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        local: messages.Backlog,
        now_s: float,
    ) -> bool:
        """Returns whether a job may go to an endpoint of another domain."""

    def on_place(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records that a job was placed in another domain."""


class PreemptionPolicy(Policy):
    """Selects a running request to preempt for a waiting one."""

    def preemption_check_s(self, job: messages.Job) -> float | None:
        """Returns when a waiting job may need a preemption, or None."""
        return None

    @abc.abstractmethod
    def victim(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Running | None:
        """Returns the request to cancel for `job`, or None.

        Args:
            job: A waiting job without a free slot.
            states: The endpoints of its service and domain.
            now_s: The time.
        """

    def on_finish(
        self, running: messages.Running, outcome: messages.Outcome
    ) -> None:
        """Handles the end of a request."""


class Estimate(Policy):
    """Estimates the length of answers."""

    @abc.abstractmethod
    def expected_tokens(self, job: messages.Job) -> float:
        """Returns the estimated length of the answer."""

    @abc.abstractmethod
    def learn(self, job: messages.Job, tokens: int) -> None:
        """Updates the estimate with the length of a finished answer."""
