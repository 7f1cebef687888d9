"""Polls the load of endpoints, one task per endpoint."""

from collections import abc
from concurrent import futures
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base
from cardamombarrow.kernel import background
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["Poller"]

OnReport = abc.Callable[[ids.EndpointId, messages.LoadReport], None]


class Poller(lifecycle.Part):
    """Polls a set of endpoints, each at a fixed interval."""

    def __init__(
        self,
        interval_s: float,
        on_report: OnReport,
        is_paused: abc.Callable[[ids.EndpointId], bool] = lambda _: False,
    ):
        """Builds the poller.

        Args:
            interval_s: Time between two polls of an endpoint.
            on_report: Called with each report.
            is_paused: Returns whether an endpoint is to get no request now.
        """
        self._interval_s = interval_s
        self._is_paused = is_paused
        self._on_report = on_report
        self._targets: dict[ids.EndpointId, base.EndpointKind] = {}
        self._running: set[ids.EndpointId] = set()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            max_workers=64, thread_name_prefix="poll"
        )

    def start(self) -> None:
        """Does nothing: tasks start with their endpoints."""

    def stop(self) -> None:
        """Ends all tasks."""
        self._stop.set()
        self._executor.shutdown(wait=True)

    def watch(self, targets: dict[ids.EndpointId, base.EndpointKind]) -> None:
        """Replaces the endpoints that are polled."""
        with self._lock:
            self._targets = dict(targets)
            new = set(targets) - self._running
            self._running |= new
        for endpoint in new:
            self._executor.submit(self._poll, endpoint)

    def _poll(self, endpoint: ids.EndpointId) -> None:
        while not self._stop.wait(self._interval_s):
            with self._lock:
                kind = self._targets.get(endpoint)
                if kind is None:
                    self._running.discard(endpoint)
                    return
            if self._is_paused(endpoint):
                continue
            try:
                report = kind.poll(endpoint, self._interval_s)
                if report is not None:
                    self._on_report(endpoint, report)
            except errors.EndpointError as error:
                logs.event(
                    "load report failed",
                    "DEBUG",
                    endpoint=endpoint,
                    detail=error.detail,
                )
            except Exception as error:
                # The endpoint would never be polled again if this task ended.
                background.record_failure("poll", error)
