"""Interface to endpoints of all kinds."""

import abc
from collections import abc as collections_abc
import dataclasses
import math
import select
import socket
import time
import typing

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.endpoints import http_get
from cardamombarrow.endpoints import statements
from cardamombarrow.kernel import addresses
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = [
    "CallerWatch",
    "EndpointKind",
    "Exchange",
    "Head",
    "OutgoingCall",
    "accepts_connections",
    "read_pause",
    "refuses_connections",
]


PROBE_TIMEOUT_S = 1.0
"""Time within which a live endpoint answers a probe."""

REFUSAL_TIMEOUT_S = 0.15
"""Time within which the refusal of a connection arrives: some round trips
between regions."""

EXIT_S = 0.05
"""Time within which all sockets of a process that has ended are closed. Some
systems close the one that listens last."""

EXIT_TRIES = 3
"""Most connections for one `refuses_connections`."""

_RATE_LIMIT = "x-rate-limit"
_REJECTION_LIMIT = "x-rejection-limit"
_UNAVAILABLE = 503
_FRAMING = {"content-length", "transfer-encoding"}


class CallerWatch(abc.ABC):
    """Detects whether the caller has closed its connection."""

    @abc.abstractmethod
    def fileno(self) -> int:
        """Returns the descriptor of the caller's socket; -1 for none."""

    @abc.abstractmethod
    def gone(self) -> bool:
        """Returns whether the caller has closed the connection."""


@dataclasses.dataclass(frozen=True)
class OutgoingCall:
    """One request to one endpoint.

    Attributes:
        deadline_s: Monotonic time by which the answer must end.
        stall_limit_s: Longest time without data from the endpoint, after which
            it is probed.
        rank: Rank of the request's tier, for engines with priorities.
        caller: Watch on the caller's connection.
        cancelled: Returns whether the dispatcher has cancelled the request.
        first_byte_limit_s: Longest wait for the head of the answer, if
            `may_redo` returns True.
        may_redo: Returns whether the request can be sent to another endpoint.
        may_send: Returns whether the endpoint accepts requests of this
            instance; called right before the request is sent.
        is_paused: Returns whether the endpoint has asked for a pause, in which
            it must not get a probe with a request either.
        may_exit: Returns whether the endpoint's process may end although its
            answers are complete.
        on_connect: Called with whether a new connection was established.
        resume_tokens: Tokens that the caller has already received; the answer
            continues after them.
        resume_after: Id of the last event that the caller has received; empty
            for none.
        caller_id: The caller's id of the request; empty for none.
        workspace: Workspace of the request; empty for none.
        headers: The caller's headers for the endpoint, unchanged.
        repeatable: Whether the request may run twice.
        fetch_from: Engine from which the endpoint may fetch the cache of the
            prompt's prefix; None for none.
        ends_s: Returns the monotonic time at which this instance ends the
            exchange; infinity for none.
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
    may_send: typing.Callable[[], bool] = lambda: True
    is_paused: typing.Callable[[], bool] = lambda: False
    may_exit: typing.Callable[[], bool] = lambda: False
    on_connect: typing.Callable[[bool], None] = lambda _: None
    resume_tokens: int = 0
    resume_after: str = ""
    caller_id: str = ""
    workspace: ids.WorkspaceId = schema.ANONYMOUS_WORKSPACE
    headers: tuple[tuple[str, str], ...] = ()
    repeatable: bool = False
    fetch_from: ids.EndpointId | None = None
    ends_s: typing.Callable[[], float] = lambda: math.inf


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

    @property
    def is_framed(self) -> bool:
        """Whether the body's end is marked; otherwise the connection ends."""
        return bool(_FRAMING & self.headers.keys())

    def without_length(self) -> "Head":
        """Returns the head of an answer whose length may change."""
        headers = {**self.headers}
        headers.pop("content-length", None)
        return dataclasses.replace(self, headers=headers)


class Exchange(abc.ABC):
    """A request to an endpoint. Used by one thread; must be closed."""

    @abc.abstractmethod
    def head(self) -> Head:
        """Waits for status and headers.

        Raises:
            errors.EndpointError: The endpoint failed or could not be reached.
            errors.RefusedError: The caller left or the run was cancelled.
        """

    @abc.abstractmethod
    def chunks(self) -> collections_abc.Iterator[bytes]:
        """Yields the body as it arrives; returns only if it is complete.

        Raises:
            errors.EndpointError: The answer was cut off, stalled or too late.
            errors.RefusedError: The caller left or the run was cancelled.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Marks the answer as complete and valid.

        The connection may then serve another request. Without this call it is
        closed with the exchange.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the exchange; cancels the request if it has not finished."""


def accepts_connections(endpoint: ids.EndpointId) -> bool:
    """Returns whether a new connection is accepted; sends no data on it."""
    try:
        address = addresses.split(ids.address_of(endpoint))
        with socket.create_connection(address, PROBE_TIMEOUT_S):
            return True
    except (OSError, ValueError):
        return False


