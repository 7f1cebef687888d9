"""Expected time to first token of a job at an endpoint, and of the best one.

It is the sum of

- the base latency: the time to first token on an idle endpoint, learned per
  endpoint; a guess by distance until then;
- the remaining prefill of the prompts that this instance sent there, and of
  those that other instances reported;
- the congestion: how much later than expected the latest first tokens there
  came, because of other instances' requests or a slow endpoint. It decays
  within seconds, so that the endpoint is tried again;
- the prefill of the job's own uncached tokens.

A call that does not stream has no prompt to prefill: its base latency is the
median response time of such calls, and one overdue call is ignored.
"""

import math

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import engine_latency
from cardamombarrow.decisions.choosing import engine_prefill
from cardamombarrow.decisions.choosing import prefill_bound
from cardamombarrow.decisions.choosing import prefill_time
from cardamombarrow.kernel import ids

__all__ = ["FirstTokenForecast"]

LOCAL_BASE_S = 0.02
"""Initial base latency of an endpoint in the own domain."""

REMOTE_BASE_S = 0.15
"""Initial base latency in another domain: connection setup, request and first
token at 30 ms each way."""

MAX_ENGINES = 1_024
"""Endpoints tracked; slightly more than the target size has."""

CACHED_FOR_S = 0.05
"""Time for which the least wait at an endpoint and the prefill rate of all
endpoints are used again; a fraction of the shortest target."""

PER_REQUEST_S = 0.001
"""Added for each running request, because they share the engine's speed."""


