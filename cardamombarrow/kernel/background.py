"""Background tasks of this process, which run again after an error."""

import collections
from collections import abc
import threading
import time

from cardamombarrow.kernel import logs

__all__ = [
    "RESTART_PAUSE_S",
    "failure_counts",
    "metric_lines",
    "record_failure",
    "supervised_thread",
]

RESTART_PAUSE_S = 0.2
"""Time between the failure of a task and its next run."""

_lock = threading.Lock()
_failures: collections.Counter[str] = collections.Counter()


def record_failure(task: str, error: BaseException) -> None:
    """Logs and counts a task that has ended by an error.

    Args:
        task: Name of the task.
        error: What ended it.
    """
    with _lock:
        _failures[task] += 1
    logs.event("task failed", "ERROR", part=task, detail=repr(error))


def failure_counts() -> dict[str, int]:
    """Returns the number of failures by task."""
    with _lock:
        return dict(_failures)


def metric_lines(prefix: str) -> abc.Iterator[str]:
    """Yields the number of failures in the Prometheus text format.

    Args:
        prefix: Prefix of the metric's name.
    """
    yield f"# TYPE {prefix}task_failures_total counter"
    for name, count in failure_counts().items():
        yield f'{prefix}task_failures_total{{task="{name}"}} {count}'


def supervised_thread(
    run: abc.Callable[[], None], name: str
) -> threading.Thread:
    """Returns a daemon thread that runs a task until it returns.

    Args:
        run: The task; called again after an error.
        name: Name of the thread, in log lines and metrics.
    """

    def run_until_it_returns() -> None:
        while True:
            try:
                return run()
            except Exception as error:
                record_failure(name, error)
            time.sleep(RESTART_PAUSE_S)

    return threading.Thread(target=run_until_it_returns, name=name, daemon=True)
