"""Restarts stand-ins that have ended, for tests of crashes."""

import contextlib
import threading
import time

from tools import deployment

__all__ = ["EngineRestarter"]

WATCH_INTERVAL_S = 0.02


class EngineRestarter(contextlib.AbstractContextManager):
    """Restarts the stand-ins of a service that have ended, and counts them.

    Attributes:
        count: How many have ended so far.
    """

    def __init__(
        self, running: deployment.Deployment, service: str, down_s: float
    ):
        """Builds a restarter, which works while its context is open.

        Args:
            running: The deployment.
            service: The service.
            down_s: Time from an end to the restart, in seconds.
        """
        self._running = running
        self._service = service
        self._down_s = down_s
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self.count = 0

    def __enter__(self) -> "EngineRestarter":
        """Starts watching."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops watching."""
        self._stop.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stop.wait(WATCH_INTERVAL_S):
            for address in self._running.engines[self._service]:
                process = self._running.processes[f"engine-{address}"]
                if process.poll() is not None:
                    self.count += 1
                    time.sleep(self._down_s)
                    self._running.start_engine(address)
