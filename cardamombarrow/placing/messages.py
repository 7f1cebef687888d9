"""Messages between an entry and the placer of its domain."""

import dataclasses
import enum

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["Answer", "QuestionOutcome", "Queued", "Run"]


class QuestionOutcome(enum.Enum):
    """Outcome of a question to the placer.

    Attributes:
        DECIDED: The placer's decision was applied.
        LATE: No answer arrived in time.
        LOST: The connection to the placer was lost.
        NOT_TAKEN: The entry did not apply the placer's decision.
    """

    DECIDED = "decided"
    LATE = "late"
    LOST = "lost"
    NOT_TAKEN = "not_taken"


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued at the placer; its decision follows later."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The placer's decision on one request.

    Attributes:
        unread_tokens: Prompt tokens that the endpoint is expected to read; only
            set for placements.
        expected_tokens: Expected length of the answer; only set for placements.
    """

    decision: messages.Decision
    unread_tokens: float = 0.0
    expected_tokens: float = 0.0

    @property
    def request_id(self) -> ids.RequestId:
        """The request that was decided on."""
        return self.decision.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that an entry has sent to an endpoint.

    Attributes:
        placed_s: Time of its placement, on the local clock.
        begun: Whether its first event has arrived.
    """

    job: messages.Job
    endpoint: ids.EndpointId
    placed_s: float
    begun: bool = False
