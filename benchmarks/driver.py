"""Simulates one failure domain with the real dispatchers in virtual time.

Time advances by an event heap. Entries decide with
`decisions.core.Dispatcher`, engines are `fake_engine.FakeEngine`, and refused
callers send again after the time in the refusal. The driver itself makes no
placement decisions.
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
from cardamombarrow.decisions import overload
from cardamombarrow.kernel import ids

__all__ = ["DOMAIN", "LINK_S", "SERVICE", "TICK_S", "Driver", "Flight"]

DOMAIN = ids.DomainId("nuwara-a")
SERVICE = ids.ServiceId("report-writer")
TICK_S = 0.05
GOSSIP_S = 1.0
REPORT_S = 1.0
LINK_S = 0.001
CRASHER_TRIES = 8
"""Most times a caller sends a crashing request, whatever the error."""

RESEND_S = 2.0
"""Time until the caller of a crashing request sends it again."""


PAUSE_GRACE_S = 0.5
"""Time from an endpoint's request for a pause until an entry must comply."""


@dataclasses.dataclass
class _Pause:
    """A pause that an endpoint has asked of an entry.

    Attributes:
        sent: Requests that the entry has sent in it.
    """

    stated_s: float
    until_s: float
    sent: int = 0


@dataclasses.dataclass
class Flight:
    """A request in progress at one entry.

    Attributes:
        source: Engine from which the current run fetches the prompt prefix.
        tokens: Tokens that the current run has generated.
        delivered: Whether the caller has received part of the answer.
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
        self._pauses: dict[tuple[int, ids.EndpointId], list[_Pause]] = {}
        self._entries = [
            core.Dispatcher(
                context_module.PolicyContext(
                    scenario.document,
                    ids.InstanceId(f"entry-{number}"),
                    DOMAIN,
                    random.Random(seed * 1_000 + number),
                    overload=overload.OverloadControl(
                        scenario.overload, scenario.learns_speeds
                    ),
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
        """The dispatchers; tests read their state."""
        return self._entries

    def run(self) -> results.Result:
        """Runs the scenario and returns the results by class."""
        scenario = self._scenario
        for work in scenario.works:
            self._at(work.arrival_s, lambda work=work: self._arrive(work))
        for entry in range(len(self._entries)):
            self._every(TICK_S, lambda entry=entry: self._tick(entry))
            self._every(GOSSIP_S, lambda entry=entry: self._gossip(entry))
        self._exchange_initial_demand()
        self._every(REPORT_S, self._send_load_reports)
        end_s = scenario.duration_s + scenario.drain_s
        while self._heap and self._heap[0][0] <= end_s:
            self._now_s, _, event = heapq.heappop(self._heap)
            event()
        for flight in list(self._flights.values()):
            self._fail(flight)
        return self._summarize()

    def _at(self, event_s: float, event: abc.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (event_s, next(self._order), event))

    def _every(self, period_s: float, event: abc.Callable[[], None]) -> None:
        def run_and_repeat() -> None:
            event()
            self._at(self._now_s + period_s, run_and_repeat)

        self._at(self._rng.uniform(0, period_s), run_and_repeat)

    # -- callers -----------------------------------------------------------

    def _arrive(self, work: fake_engine.Work) -> None:
        class_result = self._result.classes[work.class_id]
        if not work.tries:
            class_result.offered += 1
        work.tries += 1
        work.sent_s = self._now_s
        weights = self._scenario.entry_weights
        entry = self._rng.choices(range(len(weights)), weights)[0]
        job = self._job(work)
        flight = Flight(job, work, entry)
        self._flights[job.request_id] = flight
        refusal = self._offer(flight)
        if refusal is not None:
            self._refused(flight, refusal)
            return
        self._place(entry)

    def _offer(self, flight: Flight) -> messages.Refusal | None:
        return self._entries[flight.entry].offer(flight.job, self._now_s)

    def _job(self, work: fake_engine.Work) -> messages.Job:
        document = self._scenario.document
        request_class = document.classes[work.class_id]
        workspace = document.workspaces[work.workspace]
        return messages.Job(
            request_id=ids.RequestId(f"r{next(self._numbers)}"),
            workspace=work.workspace,
            class_id=work.class_id,
            service=SERVICE,
            model=ids.ModelId("trail-7b"),
            rank=document.rank_of(work.class_id, workspace),
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
        if not self._will_resend(flight, refusal):
            work.refused_s = self._now_s
            self._record_wait(work)
            return
        resend_s = self._now_s + refusal.retry_after_s
        self._at(resend_s, lambda: self._arrive(work))

    def _will_resend(self, flight: Flight, refusal: messages.Refusal) -> bool:
        if refusal.retry_after_s is None:
            return False
        if flight.work.tries >= self._scenario.caller_tries:
            return False
        share = self._scenario.retry_share
        if share is None:
            return True
        left_s = flight.job.deadline_s - self._now_s
        return refusal.retry_after_s <= share * left_s

    def _record_wait(self, work: fake_engine.Work) -> None:
        class_result = self._result.classes[work.class_id]
        waited_s = self._now_s - work.arrival_s
        class_result.worst_wait_s = max(class_result.worst_wait_s, waited_s)

    # -- entries -----------------------------------------------------------

    def _tick(self, entry: int) -> None:
        self._entries[entry].refresh_shares(self._now_s)
        self._place(entry)

    def _place(self, entry: int) -> None:
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
        self._count_in_pause(flight)
        if engine.is_down(self._now_s):
            self._end(flight, messages.Outcome.NOT_STARTED)
            return
        if engine.is_failing(self._now_s):
            event_s = self._now_s + engine.settings.fail_after_s
            self._at(event_s, lambda: self._turned_away(flight))
            return
        source = self._engines.get(flight.source)
        if source is not None and source.is_down(self._now_s):
            source = None
        engine.add(flight.job, flight.work, source)
        self._record_over_limit(flight.endpoint)
        if not engine.stepping:
            self._begin_step(flight.endpoint)

    def _turned_away(self, flight: Flight) -> None:
        """Ends a run that its engine has turned away."""
        self._result.turned_away += 1
        endpoint = flight.endpoint
        pause_s = self._engines[endpoint].settings.pause_s
        if pause_s:
            pause = _Pause(self._now_s, self._now_s + pause_s)
            self._pauses.setdefault((flight.entry, endpoint), []).append(pause)
            self._pause(flight, endpoint, pause.until_s)
        self._end(flight, messages.Outcome.REFUSED_BY_ENDPOINT)

    def _pause(
        self, flight: Flight, endpoint: ids.EndpointId, until_s: float
    ) -> None:
        """Has an entry apply a pause."""
        if self._scenario.pause_scope is scenarios.PauseScope.NOBODY:
            return
        entry = self._entries[flight.entry]
        request_id = flight.job.request_id
        entry.pause(endpoint, until_s, request_id, self._now_s)

    def _count_in_pause(self, flight: Flight) -> None:
        for pause in self._pauses.get((flight.entry, flight.endpoint), ()):
            if pause.stated_s + PAUSE_GRACE_S < self._now_s < pause.until_s:
                pause.sent += 1
                most = max(self._result.most_in_pause, pause.sent)
                self._result.most_in_pause = most

    def _record_over_limit(self, endpoint: ids.EndpointId) -> None:
        service = self._scenario.document.services[SERVICE]
        in_flight = sum(f.endpoint == endpoint for f in self._flights.values())
        excess = in_flight - service.slots_per_endpoint
        self._result.most_over_limit = max(self._result.most_over_limit, excess)

    def _preempt(self, flight: Flight) -> None:
        if flight.job.request_id not in self._flights or not flight.endpoint:
            return
        self._engines[flight.endpoint].cancel(flight.job.request_id)
        self._end(flight, messages.Outcome.PREEMPTED)

    def _end(self, flight: Flight, outcome: messages.Outcome) -> None:
        """Ends a run and retries it if it failed before any answer."""
        entry = self._entries[flight.entry]
        entry.finish(flight.job.request_id, outcome, self._now_s)
        flight.endpoint = None
        if outcome is messages.Outcome.DONE:
            self._done(flight)
        else:
            self._record_waste(flight)
            if flight.delivered or not self._retry(flight, outcome):
                self._fail(flight)
        self._place(flight.entry)

    def _retry(self, flight: Flight, outcome: messages.Outcome) -> bool:
        entry = self._entries[flight.entry]
        return entry.retry(flight.job, outcome, self._now_s)

    def _done(self, flight: Flight) -> None:
        del self._flights[flight.job.request_id]
        class_result = self._result.classes[flight.work.class_id]
        class_result.completed += 1
        class_result.windows[int(self._now_s / results.WINDOW_S)] += 1
        if flight.work.in_time:
            class_result.attained += 1
        if self._now_s <= self._scenario.duration_s:
            self._result.useful_s += self._cost_s(flight)

    def _fail(self, flight: Flight) -> None:
        del self._flights[flight.job.request_id]
        self._record_wait(flight.work)
        if flight.work.crashes and flight.work.tries < CRASHER_TRIES:
            work = flight.work
            self._at(self._now_s + RESEND_S, lambda: self._arrive(work))
        if self._result.crashes and not flight.work.crashes:
            self._result.harmless_failed += 1

    def _record_waste(self, flight: Flight) -> None:
        if flight.tokens:
            self._result.wasted_s += self._cost_s(flight)

    def _cost_s(self, flight: Flight) -> float:
        return fake_engine.EngineSettings().cost_s(
            flight.work.prompt_tokens, flight.tokens
        )

    # -- engines -----------------------------------------------------------

    def _begin_step(self, endpoint: ids.EndpointId) -> None:
        engine = self._engines[endpoint]
        length_s = engine.begin_step(self._now_s)
        engine.stepping = length_s is not None
        if length_s is None:
            return
        if engine.will_crash():
            self._at(self._now_s + length_s, lambda: self._crash(endpoint))
            return
        self._at(self._now_s + length_s, lambda: self._end_step(endpoint))

    def _end_step(self, endpoint: ids.EndpointId) -> None:
        result = self._engines[endpoint].end_step()
        for request_id in result.first:
            if request_id in self._flights:
                self._first_token(self._flights[request_id])
        for request_id, tokens in result.progress:
            self._progress(endpoint, request_id, tokens)
        for request_id in result.finished:
            if request_id in self._flights:
                self._end(self._flights[request_id], messages.Outcome.DONE)
        self._begin_step(endpoint)

    def _first_token(self, flight: Flight) -> None:
        work = flight.work
        entry = self._entries[flight.entry]
        self._report_in_response(flight)
        entry.first_token(flight.job.request_id, self._now_s)
        class_result = self._result.classes[work.class_id]
        waited_s = self._now_s - work.arrival_s
        class_result.worst_wait_s = max(class_result.worst_wait_s, waited_s)
        flight.delivered = True
        work.answered_s = self._now_s
        work.in_time = waited_s <= flight.job.target_first_token_s

    def _report_in_response(self, flight: Flight) -> None:
        """Passes the load report of a response on, if it has a work time."""
        report = self._engines[flight.endpoint].report(self._now_s)
        if report.work_time_factor is not None:
            self._receive_report(flight.entry, flight.endpoint, report)

    def _receive_report(
        self,
        entry: int,
        endpoint: ids.EndpointId,
        report: messages.LoadReport,
    ) -> None:
        self._entries[entry].report(endpoint, report)

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
        for entry, crashed_flights in by_entry.items():
            suspects = [flight.job for flight in crashed_flights]
            self._entries[entry].crashed(endpoint, suspects, self._now_s)
            for flight in crashed_flights:
                self._end(flight, messages.Outcome.CRASHED)

    # -- load reports and gossip ----------------------------------------------

    def _send_load_reports(self) -> None:
        for endpoint, engine in self._engines.items():
            engine.observe(self._now_s)
            if not engine.is_down(self._now_s):
                report = engine.report(self._now_s)
                for entry in range(len(self._entries)):
                    self._receive_report(entry, endpoint, report)

    def _exchange_initial_demand(self) -> None:
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
        suspects = self._entries[entry].take_suspect_reports()
        announcements = self._entries[entry].take_cache_announcements(
            self._now_s
        )
        self._at(
            self._now_s + scenario.gossip_delay_s,
            lambda: self._receive_gossip(
                entry, demand, marks, suspects, announcements
            ),
        )

    def _receive_gossip(
        self,
        entry: int,
        demand: messages.PeerDemand,
        marks: dict[ids.Fingerprint, float],
        suspects: list[messages.SuspectReport],
        announcements: list[messages.CacheAnnouncement],
    ) -> None:
        demand = dataclasses.replace(demand, seen_at_s=self._now_s)
        for number, other in enumerate(self._entries):
            if number != entry:
                other.update_peer(demand)
                other.merge_quarantine(marks, self._now_s)
                other.merge_suspect_reports(suspects, self._now_s)
                other.merge_cache_announcements(announcements, self._now_s)

    # -- results ------------------------------------------------------------

    def _summarize(self) -> results.Result:
        result = self._result
        result.capacity_s = sum(
            self._scenario.duration_s / max(engine.settings.slowdown, 1.0)
            if engine.settings.slow_from_s <= 0.0
            else self._scenario.duration_s
            for engine in self._engines.values()
        )
        total = sum(e.prompt_tokens_total for e in self._engines.values())
        cached = sum(e.prompt_tokens_cached for e in self._engines.values())
        fetched = sum(e.prompt_tokens_fetched for e in self._engines.values())
        result.cached_share = cached / max(total, 1)
        result.fetched_share = fetched / max(total, 1)
        result.harmless_quarantined = len(self._quarantined_harmless())
        bound.set_bounds(result, self._scenario)
        return result

    def _quarantined_harmless(self) -> set[ids.Fingerprint]:
        crashing = {
            _fingerprint(work) for work in self._scenario.works if work.crashes
        }
        quarantined = [
            entry.quarantine_marks(self._now_s) for entry in self._entries
        ]
        return set().union(*quarantined) - crashing


def _fingerprint(work: fake_engine.Work) -> ids.Fingerprint:
    return ids.Fingerprint(f"f{id(work)}")
