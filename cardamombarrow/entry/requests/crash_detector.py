"""Distinguishes endpoint crashes from lost connections.

When an endpoint's process dies, all its connections break at once, and each
request's thread sees only its own. The first thread records which requests
were in flight and probes the endpoint over a new connection; the others wait
for the result. Without this each broken connection would count as a separate
crash, and a request that was alone on a broken link would be suspected of
crashing endpoints.
"""

from collections import abc
from concurrent import futures
import threading
import time

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry import metrics as metrics_module
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["CrashDetector"]

SAME_CRASH_S = 1.0
"""A connection that breaks within this time after a probe that found a crash is
attributed to the same crash: its thread noticed it late."""

_NOT_SENT_ERRORS = (
    errors.ErrorKind.ENDPOINT_UNREACHED,
    errors.ErrorKind.ENDPOINT_RESTRICTED,
)
_CRASH_ERRORS = (errors.ErrorKind.ENDPOINT_FAILED, errors.ErrorKind.ANSWER_CUT)


class _Probe:
    """A probe of an endpoint after a broken connection.

    Attributes:
        suspects: The requests that were in flight, by id.
        broke_s: When the first connection broke.
        settled: Resolves with whether the endpoint crashed.
        settled_s: When the probe ended; None before.
    """

    def __init__(self, suspects: list[messages.Job], broke_s: float):
        self.broke_s = broke_s
        self.suspects = {job.request_id: job for job in suspects}
        self.settled: futures.Future[bool] = futures.Future()
        self.settled_s: float | None = None

    def covers(self, now_s: float) -> bool:
        """Returns whether a connection that breaks now has the same cause."""
        if self.settled_s is None:
            return True
        return self.settled.result() and now_s < self.settled_s + SAME_CRASH_S


class CrashDetector:
    """Probes endpoints after broken connections, one probe per endpoint."""

    def __init__(
        self,
        broker: broker_module.Broker,
        metrics: metrics_module.Metrics,
        on_crash: abc.Callable[[ids.EndpointId], None] = lambda _: None,
    ):
        """Builds a detector.

        Args:
            broker: Where crashes are recorded.
            metrics: Where they are counted.
            on_crash: Called with an endpoint that accepts no connection after
                one has broken.
        """
        self._broker = broker
        self._metrics = metrics
        self._on_crash = on_crash
        self._lock = threading.Lock()
        self._probes: dict[ids.EndpointId, _Probe] = {}

    def on_failure(
        self,
        endpoint: ids.EndpointId,
        job: messages.Job,
        error: errors.EndpointError,
        kind: endpoints_base.EndpointKind,
    ) -> None:
        """Handles a failed request; call before its slot is released."""
        if error.kind in _NOT_SENT_ERRORS:
            self._on_unreached(endpoint, job)
        elif error.kind in _CRASH_ERRORS and error.connection_broke:
            self._on_broken(endpoint, job, kind)

    def _on_unreached(
        self, endpoint: ids.EndpointId, job: messages.Job
    ) -> None:
        with self._lock:
            probe = self._probes.get(endpoint)
            if probe is not None and probe.settled_s is None:
                # The request was placed there but never reached the endpoint.
                probe.suspects.pop(job.request_id, None)

    def _on_broken(
        self,
        endpoint: ids.EndpointId,
        job: messages.Job,
        kind: endpoints_base.EndpointKind,
    ) -> None:
        with self._lock:
            probe = self._probes.get(endpoint)
            first = probe is None or not probe.covers(time.monotonic())
            if first:
                probe = _Probe(
                    self._broker.in_flight(endpoint), self._broker.now_s()
                )
                self._probes[endpoint] = probe
            probe.suspects[job.request_id] = job
        if first:
            self._run_probe(endpoint, probe, kind)
        else:
            futures.wait([probe.settled], 2 * endpoints_base.PROBE_TIMEOUT_S)

    def _run_probe(
        self,
        endpoint: ids.EndpointId,
        probe: _Probe,
        kind: endpoints_base.EndpointKind,
    ) -> None:
        is_paused = self._broker.is_paused(endpoint)
        check = endpoints_base.accepts_connections if is_paused else kind.probe
        crashed = not check(endpoint)
        if crashed:
            self._on_crash(endpoint)
        with self._lock:
            suspects = list(probe.suspects.values())
            probe.settled_s = time.monotonic()
            probe.settled.set_result(crashed)
        logs.event(
            "connection broke",
            "WARNING",
            endpoint=endpoint,
            crashed=crashed,
            suspects=[job.request_id for job in suspects],
            fingerprints=[job.fingerprint for job in suspects],
            first_token_ages_s=[
                None
                if job.first_token_s is None
                else round(probe.broke_s - job.first_token_s, 3)
                for job in suspects
            ],
            shared_parts=[
                [part.part for part in job.shared_parts] for job in suspects
            ],
        )
        if crashed:
            self._metrics.count_crash()
            self._broker.crashed(endpoint, suspects, probe.broke_s)
