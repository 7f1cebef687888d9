"""Jobs on endpoints, how they end, and the use of retries."""

import dataclasses
import enum

from cardamombarrow.decisions.messages import jobs
from cardamombarrow.kernel import ids

__all__ = ["Outcome", "RetryUse", "Running"]


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


@dataclasses.dataclass(slots=True)
class Running:
    """A job on an endpoint.

    Attributes:
        first_token_s: When its first token arrived, or None.
        tokens: Tokens relayed so far.
        preempted: Whether it has been preempted and has not ended yet.
    """

    job: jobs.Job
    endpoint: ids.EndpointId
    placed_s: float
    first_token_s: float | None = None
    tokens: int = 0
    preempted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUse:
    """How much of its part of a bound on retries an instance has used.

    Attributes:
        spent: Retries to the service in the present window.
        allowed: Retries that the instance may send in it.
    """

    spent: int
    allowed: float
