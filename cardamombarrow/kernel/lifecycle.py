"""Start and stop of a process: parts start in order and stop in reverse."""

import abc
import signal
import threading
import types

from cardamombarrow.kernel import logs

__all__ = ["Part", "Process"]


class Part(abc.ABC):
    """Something that a process starts and stops."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts the part; returns once it does its work."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops the part; returns once its work is finished."""


class Process:
    """Runs parts until SIGTERM or SIGINT arrives.

    Example:
        >>> Process([server, poller]).run()  # doctest: +SKIP
    """

    def __init__(self, parts: list[Part]):
        self._parts = parts
        self._stop = threading.Event()

    def run(self) -> None:
        """Starts all parts, waits for a signal, stops all parts."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        started: list[Part] = []
        try:
            for part in self._parts:
                part.start()
                started.append(part)
            self._stop.wait()
        finally:
            for part in reversed(started):
                part.stop()
                logs.event("part stopped", part=type(part).__name__)

    def _on_signal(self, number: int, _: types.FrameType | None) -> None:
        logs.event("signal", signal=signal.Signals(number).name)
        self._stop.set()
