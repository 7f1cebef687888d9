"""Chooses the endpoint with the lowest expected time to first token.

Load pattern: prompts of very different length, many with a shared prefix, on
engines of several failure domains that prefill one prompt at a time. A short
request waits for the prefill of the long prompts ahead of it, so the number of
requests says little: an engine with free slots may be seconds behind. Without
this module each domain uses its own engines only, and a domain with one engine
misses every target while engines of other domains are idle.

The expected time is the sum of

- the base latency: the time to first token on an idle endpoint, learned per
  endpoint; a guess by distance until then;
- the remaining prefill of the prompts that this instance sent there, and of
  those that other instances reported;
- the congestion: how much later than expected the latest first tokens there
  came, because of other instances' requests or a slow endpoint. It decays
  within seconds, so that the endpoint is tried again;
- the prefill of the job's own prompt, less the parts in the endpoint's cache;
- a penalty for leaving the job's partition (see `length_partition`): the
  prefill of a long prompt delays the tokens of short answers on the same
  engine, and a short request is delayed among long prompts.

A call that does not stream has no prompt to prefill: its base latency is the
median response time of such calls, and one overdue call is ignored.

Cache contents are inferred from what this instance sent there and what other
instances report (see `cache_directory`); missing parts may be fetched (see
`fetching`). In addition, rendezvous hashing assigns each shared prefix an
affinity endpoint, the same on all instances without a message. A prefix that no
instance has reported is assumed to be partly cached there, because other
instances send it there too.

All time constants are of the order of the latency targets.
"""

from collections import abc as collections_abc
import dataclasses
import math

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import cost_choice
from cardamombarrow.decisions.choosing import endpoint_speed
from cardamombarrow.decisions.choosing import engine_caches
from cardamombarrow.decisions.choosing import engine_latency
from cardamombarrow.decisions.choosing import fetching
from cardamombarrow.decisions.choosing import length_partition
from cardamombarrow.decisions.choosing import prefill_bound
from cardamombarrow.decisions.choosing import prefill_time
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["FirstEventChoice"]

LOCAL_BASE_S = 0.02
"""Initial base latency of an endpoint in the own domain."""

REMOTE_BASE_S = 0.15
"""Initial base latency in another domain: connection setup, request and first
token at 30 ms each way."""

MAX_ENGINES = 1_024
"""Endpoints tracked; slightly more than the target size has."""

LONG_PREFILL_SHARE = 0.5
"""A prompt is long when its prefill takes more than this share of the shortest
pause that any route of the document allows within an answer."""

DEFAULT_PAUSE_S = 0.2
"""Shortest allowed pause if no route sets one."""

SHORT_REQUEST_PENALTY_S = 0.3
"""Penalty for a short request on an endpoint of the long-prompt partition."""


@dataclasses.dataclass(frozen=True)
class _QueueLimits:
    """Limits that depend on whether all requests of an endpoint are known.

    Attributes:
        max_queued_for_long: A long prompt goes to an endpoint only while fewer
            known prompts than this wait for their first token there.
        max_queued_for_short: The same for a short prompt.
        long_prompt_penalty_share: Penalty for a long prompt on an endpoint of
            the short-request partition, as a share of its target.
    """

    max_queued_for_long: int
    max_queued_for_short: int
    long_prompt_penalty_share: float

    def max_queued(self, is_long: bool) -> int:
        """Returns the limit for a long or a short prompt."""
        if is_long:
            return self.max_queued_for_long
        return self.max_queued_for_short


OWN_QUEUE_LIMITS = _QueueLimits(3, 4, 0.6)
"""For an instance that knows only its own requests; other instances send as
many."""

DOMAIN_QUEUE_LIMITS = _QueueLimits(8, 12, 2.0)
"""For an instance that knows all requests of its domain. With lower limits an
endpoint would idle while the message of its latest first token is in transit.
The long-prompt penalty is high because the delay of the long-prompt partition
is known here: a lower one would move long prompts to the short-request
partition in every burst."""

AFFINITY_WAIT_SHARE = 0.3
"""Share of its target that a long prompt waits for its affinity endpoint before
it goes to one that has to prefill the shared prefix again."""

PREEMPTION_PENALTY_S = 0.2
"""Penalty for an endpoint that has to preempt a request: a long prompt is
prefilled twice."""

