"""The slots of the decisions: one abstract base class each.

A policy is built from a `context.PolicyContext`, registers itself with
``registry.plugin(<slot>, <name>)`` and is chosen by name in ``[policies]`` of
the document. All methods are called under the dispatcher's lock.
"""

import abc
from collections import abc as collections_abc

from cardamombarrow.decisions import capacity as capacity_module
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "Admission",
    "Choice",
    "Estimate",
    "Limits",
    "Policy",
    "PreemptionPolicy",
    "Quarantine",
    "Queue",
    "Retry",
    "Room",
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
        """Takes a newer document; what was learned is kept."""
        self.document = document


class Room(abc.ABC):
    """Where a queued job could run right now."""

    @abc.abstractmethod
    def candidates(
        self, job: messages.Job
    ) -> list[endpoint_module.EndpointState]:
        """Returns endpoints with a slot that the job may take."""

    def services(self) -> collections_abc.Iterable[ids.ServiceId] | None:
        """Returns the services where something changed; None is all."""
        return None

    def capacity(self, service: ids.ServiceId) -> capacity_module.Capacity:
        """Returns this instance's slots of a service and who holds them."""
        raise NotImplementedError


class Queue(Policy):
    """Whom to serve next."""

    @abc.abstractmethod
    def push(self, job: messages.Job, now_s: float) -> None:
        """Adds a job."""

    @abc.abstractmethod
    def remove(self, request_id: ids.RequestId) -> messages.Job | None:
        """Takes a job out without serving it."""

    @abc.abstractmethod
    def take(self, room: Room, now_s: float) -> messages.Job | None:
        """Takes out the next job for which there is room, or None."""

    @abc.abstractmethod
    def jobs(self) -> collections_abc.Iterable[messages.Job]:
        """Iterates over all queued jobs."""

    @abc.abstractmethod
    def jobs_ahead(self, job: messages.Job) -> int:
        """Counts queued jobs of its service to be served before it."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Counts all queued jobs."""

    def work_ahead_s(
        self, job: messages.Job, capacity: capacity_module.Capacity
    ) -> float:
        """Returns the slot-seconds of the queued jobs before it."""
        return self.jobs_ahead(job) * capacity.mean_hold_s()

    def tier_waiting(self, job: messages.Job) -> int:
        """Counts the other queued jobs of a job's tier and service."""
        return self.jobs_ahead(job)

    def oldest_wait_s(self, job: messages.Job, now_s: float) -> float:
        """Returns how long the next job of the same tier has waited."""
        return 0.0

    def waiting_ranks(
        self, service: ids.ServiceId
    ) -> collections_abc.Iterable[int]:
        """Returns the ranks with queued jobs, where tiers are told apart."""
        return ()

    def leaders(
        self, service: ids.ServiceId
    ) -> collections_abc.Iterable[messages.Job]:
        """Returns some jobs of the highest waiting tier, the next first.

        A queue that does not tell tiers apart returns none: nothing is
        preempted for its jobs.
        """
        return ()

    def evict(self, job: messages.Job) -> messages.Job | None:
        """Takes out the job of a lower tier that should make room for it."""
        return None

    def settle(self, job: messages.Job, tokens: int) -> None:
        """Learns the true length of a served job."""


class Admission(Policy):
    """Who waits and who is refused."""

    @abc.abstractmethod
    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why an arriving job is refused, or None to let it wait."""

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why a waiting job is given up, or None to let it wait."""
        return "deadline passed" if now_s >= job.deadline_s else None

    def look_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns when `give_up` has to be asked about it next."""
        return job.deadline_s

    def waiting_bound(self) -> int:
        """Returns the most requests that may wait in one instance."""
        return UNBOUNDED


class Limits(Policy):
    """How many requests an endpoint takes at once."""

    @abc.abstractmethod
    def limit(self, state: endpoint_module.EndpointState, now_s: float) -> int:
        """Returns the limit for all instances together."""

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns from a first token."""

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Learns from an end."""


class Choice(Policy):
    """Where a job is sent.

    Attributes:
        displaces: Whether an endpoint whose places are taken may be handed a
            more urgent job, because it puts back a less urgent one by itself.
    """

    displaces = False

    def consider(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> None:
        """Takes all endpoints of a job's service, before `available`."""

    def patience_s(self, job: messages.Job) -> float | None:
        """Returns after which wait `available` judges a job otherwise."""
        return None

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Tells whether an endpoint with a free slot may get the job."""
        return True

    @abc.abstractmethod
    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns one of the candidates (at least one) and why."""

    def placed_elsewhere(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Learns that another instance decided where a job goes."""

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the chosen endpoint gets the prompt's beginning."""
        return None

    def take_news(self, now_s: float) -> list[messages.KeptNews]:
        """Returns what the other instances should know of engines' caches."""
        return []

    def hear(
        self, news: collections_abc.Iterable[messages.KeptNews], now_s: float
    ) -> None:
        """Takes what other instances know of engines' caches."""

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns from a first token."""

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Learns from an end."""


class Shares(Policy):
    """How the instances of a domain split an endpoint's slots."""

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
    """When a failed request is run again, and when a caller comes back."""

    @abc.abstractmethod
    def may_retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
    ) -> bool:
        """Tells whether a request that failed undelivered is queued again."""

    @abc.abstractmethod
    def retry_after_s(self, backlog: messages.Backlog) -> float:
        """Returns when a refused caller should come back."""

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns how long a job that may run again is held first."""
        return 0.0

    def on_finish(self, job: messages.Job, outcome: messages.Outcome) -> None:
        """Learns from an end."""

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Tells whether a run that is given up now could be run again."""
        return False

    def on_arrival(self, job: messages.Job, now_s: float) -> None:
        """Learns that a request came."""


class Quarantine(Policy):
    """Which requests are kept from endpoints because they crash them."""

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
        """Learns that an endpoint died while these jobs ran on it."""

    def solo(self, job: messages.Job, now_s: float) -> bool:
        """Tells whether a job may only run alone on an endpoint."""
        return False

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Learns from an end."""

    def marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and seconds left, for gossip."""
        return {}

    def merge(self, marks: dict[ids.Fingerprint, float], now_s: float) -> None:
        """Takes fingerprints that another instance quarantined."""


class Spill(Policy):
    """When a job may leave its failure domain.

    Attributes:
        joins_domains: Whether endpoints of other domains are weighed beside
            those of the own one, by what they cost, and not only where the
            own domain has no room.
        crosses_domains: Whether a job may leave the own domain at all.
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
        """Tells whether the job may go to an endpoint of another domain."""

    def on_place(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Learns that a job went to another domain."""


class PreemptionPolicy(Policy):
    """Which running request gives way to a waiting one."""

    def danger_s(self, job: messages.Job) -> float | None:
        """Returns when a job that still waits may need a victim, or None."""
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
            job: A waiting job for which there is no room.
            states: The endpoints of its service and domain.
            now_s: The time.
        """

    def on_finish(
        self, running: messages.Running, outcome: messages.Outcome
    ) -> None:
        """Learns from an end."""


class Estimate(Policy):
    """How long an answer will be."""

    @abc.abstractmethod
    def expected_tokens(self, job: messages.Job) -> float:
        """Returns the estimated length of the answer."""

    @abc.abstractmethod
    def learn(self, job: messages.Job, tokens: int) -> None:
        """Learns the length of a finished answer."""
