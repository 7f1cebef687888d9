"""Feeds the real dispatchers in virtual time: one failure domain.

An event heap moves time. Entries decide with `decisions.core.Dispatcher`,
engines are `fake_engine.FakeEngine`, callers come back when they were told
to. Nothing here decides anything.
"""

import collections
from collections import abc
import dataclasses
import heapq
import itertools
import random

from benchmarks import bound
from benchmarks import fake_engine
from benchmarks import results
from benchmarks import scenarios
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["DOMAIN", "LINK_S", "SERVICE", "TICK_S", "Driver", "Flight"]

DOMAIN = ids.DomainId("nuwara-a")
SERVICE = ids.ServiceId("report-writer")
TICK_S = 0.05
GOSSIP_S = 1.0
REPORT_S = 1.0
LINK_S = 0.001
CALLER_TRIES = 4
"""How often a caller sends a request that is refused with a time to return."""

CRASHER_TRIES = 8
"""How often the caller of a crashing request sends it, whatever comes."""

RESEND_S = 2.0
"""Time after which that caller sends again."""


@dataclasses.dataclass
class Flight:
    """A request on its way through one entry.

    Attributes:
        source: Engine that the present run's beginning is fetched from.
        tokens: Tokens of the present run.
        delivered: Whether the caller has received any of it.
    """

    job: messages.Job
    work: fake_engine.Work
    entry: int
    endpoint: ids.EndpointId | None = None
    source: ids.EndpointId | None = None
    tokens: int = 0
    delivered: bool = False


