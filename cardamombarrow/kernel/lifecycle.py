"""Start and stop of a process: parts start in order and stop in reverse."""

import abc
from collections import abc as abc_module
import signal
import threading
import types

from cardamombarrow.kernel import logs

__all__ = ["Part", "Process", "ignore_hangup"]


class Part(abc.ABC):
    """Something that a process starts and stops."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts the part; returns once it does its work."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops the part; returns once its work is finished."""


def ignore_hangup() -> None:
    """Makes SIGHUP harmless until `Process` takes it.

    By default it ends a process: a change of the settings file, told to a
    process that has not finished starting, would kill it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


SIGNAL_LOOK_S = 0.5
"""Longest time in which a signal is not seen that came at a bad moment.

The interpreter notes a signal and calls its handler from the main thread once
that runs. One that comes as that thread is about to wait, or on another thread,
does not wake it: an entry that was told to stop as it had just started served
on until it was told again. So the wait is short, and begun again."""


class Process:
    """Runs parts until SIGTERM or SIGINT arrives.

    SIGHUP calls `on_hangup`, where there is one, and is ignored otherwise.

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
            while not self._stop.wait(SIGNAL_LOOK_S):
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