def refuses_connections(endpoint: ids.EndpointId) -> bool:
    """Returns whether no process listens at an endpoint's address.

    Silence and other errors may be those of the path and show nothing. A
    connection to a process that is just ending may be accepted by the system
    and end at once, or get no reply; another one is tried then.
    """
    try:
        address = addresses.split(ids.address_of(endpoint))
    except ValueError:
        return False
    end_s = time.monotonic() + EXIT_S
    for _ in range(EXIT_TRIES):
        try:
            with socket.create_connection(address, REFUSAL_TIMEOUT_S) as opened:
                if not _ends_by(opened, end_s):
                    return False
        except ConnectionRefusedError:
            return True
        except (ConnectionResetError, TimeoutError):
            continue
        except OSError:
            return False
    return False


def _ends_by(opened: socket.socket, end_s: float) -> bool:
    """Returns whether a connection ends before a monotonic time."""
    poll = select.poll()
    poll.register(opened, select.POLLIN)
    return bool(poll.poll(max(end_s - time.monotonic(), 0.0) * 1_000))


def read_pause(head: Head) -> float:
    """Returns the pause that an answer asks for, in seconds; 0 for none.

    Only 503 concerns the whole endpoint. ``Retry-After`` of a 429 may concern
    the quota of one workspace.
    """
    if head.status != _UNAVAILABLE:
        return 0.0
    return statements.parse_pause(head.headers.get("retry-after"))


class EndpointKind(abc.ABC):
    """A kind of endpoint; registered in the slot ``endpoint-kind``.

    Attributes:
        polled: Whether its load is polled at intervals. Not needed if the
            answers contain the load.
        relays_failures: Whether its failure answers are relayed to the caller
            if the request can't be redone.
        has_event_ids: Whether the events of its streams have increasing
            numbers as ids, after which a stream goes on.
    """

    polled = True
    relays_failures = False
    has_event_ids = False

    @abc.abstractmethod
    def open(self, call: OutgoingCall) -> Exchange:
        """Prepares a request, which `Exchange.head` sends."""

    @abc.abstractmethod
    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Reads the endpoint's load; None if it reports none.

        Raises:
            errors.EndpointError: The load could not be read.
        """

    def probe(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether the endpoint answers on a new connection.

        A single connection can go silent for good while new ones work. The
        endpoint has not failed then, and its other requests continue.
        """
        url = f"http://{ids.address_of(endpoint)}/metrics"
        try:
            http_get.fetch(url, timeout_s=PROBE_TIMEOUT_S)
        except errors.EndpointError:
            return False
        return True

    def check(self, head: Head, call: OutgoingCall) -> None:  # noqa: B027
        """Checks that an answer belongs to the request.

        Raises:
            errors.EndpointError: It answers another request, or is damaged.
        """

    def read_statement(
        self, head: Head, call: OutgoingCall
    ) -> messages.EndpointStatement:
        """Reads what an answer states about its endpoint.

        The header fields are ``X-Rate-Limit``, ``X-Rejection-Limit``,
        ``X-Leaving`` and, of a 503, ``Retry-After``. Subclasses may use others.
        """
        rate_limit = statements.parse_rate_limit(head.headers.get(_RATE_LIMIT))
        rejection_limit = statements.parse_rejection_limit(
            head.headers.get(_REJECTION_LIMIT)
        )
        invalid = {
            _RATE_LIMIT: rate_limit is None,
            _REJECTION_LIMIT: rejection_limit is None,
        }
        return messages.EndpointStatement(
            rate_limit=rate_limit,
            rejection_limit=rejection_limit,
            rejected=head.status == _UNAVAILABLE and self.not_started(head),
            invalid_fields=tuple(each for each in invalid if invalid[each]),
            pause_s=read_pause(head),
            leaving=head.headers.get("x-leaving") == "1",
        )

    def event_ids(self, chunk: bytes) -> list[str]:
        """Returns the ids of the events in a chunk; empty for none."""
        return []

    def answers_other(self, head: Head, call: OutgoingCall) -> bool:
        """Returns whether an answer says that it is another request's.

        What it states does not concern this request then.
        """
        return False

    @abc.abstractmethod
    def not_started(self, head: Head) -> bool:
        """Returns whether the answer states that the request did not run."""

    @abc.abstractmethod
    def is_failure(self, head: Head) -> bool:
        """Returns whether the answer is a failure, to be redone elsewhere."""

    @abc.abstractmethod
    def count_tokens(self, chunk: bytes) -> int:
        """Returns the number of tokens in a chunk of a streamed answer."""

    def resumable(self, head: Head) -> bool:
        """Returns whether the answer can be resumed if it is cut off."""
        return False

    def tokens_at_end(self, tail: bytes) -> int:
        """Reads the token count from the end of an answer; 0 if it has none."""
        return 0
