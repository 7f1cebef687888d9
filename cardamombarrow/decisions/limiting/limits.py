"""Adaptive concurrency limits per endpoint, from the time to first token.

Load pattern: the slots in the document are more than an engine can serve now,
because its memory is used by long prompts, an adapter or another tenant.
Without this module the engine gets requests up to the configured number; it
evicts and recomputes, every request on it slows down, and its load report
shows this seconds later.

The signals are this instance's own time from placement to first token, per
prompt token, and the time per token of its running requests, each compared
with the minimum of the last windows: they need nothing from the engine and are
as recent as the traffic. The second signal exists because an engine that is
out of memory slows running requests more than it delays a first token. A load
report that shows requests waiting inside the engine counts as one more sample
of congestion only, because it is late; requests placed since are counted by
this instance (`EndpointState.in_flight`).

``gradient`` scales the limit by the ratio of the two times, ``aimd`` increases
additively and decreases multiplicatively as TCP does. Measurements and the
reasons for the constants are in docs/decisions/endpoints.md. The limit never
exceeds the document's slots.
"""

import abc
import dataclasses

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import prefixes
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["AimdLimits", "FirstTokenLimits", "GradientLimits"]

FIXED_PROMPT_TOKENS = 100
"""Fixed cost of a first token, in equivalent prompt tokens."""

MIN_FIRST_TOKEN_S = 0.05
MIN_TOKEN_TIME_S = 0.01
"""Lower bounds on the measured times to the first token and per token.

Below them a ratio depends more on the threads of the entry than on the engine,
and a minimum near zero would make every later time look like congestion.
"""

MIN_TOKEN_TIME_TOKENS = 20
"""Minimum number of tokens for a sample of the time per token."""

WINDOW_S = 30.0
"""Window of the minimum, which is taken over this window and the one before.

The minimum thus rises within a minute when an engine becomes slower for good.
"""

SAMPLE_WEIGHT = 0.2
"""Weight of one sample in the moving average of a time."""

TOLERANCE = 4.0
"""Ratio of mean to minimum time up to which there is no congestion.

Prompts that are prefilled in one step add up: a lower ratio would cut the
limits under long shared prompts and move prefixes off the engines that cache
them.
"""

TOKEN_TIME_TOLERANCE = 2.5
"""The same for the time per token.

A full batch doubles it, and a long prompt that is prefilled in between adds
more.
"""

MIN_GRADIENT = 0.5
"""Lower bound on the factor that one sample may apply to the limit."""

HEADROOM_SLOTS = 1.0
"""Slots added to the result of the gradient, to probe a higher limit."""

GROW_SHARE = 0.2
SHRINK_SHARE = 0.5
"""Shares of the distance to the new limit that one sample moves.

Too many requests slow all requests on the endpoint; too few have no immediate
effect.
"""

MIN_LIMIT = 1.0
"""An endpoint always gets one request; otherwise there are no new samples."""

AIMD_BACKOFF = 0.7
"""Factor on congestion, at most once per `AIMD_PAUSE_S`."""

AIMD_PAUSE_S = 1.0
"""Time until a reduction shows in the time to first token."""


@dataclasses.dataclass(slots=True)
class _Signal:
    """A time that grows under congestion, and its windowed minimum.

    Attributes:
        tolerance: Ratio of mean to minimum up to which there is no
            congestion.
        mean_s: Exponential moving average.
        min_s: Minimum of the current window.
        previous_min_s: Minimum of the window before.
        window_start_s: Start of the current window.
    """

    tolerance: float
    mean_s: float
    min_s: float
    previous_min_s: float
    window_start_s: float

    @classmethod
    def start(cls, tolerance: float, value_s: float, now_s: float) -> "_Signal":
        """Returns a signal with one sample."""
        return cls(tolerance, value_s, value_s, value_s, now_s)

    @property
    def gradient(self) -> float:
        """Tolerated time over mean time; below 1 under congestion."""
        min_s = min(self.min_s, self.previous_min_s)
        return self.tolerance * min_s / max(self.mean_s, 1e-9)

    def sample(self, value_s: float, now_s: float) -> None:
        """Adds a sample."""
        self.mean_s += SAMPLE_WEIGHT * (value_s - self.mean_s)
        if now_s - self.window_start_s > WINDOW_S:
            self.previous_min_s = self.min_s
            self.min_s = value_s
            self.window_start_s = now_s
        self.min_s = min(self.min_s, value_s)


@dataclasses.dataclass(slots=True)
class _LimitControl:
    """One endpoint's limit and the signals that it follows.

    Attributes:
        first: Time to first token, per prompt token.
        token_time: Time per token of the running requests, or None.
        report_at_s: Time of the last processed report.
        reduced_at_s: Time of the last reduction.
    """

    limit: float
    first: _Signal
    token_time: _Signal | None = None
    report_at_s: float = float("-inf")
    reduced_at_s: float = float("-inf")

    @property
    def gradient(self) -> float:
        """The worse of the two signals."""
        if self.token_time is None:
            return self.first.gradient
        return min(self.first.gradient, self.token_time.gradient)

    def sample_token_time(self, value_s: float, now_s: float) -> None:
        """Adds a sample of the time per token."""
        if self.token_time is None:
            self.token_time = _Signal.start(
                TOKEN_TIME_TOLERANCE, value_s, now_s
            )
        self.token_time.sample(value_s, now_s)


