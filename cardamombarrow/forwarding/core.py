"""Forwards requests to another entry, which serves them as its own."""

from collections import abc
import dataclasses
import math
import random
import threading
import time

from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import pool as pool_module
from cardamombarrow.endpoints import transfer
from cardamombarrow.forwarding import reachability as reachability_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import secret as secret_module

__all__ = [
    "ATTEMPTS",
    "DECLINED",
    "ELAPSED_MS",
    "RUNS",
    "ForwardRequest",
    "ForwardSettings",
    "ForwardedAnswer",
    "Forwarder",
    "token_scope",
]

ELAPSED_MS = "x-cardamombarrow-elapsed-ms"
"""Header field of a forwarded request: time since its arrival, in ms."""

ATTEMPTS = "x-cardamombarrow-attempts"
"""Header field of a forwarded request: how often it was sent to endpoints."""

RUNS = "x-cardamombarrow-runs"
"""Header field of a forwarded request: how many of them may have run it."""

DECLINED = "x-cardamombarrow-declined"
"""Header field of the answer of an entry that has not taken a request."""

MAX_TRIES = 3
"""Entries that are asked to take one request."""

PROVEN_S = 5.0
"""How long it is known, after an entry has taken a request, that the endpoints
are reachable from there."""

DECLINED_S = 1.0
"""How long an entry that has declined gets no more requests of the service."""

DEADLINE_MARGIN_S = 0.3
"""Extra time for the other entry's own answer at the deadline to arrive."""

STALL_FACTOR = 2.0
STALL_EXTRA_S = 1.5
"""The other entry notices a silent endpoint itself; a longer silence is that of
the entry or its link."""

_SERVER_ERROR = 500

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        ATTEMPTS,
        ELAPSED_MS,
        RUNS,
        secret_module.HEADER,
    )
)


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """A caller's request, as received.

    Attributes:
        service: The service that it is for.
        target: Path and query.
        headers: Names and values in order.
        arrived_s: Monotonic time of its arrival.
        deadline_s: Monotonic time by which its answer must end.
        stall_limit_s: Silence after which an endpoint counts as stalled.
        caller: Watch on the caller's connection.
        attempts: How often it was sent to endpoints.
        runs: How many of them may have run it.
        ends_s: Returns the monotonic time by which its answer must begin;
            infinity for no limit.
    """

    request_id: ids.RequestId
    service: ids.ServiceId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    deadline_s: float
    stall_limit_s: float
    caller: endpoints_base.CallerWatch
    attempts: int = 0
    runs: int = 0
    ends_s: abc.Callable[[], float] = lambda: math.inf


@dataclasses.dataclass(frozen=True)
class ForwardedAnswer:
    """Another entry's answer.

    Attributes:
        chunks: The body; it must be iterated to its end or closed.
    """

    head: endpoints_base.Head
    chunks: abc.Iterator[bytes]


@dataclasses.dataclass(frozen=True)
class ForwardSettings:
    """How this entry forwards requests.

    Attributes:
        secret: Shared secret of all instances.
        own_address: Address at which this entry takes forwarded requests;
            empty for none.
    """

    secret: str = ""
    own_address: str = ""


def token_scope(method: str, target: str) -> str:
    """Returns what the token of a forwarded request is valid for."""
    return f"forward {method} {target}"


