"""Input and output messages of the scheduling decisions."""

import bisect
import dataclasses
import enum

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "NO_STATEMENT",
    "Backlog",
    "CacheAnnouncement",
    "Decision",
    "EndpointSpeed",
    "EndpointStatement",
    "Fetch",
    "Job",
    "KnownEndpoint",
    "LoadReport",
    "Outcome",
    "PeerDemand",
    "PeerLoad",
    "Placement",
    "Preemption",
    "PromptPart",
    "RateLimit",
    "Refusal",
    "RejectionLimit",
    "RejectionPause",
    "RetryUse",
    "Running",
    "SuspectCounts",
    "SuspectReport",
]


class Outcome(enum.Enum):
    """How a placed request ended."""

    DONE = "done"
    CALLER_GONE = "caller_gone"
    NOT_STARTED = "not_started"
    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    WITHHELD = "withheld"
    FAILED = "failed"
    CRASHED = "crashed"
    STALLED = "stalled"
    CONNECTION_SILENT = "connection_silent"
    PREEMPTED = "preempted"
    FAILURE_ANSWERED = "failure_answered"

    @property
    def not_run(self) -> bool:
        """Whether the endpoint certainly did not run the request."""
        return self in (
            Outcome.NOT_STARTED,
            Outcome.REFUSED_BY_ENDPOINT,
            Outcome.WITHHELD,
        )

    @property
    def not_received(self) -> bool:
        """Whether the request certainly did not arrive at the endpoint."""
        return self in (Outcome.NOT_STARTED, Outcome.WITHHELD)

    @property
    def says_nothing(self) -> bool:
        """Whether it says nothing about the endpoint."""
        return self in (Outcome.PREEMPTED, Outcome.WITHHELD)


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        part: Its id; equal parts have equal ids.
        tokens: Its length in tokens.
    """

    part: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Job:
    """One request, as the decisions see it.

    Attributes:
        rank: Rank of its tier; 0 is served first.
        arrived_s: When the entry had read the request.
        target_first_token_s: Target time to the first token, from arrival.
        deadline_s: Time after which an answer is of no use.
        prompt_tokens: Prompt length, estimated from the size of the body.
        max_tokens: Upper limit set by the caller; 0 means none.
        expected_tokens: Estimated length of the answer.
        prefix_key: Digest of the prompt's prefix, for cache affinity.
        parts: The parts of the prompt in order, if they are known; the last
            one belongs to the request or its session.
        unread_tokens: Prompt tokens that are not in the endpoint's cache and
            that it is expected to read; set when the job is placed.
        fingerprint: Digest that all repeats of the request have in common,
            for the quarantine.
        repeatable: False if the request may run at most once.
        attempts: How often the job has been placed so far.
        tried: Endpoints on which it failed.
        received: Whether an endpoint may have received an earlier attempt.
        may_have_run: Whether an earlier attempt may have run.
        runs: Number of attempts that may have run.
        max_runs: Maximum number of endpoints that may run it; 0 leaves it to
            the policy.
        first_token_s: When the first token of the present run arrived; None
            before that.
        streams: Whether tokens arrive one by one; otherwise the first byte
            of the answer arrives with its last.
        required_software: The only software version that may run it: the one
            that wrote the stream's first event. None for any.
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceId
    class_id: ids.ClassId
    service: ids.ServiceId
    model: ids.ModelId
    rank: int
    arrived_s: float
    target_first_token_s: float
    deadline_s: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: float = 0.0
    prefix_key: str = ""
    parts: tuple[PromptPart, ...] = ()
    unread_tokens: float = 0.0
    fingerprint: ids.Fingerprint | None = None
    repeatable: bool = True
    resumable: bool = False
    attempts: int = 0
    tried: tuple[ids.EndpointId, ...] = ()
    received: bool = False
    may_have_run: bool = False
    runs: int = 0
    max_runs: int = 0
    first_token_s: float | None = None
    streams: bool = True
    required_software: ids.SoftwareVersion | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of its prompt that other requests may share."""
        return self.parts[:-1]

    def may_run_on(self, software: ids.SoftwareVersion) -> bool:
        """Returns whether a software version may run it."""
        return self.required_software in (None, software)


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """An instance's observation of requests that may crash endpoints.

    Attributes:
        instance: The instance that made the observation.
        number: Random; identifies the observation among the instance's.
        fingerprints: The requests.
        endpoint: The endpoint that crashed while they ran on it; None if they
            completed.
        seen_s: Local time of the observation.
        parts: The shared parts of the prompt of each request, in the order of
            `fingerprints`; none for requests whose answers had begun.
        answered: Parts of prompts whose answers have begun.
    """

    instance: ids.InstanceId
    number: int
    fingerprints: tuple[ids.Fingerprint, ...]
    endpoint: ids.EndpointId | None
    seen_s: float
    parts: tuple[tuple[ids.PartKey, ...], ...] = ()
    answered: tuple[ids.PartKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCounts:
    """What may crash endpoints, or does.

    Attributes:
        requests: Requests that have to run alone.
        quarantined_requests: Requests that are refused.
        parts: Parts of prompts that are accused of several crashes.
        quarantined_parts: Parts, or sets of parts, that are refused.
    """

    requests: int = 0
    quarantined_requests: int = 0
    parts: int = 0
    quarantined_parts: int = 0


@dataclasses.dataclass(slots=True)
class Running:
    """A job on an endpoint.

    Attributes:
        first_token_s: When its first token arrived, or None.
        tokens: Tokens relayed so far.
        preempted: Whether it has been preempted and has not ended yet.
    """

    job: Job
    endpoint: ids.EndpointId
    placed_s: float
    first_token_s: float | None = None
    tokens: int = 0
    preempted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's report of its own load.

    Attributes:
        measured_at_s: When it was read, on this instance's clock; later
            changes of the load are not included.
        work_time_factor: How long work takes on its machine at the moment, as
            a multiple of the usual time; None if not reported.
    """

    running: int
    waiting: int
    cache_used_share: float
    leaving: bool
    measured_at_s: float
    work_time_factor: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The rate limit that an endpoint stated in an answer.

    Attributes:
        per_s: Requests per second from all instances together; None if the
            endpoint states no limit.
        received_s: When the answer arrived, on this instance's clock.
    """

    per_s: float | None
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RejectionLimit:
    """How many requests an endpoint may reject for want of room.

    Attributes:
        per_s: Rejections per second, over all callers, above which the endpoint
            falls over; None if it states no limit.
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RejectionPause:
    """A pause of an endpoint that has rejected a request.

    Attributes:
        until_s: Local time at which it ends.
        limit_per_s: The endpoint's limit on rejections per second.
    """

    until_s: float
    limit_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStatement:
    """What an answer states about its endpoint.

    Attributes:
        load: Its load; None if not stated.
        rate_limit: Its rate limit, or that it has none; None if the answer
            can't be read, so that an earlier limit stays in force.
        pause_s: Time for which this instance should send it nothing, in
            seconds; 0 for none.
        leaving: Whether it is about to stop.
        rejection_limit: How many requests it may reject; None if the answer
            can't be read, so that an earlier limit stays in force.
        rejected: Whether it rejects the request for want of room.
        invalid_fields: Names of the header fields that can't be parsed.
    """

    load: LoadReport | None = None
    rate_limit: RateLimit | None = None
    pause_s: float = 0.0
    leaving: bool = False
    rejection_limit: RejectionLimit | None = None
    rejected: bool = False
    invalid_fields: tuple[str, ...] = ()


