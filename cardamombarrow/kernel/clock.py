"""Time, as an interface, so that tests can hold it still."""

import abc
import time

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(abc.ABC):
    """A source of monotonic time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns seconds since an arbitrary start; never goes back."""


class SystemClock(Clock):
    """The machine's monotonic clock."""

    def now_s(self) -> float:
        """Returns `time.monotonic()`."""
        return time.monotonic()


class BootClock(Clock):
    """A clock that also counts the time in which the machine was suspended.

    A bound on how old knowledge may be has to count that time: a machine that
    wakes up knows nothing of what was accepted while it slept.
    """

    def now_s(self) -> float:
        """Returns the time since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, start_s: float = 0.0):
        self._now_s = start_s

    def now_s(self) -> float:
        """Returns the time it was last moved to."""
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Moves the clock on by `by_s` seconds."""
        self._now_s += by_s
