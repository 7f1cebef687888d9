"""Counts of items from outside the process that are left out."""

import collections
from collections import abc
import threading

__all__ = ["counts", "metric_lines", "record"]

_lock = threading.Lock()
_counts: collections.Counter[tuple[str, str]] = collections.Counter()


def record(source: str, reason: str, count: int = 1) -> None:
    """Counts items that are left out.

    Args:
        source: What they are items of, such as ``list``.
        reason: Why; one of a few texts, as each gets a counter of its own.
        count: Number of items.
    """
    with _lock:
        _counts[source, reason] += count


def counts() -> dict[tuple[str, str], int]:
    """Returns the number of items by source and reason."""
    with _lock:
        return dict(_counts)


def metric_lines(prefix: str) -> abc.Iterator[str]:
    """Yields the counts in the Prometheus text format.

    Args:
        prefix: Prefix of the metric's name.
    """
    yield f"# TYPE {prefix}items_left_out_total counter"
    for (source, reason), count in counts().items():
        labels = f'source="{source}",reason="{reason}"'
        yield f"{prefix}items_left_out_total{{{labels}}} {count}"