class Forwarder:
    """Forwards requests of services that can't be reached; thread-safe."""

    def __init__(
        self,
        settings: ForwardSettings,
        reachability: reachability_module.Reachability | None = None,
        count: abc.Callable[[str], None] = lambda _: None,
    ):
        """Builds a forwarder.

        Args:
            settings: How requests are forwarded.
            reachability: Whether endpoints are reachable; None never forwards.
            count: Counts an outcome: ``taken``, ``declined``, ``unreached``,
                ``failed`` or ``abandoned``.
        """
        self._settings = settings
        self._reachability = reachability
        self._count = count
        self._pool = pool_module.Pool(clock.BootClock())
        self._lock = threading.Lock()
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._taken_s: dict[ids.ServiceId, float] = {}
        self._declined_s: dict[tuple[str, ids.ServiceId], float] = {}

    def set_entries(
        self, near: abc.Iterable[str], far: abc.Iterable[str]
    ) -> None:
        """Sets the entries that take requests.

        Args:
            near: Addresses of entries of the own failure domain.
            far: Addresses of entries of other domains.
        """
        own = self._settings.own_address
        with self._lock:
            self._near = tuple(each for each in near if each != own)
            self._far = tuple(each for each in far if each != own)

    def is_needed(self, service: ids.ServiceId) -> bool:
        """Returns whether requests of a service should go to another entry."""
        return (
            self._reachability is not None
            and self._reachability.is_cut_off(service)
            and bool(self._near or self._far)
        )

    def is_proven(self, service: ids.ServiceId) -> bool:
        """Returns whether another entry was seen to reach a service.

        If all endpoints of a service are down, a request that already waits
        here goes on waiting for them.
        """
        taken_s = self._taken_s.get(service)
        if taken_s is None or time.monotonic() - taken_s > PROVEN_S:
            return False
        return self.is_needed(service)

    def forward(self, request: ForwardRequest) -> ForwardedAnswer | None:
        """Has another entry serve a request.

        Returns:
            Its answer; None if no entry has taken the request.

        Raises:
            errors.EndpointError: An entry may have taken it and has failed.
            errors.RefusedError: The caller left.
        """
        for address in self._choose(request.service):
            answer = self._try(request, address)
            if answer is not None:
                return answer
        return None

    def _choose(self, service: ids.ServiceId) -> list[str]:
        oldest_s = time.monotonic() - DECLINED_S
        with self._lock:
            for key, declined_s in list(self._declined_s.items()):
                if declined_s < oldest_s:
                    del self._declined_s[key]
            near, far = (
                [
                    each
                    for each in group
                    if (each, service) not in self._declined_s
                ]
                for group in (self._near, self._far)
            )
        random.shuffle(near)
        random.shuffle(far)
        return (near + far)[:MAX_TRIES]

    def _set_declined(self, address: str, service: ids.ServiceId) -> None:
        with self._lock:
            self._declined_s[address, service] = time.monotonic()

    def _try(
        self, request: ForwardRequest, address: str
    ) -> ForwardedAnswer | None:
        exchange = self._exchange(request, address)
        try:
            head = exchange.head()
        except errors.EndpointError as error:
            exchange.close()
            outcome = "failed" if error.sent else "unreached"
            self._log(request, address, outcome, error.detail)
            if error.sent:
                raise
            self._set_declined(address, request.service)
            return None
        except errors.RefusedError as error:
            exchange.close()
            self._log(request, address, "abandoned", error.detail)
            raise
        except BaseException:
            exchange.close()
            raise
        if DECLINED in head.headers:
            exchange.close()
            self._set_declined(address, request.service)
            self._log(request, address, "declined", head.headers[DECLINED])
            return None
        self._log(request, address, "taken", f"status {head.status}")
        if head.status < _SERVER_ERROR:
            self._taken_s[request.service] = time.monotonic()
        return ForwardedAnswer(head, _relay(exchange))

    def _log(
        self,
        request: ForwardRequest,
        address: str,
        outcome: str,
        detail: str,
    ) -> None:
        self._count(outcome)
        logs.decision(
            "forward",
            request_id=request.request_id,
            to=address,
            outcome=outcome,
            detail=detail,
            attempts=request.attempts,
            elapsed_s=round(time.monotonic() - request.arrived_s, 4),
        )

    def _headers(self, request: ForwardRequest) -> list[tuple[str, str]]:
        elapsed_ms = (time.monotonic() - request.arrived_s) * 1_000
        scope = token_scope(request.method, request.target)
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in _HOP_BY_HOP
        ]
        return [
            *headers,
            (ELAPSED_MS, f"{elapsed_ms:.0f}"),
            (ATTEMPTS, str(request.attempts)),
            (RUNS, str(request.runs)),
            (
                secret_module.HEADER,
                secret_module.token(self._settings.secret, scope, time.time()),
            ),
        ]

    def _exchange(
        self, request: ForwardRequest, address: str
    ) -> transfer.HttpExchange:
        def ends_s() -> float:
            return math.inf if exchange.has_head else request.ends_s()

        call = endpoints_base.OutgoingCall(
            request_id=request.request_id,
            endpoint=ids.EndpointId(address),
            method=request.method,
            path=request.target,
            body=request.body,
            content_type="",
            rank=0,
            deadline_s=request.deadline_s + DEADLINE_MARGIN_S,
            stall_limit_s=STALL_FACTOR * request.stall_limit_s + STALL_EXTRA_S,
            caller=request.caller,
            cancelled=lambda: False,
            ends_s=ends_s,
        )
        exchange = transfer.HttpExchange(
            call,
            lambda: self._headers(request),
            endpoints_base.accepts_connections,
            self._pool,
        )
        return exchange


def _relay(exchange: transfer.HttpExchange) -> abc.Iterator[bytes]:
    try:
        yield from exchange.chunks()
        exchange.release()
    finally:
        exchange.close()
