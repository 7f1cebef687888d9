"""The time of day that control processes agree on.

Time of day jumps on single machines. The boot clock does not, so each process
keeps one offset between the two. A control process takes the median of what
the control processes read from their own clocks; an entry takes what its
control process tells.
"""

from collections import abc
import dataclasses
import statistics
import time

from cardamombarrow.kernel import clock

__all__ = ["AgreedTime", "ClockPoll"]

SAMPLE_LIFE_S = 10.0
"""How long the reading of another process's clock counts."""


class AgreedTime:
    """Time of day on the boot clock; used by several threads."""

    def __init__(
        self,
        boot_clock: clock.Clock,
        wall_s: abc.Callable[[], float] = time.time,
    ):
        self._clock = boot_clock
        self._wall_s = wall_s
        self._offset_s: float | None = None

    @property
    def is_agreed(self) -> bool:
        """Whether the offset is the control processes' and not this one's."""
        return self._offset_s is not None

    def synchronize(self, unix_s: float) -> None:
        """Takes what a control process tells to be the time now."""
        self._offset_s = unix_s - self._clock.now_s()

    def unix_s(self) -> float:
        """Returns the time of day, Unix seconds."""
        if self._offset_s is None:
            return self._wall_s()
        return self._clock.now_s() + self._offset_s


@dataclasses.dataclass(frozen=True)
class _Sample:
    offset_s: float
    heard_s: float


class ClockPoll:
    """The median of the control processes' clocks; used on one loop."""

    def __init__(
        self,
        boot_clock: clock.Clock,
        wall_s: abc.Callable[[], float] = time.time,
    ):
        self._clock = boot_clock
        self._wall_s = wall_s
        self._samples: dict[str, _Sample] = {}

    def add_sample(self, peer: str, unix_s: float, asked_s: float) -> None:
        """Takes another process's reading of its clock.

        Args:
            peer: Its address.
            unix_s: What its clock showed when it answered.
            asked_s: When it was asked, by the boot clock; half of the way
                there and back has passed since it answered.
        """
        now_s = self._clock.now_s()
        offset_s = unix_s - (asked_s + now_s) / 2
        self._samples[peer] = _Sample(offset_s, now_s)

    def unix_s(self) -> float:
        """Returns the time of day, Unix seconds."""
        now_s = self._clock.now_s()
        oldest_s = now_s - SAMPLE_LIFE_S
        offsets = [
            sample.offset_s
            for sample in self._samples.values()
            if sample.heard_s >= oldest_s
        ]
        offsets.append(self._wall_s() - now_s)
        # Of an even number the lower middle one: the mean of two would follow
        # half of the clocks that jump.
        return now_s + statistics.median_low(offsets)