LEAST_WAIT_AGE_S = 0.05
"""Time for which the least wait at an endpoint and the prefill rate of all
endpoints are used again; a fraction of the shortest target."""

MIN_UNCACHED_SHARE = 0.5
"""Share of a prompt that must not be cached for its prefill time to count."""

PER_REQUEST_S = 0.001
"""Added for each running request, because they share the engine's speed."""


def _shortest_pause_s(document: schema.Document) -> float:
    pauses_s = [r.longest_pause_s for r in document.routes.values()]
    return min(filter(None, pauses_s), default=DEFAULT_PAUSE_S)


@registry.plugin("choice", "first-event")
class FirstEventChoice(cost_choice.LowestCostChoice):
    """Lowest expected time to first token among all candidates."""

    engine_preempts = True

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._latencies: dict[ids.EndpointId, engine_latency.EngineLatency] = {}
        self._prefill_time = prefill_time.PrefillTime()
        self._expected_s: dict[ids.RequestId, float] = {}
        self._speeds = endpoint_speed.EndpointSpeeds()
        self._speed_predictions: dict[
            ids.RequestId, endpoint_speed.Prediction
        ] = {}
        self._caches = engine_caches.EngineCaches()
        self._fetch: messages.Fetch | None = None
        self._short_request_endpoints: frozenset[ids.EndpointId] = frozenset()
        self._considered_affinity: tuple[
            ids.RequestId, ids.EndpointId | None
        ] = (
            ids.RequestId(""),
            None,
        )
        self._prepared_is_long: tuple[messages.Job | None, bool] = None, False
        self._least_waits: dict[
            tuple[ids.ServiceId, int], tuple[float, float]
        ] = {}
        self._prefill_rates: dict[ids.ServiceId, tuple[float, float]] = {}
        self._shortest_pause_s = _shortest_pause_s(context.document)
        self._queue_limits = (
            DOMAIN_QUEUE_LIMITS if context.whole_domain else OWN_QUEUE_LIMITS
        )

    def _compared_candidates(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        return candidates

    def _affinity_endpoint(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        partition = self._partition(job, candidates)
        if not job.prefix_key:
            return None
        candidates = partition or candidates
        return cost_choice.affinity_endpoint(job.prefix_key, candidates)

    def _partition(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
    ) -> list[endpoint_module.EndpointState]:
        """Returns the candidates in the partition of the job."""
        if not job.prompt_tokens:
            return candidates
        self._short_request_endpoints = (
            length_partition.short_request_endpoints(
                (state.domain, state.endpoint) for state in candidates
            )
        )
        is_long = self._is_long(job)
        return [
            state
            for state in candidates
            if (state.endpoint in self._short_request_endpoints) is not is_long
        ]

    def _is_long(self, job: messages.Job) -> bool:
        prepared, is_long = self._prepared_is_long
        return is_long if prepared is job else self._takes_long(job)

    def _takes_long(self, job: messages.Job) -> bool:
        prefill_s = job.prompt_tokens * self._prefill_time.token_s(job.service)
        return prefill_s > LONG_PREFILL_SHARE * self._shortest_pause_s

    def _partition_penalty_s(
        self, job: messages.Job, state: endpoint_module.EndpointState
    ) -> float:
        if not job.prompt_tokens or not self._short_request_endpoints:
            return 0.0
        is_for_short = state.endpoint in self._short_request_endpoints
        if self._is_long(job):
            target_s = job.target_first_token_s
            share = self._queue_limits.long_prompt_penalty_share
            return share * target_s if is_for_short else 0.0
        return 0.0 if is_for_short else SHORT_REQUEST_PENALTY_S

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> list[endpoint_module.EndpointState]:
        """Looks up the affinity endpoint and the cached parts of a job."""
        self._prepared_is_long = job, self._takes_long(job)
        affinity = (
            self._affinity_endpoint(job, states, now_s) if states else None
        )
        self._considered_affinity = (
            job.request_id,
            affinity and affinity.endpoint,
        )
        self._caches.prepare(job, states, now_s)
        if affinity is None or not self._is_long(job):
            return states
        return [affinity] if self._awaits_affinity(job, now_s) else states

    def recheck_after_s(self, job: messages.Job) -> float | None:
        """Returns how long a long prompt waits for its affinity endpoint."""
        if not job.prefix_key:
            return None
        return AFFINITY_WAIT_SHARE * job.target_first_token_s

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Returns whether a prompt may be sent to an endpoint now.

        If all prompts of a burst were sent at once, they would fill the
        engines' memory, evict the shared prefixes that later prompts need, and
        could not be overtaken by a more urgent one.
        """
        if not job.prompt_tokens:
            return super().available(job, state, now_s)
        is_long = self._is_long(job)
        if not self._is_within_bound(job, state, now_s):
            return False
        if not super().available(job, state, now_s):
            return False
        return not is_long or self._is_affinity_wait_over(job, state, now_s)

    def _is_within_bound(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        if self.context.overload.orders_by_prefill:
            token_s = self._prefill_time.token_s(state.service)
            return prefill_bound.is_open(state, job, token_s, now_s)
        max_queued = self._queue_limits.max_queued(self._is_long(job))
        return state.unread < max_queued

    def _is_affinity_wait_over(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Returns whether a job need not wait for its affinity endpoint."""
        request_id, affinity = self._considered_affinity
        if request_id != job.request_id or affinity in (None, state.endpoint):
            return True
        return not self._awaits_affinity(job, now_s)

    def _awaits_affinity(self, job: messages.Job, now_s: float) -> bool:
        _, affinity = self._considered_affinity
        if affinity is not None and self._is_slow(job, affinity, now_s):
            return False
        recheck_after_s = self.recheck_after_s(job) or 0.0
        return now_s - job.arrived_s < recheck_after_s

    def configure(self, document: schema.Document) -> None:
        """Applies the shortest pause of a newer document."""
        super().configure(document)
        self._shortest_pause_s = _shortest_pause_s(document)

    def _record_choice(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        has_affinity: bool,
        now_s: float,
    ) -> None:
        """Records the expected first token time and the tokens to prefill."""
        self._expected_s[job.request_id] = self._first_token_s(
            job, state, now_s, has_affinity
        )
        self._predict_speed(job, state, now_s)
        self._fetch = self._find_fetch(job, state, now_s)
        uncached = self._caches.uncached_tokens(
            job, state.endpoint, has_affinity
        )
        fetched = self._fetch.tokens if self._fetch else 0
        job.unread_tokens = max(uncached - fetched, 0.0)
        self._caches.record_sent(job, state.endpoint, now_s)

    def expected_first_token_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the least time to the first token of a job placed now.

        This is the prefill of what no endpoint has cached, behind the shortest
        queue; a fetch takes far less.
        """
        if not job.prompt_tokens:
            return 0.0
        token_s = self._prefill_time.token_s(job.service)
        prefill_s = self.uncached_tokens(job, now_s) * token_s
        return self._least_wait_s(job, states, now_s) + prefill_s

    def prefill_ahead_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> float:
        """Returns the prefill at an endpoint that would precede a job."""
        token_s = self._prefill_time.token_s(state.service)
        return prefill_bound.prefill_ahead_s(state, job, token_s, now_s)

    def uncached_tokens(self, job: messages.Job, now_s: float) -> float:
        """Returns the prompt tokens of a job that no endpoint has cached."""
        cached = self._caches.directory.cached_prefix_tokens(job, now_s)
        return float(job.prompt_tokens - max(cached.values(), default=0))

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
        if now_s - known_s < LEAST_WAIT_AGE_S:
            return per_s
        token_s = self._prefill_time.token_s(job.service)
        own_s = peer_s = 0.0
        for state in states:
            own_s += token_s * state.own_load(now_s).unread_tokens
            peer_s += state.peer_prefill_s(token_s, now_s)
        share = own_s / (own_s + peer_s) if own_s and peer_s else 1.0
        per_s = share * len(states) / token_s
        self._prefill_rates[key] = now_s, per_s
        return per_s

    def _least_wait_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the least wait, at most `LEAST_WAIT_AGE_S` old.

        A job may be examined at each event; with hundreds of endpoints that
        would take longer than the decisions.
        """
        key = job.service, job.rank
        known_s, wait_s = self._least_waits.get(key, (-math.inf, 0.0))
        if now_s - known_s < LEAST_WAIT_AGE_S:
            return wait_s
        token_s = self._prefill_time.token_s(job.service)
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

    def on_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records a placement that another instance decided.

        That instance has already set the job's uncached tokens.
        """
        self._predict_speed(job, state, now_s)
        token_s = self._endpoint_token_s(state, now_s)
        base_s = self._latency(state).base_at(now_s)
        self._expected_s[job.request_id] = (
            base_s
            + self._queue_s(job, state, token_s, now_s)
            + job.unread_tokens * token_s
        )
        self._caches.record_sent(job, state.endpoint, now_s)

    def _find_fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        service = self.document.services.get(job.service)
        fetch_s = fetching.fetch_token_s(service)
        if fetch_s is None or fetch_s >= self._prefill_time.token_s(
            job.service
        ):
            return None
        _, affinity = self._considered_affinity
        restrictions = self.context.restrictions

        def is_usable(endpoint: ids.EndpointId) -> bool:
            is_healthy = self._failures.is_healthy(endpoint)
            return is_healthy and restrictions.allows(endpoint, now_s)

        return self._caches.fetch(job, state, affinity, is_usable, now_s)

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the endpoint just chosen fetches cached parts from."""
        return self._fetch

    def take_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns parts prefilled recently, for the other instances."""
        return self._caches.directory.take_announcements(now_s)

    def merge_announcements(
        self,
        news: collections_abc.Iterable[messages.CacheAnnouncement],
        now_s: float,
    ) -> None:
        """Merges parts that other instances report as cached."""
        self._caches.directory.merge_announcements(news, now_s)

    def cost_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        is_prefix_cached: bool = False,
    ) -> float:
        """Returns the expected time to first token plus penalties.

        Failures of the endpoint multiply the cost; see `failures`.
        """
        slowdown = self._failures.slowdown(state.endpoint, now_s)
        first_token_s = self._first_token_s(job, state, now_s, is_prefix_cached)
        penalty_s = self._partition_penalty_s(
            job, state
        ) + self._preemption_penalty_s(state)
        return slowdown * (first_token_s + penalty_s)

    def _preemption_penalty_s(
        self, state: endpoint_module.EndpointState
    ) -> float:
        """Returns the penalty if another request has to be preempted.

        Without it an urgent request would go to an engine that has just
        started a long prompt although another engine has a free slot, and the
        prompt would be prefilled twice.
        """
        is_load_known = self.context.whole_domain and state.configured_slots
        if is_load_known and state.total_running >= state.configured_slots:
            return PREEMPTION_PENALTY_S
        return 0.0

    def _first_token_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        is_prefix_cached: bool,
    ) -> float:
        latency = self._latency(state)
        token_s = self._endpoint_token_s(state, now_s)
        uncached = self._caches.uncached_tokens(
            job, state.endpoint, is_prefix_cached
        )
        waiting = max(state.in_flight - state.configured_slots + 1, 0)
        base_s = latency.base_at(now_s)
        return (
            base_s
            + self._queue_s(job, state, token_s, now_s)
            + latency.congestion_at(now_s)
            + uncached * token_s
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

    # -- speed of the endpoints -----------------------------------------------

    def _endpoint_token_s(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> float:
        """Returns the prefill time per token at an endpoint."""
        token_s = self._prefill_time.token_s(state.service)
        if not self.context.overload.learns_speeds(state.service):
            return token_s
        return token_s * self._speeds.factor(state.endpoint, now_s)

    def speed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> messages.EndpointSpeed | None:
        """Returns the speed of an endpoint; None if it is not learned."""
        if not self.context.overload.learns_speeds(state.service):
            return None
        return messages.EndpointSpeed(
            self._speeds.factor(state.endpoint, now_s),
            self._speeds.report_age_s(state.endpoint, now_s),
        )

    def count_slow_endpoints(self, now_s: float) -> int:
        """Counts the endpoints slower than `endpoint_speed.SLOW_FACTOR`."""
        return self._speeds.count_slower(endpoint_speed.SLOW_FACTOR, now_s)

    def choose(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> tuple[endpoint_module.EndpointState, str]:
        """Returns the candidate with the lowest cost.

        The reason includes the speed: it is all that the instance of the
        request gets to log if another one decides.
        """
        state, reason = super().choose(job, candidates, now_s)
        speed = self.speed(state, now_s)
        if speed is None:
            return state, reason
        reason += f", speed factor {speed.factor:.2f}"
        if speed.report_age_s is not None:
            reason += f", work time reported {speed.report_age_s:.2f} s ago"
        return state, reason

    def _is_slow(
        self, job: messages.Job, endpoint: ids.EndpointId, now_s: float
    ) -> bool:
        """Returns whether an endpoint is too slow to be waited for.

        Otherwise long prompts whose affinity endpoint has become slow would be
        sent there alone, whatever the cost of the others.
        """
        if not self.context.overload.learns_speeds(job.service):
            return False
        factor = self._speeds.factor(endpoint, now_s)
        return factor > endpoint_speed.SLOW_FACTOR

    def _predict_speed(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records the predictions for a prompt that finds no other waiting.

        They are also recorded where speeds are not learned yet: the first
        report arrives with the first response, and without that prompt an
        endpoint that is never empty afterwards would not be known as slow.
        """
        self._speed_predictions.pop(job.request_id, None)
        if job.streams and not state.unread:
            self._speed_predictions[job.request_id] = self._speeds.predict(
                state.endpoint, now_s
            )

    def _learn_prefill(
        self,
        state: endpoint_module.EndpointState,
        job: messages.Job,
        observed_token_s: float,
        now_s: float,
    ) -> None:
        """Updates the prefill time of the service and of the endpoint.

        Where speeds are learned, a prompt that waited for others is left out:
        its time includes the queue and would slow the whole service down. So
        is a mostly cached prompt: if its parts have been evicted, its endpoint
        would look several times as slow.
        """
        if not self.context.overload.learns_speeds(state.service):
            self._prefill_time.learn(state.service, observed_token_s)
            return
        prediction = self._speed_predictions.pop(job.request_id, None)
        min_uncached = MIN_UNCACHED_SHARE * job.prompt_tokens
        if prediction is None or job.unread_tokens < min_uncached:
            return
        service_token_s = self._prefill_time.token_s(state.service)
        self._speeds.learn(
            state, observed_token_s, service_token_s, now_s, prediction
        )
        self._prefill_time.learn(state.service, observed_token_s)

    def on_report(
        self,
        state: endpoint_module.EndpointState,
        report: messages.LoadReport,
    ) -> None:
        """Records the work time that an endpoint reports."""
        self._speeds.report(
            state.endpoint,
            state.service,
            report.work_time_factor,
            report.measured_at_s,
        )

    def on_endpoint_removed(self, endpoint: ids.EndpointId) -> None:
        """Drops the speed of an endpoint."""
        self._speeds.forget(endpoint)

    def _latency(
        self, state: endpoint_module.EndpointState
    ) -> engine_latency.EngineLatency:
        latency = self._latencies.get(state.endpoint)
        if latency is None:
            is_local = state.domain == self.context.domain
            latency = engine_latency.EngineLatency(
                LOCAL_BASE_S if is_local else REMOTE_BASE_S
            )
            self._latencies[state.endpoint] = latency
            if len(self._latencies) > MAX_ENGINES:
                # Restarted endpoints get new ids and would accumulate.
                del self._latencies[next(iter(self._latencies))]
        return latency

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Updates base latency, prefill time and congestion."""
        super().on_first_token(state, running, now_s)
        latency = self._latency(state)
        took_s = now_s - running.placed_s
        self._caches.record_prefilled(running.job, state.endpoint, now_s)
        if not running.job.streams:
            latency.learn_response(took_s, now_s)
            return
        expected_s = self._expected_s.get(running.job.request_id, took_s)
        latency.learn_delay(max(took_s - expected_s, 0.0), now_s)
        uncached = running.job.unread_tokens
        if uncached >= prefill_time.MIN_PROMPT_TOKENS:
            prefill_s = took_s - latency.base_s
            self._learn_prefill(state, running.job, prefill_s / uncached, now_s)
            return
        prefill_s = uncached * self._endpoint_token_s(state, now_s)
        base_s = max(took_s - prefill_s, 0.001)
        if base_s < latency.base_s:
            latency.learn_base(base_s, now_s)

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Records a failure of the endpoint and drops the request."""
        super().on_finish(state, running, outcome, now_s)
        self._expected_s.pop(running.job.request_id, None)
        self._speed_predictions.pop(running.job.request_id, None)
        if outcome is messages.Outcome.CRASHED:
            self._caches.directory.remove_engine(state.endpoint)
        elif running.first_token_s is None and outcome in failures.NOT_RECEIVED:
            self._caches.remove_sent(running.job, state.endpoint)
