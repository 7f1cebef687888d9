"""How many requests an endpoint takes at once, learned from first tokens.

Load pattern answered: the slots written in the document are more than an
engine can carry now, because its memory went to long prompts, an adapter or
another tenant. Without this module the engine keeps taking requests up to the
written number; it evicts and recomputes, every request on it slows down, and
its load report says so seconds later.

The signals are this instance's own time from placement to first token, per
prompt token, and the time per token of its running requests, each against the
lowest seen in the last windows: they need nothing from the engine and are as
fresh as the traffic. The second is there because an engine out of memory
slows what runs more than it delays a first token. A load report that shows
requests waiting inside the engine counts as one more sample of congestion and
no more, because it is late; what was placed since is in this instance's own
books (`EndpointState.in_flight`).

``gradient`` moves the limit by the ratio of the two times, ``aimd`` adds and
halves as TCP does. Their figures, and the grounds of the constants, stand in
docs/decisions/endpoints.md. The limit never passes the document's slots.
"""

import abc
import dataclasses

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import prefixes
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["AimdLimits", "FirstTokenLimits", "GradientLimits"]

FIXED_PROMPT_TOKENS = 100
"""Prompt tokens that the fixed part of a first token's time is worth."""

LEAST_FIRST_S = 0.05
LEAST_PACE_S = 0.01
"""Shorter times to the first token, and per token, count as these.

Below them a ratio says more of the entry's own threads than of the engine,
and a low-water mark near nothing would make everything look like congestion.
"""

LEAST_PACE_TOKENS = 20
"""Fewer tokens than these say little about the time per token."""

WINDOW_S = 30.0
"""The low-water mark is the least of this window and the one before it.

So it rises within a minute when an engine has become slower for good.
"""

SAMPLE_WEIGHT = 0.2
"""Weight of one first token in the present time."""

TOLERANCE = 4.0
"""Ratio of present time to low-water mark that is no congestion.

Prompts that are read in one step add up: at 2 the limits were cut in patterns
with long shared prompts, and the prefixes lost their home.
"""

PACE_TOLERANCE = 2.5
"""The same for the time per token.

A full batch doubles it, and a long prompt that is read in between adds some.
"""

LEAST_GRADIENT = 0.5
"""Most that one sample may ask the limit to shrink to."""

HEADROOM_SLOTS = 1.0
"""Slots that are tried beyond what the gradient gives."""

GROWING = 0.2
SHRINKING = 0.5
"""Parts of the way to the wanted limit that one sample goes.

Too many requests harm all that run there; too few harm nobody at once.
"""

LEAST_LIMIT = 1.0
"""An endpoint always takes one request, or nothing new would be learned."""

AIMD_BACKOFF = 0.7
"""Factor on congestion, at most once per `AIMD_PAUSE_S`."""

AIMD_PAUSE_S = 1.0
"""Time in which the effect of a reduction can show in first tokens."""


@dataclasses.dataclass(slots=True)
class _Signal:
    """A time that grows under congestion, and its low-water mark.

    Attributes:
        tolerance: Ratio of present time to low-water mark that is no
            congestion.
        present_s: Recent mean.
        low_s: Least of the running window; `old_low_s` of the one before.
    """

    tolerance: float
    present_s: float
    low_s: float
    old_low_s: float
    window_from_s: float

    @classmethod
    def begin(cls, tolerance: float, value_s: float, now_s: float) -> "_Signal":
        """Returns a signal of one sample."""
        return cls(tolerance, value_s, value_s, value_s, now_s)

    @property
    def gradient(self) -> float:
        """Tolerated time over present time: under 1 under congestion."""
        low_s = min(self.low_s, self.old_low_s)
        return self.tolerance * low_s / max(self.present_s, 1e-9)

    def sample(self, value_s: float, now_s: float) -> None:
        """Takes one time."""
        self.present_s += SAMPLE_WEIGHT * (value_s - self.present_s)
        if now_s - self.window_from_s > WINDOW_S:
            self.old_low_s = self.low_s
            self.low_s = value_s
            self.window_from_s = now_s
        self.low_s = min(self.low_s, value_s)


@dataclasses.dataclass(slots=True)
class _Track:
    """One endpoint's limit and the times it rests on.

    Attributes:
        first: Time to first token, per prompt token.
        pace: Time per token of the requests that run, or None.
        report_at_s: Time of the last report that was looked at.
        reduced_at_s: Time of the last reduction.
    """

    limit: float
    first: _Signal
    pace: _Signal | None = None
    report_at_s: float = float("-inf")
    reduced_at_s: float = float("-inf")

    @property
    def gradient(self) -> float:
        """The worse of the two signals."""
        if self.pace is None:
            return self.first.gradient
        return min(self.first.gradient, self.pace.gradient)

    def sample_pace(self, value_s: float, now_s: float) -> None:
        """Takes one time per token."""
        if self.pace is None:
            self.pace = _Signal.begin(PACE_TOLERANCE, value_s, now_s)
        self.pace.sample(value_s, now_s)


