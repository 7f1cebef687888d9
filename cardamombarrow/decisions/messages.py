"""Typed messages into and out of the decisions."""

import dataclasses
import enum

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "Backlog",
    "Decision",
    "Fetch",
    "Job",
    "KeptNews",
    "KnownEndpoint",
    "LoadReport",
    "OthersLoad",
    "Outcome",
    "PeerDemand",
    "Placement",
    "Preemption",
    "PromptPart",
    "RateLimit",
    "Refusal",
    "Running",
]


class Outcome(enum.Enum):
    """How a placed request ended."""

    DONE = "done"
    CALLER_GONE = "caller_gone"
    NOT_STARTED = "not_started"
    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    FAILED = "failed"
    CRASHED = "crashed"
    STALLED = "stalled"
    CONNECTION_SILENT = "connection_silent"
    PREEMPTED = "preempted"
    FAILURE_ANSWERED = "failure_answered"

    @property
    def not_run(self) -> bool:
        """Whether the endpoint certainly did not run the request."""
        return self in (Outcome.NOT_STARTED, Outcome.REFUSED_BY_ENDPOINT)


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        part: Its id; equal parts have equal ids.
        tokens: Its length.
    """

    part: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Job:
    """One request, as the decisions see it.

    Attributes:
        rank: Rank of its tier; 0 is served first.
        arrived_s: When the entry had read it.
        target_first_token_s: The promise, from arrival.
        deadline_s: Moment after which an answer is of no use.
        prompt_tokens: Estimated from the body's size.
        max_tokens: Upper limit set by the caller; 0 is none.
        expected_tokens: The estimate that the queue and choice work with.
        prefix_key: Digest of the prompt's beginning, for cache affinity.
        parts: The prompt's parts in order, where they are told; the last one
            belongs to the request or its session.
        unread_tokens: Prompt tokens that its endpoint is expected to read,
            because they are not in its cache; set when it is placed.
        fingerprint: Digest of model and body, for the quarantine.
        repeatable: False where the request may run at most once.
        attempts: How often it has been placed so far.
        tried: Endpoints that failed it.
        may_have_run: Whether an earlier attempt may have run.
        runs: Attempts that may have run.
        max_runs: Most endpoints that may run it; 0 leaves it to the policy.
        streams: Whether tokens come one by one; otherwise the first byte of
            the answer comes with its last.
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
    may_have_run: bool = False
    runs: int = 0
    max_runs: int = 0
    streams: bool = True


@dataclasses.dataclass(slots=True)
class Running:
    """A job on an endpoint.

    Attributes:
        first_token_s: When its first token came, or None.
        tokens: Tokens relayed so far.
        preempted: Whether it was told to give way and has not ended yet.
    """

    job: Job
    endpoint: ids.EndpointId
    placed_s: float
    first_token_s: float | None = None
    tokens: int = 0
    preempted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint said of itself, some time ago.

    Attributes:
        measured_at_s: When it was read, on this instance's clock. What
            happened since is not in it.
    """

    running: int
    waiting: int
    cache_used_share: float
    leaving: bool
    measured_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What an answer said of the request rate that its endpoint takes.

    Attributes:
        per_s: Requests a second from all instances together; None where the
            endpoint states no limit.
        heard_s: When the answer came, on this instance's clock.
    """

    per_s: float | None
    heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint that discovery has found.

    Attributes:
        slots: Most requests it runs at once; 0 leaves it to the document.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """What another instance of the domain asks for, from gossip.

    Attributes:
        demand_tokens_per_s: Arriving work by service.
        in_flight: Requests it has on each endpoint.
        seen_at_s: When it was heard, on this instance's clock.
    """

    instance: ids.InstanceId
    demand_tokens_per_s: dict[ids.ServiceId, float]
    in_flight: dict[ids.EndpointId, int]
    seen_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OthersLoad:
    """What another instance that decides for a domain has on an endpoint.

    Attributes:
        ranks: The rank of each request.
        unread: Those of them that have had no first event.
        unread_tokens: Prompt tokens that these are expected to have read.
        seen_at_s: When it was heard, on this instance's clock.
    """

    ranks: tuple[int, ...]
    unread: int
    unread_tokens: float
    seen_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What stands before one job.

    Attributes:
        jobs_ahead: Queued jobs that would be served before it.
        slots: Slots that its service's endpoints give this instance.
        service_s: Mean time one job holds a slot.
        predicted_wait_s: Expected time in the queue.
        first_token_s: Mean time from placement to the first token.
        tier_waiting: Queued jobs of its tier, itself not counted.
        oldest_wait_s: How long the oldest job of its tier has waited.
        returning_s: Time to serve those of its tier that were refused and
            told to come back, less those that had time to be served since.
        limit_wait_s: Part of the predicted wait for which rate limits that
            all endpoints state hold it up; infinity where none is spent here.
        lower_over_reserve: Whether a lower tier runs more than its reserved
            share of these slots.
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
    lower_over_reserve: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class KeptNews:
    """Parts of prompts that an engine has read, told to other instances.

    Attributes:
        parts: Their keys; see `kept.part_key`.
        age_s: Greatest time since one of them was read or used.
    """

    endpoint: ids.EndpointId
    parts: tuple[int, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Have the engine fetch a prompt's beginning from another one.

    Attributes:
        source: The engine that should keep it.
        tokens: How many it should keep beyond the engine's own; 0 where the
            source is only where others would have sent it first.
        age_s: How long ago the source was known to use it; None if never.
    """

    source: ids.EndpointId
    tokens: int
    age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Send this request to this endpoint now.

    Attributes:
        candidates: Endpoints that were weighed.
        reason: Why this one, for the log.
        report_age_s: Age of the endpoint's load report; None without one.
        fetch: Where the endpoint gets the prompt's beginning from; None where
            it reads what it does not keep.
        limit_per_s: Rate limit that the endpoint states; None without one.
        limit_age_s: How long ago an answer said so; None without one.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer this request now with an error; it has not run."""

    request_id: ids.RequestId
    kind: errors.ErrorKind
    detail: str
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """Cancel this running request to make room.

    Attributes:
        requeue: Whether it waits for another run; otherwise it is answered
            with `ErrorKind.PREEMPTED`.
    """

    request_id: ids.RequestId
    endpoint: ids.EndpointId
    wasted_tokens: int
    requeue: bool
    reason: str


Decision = Placement | Refusal | Preemption
