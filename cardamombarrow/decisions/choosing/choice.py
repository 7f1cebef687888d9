"""Chooses the endpoint with the lowest expected finish time.

Load pattern: endpoints of unequal speed, an endpoint that turns slow while its
load report is still out of date, a prompt prefix that many requests share.
Without this module the requests are sent round robin: a slow endpoint gets as
many as a fast one, and every endpoint prefills a shared prefix again. Failing
endpoints are handled by `failures`.

The expected finish is the time to the first token, which grows with the prompt,
plus the expected answer at the endpoint's current time per token, both scaled
by its utilization. Running requests count at once, so a straggler is detected
before any of its requests has ended; old observations decay, so that it is
tried again.

The two plug-ins differ in the candidates that they compare: ``two-candidates``
draws two at random, ``least-finish`` compares all. Their results and the
reasons for the constants are in docs/decisions/endpoints.md.
"""

import dataclasses

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import cost_choice
from cardamombarrow.decisions.choosing import prefixes
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["FinishChoice", "LeastFinishChoice", "TwoCandidatesChoice"]

INITIAL_TOKEN_S = 0.02
"""Initial time per token of an endpoint."""

INITIAL_PROMPT_TOKEN_S = 0.0002
"""Initial time per prompt token of an endpoint."""

FIXED_PROMPT_TOKENS = 100
"""Fixed part of the time to first token, as a number of prompt tokens."""

OBSERVATION_WEIGHT = 0.2
"""Weight of one request; five requests make two thirds of the estimate."""

MEAN_WEIGHT = 0.05
"""Weight of one request in the mean over its service's endpoints."""

HISTORY_TOKENS = 50
"""Weight of an endpoint's history against running requests, in tokens."""

HALF_LIFE_S = 10.0
"""Half-life of the difference between an endpoint and its service's mean."""

PREFIX_SAVING_SHARE = 0.7
"""Share of a prompt's prefill that a cached prefix is expected to save."""

_OUTCOMES_WITHOUT_TIMING = failures.FAILURES | {
    messages.Outcome.FAILURE_ANSWERED
}
"""Outcomes whose duration says nothing about the endpoint's speed."""


@dataclasses.dataclass(slots=True)
class _Speed:
    """Speed estimated from an endpoint's answers."""

    token_s: float
    prompt_token_s: float
    updated_at_s: float


class FinishChoice(cost_choice.LowestCostChoice):
    """Lowest expected finish among the candidates that a subclass compares."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._speeds: dict[ids.EndpointId, _Speed] = {}
        self._means: dict[ids.ServiceId, _Speed] = {}
        self._prefixes = prefixes.SharedPrefixes()

    def _record_choice(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        has_affinity: bool,
        now_s: float,
    ) -> None:
        """Records that a prefix was seen."""
        self._prefixes.record(job.prefix_key, now_s)

    # -- cost ----------------------------------------------------------------

    def cost_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        is_prefix_cached: bool = False,
    ) -> float:
        """Returns the expected time from now to the job's last token.

        Failures of the endpoint multiply the cost.
        """
        speed = self._decayed(state, now_s)
        saved_s = 0.0
        if is_prefix_cached:
            saved_tokens = PREFIX_SAVING_SHARE * job.prompt_tokens
            saved_s = speed.prompt_token_s * saved_tokens
        work_tokens = job.prompt_tokens + FIXED_PROMPT_TOKENS
        first_s = speed.prompt_token_s * work_tokens
        busy_s = 0.0
        tokens = 0
        for running in state.running.values():
            if running.first_token_s is None:
                first_s = max(first_s, now_s - running.placed_s)
            else:
                busy_s += now_s - running.first_token_s
                tokens += running.tokens
        token_s = (speed.token_s * HISTORY_TOKENS + busy_s) / (
            HISTORY_TOKENS + tokens
        )
        in_flight = state.in_flight
        utilization = in_flight / max(state.configured_slots, 1)
        slowdown = self._failures.slowdown(state.endpoint, now_s)
        finish_s = (first_s + job.expected_tokens * token_s) * (
            1.0 + utilization
        )
        # The prefill of a prompt delays the whole batch, not only its request.
        return (finish_s - saved_s * (1 + in_flight)) * slowdown

    def _decayed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> _Speed:
        mean = self._means.get(state.service) or _Speed(
            INITIAL_TOKEN_S, INITIAL_PROMPT_TOKEN_S, now_s
        )
        speed = self._speeds.get(state.endpoint)
        if speed is None:
            return mean
        remaining_share = 0.5 ** ((now_s - speed.updated_at_s) / HALF_LIFE_S)
        return _Speed(
            mean.token_s + (speed.token_s - mean.token_s) * remaining_share,
            mean.prompt_token_s
            + (speed.prompt_token_s - mean.prompt_token_s) * remaining_share,
            now_s,
        )

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Updates the time per prompt token and records a success."""
        super().on_first_token(state, running, now_s)
        if not running.job.streams:
            # The first byte comes with the last one, after the whole run.
            return
        work_tokens = running.job.prompt_tokens + FIXED_PROMPT_TOKENS
        self._learn(
            state,
            now_s,
            prompt_token_s=(now_s - running.placed_s) / work_tokens,
        )

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Updates the time per token, or records a failure."""
        super().on_finish(state, running, outcome, now_s)
        if outcome in _OUTCOMES_WITHOUT_TIMING:
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
        speed = self._update_decayed(state, now_s)
        mean = self._means.setdefault(
            state.service,
            _Speed(speed.token_s, speed.prompt_token_s, now_s),
        )
        for name, value in values.items():
            _move_towards(speed, name, value, OBSERVATION_WEIGHT)
            _move_towards(mean, name, value, MEAN_WEIGHT)

    def _update_decayed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> _Speed:
        speed = self._decayed(state, now_s)
        stored = self._speeds.get(state.endpoint)
        if stored is None:
            stored = _Speed(speed.token_s, speed.prompt_token_s, now_s)
            self._speeds[state.endpoint] = stored
            return stored
        stored.token_s = speed.token_s
        stored.prompt_token_s = speed.prompt_token_s
        stored.updated_at_s = now_s
        return stored

    # -- prefixes ------------------------------------------------------------

    def _affinity_endpoint(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        """Returns the candidate whose cache should hold the job's prefix.

        A prefix seen only once does not count as shared.
        """
        if not self._prefixes.is_shared(job.prefix_key, now_s):
            return None
        return cost_choice.affinity_endpoint(job.prefix_key, candidates)


def _move_towards(
    speed: _Speed, name: str, value: float, weight: float
) -> None:
    stored = getattr(speed, name)
    setattr(speed, name, stored + weight * (value - stored))


@registry.plugin("choice", "two-candidates")
class TwoCandidatesChoice(FinishChoice):
    """Lowest expected finish among two candidates drawn at random."""

    def _compared_candidates(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        if len(candidates) <= 2:
            return candidates
        return self.context.rng.sample(candidates, 2)


@registry.plugin("choice", "least-finish")
class LeastFinishChoice(FinishChoice):
    """Lowest expected finish among all candidates."""

    def _compared_candidates(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        return candidates