class FirstTokenForecast:
    """Times to first token, learned from this instance's own requests.

    Attributes:
        latencies: Latency of each endpoint.
    """

    def __init__(
        self, domain: ids.DomainId, prefill: engine_prefill.EnginePrefill
    ):
        self._domain = domain
        self._prefill = prefill
        self.latencies: dict[ids.EndpointId, engine_latency.EngineLatency] = {}
        self._expected_s: dict[ids.RequestId, float] = {}
        self._least_waits: dict[
            tuple[ids.ServiceId, int], tuple[float, float]
        ] = {}
        self._prefill_rates: dict[ids.ServiceId, tuple[float, float]] = {}

    def first_token_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        uncached_tokens: float,
        now_s: float,
    ) -> float:
        """Returns the expected time to first token of a job at an endpoint."""
        latency = self._latency(state)
        token_s = self._prefill.token_s(state, now_s)
        waiting = max(state.in_flight - state.configured_slots + 1, 0)
        base_s = latency.base_at(now_s)
        return (
            base_s
            + self._queue_s(job, state, token_s, now_s)
            + latency.congestion_at(now_s)
            + uncached_tokens * token_s
            + PER_REQUEST_S * state.in_flight
            + waiting * base_s / max(state.configured_slots, 1)
        )

    def _queue_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        token_s: float,
        now_s: float,
    ) -> float:
        """Returns the remaining prefill of the prompts there, plus their delay.

        If a first token is overdue, the endpoint is at least that late. A call
        that does not stream may just be long, so the most overdue one is
        ignored. Otherwise each call of a second or so sent the calls of that
        second to other domains, a sixth of all, where the network latency
        alone takes half of their target.
        """
        queued_s = 0.0
        first_placed_s = now_s
        overdue_s = [0.0]
        for running in state.running.values():
            if running.first_token_s is not None:
                continue
            queued_s += running.job.unread_tokens * token_s
            first_placed_s = min(first_placed_s, running.placed_s)
            expected_s = self._expected_s.get(running.job.request_id, 0.0)
            overdue_s.append(now_s - running.placed_s - expected_s)
        if not job.streams:
            overdue_s.remove(max(overdue_s))
        own_prefill_s = max(queued_s - (now_s - first_placed_s), 0.0)
        reported_prefill_s = state.peer_prefill_s(token_s, now_s)
        return own_prefill_s + reported_prefill_s + max(overdue_s, default=0.0)

    def least_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        uncached_tokens: float,
        now_s: float,
    ) -> float:
        """Returns the least time to the first token of a job placed now.

        This is the prefill of its uncached tokens, behind the shortest queue; a
        fetch takes far less.
        """
        prefill_s = uncached_tokens * self._prefill.service_token_s(job.service)
        return self._least_wait_s(job, states, now_s) + prefill_s

    def _least_wait_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the least wait, at most `CACHED_FOR_S` old.

        A job may be examined at each event; with hundreds of endpoints that
        would take longer than the decisions.
        """
        key = job.service, job.rank
        known_s, wait_s = self._least_waits.get(key, (-math.inf, 0.0))
        if now_s - known_s < CACHED_FOR_S:
            return wait_s
        token_s = self._prefill.service_token_s(job.service)
        wait_s = min(
            (
                self._latency(state).base_at(now_s)
                + prefill_bound.prefill_ahead_s(state, job, token_s, now_s)
                for state in states
            ),
            default=0.0,
        )
        self._least_waits[key] = now_s, wait_s
        return wait_s

    def prefill_tokens_per_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the part of the endpoints' prefill rate that is this one's.

        It is the part that its own prompts have of those in prefill there.
        """
        key = job.service
        known_s, per_s = self._prefill_rates.get(key, (-math.inf, 0.0))
        if now_s - known_s < CACHED_FOR_S:
            return per_s
        token_s = self._prefill.service_token_s(job.service)
        own_s = peer_s = 0.0
        for state in states:
            own_s += token_s * state.own_load(now_s).unread_tokens
            peer_s += state.peer_prefill_s(token_s, now_s)
        share = own_s / (own_s + peer_s) if own_s and peer_s else 1.0
        per_s = share * len(states) / token_s
        self._prefill_rates[key] = now_s, per_s
        return per_s

    def record_choice(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        uncached_tokens: float,
        now_s: float,
    ) -> None:
        """Records the expected first token time of a job placed now."""
        self._expected_s[job.request_id] = self.first_token_s(
            job, state, uncached_tokens, now_s
        )

    def record_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records the same for a placement that another instance decided.

        That instance has already set the job's uncached tokens.
        """
        token_s = self._prefill.token_s(state, now_s)
        self._expected_s[job.request_id] = (
            self._latency(state).base_at(now_s)
            + self._queue_s(job, state, token_s, now_s)
            + job.unread_tokens * token_s
        )

    def drop_request(self, request_id: ids.RequestId) -> None:
        """Drops the expected time of a request that has ended."""
        self._expected_s.pop(request_id, None)

    def learn(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Updates latency and prefill time from a first token."""
        latency = self._latency(state)
        took_s = now_s - running.placed_s
        if not running.job.streams:
            latency.learn_response(took_s, now_s)
            return
        expected_s = self._expected_s.get(running.job.request_id, took_s)
        latency.learn_delay(max(took_s - expected_s, 0.0), now_s)
        uncached = running.job.unread_tokens
        if uncached >= prefill_time.MIN_PROMPT_TOKENS:
            prefill_s = took_s - latency.base_s
            self._prefill.learn(state, running.job, prefill_s / uncached, now_s)
            return
        prefill_s = uncached * self._prefill.token_s(state, now_s)
        base_s = max(took_s - prefill_s, 0.001)
        if base_s < latency.base_s:
            latency.learn_base(base_s, now_s)

    def _latency(
        self, state: endpoint_module.EndpointState
    ) -> engine_latency.EngineLatency:
        latency = self.latencies.get(state.endpoint)
        if latency is None:
            is_local = state.domain == self._domain
            latency = engine_latency.EngineLatency(
                LOCAL_BASE_S if is_local else REMOTE_BASE_S
            )
            self.latencies[state.endpoint] = latency
            if len(self.latencies) > MAX_ENGINES:
                # Restarted endpoints get new ids and would accumulate.
                del self.latencies[next(iter(self.latencies))]
        return latency
