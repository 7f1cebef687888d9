"""How long an answer will be: quantiles by class, a ratio by workspace.

Load pattern: long jobs among short ones, of unknown length, and lengths that
change during the day. A guess that stays off lets a workspace of long answers
take more than its part, and makes predicted waits wrong by the same factor.

Lengths are kept by class in two histograms that take turns: one is filled,
the other is the last full one. Both are read, and after `WINDOW_ANSWERS`
answers the older is dropped. So an estimate rests on one to two windows of
answers and forgets what was before, whatever the rate of requests. A
workspace is kept as one number, its mean length relative to its class, drawn
towards 1 while it has few answers: 3,800 workspaces with histograms of their
own would take more memory than an instance has for all of its control.

256 answers place a mean within 4 to 6 % for answers whose standard deviation is
0.7 to 1 of the mean (sigma / sqrt(n)). `PRIOR_ANSWERS` is the count at which a
workspace's own answers weigh as much as its class.
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
LEAST_ANSWERS = 8
"""Answers of a class below which the document's guess is used."""

GUESS_TOKENS = 200.0
"""Length of answers of a class that the document no longer has."""

PRIOR_ANSWERS = 8.0
RATIO_WEIGHT = 0.05
"""Least weight of one answer in its workspace's ratio."""

TOKENS_MAX = 100_000
DIGITS = 2
WORKSPACES_MAX = 20_000
"""Pairs of class and workspace kept; the ones not seen longest go first."""


class _Lengths:
    """The lengths of a class: a histogram being filled, and the last one."""

    def __init__(self):
        self._new = histogram.HdrHistogram(1, TOKENS_MAX, DIGITS)
        self._old: histogram.HdrHistogram | None = None
        self.mean = 0.0

    @property
    def count(self) -> int:
        """Answers that the estimate rests on."""
        old = self._old.total_count if self._old else 0
        return self._new.total_count + old

    def add(self, tokens: int) -> None:
        """Records one length."""
        if self._new.total_count >= WINDOW_ANSWERS:
            self._old = self._new
            self._new = histogram.HdrHistogram(1, TOKENS_MAX, DIGITS)
        self._new.record_value(min(max(tokens, 1), TOKENS_MAX))
        count = min(self.count, 2 * WINDOW_ANSWERS)
        self.mean += (tokens - self.mean) / count

    def quantile(self, share: float) -> float:
        """Returns the length that this share of answers does not exceed."""
        if self._old is None:
            return float(self._new.get_value_at_percentile(share * 100))
        both = histogram.HdrHistogram(1, TOKENS_MAX, DIGITS)
        both.add(self._new)
        both.add(self._old)
        return float(both.get_value_at_percentile(share * 100))


@dataclasses.dataclass(slots=True)
class _Ratio:
    """A workspace's lengths relative to its class."""

    value: float = 1.0
    count: int = 0

    def add(self, ratio: float) -> None:
        """Records one answer."""
        self.count += 1
        weight = max(1.0 / (self.count + PRIOR_ANSWERS), RATIO_WEIGHT)
        self.value += weight * (ratio - self.value)


@registry.plugin("estimate", "quantile")
class QuantileEstimate(base.Estimate):
    """Lengths by class and workspace, forgetting what is long past."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._lengths: dict[ids.ClassId, _Lengths] = {}
        self._ratios: dict[tuple[ids.ClassId, ids.WorkspaceId], _Ratio] = {}

    def expected_tokens(self, job: messages.Job) -> float:
        """Returns the mean length, at most what the caller allows."""
        lengths = self._lengths.get(job.class_id)
        if lengths is None or lengths.count < LEAST_ANSWERS:
            mean = self._guess(job.class_id)
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
            share: Part of the answers that are no longer, 0 to 1.

        Returns:
            Tokens; the document's guess before `LEAST_ANSWERS` answers.
        """
        lengths = self._lengths.get(class_id)
        if lengths is None or lengths.count < LEAST_ANSWERS:
            return self._guess(class_id)
        return lengths.quantile(share)

    def _guess(self, class_id: ids.ClassId) -> float:
        # An edit may take a class out while its requests are on their way.
        known = self.document.classes.get(class_id)
        return float(known.expected_tokens) if known else GUESS_TOKENS

    def learn(self, job: messages.Job, tokens: int) -> None:
        """Records the length of a whole answer; those without tokens pass."""
        if tokens <= 0:
            return
        lengths = self._lengths.setdefault(job.class_id, _Lengths())
        if lengths.count >= LEAST_ANSWERS:
            self._learn_ratio(job, tokens / lengths.mean)
        lengths.add(tokens)

    def _learn_ratio(self, job: messages.Job, value: float) -> None:
        key = (job.class_id, job.workspace)
        ratio = self._ratios.pop(key, None) or _Ratio()
        ratio.add(value)
        self._ratios[key] = ratio
        if len(self._ratios) > WORKSPACES_MAX:
            del self._ratios[next(iter(self._ratios))]
