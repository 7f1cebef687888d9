"""Where a job is sent: by expected finish and prefix.

Load pattern answered: endpoints of unequal speed, an endpoint that turns slow
while its load report still shows the past, a prompt prefix that many requests
share. Without this module the requests go round in turn: a slow endpoint gets
as many as a fast one, and a shared prefix is read anew by every endpoint. Of
endpoints that fail `failures` takes care.

How the expected finish is worked out: the time to the first token, which
grows with the prompt, plus the expected answer at the endpoint's present time
per token, both raised by how full the endpoint is. What the requests that run
there now have shown counts at once, so a straggler is seen before any of its
requests has ended; what was seen long ago fades, so it is tried again.

The two plug-ins differ in whom they weigh: ``two-candidates`` takes two at
random, ``least-finish`` looks at all. Their figures side by side, and the
grounds of the constants, stand in docs/decisions/endpoints.md.
"""

import dataclasses

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import failures
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import prefixes
from cardamombarrow.decisions import weighed
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["FinishChoice", "LeastFinishChoice", "TwoCandidatesChoice"]

FIRST_TOKEN_S = 0.02
"""Time per token of an endpoint of which nothing is known yet."""

FIRST_PROMPT_TOKEN_S = 0.0002
"""Time per prompt token of an endpoint of which nothing is known yet."""

FIXED_PROMPT_TOKENS = 100
"""Prompt tokens that the fixed part of a first token's time is worth."""

OBSERVATION_WEIGHT = 0.2
"""Weight of one request; five of them make two thirds of the estimate."""

MEAN_WEIGHT = 0.05
"""Weight of one request in the mean of its service's endpoints."""

HISTORY_TOKENS = 50
"""Tokens that the history of an endpoint weighs beside what runs now."""

HALF_LIFE_S = 10.0
"""Time after which half of an endpoint's distance to the mean is forgotten."""

PREFIX_SAVING_SHARE = 0.7
"""Part of a prompt's reading that a cached prefix is expected to save."""

_UNTIMED = failures.FAILURES | {messages.Outcome.FAILURE_ANSWERED}
"""Outcomes that tell nothing of the pace."""


@dataclasses.dataclass(slots=True)
class _Observed:
    """What an endpoint's answers have shown."""

    token_s: float
    prompt_token_s: float
    seen_at_s: float


class FinishChoice(weighed.WeighedChoice):
    """Least expected finish among the candidates that are weighed."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._observed: dict[ids.EndpointId, _Observed] = {}
        self._means: dict[ids.ServiceId, _Observed] = {}
        self._prefixes = prefixes.SharedPrefixes()

    def _chosen(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        is_home: bool,
        now_s: float,
    ) -> None:
        """Notes that a prefix was seen."""
        self._prefixes.remember(job.prefix_key, now_s)

    # -- cost ----------------------------------------------------------------

    def cost_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        prefix_there: bool = False,
    ) -> float:
        """Returns the expected time from now to the job's last token.

        An endpoint that fails counts as slower.
        """
        seen = self._faded(state, now_s)
        saved_s = 0.0
        if prefix_there:
            saved_tokens = PREFIX_SAVING_SHARE * job.prompt_tokens
            saved_s = seen.prompt_token_s * saved_tokens
        work = job.prompt_tokens + FIXED_PROMPT_TOKENS
        first_s = seen.prompt_token_s * work
        busy_s = 0.0
        tokens = 0
        for running in state.running.values():
            if running.first_token_s is None:
                first_s = max(first_s, now_s - running.placed_s)
            else:
                busy_s += now_s - running.first_token_s
                tokens += running.tokens
        token_s = (seen.token_s * HISTORY_TOKENS + busy_s) / (
            HISTORY_TOKENS + tokens
        )
        in_flight = state.in_flight
        fullness = in_flight / max(state.configured_slots, 1)
        failing = self._failures.slowdown(state.endpoint, now_s)
        finish_s = (first_s + job.expected_tokens * token_s) * (1.0 + fullness)
        # Reading a prompt holds up the whole batch, not just its own request.
        return (finish_s - saved_s * (1 + in_flight)) * failing

    def _faded(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> _Observed:
        mean = self._means.get(state.service) or _Observed(
            FIRST_TOKEN_S, FIRST_PROMPT_TOKEN_S, now_s
        )
        seen = self._observed.get(state.endpoint)
        if seen is None:
            return mean
        left = 0.5 ** ((now_s - seen.seen_at_s) / HALF_LIFE_S)
        return _Observed(
            mean.token_s + (seen.token_s - mean.token_s) * left,
            mean.prompt_token_s
            + (seen.prompt_token_s - mean.prompt_token_s) * left,
            now_s,
        )

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns the time per prompt token, and that the endpoint works."""
        super().on_first_token(state, running, now_s)
        if not running.job.streams:
            # The first byte comes with the last: it tells the whole time.
            return
        work = running.job.prompt_tokens + FIXED_PROMPT_TOKENS
        self._learn(
            state, now_s, prompt_token_s=(now_s - running.placed_s) / work
        )

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Learns the time per token, or that the endpoint failed."""
        super().on_finish(state, running, outcome, now_s)
        if outcome in _UNTIMED:
            return
        if running.first_token_s is not None and running.tokens > 1:
            begin_s = running.first_token_s
            if not running.job.streams:
                begin_s = running.placed_s
            busy_s = now_s - begin_s
            self._learn(state, now_s, token_s=busy_s / (running.tokens - 1))

    def _learn(
        self,
        state: endpoint_module.EndpointState,
        now_s: float,
        **values: float,
    ) -> None:
        seen = self._of(state, now_s)
        mean = self._means.setdefault(
            state.service,
            _Observed(seen.token_s, seen.prompt_token_s, now_s),
        )
        for name, value in values.items():
            _move(seen, name, value, OBSERVATION_WEIGHT)
            _move(mean, name, value, MEAN_WEIGHT)

    def _of(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> _Observed:
        seen = self._faded(state, now_s)
        old = self._observed.get(state.endpoint)
        if old is None:
            old = _Observed(seen.token_s, seen.prompt_token_s, now_s)
            self._observed[state.endpoint] = old
            return old
        old.token_s = seen.token_s
        old.prompt_token_s = seen.prompt_token_s
        old.seen_at_s = now_s
        return old

    # -- prefixes ------------------------------------------------------------

    def _home(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        """Returns the candidate whose cache should hold the job's prefix.

        A prefix that was seen once is not held to be shared.
        """
        if not self._prefixes.shared(job.prefix_key, now_s):
            return None
        return weighed.home_among(job.prefix_key, candidates)


def _move(seen: _Observed, name: str, value: float, weight: float) -> None:
    old = getattr(seen, name)
    setattr(seen, name, old + weight * (value - old))


@registry.plugin("choice", "two-candidates")
class TwoCandidatesChoice(FinishChoice):
    """The better of two candidates drawn at random."""

    def _weighed(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        if len(candidates) <= 2:
            return candidates
        return self.context.rng.sample(candidates, 2)


@registry.plugin("choice", "least-finish")
class LeastFinishChoice(FinishChoice):
    """The best of all candidates."""

    def _weighed(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        return candidates
