"""Counts at one entry what began to run, and how much reading it takes.

Load pattern: every request of an entry counts once, in the window in which it
began to run. The totals go up with what is sent to the control process anyway,
only where they have changed since that process confirmed them. Without this
module nobody could be billed, and nobody would know how many endpoints the
work needs.
"""

import collections
from collections import abc
import dataclasses
import threading

from cardamombarrow.decisions import prefill_time
from cardamombarrow.kernel import ids

__all__ = ["DemandTotal", "Meter", "WindowCounts", "window_of"]

WINDOWS_KEPT = 4
"""Windows that are told: the present one, and those whose report is not due."""

IDLE_QUANTILE = 0.2
"""Quantile of the time to read a token that counts: the slower ones waited."""


@dataclasses.dataclass(frozen=True)
class WindowCounts:
    """Requests that began in one window, by workspace."""

    window: int
    counts: dict[ids.WorkspaceId, int]


@dataclasses.dataclass(frozen=True)
class DemandTotal:
    """What an entry has asked of a service.

    Attributes:
        reading_s: Engine seconds of reading since the entry's start.
        running: Requests that run now.
    """

    service: ids.ServiceId
    reading_s: float
    running: int


def window_of(unix_s: float, window_s: float) -> int:
    """Returns the number of the window that holds a moment."""
    return int(unix_s // window_s)


class Meter:
    """The counts of one entry since its start; used by several threads."""

    def __init__(self, window_s: float, unix_s: abc.Callable[[], float]):
        """Builds the counts.

        Args:
            window_s: Length of a window; 0 counts no usage.
            unix_s: The time of day that is agreed on.
        """
        self._window_s = window_s
        self._unix_s = unix_s
        self._lock = threading.Lock()
        self._change = 0
        self._windows: dict[int, dict[ids.WorkspaceId, tuple[int, int]]] = {}
        self._confirmed: tuple[str, int, int] = "", 0, 0
        self._pace = prefill_time.PrefillTime(IDLE_QUANTILE)
        self._reading_s: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    def began(self, workspace: ids.WorkspaceId) -> None:
        """Counts a request that has begun to run."""
        if not self._window_s or not workspace:
            return
        window = window_of(self._unix_s(), self._window_s)
        with self._lock:
            self._change += 1
            counts = self._windows.setdefault(window, {})
            count, _ = counts.get(workspace, (0, 0))
            counts[workspace] = count + 1, self._change
            for old in sorted(self._windows)[:-WINDOWS_KEPT]:
                del self._windows[old]

    def unconfirmed(self, control: str) -> tuple[list[WindowCounts], int]:
        """Returns the totals that a control process has not confirmed.

        Args:
            control: Its address.

        Returns:
            The totals, and the number to hand to `acknowledge`.
        """
        with self._lock:
            address, _, number = self._confirmed
            since = number if address == control else 0
            news = [
                WindowCounts(
                    window,
                    {
                        workspace: count
                        for workspace, (count, change) in counts.items()
                        if change > since
                    },
                )
                for window, counts in self._windows.items()
            ]
            return [each for each in news if each.counts], self._change

    def acknowledge(self, control: str, boot: int, number: int) -> None:
        """Notes that a control process has the totals up to a number.

        Args:
            control: Its address.
            boot: Tells one start of it from another: what it had before it
                started again is gone.
            number: The number.
        """
        with self._lock:
            address, before, _ = self._confirmed
            if address == control and before != boot:
                number = 0
            self._confirmed = control, boot, number

    def read(self, service: ids.ServiceId, tokens: int, after_s: float) -> None:
        """Counts the reading of a prompt whose answer has begun.

        Args:
            service: Whose endpoint read it.
            tokens: Tokens that no cache held, as far as known.
            after_s: Time from sending it to the first event.
        """
        with self._lock:
            if tokens >= prefill_time.MIN_PROMPT_TOKENS:
                self._pace.learn(service, after_s / tokens)
            self._reading_s[service] += tokens * self._pace.token_s(service)

    def demand(
        self, running: abc.Mapping[ids.ServiceId, int]
    ) -> list[DemandTotal]:
        """Returns what was asked of each service.

        Args:
            running: Streams that run now.
        """
        with self._lock:
            services = set(self._reading_s).union(running)
            return [
                DemandTotal(
                    service, self._reading_s[service], running.get(service, 0)
                )
                for service in sorted(services)
            ]
