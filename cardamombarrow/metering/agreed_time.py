"""The time of day that control processes agree on.

The time of day can jump on single machines. The boot clock does not, so each
process stores an offset between the two. A control process uses the median of
the clocks of all control processes; an entry uses the time that its control
process sends.
"""

from collections import abc
import dataclasses
import statistics
import time

from cardamombarrow.kernel import clock

__all__ = ["AgreedTime", "PeerClocks"]

SAMPLE_TTL_S = 10.0
"""Time for which a sample of another process's clock is valid."""


class AgreedTime:
    """Agreed time of day, based on the boot clock; used by several threads."""

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
        """Whether a control process has set the time."""
        return self._offset_s is not None

    def synchronize(self, unix_s: float) -> None:
        """Sets the current time as received from a control process."""
        self._offset_s = unix_s - self._clock.now_s()

    def unix_s(self) -> float:
        """Returns the time of day, Unix seconds."""
        if self._offset_s is None:
            return self._wall_s()
        return self._clock.now_s() + self._offset_s


@dataclasses.dataclass(frozen=True)
class _Sample:
    offset_s: float
    received_s: float


class PeerClocks:
    """The median of the control processes' clocks; used on one loop."""

    def __init__(
        self,
        boot_clock: clock.Clock,
        wall_s: abc.Callable[[], float] = time.time,
    ):
        self._clock = boot_clock
        self._wall_s = wall_s
        self._samples: dict[str, _Sample] = {}

    def add_sample(self, peer: str, unix_s: float, requested_s: float) -> None:
        """Adds a sample of another process's clock.

        Args:
            peer: Its address.
            unix_s: Time of its clock when it answered.
            requested_s: Time of the request, by the boot clock. The answer is
                taken to be half of the round trip old.
        """
        now_s = self._clock.now_s()
        offset_s = unix_s - (requested_s + now_s) / 2
        self._samples[peer] = _Sample(offset_s, now_s)

    def unix_s(self) -> float:
        """Returns the time of day, Unix seconds."""
        now_s = self._clock.now_s()
        oldest_s = now_s - SAMPLE_TTL_S
        offsets = [
            sample.offset_s
            for sample in self._samples.values()
            if sample.received_s >= oldest_s
        ]
        offsets.append(self._wall_s() - now_s)
        # The lower median: with an even number of clocks, the mean of the two
        # middle ones would include half of the jump of a clock.
        return now_s + statistics.median_low(offsets)
