"""Where a job is sent: by the expected time to its first event.

Load pattern answered: prompts of very different length, many of which share
their beginning, on engines of several failure domains that read one prompt at
a time. What a short request waits for is the reading of the long prompts
before it, not the number of requests; an engine that looks free by its slots
may be seconds behind. Without this module each domain keeps to its own
engines, and a domain with one engine misses every target while its
neighbours' engines are idle.

The expected time adds up

- the fixed part: what an answer takes when nothing is before it, learnt for
  each endpoint, with a guess by distance until then;
- the reading of prompts that this instance sent there and that has not ended,
  and of those that others told of;
- the congestion: by how much the latest first events there came later than
  expected. That is other instances' work, or an endpoint slower than the
  others. It fades fast, so that an endpoint is tried again;
- the reading of the job's own prompt, less the parts that its cache holds;
- what it costs to leave its lane (see `lanes`): a long prompt makes the short
  answers on a quiet engine stutter, a short request stutters among long ones.

A call that does not stream has no prompt to be read: what counts is the
median time of such answers, and one that is overdue tells nothing of the next.

An engine's cache is known by what this instance sent there and what others
tell (see `kept`); what it lacks it may fetch (see `fetching`). Besides, each
shared beginning has a home among the engines, named by rendezvous hashing, so
that all instances agree on it without a message; while nobody has told of a
beginning it is reckoned to be there in part, because others send it there too.

All times are of the order of the targets that they serve.
"""

from collections import abc as collections_abc
import dataclasses

from cardamombarrow.decisions import caches
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import engine_view
from cardamombarrow.decisions import failures
from cardamombarrow.decisions import fetching
from cardamombarrow.decisions import lanes
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import pace
from cardamombarrow.decisions import weighed
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["FirstEventChoice"]

NEAR_S = 0.02
"""Fixed part of an endpoint of the own domain of which nothing is known."""

FAR_S = 0.15
"""The same in another domain: a connection and a request there, and the
answer's beginning back, at 30 ms each way."""

ENGINES_KEPT = 1_024
"""Endpoints remembered; some more than there are at the target size."""

LONG_READ_SHARE = 0.5
"""A prompt is long when reading it takes this part of the shortest pause that
any route of the document allows within an answer."""

SHORTEST_PAUSE_S = 0.2
"""That pause, where no route tells one."""

SHORT_CROSSING_S = 0.3
"""What a short request waits before it goes among long prompts."""


@dataclasses.dataclass(frozen=True)
class _Bounds:
    """What depends on how much is known of an endpoint's load.

    Attributes:
        long_unread: Known prompts that an endpoint has not read yet, at most,
            for a long one to go there.
        short_unread: The same for a short one.
        long_crossing_share: Part of its target that a long prompt waits rather
            than take a quiet endpoint.
    """

    long_unread: int
    short_unread: int
    long_crossing_share: float


OWN_BOUNDS = _Bounds(3, 4, 0.6)
"""Where an instance knows its own requests only: others send as many."""

DOMAIN_BOUNDS = _Bounds(8, 12, 2.0)
"""Where all requests are known. Fewer would leave an endpoint without a prompt
while the word of its last first event is under way. What keeps long prompts
from the quiet ones is the price: known to be late, an endpoint of their own
lane would send them there as soon as there is a burst."""

PATIENCE_SHARE = 0.3
"""Part of its target that a long prompt waits for its home before it goes
where its beginning has to be read anew."""

DISPLACING_S = 0.2
"""What it costs that an endpoint puts back a request: a long prompt is read
once more."""

RUNNING_S = 0.001
"""What each request that runs there adds: it shares the pace."""


def _shortest_pause_s(document: schema.Document) -> float:
    told = [r.longest_pause_s for r in document.routes.values()]
    return min(filter(None, told), default=SHORTEST_PAUSE_S)


