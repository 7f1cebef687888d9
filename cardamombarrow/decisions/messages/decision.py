"""The decisions on a request."""

import dataclasses

from cardamombarrow.decisions.messages import endpoints
from cardamombarrow.decisions.messages import waits
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["Decision", "Fetch", "Placement", "Preemption", "Refusal"]


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
    speed: endpoints.EndpointSpeed | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Answer this request now with an error; it has not run.

    Attributes:
        less_urgent_running: Running requests of its service whose class is of a
            lower tier, as far as the deciding instance placed them.
        check: The check that refused it.
        less_urgent_start_age_s: Time since the last less urgent request of its
            service was placed, in seconds; None if none was.
        wait: The state in which it waited; None if it was refused on arrival.
    """

    request_id: ids.RequestId
    kind: errors.ErrorKind
    detail: str
    retry_after_s: float | None
    less_urgent_running: int = 0
    check: errors.RefusalCheck = errors.RefusalCheck.UNKNOWN
    less_urgent_start_age_s: float | None = None
    wait: waits.WaitState | None = None


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
