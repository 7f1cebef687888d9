"""Metrics of an entry, in the Prometheus text format.

Latencies are recorded in one HDR histogram per class: two significant digits
from a millisecond to an hour take some 20 KB, regardless of the load.
"""

import collections
from collections import abc
import dataclasses
import threading

from hdrh import histogram

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import background
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel import memory
from cardamombarrow.placing import messages as placing_messages
from cardamombarrow.resumption import core as resumption

__all__ = ["Gauges", "Metrics"]

HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99)
PREFIX = "cardamombarrow_"

LIST_LIMIT = 20
"""Latencies of a class that are stored as a list before it gets a histogram."""

_NOT_MISSED = {
    errors.ErrorKind.BAD_REQUEST,
    errors.ErrorKind.CALLER_GONE,
    errors.ErrorKind.KEY_REQUIRED,
    errors.ErrorKind.KEY_REUSED,
}
"""Errors that do not count as a missed target."""


@dataclasses.dataclass(frozen=True)
class Gauges:
    """What an entry's parts count at the moment.

    Attributes:
        held: Requests held now.
        revision: Revision in force.
        rate_limited: Endpoints that state a rate limit.
        paused: Endpoints that have asked for a pause.
        invalid_fields: Header fields of endpoints' answers that could not be
            parsed, by name.
        slow: Endpoints whose prefill is known to be slow.
        suspects: What may crash endpoints, or does.
        unreachable: Services of which no endpoint can be connected.
        brittle: Endpoints that limit their rejections.
    """

    held: int
    revision: ids.Revision
    rate_limited: int = 0
    paused: int = 0
    invalid_fields: abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    slow: int = 0
    suspects: messages.SuspectCounts = dataclasses.field(
        default_factory=messages.SuspectCounts
    )
    unreachable: int = 0
    brittle: int = 0


class _Latency:
    """Latencies of one kind and class.

    The first few are stored as a list: an instance sees only a few requests of
    many classes, and a histogram for each of those took 2 MB.
    """

    def __init__(self):
        self._first_ms: list[int] | None = []
        self._histogram: histogram.HdrHistogram | None = None
        self._sum_s = 0.0

    def record(self, value_s: float) -> None:
        value_ms = min(max(round(value_s * 1_000), 1), HIGHEST_MS)
        self._sum_s += value_s
        if self._first_ms is None:
            self._histogram.record_value(value_ms)
            return
        self._first_ms.append(value_ms)
        if len(self._first_ms) >= LIST_LIMIT:
            self._histogram = self._build_histogram()
            self._first_ms = None

    def _build_histogram(self) -> histogram.HdrHistogram:
        built = histogram.HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)
        for value_ms in self._first_ms or ():
            built.record_value(value_ms)
        return built

    def lines(self, name: str, class_id: ids.ClassId) -> abc.Iterator[str]:
        recorded = self._histogram or self._build_histogram()
        for quantile in QUANTILES:
            value_ms = recorded.get_value_at_percentile(100 * quantile)
            labels = f'class="{class_id}",quantile="{quantile}"'
            yield f"{PREFIX}{name}{{{labels}}} {value_ms / 1_000}"
        labels = f'class="{class_id}"'
        count = recorded.get_total_count()
        yield f"{PREFIX}{name}_sum{{{labels}}} {self._sum_s:.3f}"
        yield f"{PREFIX}{name}_count{{{labels}}} {count}"