@registry.plugin("choice", "first-event")
class FirstEventChoice(weighed.WeighedChoice):
    """Least expected time to the first event, over all candidates."""

    engine_preempts = True

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._engines: dict[ids.EndpointId, engine_view.EngineView] = {}
        self._pace = pace.ReadingPace()
        self._expected_s: dict[ids.RequestId, float] = {}
        self._caches = caches.Caches()
        self._fetch: messages.Fetch | None = None
        self._quiet: frozenset[ids.EndpointId] = frozenset()
        self._considered: tuple[ids.RequestId, ids.EndpointId | None] = (
            ids.RequestId(""),
            None,
        )
        self._shortest_pause_s = _shortest_pause_s(context.document)
        self._bounds = DOMAIN_BOUNDS if context.whole_domain else OWN_BOUNDS

    def _weighed(
        self, candidates: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        return candidates

    def _home(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> endpoint_module.EndpointState | None:
        lane = self._lane(job, candidates)
        if not job.prefix_key:
            return None
        candidates = lane or candidates
        return weighed.home_among(job.prefix_key, candidates)

    def _lane(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
    ) -> list[endpoint_module.EndpointState]:
        """Returns the candidates in the lane of a job."""
        if not job.prompt_tokens:
            return candidates
        self._quiet = lanes.quiet_endpoints(
            (state.domain, state.endpoint) for state in candidates
        )
        is_long = self._is_long(job)
        return [
            state
            for state in candidates
            if (state.endpoint in self._quiet) is not is_long
        ]

    def _is_long(self, job: messages.Job) -> bool:
        read_s = job.prompt_tokens * self._pace.token_s(job.service)
        return read_s > LONG_READ_SHARE * self._shortest_pause_s

    def _crossing_s(
        self, job: messages.Job, state: endpoint_module.EndpointState
    ) -> float:
        if not job.prompt_tokens or not self._quiet:
            return 0.0
        is_quiet = state.endpoint in self._quiet
        if self._is_long(job):
            target_s = job.target_first_token_s
            share = self._bounds.long_crossing_share
            return share * target_s if is_quiet else 0.0
        return 0.0 if is_quiet else SHORT_CROSSING_S

    def prepare(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> None:
        """Notes home and keepers of a job among all endpoints."""
        home = self._home(job, states, now_s) if states else None
        self._considered = job.request_id, home and home.endpoint
        self._caches.prepare(job, states, now_s)

    def recheck_after_s(self, job: messages.Job) -> float | None:
        """Returns how long a long prompt waits for an engine that suits it."""
        if not job.prefix_key:
            return None
        return PATIENCE_SHARE * job.target_first_token_s

    def available(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Tells whether a prompt may be handed to an endpoint now.

        Handed over at once, all prompts of a burst lie in the engines'
        memory, where they drive out the shared beginnings that the next ones
        need, and no more urgent one can overtake them.
        """
        if not super().available(job, state, now_s):
            return False
        if not job.prompt_tokens:
            return True
        unread = state.unread
        if not self._is_long(job):
            return unread < self._bounds.short_unread
        if unread >= self._bounds.long_unread:
            return False
        return self._is_patience_over(job, state, now_s)

    def _is_patience_over(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> bool:
        """Tells whether a job need not wait for its home any longer."""
        request_id, home = self._considered
        if request_id != job.request_id or home in (None, state.endpoint):
            return True
        recheck_after_s = self.recheck_after_s(job) or 0.0
        return now_s - job.arrived_s >= recheck_after_s

    def configure(self, document: schema.Document) -> None:
        """Takes the shortest pause of a newer document."""
        super().configure(document)
        self._shortest_pause_s = _shortest_pause_s(document)

    def _chosen(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        is_home: bool,
        now_s: float,
    ) -> None:
        """Notes what is expected of a placement, and what its engine reads."""
        self._expected_s[job.request_id] = self._first_event_s(
            job, state, now_s, is_home
        )
        self._fetch = self._find_fetch(job, state, now_s)
        unread = self._caches.unread_tokens(job, state.endpoint, is_home)
        fetched = self._fetch.tokens if self._fetch else 0
        job.unread_tokens = max(unread - fetched, 0.0)
        self._caches.sent(job, state.endpoint, now_s)

    def on_remote_placement(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> None:
        """Notes what the endpoint reads, and when its first event is due.

        What is left to read was worked out where the decision was made.
        """
        token_s = self._pace.token_s(state.service)
        fixed_s = self._engine(state).fixed_at(now_s)
        self._expected_s[job.request_id] = (
            fixed_s
            + self._backlog_s(job, state, token_s, now_s)
            + job.unread_tokens * token_s
        )
        self._caches.sent(job, state.endpoint, now_s)

    def _find_fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        service = self.document.services.get(job.service)
        fetch_s = fetching.fetch_token_s(service)
        if fetch_s is None or fetch_s >= self._pace.token_s(job.service):
            return None
        _, home = self._considered
        is_healthy = self._failures.is_healthy
        return self._caches.fetch(job, state, home, is_healthy, now_s)

    def fetch(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
    ) -> messages.Fetch | None:
        """Returns where the endpoint just chosen fetches from."""
        return self._fetch

    def take_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns parts that were read of late, for the other instances."""
        return self._caches.parts.take_announcements(now_s)

    def merge_announcements(
        self,
        news: collections_abc.Iterable[messages.CacheAnnouncement],
        now_s: float,
    ) -> None:
        """Takes parts that other instances had read."""
        self._caches.parts.merge_announcements(news, now_s)

    def cost_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        prefix_there: bool = False,
    ) -> float:
        """Returns the expected time to the first event, and for crossing.

        An endpoint that fails counts as slower; see `failures`.
        """
        failing = self._failures.slowdown(state.endpoint, now_s)
        first_s = self._first_event_s(job, state, now_s, prefix_there)
        more_s = self._crossing_s(job, state) + self._displacing_s(state)
        return failing * (first_s + more_s)

    def _displacing_s(self, state: endpoint_module.EndpointState) -> float:
        """Returns the price of a place that another request has to give up.

        Without it an urgent request goes to the engine that has just begun on
        a long prompt, though the next one has a place, and the prompt is read
        twice.
        """
        known = self.context.whole_domain and state.configured_slots
        if known and state.known_running >= state.configured_slots:
            return DISPLACING_S
        return 0.0

    def _first_event_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        now_s: float,
        prefix_there: bool,
    ) -> float:
        engine = self._engine(state)
        token_s = self._pace.token_s(state.service)
        unread = self._caches.unread_tokens(job, state.endpoint, prefix_there)
        waiting = max(state.in_flight - state.configured_slots + 1, 0)
        fixed_s = engine.fixed_at(now_s)
        return (
            fixed_s
            + self._backlog_s(job, state, token_s, now_s)
            + engine.congestion_at(now_s)
            + unread * token_s
            + RUNNING_S * state.in_flight
            + waiting * fixed_s / max(state.configured_slots, 1)
        )

    def _backlog_s(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        token_s: float,
        now_s: float,
    ) -> float:
        """Returns the reading of this instance's prompts still to be done.

        A first event that is overdue tells of more than that: the endpoint is
        at least as late as it is. A call that does not stream may just be
        long, so one of them tells nothing. Without that each call of a second
        or so sent those of that second to other domains, a sixth of all,
        where the way alone takes half of their target.
        """
        work_s = 0.0
        first_s = now_s
        late_s = [0.0]
        for running in state.running.values():
            if running.first_token_s is not None:
                continue
            work_s += running.job.unread_tokens * token_s
            first_s = min(first_s, running.placed_s)
            expected_s = self._expected_s.get(running.job.request_id, 0.0)
            late_s.append(now_s - running.placed_s - expected_s)
        if not job.streams:
            late_s.remove(max(late_s))
        own_s = max(work_s - (now_s - first_s), 0.0)
        others_s = state.others_reading_s(token_s, now_s)
        return own_s + others_s + max(late_s, default=0.0)

    def _engine(
        self, state: endpoint_module.EndpointState
    ) -> engine_view.EngineView:
        engine = self._engines.get(state.endpoint)
        if engine is None:
            near = state.domain == self.context.domain
            engine = engine_view.EngineView(NEAR_S if near else FAR_S)
            self._engines[state.endpoint] = engine
            if len(self._engines) > ENGINES_KEPT:
                # Every start of an endpoint is another one.
                del self._engines[next(iter(self._engines))]
        return engine

    # -- learning ------------------------------------------------------------

    def on_first_token(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        now_s: float,
    ) -> None:
        """Learns the fixed part, the pace of reading and the congestion."""
        super().on_first_token(state, running, now_s)
        engine = self._engine(state)
        took_s = now_s - running.placed_s
        self._caches.read(running.job, state.endpoint, now_s)
        if not running.job.streams:
            engine.learn_typical(took_s, now_s)
            return
        expected_s = self._expected_s.get(running.job.request_id, took_s)
        engine.late(max(took_s - expected_s, 0.0), now_s)
        unread = running.job.unread_tokens
        if unread >= pace.LEAST_TOKENS:
            read_s = took_s - engine.fixed_s
            self._pace.learn(state.service, read_s / unread)
            return
        read_s = unread * self._pace.token_s(state.service)
        fixed_s = max(took_s - read_s, 0.001)
        if fixed_s < engine.fixed_s:
            engine.learn_fixed(fixed_s, now_s)

    def on_finish(
        self,
        state: endpoint_module.EndpointState,
        running: messages.Running,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Learns that the endpoint failed; forgets the request."""
        super().on_finish(state, running, outcome, now_s)
        self._expected_s.pop(running.job.request_id, None)
        if outcome is messages.Outcome.CRASHED:
            self._caches.parts.drop(state.endpoint)
        elif running.first_token_s is None and outcome in failures.NOT_RECEIVED:
            self._caches.not_read(running.job, state.endpoint)
