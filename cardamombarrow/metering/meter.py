"""Counts the started requests of one entry, and their prefill time.

Load pattern: every request of an entry counts once, in the window in which it
started. The totals are added to the regular requests to the control process,
but only those that changed since that process confirmed them. They are the
basis for billing, and for the number of endpoints that the load needs.
"""

import collections
from collections import abc
import dataclasses
import threading

from cardamombarrow.decisions.choosing import prefill_time
from cardamombarrow.kernel import ids

__all__ = ["DemandTotal", "Meter", "WindowCounts", "window_of"]

MAX_WINDOWS = 4
"""Stored windows: the current one, and those whose report is not due yet."""

UNQUEUED_QUANTILE = 0.2
"""Quantile of the prefill time per token; slower prompts were queued."""


@dataclasses.dataclass(frozen=True)
class WindowCounts:
    """Requests that started in one window, by workspace."""

    window: int
    counts: dict[ids.WorkspaceId, int]


@dataclasses.dataclass(frozen=True)
class DemandTotal:
    """Demand of one entry for a service.

    Attributes:
        prefill_s: Engine time of prefill since the start of the entry.
        running: Requests that run now.
    """

    service: ids.ServiceId
    prefill_s: float
    running: int


def window_of(unix_s: float, window_s: float) -> int:
    """Returns the number of the window that contains a time."""
    return int(unix_s // window_s)


class Meter:
    """The counts of one entry since its start; used by several threads."""

    def __init__(self, window_s: float, unix_s: abc.Callable[[], float]):
        """Builds a meter without counts.

        Args:
            window_s: Length of a window; 0 to count no usage.
            unix_s: Returns the agreed time of day, Unix seconds.
        """
        self._window_s = window_s
        self._unix_s = unix_s
        self._lock = threading.Lock()
        self._change_number = 0
        self._windows: dict[int, dict[ids.WorkspaceId, tuple[int, int]]] = {}
        self._confirmed: tuple[str, int, int] = "", 0, 0
        self._token_time = prefill_time.PrefillTime(UNQUEUED_QUANTILE)
        self._reading_s: collections.Counter[ids.ServiceId] = (
            collections.Counter()
        )

    def count_request(self, workspace: ids.WorkspaceId) -> None:
        """Counts a request that has started to run."""
        if not self._window_s or not workspace:
            return
        window = window_of(self._unix_s(), self._window_s)
        with self._lock:
            self._change_number += 1
            counts = self._windows.setdefault(window, {})
            count, _ = counts.get(workspace, (0, 0))
            counts[workspace] = count + 1, self._change_number
            for old in sorted(self._windows)[:-MAX_WINDOWS]:
                del self._windows[old]

    def unconfirmed(self, control: str) -> tuple[list[WindowCounts], int]:
        """Returns the totals that a control process has not confirmed.

        Args:
            control: Its address.

        Returns:
            The totals, and the number to pass to `acknowledge`.
        """
        with self._lock:
            address, _, number = self._confirmed
            since = number if address == control else 0
            changed = [
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
            return [
                each for each in changed if each.counts
            ], self._change_number

    def acknowledge(self, control: str, boot: int, number: int) -> None:
        """Records that a control process has the totals up to a number.

        Args:
            control: Its address.
            boot: Identifies its start; a restart loses all totals.
            number: The number that `unconfirmed` returned.
        """
        with self._lock:
            address, previous_boot, _ = self._confirmed
            if address == control and previous_boot != boot:
                number = 0
            self._confirmed = control, boot, number

    def count_prefill(
        self, service: ids.ServiceId, tokens: int, after_s: float
    ) -> None:
        """Counts the prefill of a prompt whose answer has started.

        Args:
            service: Service of the endpoint.
            tokens: Prompt tokens that were not cached, as an estimate.
            after_s: Time from sending the request to the first event.
        """
        with self._lock:
            if tokens >= prefill_time.MIN_PROMPT_TOKENS:
                self._token_time.learn(service, after_s / tokens)
            self._reading_s[service] += tokens * self._token_time.token_s(
                service
            )

    def demand(
        self, running: abc.Mapping[ids.ServiceId, int]
    ) -> list[DemandTotal]:
        """Returns the demand for each service.

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