class Metrics:
    """Counters and latencies of requests; shared by all threads.

    Attributes:
        waiting: Requests that wait for a placement now.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._first_token: dict[ids.ClassId, _Latency] = {}
        self._total: dict[ids.ClassId, _Latency] = {}
        self._requests: collections.Counter[tuple[ids.ClassId, bool]] = (
            collections.Counter()
        )
        self._errors: collections.Counter[errors.ErrorKind] = (
            collections.Counter()
        )
        self._wasted: collections.Counter[messages.Outcome] = (
            collections.Counter()
        )
        self._questions: collections.Counter[
            placing_messages.QuestionOutcome
        ] = collections.Counter()
        self._forwarded: collections.Counter[str] = collections.Counter()
        self._resumptions: collections.Counter[resumption.Resolution] = (
            collections.Counter()
        )
        self._retries: collections.Counter[bool] = collections.Counter()
        self._refusals: collections.Counter[
            tuple[errors.RefusalCheck, bool]
        ] = collections.Counter()
        self._crashes = 0
        self._unacknowledged_streams = 0
        self._goodput_tokens = 0
        self._sent_under_limit = 0
        self.waiting = 0

    def add_waiting(self, change: int) -> None:
        """Changes the number of waiting requests by `change` (1 or -1)."""
        with self._lock:
            self.waiting += change

    def count_answer(
        self,
        job: messages.Job,
        first_token_s: float,
        total_s: float,
        tokens: int,
    ) -> None:
        """Counts a complete answer; times are measured from the arrival."""
        met = first_token_s <= job.target_first_token_s
        with self._lock:
            for latencies, value_s in (
                (self._first_token, first_token_s),
                (self._total, total_s),
            ):
                latencies.setdefault(job.class_id, _Latency()).record(value_s)
            self._requests[job.class_id, met] += 1
            self._goodput_tokens += tokens

    def count_wasted(self, outcome: messages.Outcome, tokens: int) -> None:
        """Counts the tokens of a run whose answer was not completed."""
        with self._lock:
            self._wasted[outcome] += tokens

    def count_error(
        self, kind: errors.ErrorKind, class_id: ids.ClassId | None = None
    ) -> None:
        """Counts an error answer; most kinds count as a missed target."""
        with self._lock:
            self._errors[kind] += 1
            if class_id is not None and kind not in _NOT_MISSED:
                self._requests[class_id, False] += 1

    def count_question(self, outcome: placing_messages.QuestionOutcome) -> None:
        """Counts the outcome of a question to the placer."""
        with self._lock:
            self._questions[outcome] += 1

    def count_forward(self, outcome: str) -> None:
        """Counts a request that another entry was asked to serve."""
        with self._lock:
            self._forwarded[outcome] += 1

    def count_resumption(self, resolution: resumption.Resolution) -> None:
        """Counts a stream that its caller resumes."""
        with self._lock:
            self._resumptions[resolution] += 1

    def count_unacknowledged_stream(self) -> None:
        """Counts a stream whose origin control had not stored in time."""
        with self._lock:
            self._unacknowledged_streams += 1

    def count_retry(self, *, allowed: bool) -> None:
        """Counts a failed request that is retried, or must not be."""
        with self._lock:
            self._retries[allowed] += 1

    def count_crash(self) -> None:
        """Counts an endpoint that crashed under requests of this entry."""
        with self._lock:
            self._crashes += 1

    def count_refusal(
        self, check: errors.RefusalCheck, *, less_urgent_began: bool
    ) -> None:
        """Counts a refusal.

        Args:
            check: The check that refused the request.
            less_urgent_began: Whether a less urgent request was placed while
                the refused one waited.
        """
        with self._lock:
            self._refusals[check, less_urgent_began] += 1

    def count_sent_under_limit(self) -> None:
        """Counts a request to an endpoint that states a rate limit."""
        with self._lock:
            self._sent_under_limit += 1

    def text(self, gauges: Gauges) -> str:
        """Returns all metrics in the Prometheus text format."""
        values = {
            "requests_held": gauges.held,
            "requests_waiting": self.waiting,
            "document_revision": gauges.revision,
            "rate_limited_endpoints": gauges.rate_limited,
            "paused_endpoints": gauges.paused,
            "slow_endpoints": gauges.slow,
            "suspect_requests": gauges.suspects.requests,
            "quarantined_requests": gauges.suspects.quarantined_requests,
            "suspect_prompt_parts": gauges.suspects.parts,
            "quarantined_prompt_parts": gauges.suspects.quarantined_parts,
            "unreachable_services": gauges.unreachable,
            "rejection_limited_endpoints": gauges.brittle,
            "resident_memory_bytes": memory.resident_bytes(),
        }
        with self._lock:
            lines = [*self._lines(values)]
        lines += background.metric_lines(PREFIX)
        lines += left_out.metric_lines(PREFIX)
        lines.append(f"# TYPE {PREFIX}invalid_statements_total counter")
        lines += [
            f'{PREFIX}invalid_statements_total{{field="{name}"}} {count}'
            for name, count in gauges.invalid_fields.items()
        ]
        return "\n".join(lines) + "\n"

    def _resumption_lines(self) -> abc.Iterator[str]:
        yield f"# TYPE {PREFIX}stream_resumptions_total counter"
        for resolution, count in self._resumptions.items():
            labels = f'origin="{resolution.value}"'
            yield f"{PREFIX}stream_resumptions_total{{{labels}}} {count}"
        yield f"# TYPE {PREFIX}unacknowledged_streams_total counter"
        yield (
            f"{PREFIX}unacknowledged_streams_total "
            f"{self._unacknowledged_streams}"
        )

    def _refusal_lines(self) -> abc.Iterator[str]:
        yield f"# TYPE {PREFIX}refusals_total counter"
        for (check, began), count in self._refusals.items():
            labels = f'check="{check.value}",less_urgent="{_BEGAN[began]}"'
            yield f"{PREFIX}refusals_total{{{labels}}} {count}"

    def _lines(self, gauges: dict[str, int]) -> abc.Iterator[str]:
        for name, latencies in (
            ("first_token_seconds", self._first_token),
            ("total_seconds", self._total),
        ):
            yield f"# TYPE {PREFIX}{name} summary"
            for class_id, latency in latencies.items():
                yield from latency.lines(name, class_id)
        yield f"# TYPE {PREFIX}requests_total counter"
        for (class_id, met), count in self._requests.items():
            labels = f'class="{class_id}",target="{_TARGET[met]}"'
            yield f"{PREFIX}requests_total{{{labels}}} {count}"
        yield f"# TYPE {PREFIX}errors_total counter"
        for kind, count in self._errors.items():
            yield f'{PREFIX}errors_total{{code="{kind.value}"}} {count}'
        yield f"# TYPE {PREFIX}goodput_tokens_total counter"
        yield f"{PREFIX}goodput_tokens_total {self._goodput_tokens}"
        yield f"# TYPE {PREFIX}wasted_tokens_total counter"
        for outcome, tokens in self._wasted.items():
            labels = f'reason="{outcome.value}"'
            yield f"{PREFIX}wasted_tokens_total{{{labels}}} {tokens}"
        yield f"# TYPE {PREFIX}placing_questions_total counter"
        for question_outcome, count in self._questions.items():
            labels = f'outcome="{question_outcome.value}"'
            yield f"{PREFIX}placing_questions_total{{{labels}}} {count}"
        yield f"# TYPE {PREFIX}forwarded_requests_total counter"
        for outcome_name, count in self._forwarded.items():
            labels = f'outcome="{outcome_name}"'
            yield f"{PREFIX}forwarded_requests_total{{{labels}}} {count}"
        yield from self._resumption_lines()
        yield f"# TYPE {PREFIX}retries_total counter"
        for allowed, count in self._retries.items():
            labels = f'decision="{_RETRY[allowed]}"'
            yield f"{PREFIX}retries_total{{{labels}}} {count}"
        yield from self._refusal_lines()
        yield f"# TYPE {PREFIX}endpoint_crashes_total counter"
        yield f"{PREFIX}endpoint_crashes_total {self._crashes}"
        yield f"# TYPE {PREFIX}sent_under_rate_limit_total counter"
        yield f"{PREFIX}sent_under_rate_limit_total {self._sent_under_limit}"
        for name, value in gauges.items():
            yield f"# TYPE {PREFIX}{name} gauge"
            yield f"{PREFIX}{name} {value}"


_BEGAN = {True: "began", False: "none"}
_RETRY = {True: "allowed", False: "refused"}
_TARGET = {True: "met", False: "missed"}