class FirstTokenLimits(base.Limits):
    """A limit that follows the time to first token."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._tracks: dict[ids.EndpointId, _Track] = {}
        self._prefixes = prefixes.SharedPrefixes()

    @abc.abstractmethod
    def _adjust(
        self, track: _Track, gradient: float, busy: bool, now_s: float
    ) -> None:
        """Moves the limit by one sample; `busy` where slots are used."""

    def limit(self, state: endpoint_module.EndpointState, now_s: float) -> int:
        """Returns the learned limit, at most the document's slots."""
        track = self._tracks.get(state.endpoint)
        if track is None:
            return state.configured_slots
        self._look_at_report(track, state, now_s)
        track.limit = min(track.limit, float(state.configured_slots))
        return max(1, round(track.limit))

    def _look_at_report(
        self,
        track: _Track,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        report = state.report
        if report is None or report.measured_at_s <= track.report_at_s:
            return
        track.report_at_s = report.measured_at_s
        if report.waiting:
            taken = report.running / (report.running + report.waiting)
            self._adjust(track, max(taken, LEAST_GRADIENT), True, now_s)
            track.limit = max(LEAST_LIMIT, track.limit)

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns from a first token; an answer in one piece has none."""
        if not running.job.streams:
            return
        track = self._track(state, running, now_s)
        if track is None:
            return
        pace_s = _present_pace_s(state, now_s)
        if pace_s is not None:
            track.sample_pace(pace_s, now_s)
        busy = 2 * len(state.running) >= state.share
        self._adjust(track, track.gradient, busy, now_s)
        track.limit = max(
            LEAST_LIMIT, min(track.limit, float(state.configured_slots))
        )

    def _track(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> _Track | None:
        """Takes the time of a first token.

        A prompt that the engine has in its cache answers several times
        sooner; taken for the low-water mark it would make every new prompt
        look like congestion and cut the limit in half. So prompts whose
        beginning was seen before are left out.
        """
        job = running.job
        cached = self._prefixes.is_shared(job.prefix_key, running.placed_s)
        self._prefixes.record(job.prefix_key, running.placed_s)
        track = self._tracks.get(state.endpoint)
        if cached:
            return track
        work = job.prompt_tokens + FIXED_PROMPT_TOKENS
        first_s = max(now_s - running.placed_s, LEAST_FIRST_S)
        value_s = first_s / work
        if track is None:
            slots = float(state.configured_slots)
            track = _Track(slots, _Signal.begin(TOLERANCE, value_s, now_s))
            self._tracks[state.endpoint] = track
        track.first.sample(value_s, now_s)
        return track


def _present_pace_s(
    state: endpoint_module.EndpointState, now_s: float
) -> float | None:
    """Returns the time per token of what runs there, None if too little."""
    busy_s = 0.0
    tokens = 0
    for running in state.running.values():
        if running.first_token_s is not None:
            busy_s += now_s - running.first_token_s
            tokens += running.tokens
    if tokens < LEAST_PACE_TOKENS:
        return None
    return max(busy_s / tokens, LEAST_PACE_S)


@registry.plugin("limits", "gradient")
class GradientLimits(FirstTokenLimits):
    """Scales the limit by tolerated over present time."""

    def _adjust(
        self, track: _Track, gradient: float, busy: bool, now_s: float
    ) -> None:
        bounded = max(LEAST_GRADIENT, min(1.0, gradient))
        wanted = track.limit * bounded + HEADROOM_SLOTS
        if wanted > track.limit and not busy:
            return
        part = SHRINKING if wanted < track.limit else GROWING
        track.limit += part * (wanted - track.limit)


@registry.plugin("limits", "aimd")
class AimdLimits(FirstTokenLimits):
    """Adds a slot per round of first tokens, cuts on congestion."""

    def _adjust(
        self, track: _Track, gradient: float, busy: bool, now_s: float
    ) -> None:
        if gradient >= 1.0:
            if busy:
                track.limit += 1.0 / track.limit
        elif now_s - track.reduced_at_s >= AIMD_PAUSE_S:
            track.limit *= AIMD_BACKOFF
            track.reduced_at_s = now_s
