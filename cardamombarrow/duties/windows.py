"""Which windows of usage are reported when.

Load pattern: entries tell their totals once a second, and a link that is cut
or a process that restarts tells them some seconds later. A report that is
committed can't be corrected, so it waits for half of the time in which it is
due; the other half is left for a platform that does not answer.
"""

import dataclasses

from cardamombarrow.duties import machine

__all__ = ["UsageTimes", "due_windows", "open_windows"]

WAIT_SHARE = 0.5
"""Part of the time in which a report is due that passes before its commit."""

MOST_CAUGHT_UP = 6
"""Windows that a holder reports late, at most: older counts are gone."""


@dataclasses.dataclass(frozen=True)
class UsageTimes:
    """When usage is due.

    Attributes:
        window_s: Length of a window.
        late_s: Time after its end within which its report is due.
    """

    window_s: float
    late_s: float


def due_windows(
    state: machine.DutiesState,
    first_window: int,
    unix_s: float,
    times: UsageTimes,
) -> list[int]:
    """Returns the windows to commit now, the oldest first.

    Args:
        state: What was committed.
        first_window: The first window that this group ever counted.
        unix_s: The time of day that is agreed on.
        times: When usage is due.
    """
    ended_s = unix_s - WAIT_SHARE * times.late_s
    last = int(ended_s // times.window_s) - 1
    first = max(first_window, last - MOST_CAUGHT_UP + 1)
    return [w for w in range(first, last + 1) if w not in state.reports]


def open_windows(state: machine.DutiesState) -> list[int]:
    """Returns the windows whose report was committed and not taken."""
    return sorted(w for w, r in state.reports.items() if not r.taken)
