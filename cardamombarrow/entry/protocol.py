"""How callers say what they want, apart from the OpenAI-compatible interface.

A caller protocol translates between HTTP headers and what the router needs to
know. It decides nothing: which route, class and endpoint a request gets is
decided by the document and the decisions.
"""

import abc
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "SLOT",
    "CallFacts",
    "CallerProtocol",
    "ErrorAnswer",
    "Headers",
]

SLOT = "caller-protocol"

Headers = tuple[tuple[str, str], ...]
"""Header fields in the order in which they came."""


@dataclasses.dataclass(frozen=True)
class CallFacts:
    """What a request's headers tell.

    Attributes:
        caller_id: The caller's name for this request.
        key: The caller's key; empty where none was shown.
        limit_s: Time that the caller will wait; None where it is not told.
        forwarded: Headers that go to the endpoint unchanged.
        model: Name of the model; empty where it is not told.
        prompt_tokens: 0 where it is not told.
        most_tokens: Longest answer; 0 where it is not told.
        parts: The prompt's parts, in order.
        resume_after: Id of the last event that the caller has already.
    """

    caller_id: str
    key: str
    limit_s: float | None
    forwarded: Headers
    model: str = ""
    prompt_tokens: int = 0
    most_tokens: int = 0
    parts: tuple[messages.PromptPart, ...] = ()
    resume_after: str = ""


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """What a caller gets in place of an endpoint's answer."""

    status: int
    headers: Headers
    body: bytes


class CallerProtocol(abc.ABC):
    """A protocol of callers; registered in the slot `SLOT`."""

    @abc.abstractmethod
    def read(self, headers: Headers) -> CallFacts:
        """Reads a request's headers.

        Raises:
            errors.RefusedError: They are malformed.
        """

    @abc.abstractmethod
    def answer_headers(self, headers: dict[str, str]) -> Headers:
        """Returns which headers of an endpoint's answer the caller gets."""

    @abc.abstractmethod
    def error(
        self, error: errors.RouterError, request_id: ids.RequestId
    ) -> ErrorAnswer:
        """Returns the whole answer for an error."""
