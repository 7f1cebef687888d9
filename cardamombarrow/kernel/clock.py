"""Clocks behind an interface, so that tests can control the time."""

import abc
import time

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(abc.ABC):
    """A source of monotonic time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns seconds since an arbitrary start; never decreases."""


class SystemClock(Clock):
    """The machine's monotonic clock."""

    def now_s(self) -> float:
        """Returns `time.monotonic()`."""
        return time.monotonic()


class BootClock(Clock):
    """A clock that also counts the time in which the machine was suspended.

    A limit on the age of a document has to count that time: a machine that
    resumes has missed every change accepted while it was suspended.
    """

    def now_s(self) -> float:
        """Returns the time since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that tests set by hand."""

    def __init__(self, start_s: float = 0.0):
        self._now_s = start_s

    def now_s(self) -> float:
        """Returns the time that was set last."""
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Advances the clock by `by_s` seconds."""
        self._now_s += by_s
