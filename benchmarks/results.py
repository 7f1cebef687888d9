"""Results of a run, by class."""

import collections
import dataclasses
import statistics

from cardamombarrow.kernel import ids

__all__ = ["ClassResult", "Result", "merge"]

WINDOW_S = 10.0
"""Length of the windows in which completed requests are counted."""


@dataclasses.dataclass
class ClassResult:
    """One class in one run.

    Attributes:
        offered: Requests of callers, without repeated sends.
        completed: Requests that were answered completely.
        attained: Completed requests whose first token came in time, counted
            from the first send.
        refusals: Refusals; one request may receive several.
        worst_wait_s: Longest time from arrival to first token or final error.
        best_share: Upper bound of `attainment_share`.
        windows: Completed requests by number of the `WINDOW_S` window.
    """

    offered: float = 0
    completed: float = 0
    attained: float = 0
    refusals: float = 0
    worst_wait_s: float = 0.0
    best_share: float | None = None
    windows: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def attainment_share(self) -> float:
        """Share of the offered requests that met the target."""
        return self.attained / max(self.offered, 1)


@dataclasses.dataclass
class Result:
    """One run.

    Attributes:
        useful_s: Engine time, in full batches, of the answers that were
            complete before the arrivals ended.
        wasted_s: Engine time of runs that were not answered completely.
        capacity_s: Available engine time.
        best_goodput_share: Upper bound of `goodput_share`.
        cached_share: Part of all prompt tokens found in an engine's cache.
        fetched_share: Part fetched from the cache of another engine.
        shared_prefill_tokens: Tokens of shared parts that engines prefilled.
        repeated_prefill_tokens: Those of them that an engine in service held
            or was prefilling at that time.
        crashes: Crashes of endpoints.
        harmless_failed: Harmless requests that ended in an error after the
            first crash.
        harmless_quarantined: Harmless requests marked as crashing.
        most_over_limit: Most concurrent requests above an endpoint's limit.
        turned_away: Requests that endpoints turned away.
        most_in_pause: Most requests that an entry sent to an endpoint within
            one pause, later than `driver.PAUSE_GRACE_S` after its start.
    """

    classes: dict[ids.ClassId, ClassResult]
    useful_s: float = 0.0
    wasted_s: float = 0.0
    capacity_s: float = 0.0
    best_goodput_share: float = 1.0
    cached_share: float = 0.0
    fetched_share: float = 0.0
    shared_prefill_tokens: float = 0
    repeated_prefill_tokens: float = 0
    crashes: float = 0
    harmless_failed: float = 0
    harmless_quarantined: float = 0
    most_over_limit: float = 0
    turned_away: float = 0
    most_in_pause: float = 0

    @property
    def goodput_share(self) -> float:
        """Share of the available engine time that was useful."""
        return self.useful_s / max(self.capacity_s, 1e-9)

    @property
    def wasted_share(self) -> float:
        """Share of the used engine time that was wasted."""
        return self.wasted_s / max(self.useful_s + self.wasted_s, 1e-9)


_MAXIMA = ("worst_wait_s", "most_over_limit", "most_in_pause")


def merge(results: list[Result]) -> Result:
    """Merges the results of several seeds.

    Takes the maximum of the fields in `_MAXIMA`, the minimum of each window
    and the mean of all others.
    """
    merged = _mean(results, Result, skip=("classes",))
    for class_id in results[0].classes:
        parts = [result.classes[class_id] for result in results]
        mean = _mean(parts, ClassResult, skip=("windows", "best_share"))
        if parts[0].best_share is not None:
            mean.best_share = statistics.fmean(p.best_share for p in parts)
        for window in range(max(max(p.windows, default=0) for p in parts)):
            mean.windows[window] = min(p.windows[window] for p in parts)
        merged.classes[class_id] = mean
    return merged


def _mean(parts: list, cls: type, skip: tuple[str, ...]) -> object:
    values = {}
    for field in dataclasses.fields(cls):
        if field.name in skip:
            continue
        numbers = [getattr(part, field.name) for part in parts]
        merge_values = max if field.name in _MAXIMA else statistics.fmean
        values[field.name] = merge_values(numbers)
    if cls is Result:
        values["classes"] = {}
    return cls(**values)
