"""Expected answer lengths: quantiles by class, a ratio by workspace.

Load pattern: long jobs among short ones, of unknown length, and lengths that
change during the day. With a wrong estimate a workspace of long answers gets
more than its share, and predicted waits are wrong by the same factor.

Lengths are recorded by class in two alternating histograms: one is filled, the
other is the last full one. Estimates use both, and after `WINDOW_ANSWERS`
answers the older one is dropped. So an estimate rests on one to two windows of
answers, whatever the request rate. A workspace is stored as one number, its
mean length relative to its class, with a prior of 1: histograms for 3,800
workspaces would take more memory than an instance has for its whole control.

256 answers give the mean within 4 to 6 % for answers whose standard deviation
is 0.7 to 1 of the mean (sigma / sqrt(n)). `PRIOR_ANSWERS` is the count at which
a workspace's own answers weigh as much as its class.
"""

import dataclasses

from hdrh import histogram

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["QuantileEstimate"]

WINDOW_ANSWERS = 256
MIN_ANSWERS = 8
"""Answers of a class below which the document's value is used."""

DEFAULT_TOKENS = 200.0
"""Expected length for a class that the document no longer has."""

PRIOR_ANSWERS = 8.0
MIN_RATIO_WEIGHT = 0.05
"""Minimum weight of one answer in its workspace's ratio."""

MAX_TOKENS = 100_000
SIGNIFICANT_DIGITS = 2
MAX_RATIOS = 20_000
"""Most pairs of class and workspace; least recently seen are removed first."""


class _Lengths:
    """Answer lengths of a class: the current and the previous histogram."""

    def __init__(self):
        self._current = histogram.HdrHistogram(
            1, MAX_TOKENS, SIGNIFICANT_DIGITS
        )
        self._previous: histogram.HdrHistogram | None = None
        self.mean = 0.0

    @property
    def count(self) -> int:
        """Number of answers in both histograms."""
        previous = self._previous.total_count if self._previous else 0
        return self._current.total_count + previous

    def add(self, tokens: int) -> None:
        """Records one length."""
        if self._current.total_count >= WINDOW_ANSWERS:
            self._previous = self._current
            self._current = histogram.HdrHistogram(
                1, MAX_TOKENS, SIGNIFICANT_DIGITS
            )
        self._current.record_value(min(max(tokens, 1), MAX_TOKENS))
        count = min(self.count, 2 * WINDOW_ANSWERS)
        self.mean += (tokens - self.mean) / count

    def quantile(self, share: float) -> float:
        """Returns the length that this share of the answers does not exceed."""
        if self._previous is None:
            return float(self._current.get_value_at_percentile(share * 100))
        merged = histogram.HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_DIGITS)
        merged.add(self._current)
        merged.add(self._previous)
        return float(merged.get_value_at_percentile(share * 100))


@dataclasses.dataclass(slots=True)
class _Ratio:
    """Mean length of a workspace's answers relative to its class."""

    value: float = 1.0
    count: int = 0

    def add(self, ratio: float) -> None:
        """Records one answer."""
        self.count += 1
        weight = max(1.0 / (self.count + PRIOR_ANSWERS), MIN_RATIO_WEIGHT)
        self.value += weight * (ratio - self.value)


@registry.plugin("estimate", "quantile")
class QuantileEstimate(base.Estimate):
    """Expected lengths by class and workspace from recent answers."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._lengths: dict[ids.ClassId, _Lengths] = {}
        self._ratios: dict[tuple[ids.ClassId, ids.WorkspaceId], _Ratio] = {}

    def expected_tokens(self, job: messages.Job) -> float:
        """Returns the mean length, at most the caller's limit."""
        lengths = self._lengths.get(job.class_id)
        if lengths is None or lengths.count < MIN_ANSWERS:
            mean = self._document_tokens(job.class_id)
        else:
            mean = lengths.mean
        ratio = self._ratios.get((job.class_id, job.workspace))
        if ratio is not None:
            mean *= ratio.value
        return min(mean, job.max_tokens) if job.max_tokens else mean

    def quantile(self, class_id: ids.ClassId, share: float) -> float:
        """Returns a quantile of a class's lengths.

        Args:
            class_id: The class.
            share: Share of the answers that are at most this long, 0 to 1.

        Returns:
            Tokens; the document's value before `MIN_ANSWERS` answers.
        """
        lengths = self._lengths.get(class_id)
        if lengths is None or lengths.count < MIN_ANSWERS:
            return self._document_tokens(class_id)
        return lengths.quantile(share)

    def _document_tokens(self, class_id: ids.ClassId) -> float:
        # An edit may remove a class while its requests are in flight.
        request_class = self.document.classes.get(class_id)
        return (
            float(request_class.expected_tokens)
            if request_class
            else DEFAULT_TOKENS
        )

    def learn(self, job: messages.Job, tokens: int) -> None:
        """Records the length of a complete answer; empty ones are ignored."""
        if tokens <= 0:
            return
        lengths = self._lengths.setdefault(job.class_id, _Lengths())
        if lengths.count >= MIN_ANSWERS:
            self._learn_ratio(job, tokens / lengths.mean)
        lengths.add(tokens)

    def _learn_ratio(self, job: messages.Job, value: float) -> None:
        key = (job.class_id, job.workspace)
        ratio = self._ratios.pop(key, None) or _Ratio()
        ratio.add(value)
        self._ratios[key] = ratio
        if len(self._ratios) > MAX_RATIOS:
            del self._ratios[next(iter(self._ratios))]