class Driver:
    """One run of one scenario."""

    def __init__(self, scenario: scenarios.Scenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._flights: dict[ids.RequestId, Flight] = {}
        self._engines = {
            endpoint: fake_engine.FakeEngine(settings)
            for endpoint, settings in scenario.engines.items()
        }
        self._entries = [
            core.Dispatcher(
                context_module.PolicyContext(
                    scenario.document,
                    ids.InstanceId(f"entry-{number}"),
                    DOMAIN,
                    random.Random(seed * 1_000 + number),
                ),
                0.0,
            )
            for number in range(len(scenario.entry_weights))
        ]
        self._result = results.Result(
            {name: results.ClassResult() for name in scenario.document.classes}
        )

    @property
    def entries(self) -> list[core.Dispatcher]:
        """The dispatchers, to be looked at by tests."""
        return self._entries

    def run(self) -> results.Result:
        """Runs to the end and returns what callers received."""
        scenario = self._scenario
        for work in scenario.works:
            self._at(work.arrival_s, lambda work=work: self._arrive(work))
        for entry in range(len(self._entries)):
            self._every(TICK_S, lambda entry=entry: self._tick(entry))
            self._every(GOSSIP_S, lambda entry=entry: self._gossip(entry))
        self._gossip_all()
        self._every(REPORT_S, self._reports)
        end_s = scenario.duration_s + scenario.drain_s
        while self._heap and self._heap[0][0] <= end_s:
            self._now_s, _, event = heapq.heappop(self._heap)
            event()
        for flight in list(self._flights.values()):
            self._lose(flight)
        return self._sum_up()

    def _at(self, when_s: float, event: abc.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when_s, next(self._order), event))

    def _every(self, period_s: float, event: abc.Callable[[], None]) -> None:
        def again() -> None:
            event()
            self._at(self._now_s + period_s, again)

        self._at(self._rng.uniform(0, period_s), again)

    # -- callers -----------------------------------------------------------

    def _arrive(self, work: fake_engine.Work) -> None:
        of_class = self._result.classes[work.class_id]
        if not work.tries:
            of_class.offered += 1
        work.tries += 1
        weights = self._scenario.entry_weights
        entry = self._rng.choices(range(len(weights)), weights)[0]
        job = self._job(work)
        flight = Flight(job, work, entry)
        self._flights[job.request_id] = flight
        refusal = self._offer(flight)
        if refusal is not None:
            self._refused(flight, refusal)
            return
        self._pump(entry)

    def _offer(self, flight: Flight) -> messages.Refusal | None:
        return self._entries[flight.entry].offer(flight.job, self._now_s)

    def _job(self, work: fake_engine.Work) -> messages.Job:
        document = self._scenario.document
        request_class = document.classes[work.class_id]
        return messages.Job(
            request_id=ids.RequestId(f"r{next(self._numbers)}"),
            workspace=work.workspace,
            class_id=work.class_id,
            service=SERVICE,
            model=ids.ModelId("trail-7b"),
            rank=document.tier_of(work.class_id).rank,
            arrived_s=self._now_s,
            target_first_token_s=request_class.target_first_token_s,
            deadline_s=self._now_s + request_class.target_total_s,
            prompt_tokens=work.prompt_tokens,
            prefix_key=work.prefix_key,
            parts=tuple(messages.PromptPart(*part) for part in work.parts),
            fingerprint=_fingerprint(work),
            repeatable=request_class.repeatable,
        )

    def _refused(self, flight: Flight, refusal: messages.Refusal) -> None:
        work = flight.work
        del self._flights[flight.job.request_id]
        self._result.classes[work.class_id].refusals += 1
        if refusal.retry_after_s is None or work.tries >= CALLER_TRIES:
            self._failed(work)
            return
        back_s = self._now_s + refusal.retry_after_s
        self._at(back_s, lambda: self._arrive(work))

    def _failed(self, work: fake_engine.Work) -> None:
        of_class = self._result.classes[work.class_id]
        waited_s = self._now_s - work.arrival_s
        of_class.worst_wait_s = max(of_class.worst_wait_s, waited_s)

    # -- entries -----------------------------------------------------------

    def _tick(self, entry: int) -> None:
        self._entries[entry].refresh_shares(self._now_s)
        self._pump(entry)

    def _pump(self, entry: int) -> None:
        for decision in list(self._entries[entry].place(self._now_s)):
            flight = self._flights[decision.request_id]
            if isinstance(decision, messages.Placement):
                self._placed(flight, decision)
            elif isinstance(decision, messages.Refusal):
                self._refused(flight, decision)
            else:
                self._at(
                    self._now_s + LINK_S,
                    lambda flight=flight: self._preempt(flight),
                )

    def _placed(self, flight: Flight, placement: messages.Placement) -> None:
        flight.endpoint = placement.endpoint
        flight.source = placement.fetch and placement.fetch.source
        flight.tokens = 0
        self._at(self._now_s + LINK_S, lambda: self._deliver(flight))

    def _deliver(self, flight: Flight) -> None:
        engine = self._engines[flight.endpoint]
        if engine.down(self._now_s):
            self._end(flight, messages.Outcome.NOT_STARTED)
            return
        if engine.failing(self._now_s):
            outcome = messages.Outcome.REFUSED_BY_ENDPOINT
            when_s = self._now_s + engine.settings.fail_after_s
            self._at(when_s, lambda: self._end(flight, outcome))
            return
        source = self._engines.get(flight.source)
        if source is not None and source.down(self._now_s):
            source = None
        engine.add(flight.job, flight.work, source)
        self._watch_limit(flight.endpoint)
        if not engine.stepping:
            self._step(flight.endpoint)

    def _watch_limit(self, endpoint: ids.EndpointId) -> None:
        service = self._scenario.document.services[SERVICE]
        held = sum(f.endpoint == endpoint for f in self._flights.values())
        over = held - service.slots_per_endpoint
        self._result.most_over_limit = max(self._result.most_over_limit, over)

    def _preempt(self, flight: Flight) -> None:
        if flight.job.request_id not in self._flights or not flight.endpoint:
            return
        self._engines[flight.endpoint].cancel(flight.job.request_id)
        self._end(flight, messages.Outcome.PREEMPTED)

    def _end(self, flight: Flight, outcome: messages.Outcome) -> None:
        """Ends a run; a run that failed undelivered may be queued again."""
        entry = self._entries[flight.entry]
        entry.finish(flight.job.request_id, outcome, self._now_s)
        flight.endpoint = None
        if outcome is messages.Outcome.DONE:
            self._done(flight)
        else:
            self._waste(flight)
            if flight.delivered or not self._retry(flight, outcome):
                self._lose(flight)
        self._pump(flight.entry)

    def _retry(self, flight: Flight, outcome: messages.Outcome) -> bool:
        entry = self._entries[flight.entry]
        return entry.retry(flight.job, outcome, self._now_s)

    def _done(self, flight: Flight) -> None:
        del self._flights[flight.job.request_id]
        of_class = self._result.classes[flight.work.class_id]
        of_class.completed += 1
        of_class.windows[int(self._now_s / results.WINDOW_S)] += 1
        if getattr(flight.work, "in_time", False):
            of_class.attained += 1
        if self._now_s <= self._scenario.duration_s:
            self._result.useful_s += self._cost_s(flight)

    def _lose(self, flight: Flight) -> None:
        del self._flights[flight.job.request_id]
        self._failed(flight.work)
        if flight.work.crashes and flight.work.tries < CRASHER_TRIES:
            work = flight.work
            self._at(self._now_s + RESEND_S, lambda: self._arrive(work))
        if self._result.crashes and not flight.work.crashes:
            self._result.innocents_lost += 1

    def _waste(self, flight: Flight) -> None:
        if flight.tokens:
            self._result.wasted_s += self._cost_s(flight)

    def _cost_s(self, flight: Flight) -> float:
        return fake_engine.EngineSettings().cost_s(
            flight.work.prompt_tokens, flight.tokens
        )

    # -- engines -----------------------------------------------------------

    def _step(self, endpoint: ids.EndpointId) -> None:
        engine = self._engines[endpoint]
        length_s = engine.begin_step(self._now_s)
        engine.stepping = length_s is not None
        if length_s is None:
            return
        if engine.crashing():
            self._at(self._now_s + length_s, lambda: self._crash(endpoint))
            return
        self._at(self._now_s + length_s, lambda: self._stepped(endpoint))

    def _stepped(self, endpoint: ids.EndpointId) -> None:
        result = self._engines[endpoint].end_step()
        for request_id in result.first:
            if request_id in self._flights:
                self._first(self._flights[request_id])
        for request_id, tokens in result.progress:
            self._progress(endpoint, request_id, tokens)
        for request_id in result.finished:
            if request_id in self._flights:
                self._end(self._flights[request_id], messages.Outcome.DONE)
        self._step(endpoint)

    def _first(self, flight: Flight) -> None:
        work = flight.work
        entry = self._entries[flight.entry]
        entry.first_token(flight.job.request_id, self._now_s)
        of_class = self._result.classes[work.class_id]
        waited_s = self._now_s - work.arrival_s
        of_class.worst_wait_s = max(of_class.worst_wait_s, waited_s)
        flight.delivered = True
        work.in_time = waited_s <= flight.job.target_first_token_s

    def _progress(
        self, endpoint: ids.EndpointId, request_id: ids.RequestId, tokens: int
    ) -> None:
        flight = self._flights.get(request_id)
        if flight is None:
            return
        flight.tokens = tokens
        self._entries[flight.entry].progress(request_id, tokens)
        late = self._now_s > flight.job.deadline_s
        if late and tokens < flight.work.answer_tokens:
            self._engines[endpoint].cancel(request_id)
            self._end(flight, messages.Outcome.FAILED)

    def _crash(self, endpoint: ids.EndpointId) -> None:
        engine = self._engines[endpoint]
        self._result.crashes += 1
        engine.stepping = False
        by_entry: dict[int, list[Flight]] = collections.defaultdict(list)
        for request_id in engine.crash(self._now_s):
            flight = self._flights.get(request_id)
            if flight is not None:
                by_entry[flight.entry].append(flight)
        for entry, lost in by_entry.items():
            suspects = [flight.job for flight in lost]
            self._entries[entry].crashed(endpoint, suspects, self._now_s)
            for flight in lost:
                self._end(flight, messages.Outcome.CRASHED)

    # -- what entries hear ---------------------------------------------------

    def _reports(self) -> None:
        for endpoint, engine in self._engines.items():
            engine.observe(self._now_s)
            if not engine.down(self._now_s):
                report = engine.report(self._now_s)
                for entry in self._entries:
                    entry.report(endpoint, report)

    def _gossip_all(self) -> None:
        for entry in range(len(self._entries)):
            for other in self._entries:
                if other is not self._entries[entry]:
                    other.update_peer(self._entries[entry].demand(0.0))

    def _gossip(self, entry: int) -> None:
        scenario = self._scenario
        if scenario.cut_from_s <= self._now_s < scenario.cut_until_s:
            return
        demand = self._entries[entry].demand(self._now_s)
        marks = self._entries[entry].quarantine_marks(self._now_s)
        news = self._entries[entry].take_cache_announcements(self._now_s)
        self._at(
            self._now_s + scenario.gossip_delay_s,
            lambda: self._heard(entry, demand, marks, news),
        )

    def _heard(
        self,
        entry: int,
        demand: messages.PeerDemand,
        marks: dict[ids.Fingerprint, float],
        news: list[messages.CacheAnnouncement],
    ) -> None:
        demand = dataclasses.replace(demand, seen_at_s=self._now_s)
        for number, other in enumerate(self._entries):
            if number != entry:
                other.update_peer(demand)
                other.merge_quarantine(marks, self._now_s)
                other.merge_cache_announcements(news, self._now_s)

    # -- summing up ----------------------------------------------------------

    def _sum_up(self) -> results.Result:
        result = self._result
        result.capacity_s = sum(
            self._scenario.duration_s / max(engine.settings.slowdown, 1.0)
            if engine.settings.slow_from_s <= 0.0
            else self._scenario.duration_s
            for engine in self._engines.values()
        )
        read = sum(e.prompt_tokens_read for e in self._engines.values())
        cached = sum(e.prompt_tokens_cached for e in self._engines.values())
        fetched = sum(e.prompt_tokens_fetched for e in self._engines.values())
        result.cached_share = cached / max(read, 1)
        result.fetched_share = fetched / max(read, 1)
        result.innocents_quarantined = len(self._marked_innocents())
        bound.set_bounds(result, self._scenario)
        return result

    def _marked_innocents(self) -> set[ids.Fingerprint]:
        crashing = {
            _fingerprint(work) for work in self._scenario.works if work.crashes
        }
        marked = [
            entry.quarantine_marks(self._now_s) for entry in self._entries
        ]
        return set().union(*marked) - crashing


def _fingerprint(work: fake_engine.Work) -> ids.Fingerprint:
    return ids.Fingerprint(f"f{id(work)}")