NO_STATEMENT = EndpointStatement()
"""Of an answer that says nothing about the endpoint it was requested from."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint that discovery has found.

    Attributes:
        slots: Maximum concurrent requests; 0 leaves it to the document.
        software: Version of its software; empty if unknown.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    slots: int = 0
    software: ids.SoftwareVersion = ids.UNKNOWN_SOFTWARE


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """The demand of another instance of the domain, from gossip.

    Attributes:
        demand_tokens_per_s: Arriving work by service.
        in_flight: Requests of that instance by endpoint.
        seen_at_s: When it was received, on this instance's clock.
    """

    instance: ids.InstanceId
    demand_tokens_per_s: dict[ids.ServiceId, float]
    in_flight: dict[ids.EndpointId, int]
    seen_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """The requests of another deciding instance on an endpoint.

    Attributes:
        ranks: The rank of each request, in ascending order.
        unread: Number of these requests without a first event.
        unread_tokens: Prompt tokens that the endpoint is expected to read for
            the requests without a first event.
        seen_at_s: When it was received, on this instance's clock.
    """

    ranks: tuple[int, ...]
    unread: int
    unread_tokens: float
    seen_at_s: float

    def count_up_to(self, last_rank: int) -> int:
        """Counts the requests up to a rank."""
        return bisect.bisect_right(self.ranks, last_rank)


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """The work ahead of one job.

    Attributes:
        jobs_ahead: Queued jobs that would be served before it.
        slots: This instance's slots on the endpoints of its service.
        service_s: Mean time that a job holds a slot.
        predicted_wait_s: Expected time in the queue.
        first_token_s: Mean time from placement to the first token.
        tier_waiting: Other queued jobs of its tier.
        oldest_wait_s: Wait of the oldest job of its tier.
        returning_s: Time to serve the refused jobs of its tier that are
            expected to come back, less those that could be served since.
        limit_wait_s: Part of the predicted wait that is due to rate limits
            of all endpoints; infinite if another instance spends them all.
        pause_wait_s: Part of the predicted wait that is due to pauses of all
            endpoints.
        lower_over_reserve: Whether a lower tier runs more than its reserved
            share of these slots.
        prefill_wait_s: Part of the predicted wait that is due to the prefill
            ahead; None where the overload controls are not enabled.
        lower_waiting: Whether more than one job of a lower tier waits.
        is_late: Whether the job can no longer meet its target; only predicted
            where the overload controls are enabled.
    """

    jobs_ahead: int
    slots: int
    service_s: float
    predicted_wait_s: float
    first_token_s: float = 0.0
    tier_waiting: int = 0
    oldest_wait_s: float = 0.0
    returning_s: float = 0.0
    limit_wait_s: float = 0.0
    pause_wait_s: float = 0.0
    lower_over_reserve: bool = False
    prefill_wait_s: float | None = None
    lower_waiting: bool = False
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUse:
    """How much of its part of a bound on retries an instance has used.

    Attributes:
        spent: Retries to the service in the present window.
        allowed: Retries that the instance may send in it.
    """

    spent: int
    allowed: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheAnnouncement:
    """Prompt parts that an engine has cached, sent to other instances.

    Attributes:
        parts: Keys of the parts in the cache directory.
        age_s: Longest time since one of them was read or used.
    """

    endpoint: ids.EndpointId
    parts: tuple[int, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Instructs an engine to fetch a prompt's prefix from another engine.

    Attributes:
        source: The engine that is expected to have the prefix cached.
        tokens: Tokens expected in its cache beyond those of the fetching
            engine; 0 if the source is only the endpoint to which other
            instances would have sent the prompt first.
        age_s: Time since the source was known to use it; None if never.
    """

    source: ids.EndpointId
    tokens: int
    age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSpeed:
    """Speed of an endpoint, as used for a placement.

    Attributes:
        factor: Factor on the prefill time of its service.
        report_age_s: Age of its reported work time; None without one.
    """

    factor: float
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Send this request to this endpoint now.

    Attributes:
        candidates: Endpoints that were compared.
        reason: Why this endpoint was chosen, for the log.
        report_age_s: Age of the endpoint's load report; None without one.
        fetch: Where the endpoint fetches the prompt's prefix from; None if it
            reads all that is not in its cache.
        limit_per_s: Rate limit that the endpoint states; None without one.
        limit_age_s: Time since an answer stated it; None without one.
        paused: Endpoints that were left out because of a pause.
        speed: Speed of the endpoint; None where speeds are not learned.
    """

    request_id: ids.RequestId
    endpoint: ids.EndpointId
    wait_s: float
    candidates: tuple[ids.EndpointId, ...]
    reason: str
    report_age_s: float | None = None
    fetch: Fetch | None = None
    limit_per_s: float | None = None
    limit_age_s: float | None = None
    paused: tuple[ids.EndpointId, ...] = ()
    speed: EndpointSpeed | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer this request now with an error; it has not run.

    Attributes:
        less_urgent_running: Running requests of its service whose class is of a
            lower tier, as far as the deciding instance placed them.
        check: The check that refused it.
        less_urgent_start_age_s: Time since the last less urgent request of its
            service was placed, in seconds; None if none was.
    """

    request_id: ids.RequestId
    kind: errors.ErrorKind
    detail: str
    retry_after_s: float | None
    less_urgent_running: int = 0
    check: errors.RefusalCheck = errors.RefusalCheck.UNKNOWN
    less_urgent_start_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """Cancel this running request to free its slot.

    Attributes:
        requeue: Whether it is queued again; otherwise it is answered with
            `ErrorKind.PREEMPTED`.
    """

    request_id: ids.RequestId
    endpoint: ids.EndpointId
    wasted_tokens: int
    requeue: bool
    reason: str


Decision = Placement | Refusal | Preemption
