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

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import cost_choice
from cardamombarrow.decisions.choosing import engine_caches
from cardamombarrow.decisions.choosing import engine_latency
from cardamombarrow.decisions.choosing import fetching
from cardamombarrow.decisions.choosing import length_partition
from cardamombarrow.decisions.choosing import prefill_time
from cardamombarrow.decisions.choosing import prefix_reads
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
        self._caches = engine_caches.EngineCaches()
        self._prefix_reads = prefix_reads.PrefixReads(
            self._prefill_time,
            lambda service: fetching.fetch_token_s(
                self.document.services.get(service)
            ),
        )
        self._held_until_s: tuple[ids.RequestId, float | None] = (
            ids.RequestId(""),
            None,
        )
        self._fetch: messages.Fetch | None = None
        self._short_request_endpoints: frozenset[ids.EndpointId] = frozenset()
        self._considered_affinity: tuple[
            ids.RequestId, ids.EndpointId | None
        ] = (
            ids.RequestId(""),
            None,
        )
        self._prepared_is_long: tuple[messages.Job | None, bool] = None, False
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
        self._hold_for_prefill(job, now_s)
        if self.held_until_s(job) is not None:
            return []
        if affinity is None or not self._is_long(job):
            return states
        return [affinity] if self._awaits_affinity(job, now_s) else states

    def _tracks_prefills(self, service: ids.ServiceId) -> bool:
        """Returns whether requests wait for prefills of their prefix.

        Only the placer of a domain knows which prefixes are in prefill;
        instances that decide by themselves place at once.
        """
        is_enabled = self.context.overload.is_enabled(service)
        return is_enabled and self.context.whole_domain

    def _fetches_tracked_prefixes(self, service: ids.ServiceId) -> bool:
        """Returns whether the wait for a prefill replaces that for affinity.

        While a prefix is in prefill, its requests wait for it. Afterwards any
        engine fetches it in less time than the affinity endpoint may be busy.
        """
        if not self._tracks_prefills(service):
            return False
        found = self.document.services.get(service)
        return fetching.fetch_token_s(found) is not None

    def _hold_for_prefill(self, job: messages.Job, now_s: float) -> None:
        until_s = None
        if self._tracks_prefills(job.service):
            cached_tokens = self._caches.max_cached_tokens()
            until_s = self._prefix_reads.wait_until_s(job, now_s, cached_tokens)
        self._held_until_s = job.request_id, until_s

    def held_until_s(self, job: messages.Job) -> float | None:
        """Returns until when the prepared job waits for a prefill."""
        request_id, until_s = self._held_until_s
        return until_s if request_id == job.request_id else None

    def take_released(self) -> list[ids.RequestId]:
        """Returns the held jobs whose prefill has ended."""
        return self._prefix_reads.take_released()

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
        if self.held_until_s(job) is not None:
            return False
        if not job.prompt_tokens:
            return super().available(job, state, now_s)
        is_long = self._is_long(job)
        if state.unread >= self._queue_limits.max_queued(is_long):
            return False
        if not super().available(job, state, now_s):
            return False
        return not is_long or self._is_affinity_wait_over(job, state, now_s)

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
        if self._fetches_tracked_prefixes(job.service):
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
        self._fetch = self._find_fetch(job, state, now_s)
        uncached = self._caches.uncached_tokens(
            job, state.endpoint, has_affinity
        )
        fetched = self._fetch.tokens if self._fetch else 0
        job.unread_tokens = max(uncached - fetched, 0.0)
        self._record_sent(job, state, now_s)

    def on_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records a placement that another instance decided.

        That instance has already set the job's uncached tokens.
        """
        token_s = self._prefill_time.token_s(state.service)
        base_s = self._latency(state).base_at(now_s)
        self._expected_s[job.request_id] = (
            base_s
            + self._queue_s(job, state, token_s, now_s)
            + job.unread_tokens * token_s
        )
        self._record_sent(job, state, now_s)

    def _record_sent(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records a prompt as cached, or as in prefill until it is cached."""
        if not self._tracks_prefills(job.service):
            self._caches.record_sent(job, state.endpoint, now_s)
            return
        expected_end_s = now_s + self._expected_s[job.request_id]
        self._prefix_reads.begin(job, state.endpoint, expected_end_s, now_s)

    def on_prefilled(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Records the parts of a prompt that was in prefill as cached."""
        if self._tracks_prefills(state.service):
            self._caches.record_sent(running.job, state.endpoint, now_s)
        self._prefix_reads.end(running.job.request_id)

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
        token_s = self._prefill_time.token_s(state.service)
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
        self.on_prefilled(state, running, now_s)
        self._caches.record_prefilled(running.job, state.endpoint, now_s)
        if not running.job.streams:
            latency.learn_response(took_s, now_s)
            return
        expected_s = self._expected_s.get(running.job.request_id, took_s)
        latency.learn_delay(max(took_s - expected_s, 0.0), now_s)
        uncached = running.job.unread_tokens
        if uncached >= prefill_time.MIN_PROMPT_TOKENS:
            prefill_s = took_s - latency.base_s
            self._prefill_time.learn(state.service, prefill_s / uncached)
            return
        prefill_s = uncached * self._prefill_time.token_s(state.service)
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
        if outcome is messages.Outcome.DONE:
            self.on_prefilled(state, running, now_s)
        self._prefix_reads.end(running.job.request_id)
        if outcome is messages.Outcome.CRASHED:
            self._caches.directory.remove_engine(state.endpoint)
        elif running.first_token_s is None and outcome in failures.NOT_RECEIVED:
            self._caches.remove_sent(running.job, state.endpoint)
