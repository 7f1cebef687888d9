"""Chooses the endpoint with the lowest expected time to first token.

Load pattern: prompts of very different length, many with a shared prefix, on
engines of several failure domains that prefill one prompt at a time. A short
request waits for the prefill of the long prompts ahead of it, so the number of
requests says little: an engine with free slots may be seconds behind. Without
this module each domain uses its own engines only, and a domain with one engine
misses every target while engines of other domains are idle.

The cost is the expected time (`first_token_forecast`), with the prefill of the
job's own prompt less the parts in the endpoint's cache, plus a penalty for
leaving the job's partition (see `length_partition`): the prefill of a long
prompt delays the tokens of short answers on the same engine, and a short
request is delayed among long prompts.

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
from cardamombarrow.decisions.choosing import engine_prefill
from cardamombarrow.decisions.choosing import fetching
from cardamombarrow.decisions.choosing import first_token_forecast
from cardamombarrow.decisions.choosing import length_partition
from cardamombarrow.decisions.choosing import prefill_bound
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["FirstEventChoice"]


@dataclasses.dataclass(frozen=True)
class _QueueLimits:
    """Limits that depend on whether all requests of an endpoint are known.

    Attributes:
        max_queued_for_long: A long prompt goes to an endpoint only while fewer
            known prompts, of those at least as urgent, than this wait for their
            first token there.
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


@registry.plugin("choice", "first-event")
class FirstEventChoice(cost_choice.LowestCostChoice):
    """Lowest expected time to first token among all candidates."""

    engine_preempts = True

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._prefill = engine_prefill.EnginePrefill(context.overload)
        self._forecast = first_token_forecast.FirstTokenForecast(
            context.domain, self._prefill
        )
        self._caches = engine_caches.EngineCaches()
        self._fetch: messages.Fetch | None = None
        self._considered_affinity: tuple[
            ids.RequestId, ids.EndpointId | None
        ] = (
            ids.RequestId(""),
            None,
        )
        self._queue_limits = (
            DOMAIN_QUEUE_LIMITS if context.whole_domain else OWN_QUEUE_LIMITS
        )
        self._partition = length_partition.LengthPartition(
            context.document,
            self._prefill,
            self._queue_limits.long_prompt_penalty_share,
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
        partition = self._partition.select(job, candidates)
        if not job.prefix_key:
            return None
        candidates = partition or candidates
        return cost_choice.affinity_endpoint(job.prefix_key, candidates)

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> list[endpoint_module.EndpointState]:
        """Looks up the affinity endpoint and the cached parts of a job."""
        self._partition.prepare(job)
        affinity = (
            self._affinity_endpoint(job, states, now_s) if states else None
        )
        self._considered_affinity = (
            job.request_id,
            affinity and affinity.endpoint,
        )
        self._caches.prepare(job, states, now_s)
        if affinity is None or not self._partition.is_long(job):
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
        is_long = self._partition.is_long(job)
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
            token_s = self._prefill.service_token_s(state.service)
            return prefill_bound.is_open(state, job, token_s, now_s)
        max_queued = self._queue_limits.max_queued(self._partition.is_long(job))
        if state.unread < max_queued:
            return True
        # Less urgent prompts do not delay it: engines prefill by priority.
        last_equal_rank = self.document.last_equal_rank(job.rank)
        return state.count_unread(last_equal_rank) < max_queued

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
        if affinity is not None and self._prefill.is_slow(
            job.service, affinity, now_s
        ):
            return False
        recheck_after_s = self.recheck_after_s(job) or 0.0
        return now_s - job.arrived_s < recheck_after_s

    def configure(self, document: schema.Document) -> None:
        """Applies the shortest pause of a newer document."""
        super().configure(document)
        self._partition.configure(document)

    def _record_choice(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        has_affinity: bool,
        now_s: float,
    ) -> None:
        """Records the expected first token time and the tokens to prefill."""
        uncached = self._caches.uncached_tokens(
            job, state.endpoint, has_affinity
        )
        self._forecast.record_choice(job, state, uncached, now_s)
        self._prefill.record_placement(job, state, now_s)
        self._fetch = self._find_fetch(job, state, now_s)
        fetched = self._fetch.tokens if self._fetch else 0
        job.unread_tokens = max(uncached - fetched, 0.0)
        self._caches.record_sent(job, state.endpoint, now_s)

    def expected_first_token_s(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the least time to the first token of a job placed now."""
        if not job.prompt_tokens:
            return 0.0
        uncached = self.uncached_tokens(job, now_s)
        return self._forecast.least_s(job, states, uncached, now_s)

    def prefill_ahead_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> float:
        """Returns the prefill at an endpoint that would precede a job."""
        token_s = self._prefill.service_token_s(state.service)
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
        """Returns this instance's part of the endpoints' prefill rate."""
        return self._forecast.prefill_tokens_per_s(job, states, now_s)

    def on_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Records a placement that another instance decided.

        That instance has already set the job's uncached tokens.
        """
        self._prefill.record_placement(job, state, now_s)
        self._forecast.record_remote_placement(job, state, now_s)
        self._caches.record_sent(job, state.endpoint, now_s)

    def _find_fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        service = self.document.services.get(job.service)
        fetch_s = fetching.fetch_token_s(service)
        if fetch_s is None or fetch_s >= self._prefill.service_token_s(
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
        uncached = self._caches.uncached_tokens(
            job, state.endpoint, is_prefix_cached
        )
        first_token_s = self._forecast.first_token_s(
            job, state, uncached, now_s
        )
        penalty_s = self._partition.penalty_s(
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

    def speed(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> messages.EndpointSpeed | None:
        """Returns the speed of an endpoint; None if it is not learned."""
        return self._prefill.speed(state, now_s)

    def count_slow_endpoints(self, now_s: float) -> int:
        """Counts the endpoints slower than `endpoint_speed.SLOW_FACTOR`."""
        return self._prefill.count_slow(now_s)

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

    def on_report(
        self,
        state: endpoint_module.EndpointState,
        report: messages.LoadReport,
    ) -> None:
        """Records the work time that an endpoint reports."""
        self._prefill.report(state, report)

    def on_endpoint_removed(self, endpoint: ids.EndpointId) -> None:
        """Drops the speed of an endpoint."""
        self._prefill.drop_endpoint(endpoint)

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Updates base latency, prefill time and congestion."""
        super().on_first_token(state, running, now_s)
        self._caches.record_prefilled(running.job, state.endpoint, now_s)
        self._forecast.learn(state, running, now_s)

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Records a failure of the endpoint and drops the request."""
        super().on_finish(state, running, outcome, now_s)
        self._forecast.drop_request(running.job.request_id)
        self._prefill.drop_request(running.job.request_id)
        if outcome is messages.Outcome.CRASHED:
            self._caches.directory.remove_engine(state.endpoint)
        elif running.first_token_s is None and outcome in failures.NOT_RECEIVED:
            self._caches.remove_sent(running.job, state.endpoint)
