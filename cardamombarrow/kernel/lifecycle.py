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
                _stop(part)

    def _on_signal(self, number: int, _: types.FrameType | None) -> None:
        logs.event("signal", signal=signal.Signals(number).name)
        self._stop.set()


def _stop(part: Part) -> None:
    # A part that fails to stop must not keep the others from it: their
    # threads would go on, and the process would never end.
    name = type(part).__name__
    try:
        part.stop()
    except Exception as error:
        logs.event(
            "part failed to stop", "ERROR", part=name, detail=repr(error)
        )
    else:
        logs.event("part stopped", part=name)
