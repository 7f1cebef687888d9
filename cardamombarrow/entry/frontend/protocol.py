"""Interface of caller protocols other than the OpenAI-compatible one.

A caller protocol translates between HTTP headers and the router's request
data. It makes no decisions: the document and the decision policies determine
the route, class and endpoint of a request.
"""

import abc
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "SLOT",
    "CallerProtocol",
    "ErrorAnswer",
    "Headers",
    "ParsedHeaders",
]

SLOT = "caller-protocol"

Headers = tuple[tuple[str, str], ...]
"""Header fields in the order of arrival."""


@dataclasses.dataclass(frozen=True)
class ParsedHeaders:
    """The parsed headers of a request.

    Attributes:
        caller_id: The caller's id of the request.
        key: The caller's key; empty if there is none.
        limit_s: Time that the caller will wait, in seconds; None if not given.
        forwarded: Headers that are forwarded to the endpoint unchanged.
        model: Name of the model; empty if not given.
        prompt_tokens: Length of the prompt; 0 if not given.
        most_tokens: Maximum length of the answer; 0 if not given.
        parts: The prompt's parts, in order.
        resume_after: Id of the last event that the caller already has.
        resumes: The caller's id of the request that brought the stream's first
            event; empty if not given.
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
    resumes: str = ""


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """An error answer that is sent instead of an endpoint's answer."""

    status: int
    headers: Headers
    body: bytes


class CallerProtocol(abc.ABC):
    """A protocol of callers; registered in the slot `SLOT`."""

    @abc.abstractmethod
    def read(self, headers: Headers) -> ParsedHeaders:
        """Reads a request's headers.

        Raises:
            errors.RefusedError: They are malformed.
        """

    @abc.abstractmethod
    def answer_headers(self, headers: dict[str, str]) -> Headers:
        """Returns the headers of an endpoint's answer for the caller."""

    @abc.abstractmethod
    def error(
        self, error: errors.RouterError, request_id: ids.RequestId
    ) -> ErrorAnswer:
        """Returns the complete answer for an error."""
