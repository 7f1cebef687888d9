"""Schedule of the usage reports.

Load pattern: entries report their totals once a second; after a cut link or a
restart some seconds later. A committed report can't be corrected, so the commit
waits for half of the time in which the report is due. The other half remains
for retries if the platform does not answer.
"""

import dataclasses

from cardamombarrow.duties import machine

__all__ = ["UsageSchedule", "due_windows", "open_windows"]

COMMIT_DELAY_SHARE = 0.5
"""Part of the time in which a report is due that passes before its commit."""

MAX_CATCH_UP = 6
"""Most windows reported late; the counts of older ones are dropped."""


@dataclasses.dataclass(frozen=True)
class UsageSchedule:
    """Times at which usage reports are due.

    Attributes:
        window_s: Length of a window.
        due_within_s: Time after its end within which its report is due.
    """

    window_s: float
    due_within_s: float


def due_windows(
    state: machine.DutiesState,
    first_window: int,
    unix_s: float,
    times: UsageSchedule,
) -> list[int]:
    """Returns the windows to commit now, the oldest first.

    Args:
        state: The committed reports.
        first_window: The first window that this group has counted.
        unix_s: Agreed time of day, Unix seconds.
        times: Times at which reports are due.
    """
    committable_s = unix_s - COMMIT_DELAY_SHARE * times.due_within_s
    last = int(committable_s // times.window_s) - 1
    first = max(first_window, last - MAX_CATCH_UP + 1)
    return [w for w in range(first, last + 1) if w not in state.reports]


def open_windows(state: machine.DutiesState) -> list[int]:
    """Returns the windows whose report was committed and not taken."""
    return sorted(w for w, r in state.reports.items() if not r.taken)
