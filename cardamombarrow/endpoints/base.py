"""What the entry asks of an endpoint, whatever its kind."""

import abc
from collections import abc as collections_abc
import dataclasses
import math
import re
import time
import typing

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = [
    "CallerWatch",
    "EndpointKind",
    "Exchange",
    "Head",
    "OutgoingCall",
    "parse_rate_limit",
]


PROBE_TIMEOUT_S = 1.0
"""An endpoint that answers a probe within this is alive."""

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?")


class CallerWatch(abc.ABC):
    """Tells whether the caller is still there."""

    @abc.abstractmethod
    def fileno(self) -> int:
        """Returns the caller's socket, to be polled beside the endpoint's."""

    @abc.abstractmethod
    def gone(self) -> bool:
        """Returns whether the caller has closed the connection."""


@dataclasses.dataclass(frozen=True)
class OutgoingCall:
    """One request to one endpoint.

    Attributes:
        deadline_s: Moment on the monotonic clock when the answer must end.
        stall_limit_s: Longest silence within the answer.
        rank: The tier's rank, for engines that honour priorities.
        first_byte_limit_s: Longest wait for the head of the answer, while
            `may_redo` says that the request can be sent elsewhere.
        may_redo: Tells whether it can.
        resume_tokens: Tokens that the caller has already; the answer is to
            go on after them.
        resume_after: Id of the last event that the caller has already; empty
            for none.
        caller_id: The caller's own name for the request; empty for none.
        workspace: Whose request it is; empty for anybody's.
        headers: What the caller sent that concerns the endpoint, unchanged.
        repeatable: Whether it may run twice.
        fetch_from: Engine that the endpoint fetches the prompt's beginning
            from, where it can; None for none.
    """

    request_id: ids.RequestId
    endpoint: ids.EndpointId
    method: str
    path: str
    body: bytes
    content_type: str
    rank: int
    deadline_s: float
    stall_limit_s: float
    caller: CallerWatch
    cancelled: typing.Callable[[], bool]
    first_byte_limit_s: float = math.inf
    may_redo: typing.Callable[[], bool] = lambda: False
    resume_tokens: int = 0
    resume_after: str = ""
    caller_id: str = ""
    workspace: ids.WorkspaceId = schema.ANONYMOUS_WORKSPACE
    headers: tuple[tuple[str, str], ...] = ()
    repeatable: bool = False
    fetch_from: ids.EndpointId | None = None


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    reason: str = ""

    @property
    def streams(self) -> bool:
        """Whether server-sent events follow."""
        return self.headers.get("content-type", "").startswith(
            "text/event-stream"
        )


class Exchange(abc.ABC):
    """A request under way. Used by one thread, closed in every case."""

    @abc.abstractmethod
    def head(self) -> Head:
        """Waits for status and headers.

        Raises:
            errors.EndpointError: The endpoint failed or could not be reached.
            errors.RefusedError: The caller left or the run was cancelled.
        """

    @abc.abstractmethod
    def chunks(self) -> collections_abc.Iterator[bytes]:
        """Yields the body as it comes; ends only after the whole of it.

        Raises:
            errors.EndpointError: The answer broke off, stalled or ran late.
            errors.RefusedError: The caller left or the run was cancelled.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Tells that the answer is whole and was believed.

        Its connection may then serve another request; without this call it is
        closed with the exchange.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the exchange; one that has not finished is cancelled."""


def parse_rate_limit(text: str | None) -> messages.RateLimit | None:
    """Reads the field of an answer that states a rate limit.

    Args:
        text: Its value, requests a second as a decimal number; None where the
            answer has no such field, which ends an earlier limit.

    Returns:
        None where the value can't be read: what was stated before holds.
    """
    now_s = time.monotonic()
    if text is None:
        return messages.RateLimit(None, now_s)
    if _DECIMAL.fullmatch(text.strip()) is None:
        logs.event("rate limit not read", "WARNING", text=text[:32])
        return None
    return messages.RateLimit(float(text), now_s)


class EndpointKind(abc.ABC):
    """A kind of endpoint; registered in the slot ``endpoint-kind``.

    Attributes:
        polled: Whether its load is asked for at intervals. Where the answers
            themselves tell the load, nothing is asked.
        relays_failures: Whether its own failure answers go to the caller when
            the request can't be redone.
    """

    polled = True
    relays_failures = False

    @abc.abstractmethod
    def open(self, call: OutgoingCall) -> Exchange:
        """Prepares a request; nothing is sent before `Exchange.head`."""

    @abc.abstractmethod
    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Reads the endpoint's load, or None where it reports none.

        Raises:
            errors.EndpointError: It could not be read.
        """

    def probe(self, endpoint: ids.EndpointId) -> bool:
        """Asks over a new connection whether the endpoint still answers.

        A connection can go silent for good while new ones work. Then the
        endpoint is not to blame, and others' requests on it go on.
        """
        url = f"http://{ids.address_of(endpoint)}/metrics"
        try:
            http_get.fetch(url, timeout_s=PROBE_TIMEOUT_S)
        except errors.EndpointError:
            return False
        return True

    def check(self, head: Head, call: OutgoingCall) -> None:  # noqa: B027
        """Refuses an answer that does not belong to the request.

        Raises:
            errors.EndpointError: It is another request's, or damaged.
        """

    def load_in(self, head: Head) -> messages.LoadReport | None:
        """Reads the load that an answer tells of its endpoint, if it does."""
        return None

    def rate_limit_in(
        self, head: Head, call: OutgoingCall
    ) -> messages.RateLimit | None:
        """Reads the rate limit that an answer states for its endpoint.

        It stands in ``X-Rate-Limit``, unless a kind says it otherwise.

        Returns:
            None where the answer tells nothing about its endpoint, because
            another one gave it or it can't be read.
        """
        return parse_rate_limit(head.headers.get("x-rate-limit"))

    def last_event(self, chunk: bytes) -> str:
        """Returns the id of the last event in a chunk; empty for none."""
        return ""

    @abc.abstractmethod
    def not_started(self, head: Head) -> bool:
        """Tells whether this answer says that the request did not run."""

    @abc.abstractmethod
    def failed(self, head: Head) -> bool:
        """Tells whether this answer is a failure, to be redone elsewhere."""

    @abc.abstractmethod
    def count_tokens(self, chunk: bytes) -> int:
        """Counts the tokens in a chunk of a streamed answer."""

    def resumable(self, head: Head) -> bool:
        """Tells whether a cut answer can go on where it broke off."""
        return False

    def tokens_at_end(self, tail: bytes) -> int:
        """Reads the tokens of a plain answer from its end; 0 is not told."""
        return 0

    @abc.abstractmethod
    def is_whole(self, head: Head, tail: bytes) -> bool:
        """Tells whether a streamed answer with this end is complete."""
