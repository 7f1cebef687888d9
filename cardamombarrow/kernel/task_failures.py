"""Background tasks of this process that have ended by an error."""

import collections
import threading

from cardamombarrow.kernel import logs

__all__ = ["counts", "record"]

_lock = threading.Lock()
_counts: collections.Counter[str] = collections.Counter()


def record(task: str, error: BaseException) -> None:
    """Logs and counts a task that has ended by an error.

    Args:
        task: Name of the task.
        error: What ended it.
    """
    with _lock:
        _counts[task] += 1
    logs.event("task failed", "ERROR", part=task, detail=repr(error))


def counts() -> dict[str, int]:
    """Returns the number of failures by task."""
    with _lock:
        return dict(_counts)
