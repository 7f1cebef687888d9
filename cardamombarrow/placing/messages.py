"""What an entry and the placer of its domain tell each other."""

import dataclasses
import enum

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["Answer", "AskedOutcome", "Run", "Waits"]


class AskedOutcome(enum.Enum):
    """What became of a question to the placer."""

    DECIDED = "decided"
    LATE = "late"
    LOST = "lost"
    NOT_TAKEN = "not_taken"


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """The request waits for its turn; another answer follows."""

    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The placer's decision on one request.

    Attributes:
        unread_tokens: Prompt tokens that the endpoint is expected to read; of
            placements.
        expected_tokens: The expected length of the answer; of placements.
    """

    decision: messages.Decision
    unread_tokens: float = 0.0
    expected_tokens: float = 0.0

    @property
    def request_id(self) -> ids.RequestId:
        """The request that was asked about."""
        return self.decision.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that an entry has sent to an endpoint.

    Attributes:
        placed_s: When, on the clock of who holds this object.
        begun: Whether its first event has come.
    """

    job: messages.Job
    endpoint: ids.EndpointId
    placed_s: float
    begun: bool = False
