"""Detects that this entry can't connect to any endpoint of a service.

A single endpoint that refuses connections is down. If several can't be
connected, and no other one either, the entry has lost its own paths: its
callers are then better served by another entry. Connections that were opened
before do not count, because new requests can't rely on them.
"""

from collections import abc
import dataclasses
import random
import select
import threading
import time

from cardamombarrow.endpoints import connection as connection_module
from cardamombarrow.kernel import background
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["Reachability", "any_connects"]

FAILED_ENDPOINTS = 2
"""Endpoints in a row that could not be connected, after which others are
tried."""

FAILURE_TTL_S = 5.0
"""How long a failed connection counts."""

TRIED_ENDPOINTS = 3
TRY_TIMEOUT_S = 0.4
"""Time in which one of the tried endpoints accepts a connection: some round
trips between regions."""

RETRY_INTERVAL_S = 0.5
"""Time between two tries while no endpoint is reachable."""

Connects = abc.Callable[[abc.Sequence[ids.EndpointId], float], bool]
OnChange = abc.Callable[[ids.ServiceId, bool], None]
Endpoints = abc.Callable[
    [], abc.Mapping[ids.ServiceId, abc.Sequence[ids.EndpointId]]
]


def any_connects(
    endpoints: abc.Sequence[ids.EndpointId], timeout_s: float
) -> bool:
    """Returns whether an endpoint accepts a connection; sends no data."""
    poll = select.poll()
    pending: dict[int, connection_module.Connection] = {}
    for endpoint in endpoints:
        try:
            opened = connection_module.Connection(ids.address_of(endpoint))
        except OSError:
            continue
        pending[opened.fileno()] = opened
        poll.register(opened.fileno(), select.POLLOUT)
    end_s = time.monotonic() + timeout_s
    try:
        while pending and (left_s := end_s - time.monotonic()) > 0.0:
            for descriptor, _ in poll.poll(left_s * 1_000):
                if pending[descriptor].is_established():
                    return True
                poll.unregister(descriptor)
                pending.pop(descriptor).close()
        return False
    finally:
        for opened in pending.values():
            opened.close()


@dataclasses.dataclass(slots=True)
class _Service:
    """Connections to the endpoints of one service.

    Attributes:
        failed_s: When each endpoint could not be connected, since the last one
            that could.
        suspected: Whether endpoints are to be tried.
        cut_off_s: Since when none can be connected; None while one can.
    """

    failed_s: dict[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    suspected: bool = False
    cut_off_s: float | None = None


class Reachability(lifecycle.Part):
    """Which services can be connected; methods are thread-safe."""

    def __init__(
        self,
        endpoints: Endpoints,
        on_change: OnChange = lambda service, is_cut_off: None,
        connects: Connects = any_connects,
    ):
        """Builds the detector.

        Args:
            endpoints: Returns the endpoints in use, by service.
            on_change: Called with a service and whether it is cut off now.
            connects: Returns whether one of some endpoints accepts a connection
                within a time, in seconds.
        """
        self._endpoints = endpoints
        self._on_change = on_change
        self._connects = connects
        self._changed = threading.Condition()
        self._services: dict[ids.ServiceId, _Service] = {}
        self._stopped = False
        self._thread = background.supervised_thread(self._watch, "reachability")

    def is_cut_off(self, service: ids.ServiceId) -> bool:
        """Returns whether no endpoint of a service can be connected."""
        state = self._services.get(service)
        return state is not None and state.cut_off_s is not None

    def cut_off(self) -> frozenset[ids.ServiceId]:
        """Returns the services of which no endpoint can be connected."""
        with self._changed:
            return frozenset(
                service
                for service, state in self._services.items()
                if state.cut_off_s is not None
            )

    def is_cut_off_from_all(self) -> bool:
        """Returns whether no endpoint of any service can be connected."""
        cut_off = self.cut_off()
        return bool(cut_off) and cut_off >= self._endpoints().keys()

    def start(self) -> None:
        """Starts the thread that tries endpoints."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        self._thread.join()

    def record(
        self,
        service: ids.ServiceId,
        endpoint: ids.EndpointId,
        *,
        connected: bool,
    ) -> None:
        """Records whether a new connection was established."""
        if connected:
            self._record_success(service)
            return
        known = len(self._endpoints().get(service, ()))
        now_s = time.monotonic()
        with self._changed:
            state = self._services.setdefault(service, _Service())
            state.failed_s[endpoint] = now_s
            for other, failed_s in list(state.failed_s.items()):
                if now_s - failed_s > FAILURE_TTL_S:
                    del state.failed_s[other]
            needed = min(FAILED_ENDPOINTS, max(1, known))
            if len(state.failed_s) >= needed and not state.suspected:
                state.suspected = True
                self._changed.notify()

    def _record_success(self, service: ids.ServiceId) -> None:
        with self._changed:
            state = self._services.pop(service, None)
        if state is None or state.cut_off_s is None:
            return
        logs.event(
            "endpoints reachable again",
            service=service,
            after_s=round(time.monotonic() - state.cut_off_s, 3),
        )
        self._on_change(service, False)

    def _watch(self) -> None:
        while (suspected := self._wait()) is not None:
            for service in suspected:
                self._try(service)

    def _wait(self) -> list[ids.ServiceId] | None:
        """Waits until endpoints are to be tried.

        Returns:
            The services; None once stopped.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._stopped or self._suspected())
            if all(self.is_cut_off(each) for each in self._suspected()):
                # A service that is newly suspected ends the wait.
                self._changed.wait(RETRY_INTERVAL_S)
            return None if self._stopped else self._suspected()

    def _suspected(self) -> list[ids.ServiceId]:
        return [
            service
            for service, state in self._services.items()
            if state.suspected
        ]

    def _try(self, service: ids.ServiceId) -> None:
        endpoints = list(self._endpoints().get(service, ()))
        tried = random.sample(endpoints, min(TRIED_ENDPOINTS, len(endpoints)))
        if tried and self._connects(tried, TRY_TIMEOUT_S):
            self._record_success(service)
            return
        with self._changed:
            state = self._services.get(service)
            if state is None or state.cut_off_s is not None:
                return
            state.cut_off_s = time.monotonic()
            failed = sorted(state.failed_s)
        logs.event(
            "endpoints unreachable", "WARNING", service=service, failed=failed
        )
        self._on_change(service, True)
