"""Tells crashes of endpoints from mere losses of a connection.

When an endpoint's process dies, all its connections break at once and each
request's thread sees only its own. The first one to see it takes down what was
in flight there and probes the endpoint over a new connection; the others wait
for what it finds. Without this each broken connection would count as a crash
of its own, and a request that was alone on a broken link as one that crashes
endpoints.
"""

from concurrent import futures
import threading
import time

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry import broker as broker_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["Crashes"]

SAME_DEATH_S = 1.0
"""A connection that breaks this soon after a death was looked into belongs to
it: its thread was only late to notice."""

_DEATHS = (errors.ErrorKind.ENDPOINT_FAILED, errors.ErrorKind.ANSWER_CUT)


class _Death:
    """A broken connection that is being looked into."""

    def __init__(self, suspects: list[messages.Job]):
        self.suspects = {job.request_id: job for job in suspects}
        self.settled: futures.Future[bool] = futures.Future()
        self.settled_s: float | None = None

    def covers(self, now_s: float) -> bool:
        """Whether a connection that breaks now belongs to this death."""
        if self.settled_s is None:
            return True
        return self.settled.result() and now_s < self.settled_s + SAME_DEATH_S


class Crashes:
    """Looks into broken connections, one endpoint at a time."""

    def __init__(self, broker: broker_module.Broker):
        self._broker = broker
        self._lock = threading.Lock()
        self._open: dict[ids.EndpointId, _Death] = {}

    def on_failure(
        self,
        endpoint: ids.EndpointId,
        job: messages.Job,
        error: errors.EndpointError,
        kind: endpoints_base.EndpointKind,
    ) -> None:
        """Learns how a request failed; call before its slot is released."""
        if error.kind is errors.ErrorKind.ENDPOINT_UNREACHED:
            self._on_unreached(endpoint, job)
        elif error.kind in _DEATHS and error.connection_broke:
            self._on_broken(endpoint, job, kind)

    def _on_unreached(
        self, endpoint: ids.EndpointId, job: messages.Job
    ) -> None:
        with self._lock:
            death = self._open.get(endpoint)
            if death is not None and death.settled_s is None:
                # It was placed there, but never arrived.
                death.suspects.pop(job.request_id, None)

    def _on_broken(
        self,
        endpoint: ids.EndpointId,
        job: messages.Job,
        kind: endpoints_base.EndpointKind,
    ) -> None:
        with self._lock:
            death = self._open.get(endpoint)
            first = death is None or not death.covers(time.monotonic())
            if first:
                death = _Death(self._broker.in_flight(endpoint))
                self._open[endpoint] = death
            death.suspects[job.request_id] = job
        if first:
            self._look_into(endpoint, death, kind)
        else:
            futures.wait([death.settled], 2 * endpoints_base.PROBE_TIMEOUT_S)

    def _look_into(
        self,
        endpoint: ids.EndpointId,
        death: _Death,
        kind: endpoints_base.EndpointKind,
    ) -> None:
        crashed = not kind.probe(endpoint)
        with self._lock:
            suspects = list(death.suspects.values())
            death.settled_s = time.monotonic()
            death.settled.set_result(crashed)
        logs.event(
            "connection broke",
            "WARNING",
            endpoint=endpoint,
            crashed=crashed,
            suspects=[job.request_id for job in suspects],
        )
        if crashed:
            self._broker.crashed(endpoint, suspects)
