"""Where a job is sent: by expected finish, prefix and recent failures.

Load pattern answered: endpoints of unequal speed, an endpoint that turns slow
while its load report still shows the past, a prompt prefix that many requests
share, an endpoint that fails every request at once. Without this module the
requests go round in turn: a slow endpoint gets as many as a fast one, a
shared prefix is read anew by every endpoint, and an endpoint that fails fast
always has free slots, so it draws most of the traffic and fails it.

How the expected finish is worked out: the time to the first token, which
grows with the prompt, plus the expected answer at the endpoint's present time
per token, both raised by how full the endpoint is. What the requests that run
there now have shown counts at once, so a straggler is seen before any of its
requests has ended; what was seen long ago fades, so it is tried again.

The two plug-ins differ in whom they weigh: ``two-candidates`` takes two at
random, ``least-finish`` looks at all. Their figures side by side, and the
grounds of the constants, stand in docs/decisions/endpoints.md.
"""

import abc
import dataclasses
import functools
import zlib

from cardamombarrow.decisions import base
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import prefixes
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = [
    "FAILURE_PENALTY",
    "UNSEEN",
    "FinishChoice",
    "LeastFinishChoice",
    "TwoCandidatesChoice",
    "mix",
]

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

FAILURES_TO_PROBATION = 2
"""Failures in a row after which an endpoint gets probes only."""

FIRST_PROBE_S = 0.5
MOST_PROBE_S = 8.0
"""Time to the first probe, doubled after each failed one up to the second."""

FAILURE_PENALTY = 10.0
"""How many times slower an endpoint counts that fails every request."""

_FAILURES = frozenset(
    (
        messages.Outcome.NOT_STARTED,
        messages.Outcome.REFUSED_BY_ENDPOINT,
        messages.Outcome.FAILED,
        messages.Outcome.CRASHED,
        messages.Outcome.STALLED,
    )
)

UNSEEN = frozenset(
    (messages.Outcome.NOT_STARTED, messages.Outcome.REFUSED_BY_ENDPOINT)
)
"""Outcomes after which the endpoint has seen nothing of the request."""


@dataclasses.dataclass(slots=True)
class _Observed:
    """What an endpoint's answers have shown.

    Attributes:
        failure_share: Share of the latest requests that failed.
        failures: Failures since the last success.
        probe_at_s: On probation, when it may get its next request.
    """

    token_s: float
    prompt_token_s: float
    seen_at_s: float
    failure_share: float = 0.0
    failures: int = 0
    probe_at_s: float = 0.0

    @property
    def on_probation(self) -> bool:
        return self.failures >= FAILURES_TO_PROBATION


class FinishChoice(base.Choice):
    """Least expected finish among the candidates that are weighed."""

    def __init__(self, context: base.PolicyContext):
        super().__init__(context)
        self._observed: dict[ids.EndpointId, _Observed] = {}
        self._means: dict[ids.ServiceId, _Observed] = {}
        self._prefixes = prefixes.SharedPrefixes()

    @abc.abstractmethod
    def _weighed(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        """Returns the candidates whose finish is worked out."""

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Tells whether an endpoint may get a job now.

        An endpoint that fails every request within milliseconds is always
        free, so under load it is often the only candidate and would get each
        waiting job in turn. On probation it gets one job per probe, and only
        a job that may run again.
        """
        seen = self._observed.get(state.endpoint)
        if seen is None or not seen.on_probation:
            return True
        due = now_s >= seen.probe_at_s and not state.running
        return due and job.repeatable

    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns the candidate with the least expected finish."""
        home = self._home(job, candidates, now_s)
        probe = self._probe(candidates, now_s)
        if probe is not None:
            self._chosen(job, probe, probe is home, now_s)
            return probe, "probe after failures"
        weighed = self._weighed(candidates)
        if home is not None:
            weighed = [home, *weighed]
        cost_s, _, chosen = min(
            (
                self.cost_s(job, state, now_s, state is home),
                position,
                state,
            )
            for position, state in enumerate(weighed)
        )
        self._prefixes.remember(job.prefix_key, now_s)
        self._chosen(job, chosen, chosen is home, now_s)
        prefix = ", home of its prefix" if chosen is home else ""
        return chosen, f"least cost {cost_s:.3f} s{prefix}"

    def _chosen(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        is_home: bool,
        now_s: float,
    ) -> None:
        """Learns where a job goes, before it is placed."""

    def _probe(
        self,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        for state in candidates:
            seen = self._observed.get(state.endpoint)
            if seen is None or not seen.on_probation:
                continue
            doublings = min(seen.failures - FAILURES_TO_PROBATION, 10)
            wait_s = min(FIRST_PROBE_S * 2**doublings, MOST_PROBE_S)
            seen.probe_at_s = now_s + wait_s
            return state
        return None

    # -- cost ----------------------------------------------------------------

    def cost_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        prefix_there: bool = False,
    ) -> float:
        """Returns what placing a job at an endpoint costs, as a time.

        Here it is the expected time from now to the job's last token.
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
        failing = 1.0 + FAILURE_PENALTY * seen.failure_share
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
            seen.failure_share * left,
        )

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns the time per prompt token, and that the endpoint works."""
        if not running.job.streams:
            # The first byte comes with the last: it tells the whole time.
            self._learn(state, now_s)
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
        if outcome in _FAILURES:
            self._learn_failure(state, now_s)
        elif outcome is messages.Outcome.FAILURE_ANSWERED:
            self._learn_failure(state, now_s, breaks=False)
        elif running.first_token_s is not None and running.tokens > 1:
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
        seen.failures = 0
        seen.failure_share *= 1.0 - OBSERVATION_WEIGHT

    def _learn_failure(
        self,
        state: endpoint_module.EndpointState,
        now_s: float,
        *,
        breaks: bool = True,
    ) -> None:
        """Learns of a failure.

        One that the endpoint itself has answered may lie in the request: it
        counts against the endpoint, but does not put it on probation.
        """
        seen = self._of(state, now_s)
        seen.failures += breaks
        seen.failure_share += OBSERVATION_WEIGHT * (1.0 - seen.failure_share)
        if breaks and seen.failures == FAILURES_TO_PROBATION:
            seen.probe_at_s = now_s + FIRST_PROBE_S

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
        old.failure_share = seen.failure_share
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

        Rendezvous hashing names it, so all instances agree without a message
        and each cache keeps few prefixes. A prefix that was seen once is not
        held to be shared.
        """
        if not self._prefixes.shared(job.prefix_key, now_s):
            return None
        key = zlib.crc32(job.prefix_key.encode())
        return max(candidates, key=lambda state: mix(key, state.endpoint))


def _move(seen: _Observed, name: str, value: float, weight: float) -> None:
    old = getattr(seen, name)
    setattr(seen, name, old + weight * (value - old))


@functools.lru_cache(maxsize=4_096)
def _endpoint_hash(endpoint: ids.EndpointId) -> int:
    return zlib.crc32(endpoint.encode())


def mix(key: int, endpoint: ids.EndpointId) -> int:
    """Returns the rendezvous weight of a prefix at an endpoint.

    A plain checksum of both is linear: 12 prefixes were seen to leave one of
    four endpoints without any. The two rounds are those that end the 32-bit
    MurmurHash3 (Appleby, public domain).
    """
    mixed = key ^ _endpoint_hash(endpoint)
    mixed = ((mixed ^ (mixed >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    mixed = ((mixed ^ (mixed >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)


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
