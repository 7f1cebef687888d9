"""Start and stop of a process: parts start in order and stop in reverse."""

import abc
from collections import abc as abc_module
import signal
import threading
import types

from cardamombarrow.kernel import logs

__all__ = ["Part", "Process"]


class Part(abc.ABC):
    """Something that a process starts and stops."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts the part; returns once it is running."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops the part; returns once it has finished."""


SIGNAL_POLL_S = 0.5
"""Longest delay of a signal that does not wake the main thread.

The interpreter records a signal and calls its handler once the main thread
runs. A signal that arrives as that thread is about to wait, or on another
thread, does not wake it: an entry that had just started ignored SIGTERM until
the second one. So the main thread waits in short intervals."""


class Process:
    """Runs parts until SIGTERM or SIGINT arrives.

    SIGHUP calls `on_hangup` if given and is ignored otherwise.

    Example:
        >>> Process([server, poller]).run()  # doctest: +SKIP
    """

    def __init__(
        self,
        parts: list[Part],
        on_hangup: abc_module.Callable[[], None] | None = None,
    ):
        self._parts = parts
        self._on_hangup = on_hangup
        self._stop = threading.Event()

    def run(self) -> None:
        """Starts all parts, waits for a signal, stops all parts."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload)
        started: list[Part] = []
        try:
            for part in self._parts:
                part.start()
                started.append(part)
            while not self._stop.wait(SIGNAL_POLL_S):
                pass
        finally:
            for part in reversed(started):
                _stop(part)

    def _on_reload(self, number: int, _: types.FrameType | None) -> None:
        if self._on_hangup is not None:
            self._on_hangup()

    def _on_signal(self, number: int, _: types.FrameType | None) -> None:
        logs.event("signal", signal=signal.Signals(number).name)
        self._stop.set()


def _stop(part: Part) -> None:
    # A part that fails to stop must not prevent the others from stopping:
    # their threads would run on, and the process would never end.
    name = type(part).__name__
    try:
        part.stop()
    except Exception as error:
        logs.event(
            "part failed to stop", "ERROR", part=name, detail=repr(error)
        )
    else:
        logs.event("part stopped", part=name)