class FirstTokenLimits(base.Limits):
    """A limit that follows the time to first token."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._controls: dict[ids.EndpointId, _LimitControl] = {}
        self._prefixes = prefixes.SharedPrefixes()

    @abc.abstractmethod
    def _adjust(
        self,
        control: _LimitControl,
        gradient: float,
        busy: bool,
        now_s: float,
    ) -> None:
        """Adjusts the limit by one sample.

        Args:
            control: The state of the endpoint.
            gradient: Tolerated over mean time; below 1 under congestion.
            busy: Whether at least half the slots are used.
            now_s: The time.
        """

    def limit(self, state: endpoint_module.EndpointState, now_s: float) -> int:
        """Returns the current limit, at most the document's slots."""
        control = self._controls.get(state.endpoint)
        if control is None:
            return state.configured_slots
        self._apply_report(control, state, now_s)
        control.limit = min(control.limit, float(state.configured_slots))
        return max(1, round(control.limit))

    def _apply_report(
        self,
        control: _LimitControl,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        report = state.report
        if report is None or report.measured_at_s <= control.report_at_s:
            return
        control.report_at_s = report.measured_at_s
        if report.waiting:
            taken = report.running / (report.running + report.waiting)
            self._adjust(control, max(taken, MIN_GRADIENT), True, now_s)
            control.limit = max(MIN_LIMIT, control.limit)

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Adjusts the limit; an answer that is not streamed has no effect."""
        if not running.job.streams:
            return
        control = self._record_first_token(state, running, now_s)
        if control is None:
            return
        token_time_s = _token_time_s(state, now_s)
        if token_time_s is not None:
            control.sample_token_time(token_time_s, now_s)
        busy = 2 * len(state.running) >= state.share
        self._adjust(control, control.gradient, busy, now_s)
        control.limit = max(
            MIN_LIMIT, min(control.limit, float(state.configured_slots))
        )

    def _record_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> _LimitControl | None:
        """Adds the time to a first token and returns the endpoint's state.

        A prompt in the engine's cache is answered several times faster; as
        the minimum it would make every new prompt look like congestion and
        halve the limit. Prompts whose prefix was seen before are skipped.
        """
        job = running.job
        cached = self._prefixes.is_shared(job.prefix_key, running.placed_s)
        self._prefixes.record(job.prefix_key, running.placed_s)
        control = self._controls.get(state.endpoint)
        if cached:
            return control
        work = job.prompt_tokens + FIXED_PROMPT_TOKENS
        first_s = max(now_s - running.placed_s, MIN_FIRST_TOKEN_S)
        value_s = first_s / work
        if control is None:
            slots = float(state.configured_slots)
            control = _LimitControl(
                slots, _Signal.start(TOLERANCE, value_s, now_s)
            )
            self._controls[state.endpoint] = control
        control.first.sample(value_s, now_s)
        return control


def _token_time_s(
    state: endpoint_module.EndpointState, now_s: float
) -> float | None:
    """Returns the time per token of running requests; None if too few."""
    busy_s = 0.0
    tokens = 0
    for running in state.running.values():
        if running.first_token_s is not None:
            busy_s += now_s - running.first_token_s
            tokens += running.tokens
    if tokens < MIN_TOKEN_TIME_TOKENS:
        return None
    return max(busy_s / tokens, MIN_TOKEN_TIME_S)


@registry.plugin("limits", "gradient")
class GradientLimits(FirstTokenLimits):
    """Scales the limit by the ratio of tolerated to mean time."""

    def _adjust(
        self,
        control: _LimitControl,
        gradient: float,
        busy: bool,
        now_s: float,
    ) -> None:
        bounded = max(MIN_GRADIENT, min(1.0, gradient))
        target = control.limit * bounded + HEADROOM_SLOTS
        if target > control.limit and not busy:
            return
        step = SHRINK_SHARE if target < control.limit else GROW_SHARE
        control.limit += step * (target - control.limit)


@registry.plugin("limits", "aimd")
class AimdLimits(FirstTokenLimits):
    """Adds a slot per round of first tokens, backs off on congestion."""

    def _adjust(
        self,
        control: _LimitControl,
        gradient: float,
        busy: bool,
        now_s: float,
    ) -> None:
        if gradient >= 1.0:
            if busy:
                control.limit += 1.0 / control.limit
        elif now_s - control.reduced_at_s >= AIMD_PAUSE_S:
            control.limit *= AIMD_BACKOFF
            control.reduced_at_s = now_s
