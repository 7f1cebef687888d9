"""Entries and endpoints in virtual time, some of whose requests are deadly.

Seven entries in three domains send sound and deadly requests to endpoints of
all domains, each with its own quarantine. Reports take a tenth of a second
inside a domain and 1.1 s to another one, as over the links to control
processes.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import random

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import quarantine
from cardamombarrow.kernel import ids

__all__ = ["CONTACT_S", "Arrival", "Load", "World"]

DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
DEADLY = "dead"
FIRST_PARTS = ("a1", "a2")
SUBJECTS = tuple(f"b{number}" for number in range(30))
NEAR_S = 0.1
FAR_S = 1.1
STEP_S = 0.05
DOWN_S = 4.0
SLOTS = 12
PREFILL_S = (0.2, 1.2)
ANSWER_S = (0.5, 3.0)
CRASH_AFTER_S = 0.08
"""Time from the first token of a deadly request to the crash."""

WAIT_S = 2.0
"""Time that a request may wait for an endpoint."""

MAX_ATTEMPTS = 2
CONTACT_S = 4.0
CRASHES_BEFORE = 5


@dataclasses.dataclass
class Load:
    """What is sent.

    Attributes:
        deadly_from_s: When the deadly requests begin.
        deadly: Parts on which endpoints end.
        cut_domain: A domain that hears of no other, and no other of it.
        killed: Times at which an entry is killed just after it has seen a
            crash, before it has reported it.
        duration_s: Length of the run.
        burst: Deadly requests that come at once at the start.
        rack_s: Times at which half of the endpoints fail together.
    """

    sound_per_s: float = 12.0
    deadly_per_s: float = 1.5
    deadly_from_s: float = 10.0
    deadly: tuple[str, ...] = (DEADLY,)
    cut_domain: str = ""
    killed: int = 0
    duration_s: float = 60.0
    endpoints: int = 12
    burst: int = 0
    rack_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A deadly request that reaches an endpoint.

    Attributes:
        domain: The failure domain of the entry that sent it.
    """

    at_s: float
    domain: ids.DomainId


@dataclasses.dataclass
class _Request:
    job: messages.Job
    entry: int
    sent_s: float
    is_sound: bool
    attempts: int = 0
    begun: bool = False


@dataclasses.dataclass
class _Run:
    request: _Request
    first_token_s: float
    end_s: float


class World:
    """One run.

    Attributes:
        crashes: Times at which deadly requests ended endpoints, by part.
        arrivals: Deadly requests that reached endpoints, by part.
        sound: Sound requests.
        refused: Sound requests that were refused by a quarantine.
    """

    def __init__(
        self,
        context: context_module.PolicyContext,
        new_job: abc.Callable[..., messages.Job],
        load: Load,
        seed: int,
        make_policy: abc.Callable[
            [context_module.PolicyContext], quarantine.CrashQuarantine
        ] = quarantine.CrashQuarantine,
    ):
        self._rng = random.Random(seed)
        self._new_job = new_job
        self._load = load
        self._make_policy = make_policy
        self._context = context
        self.policies = [self._boot_entry(n) for n in range(len(DOMAINS))]
        self._up_s = [0.0] * load.endpoints
        self._boots = itertools.count()
        self._names = [self._boot() for _ in range(load.endpoints)]
        self._runs: list[list[_Run]] = [[] for _ in range(load.endpoints)]
        self._waiting: list[_Request] = []
        self._messages: list = []
        self._numbers = itertools.count()
        self._kills_left = load.killed
        self.crashes: dict[str, list[float]] = {
            each: [] for each in load.deadly
        }
        self.arrivals: dict[str, list[Arrival]] = {
            each: [] for each in load.deadly
        }
        self.sound: list[_Request] = []
        self.refused: list[_Request] = []

    def _boot_entry(self, number: int) -> quarantine.CrashQuarantine:
        return self._make_policy(
            dataclasses.replace(
                self._context,
                instance=ids.InstanceId(f"entry-{number}"),
                rng=self._rng,
            )
        )

    def _boot(self) -> ids.EndpointId:
        return ids.EndpointId(f"e#i-{next(self._boots)}")

    def play(self) -> "World":
        """Plays the whole run."""
        load = self._load
        for step in range(int(load.duration_s / STEP_S)):
            now_s = 1.0 + step * STEP_S
            self._deliver(now_s)
            self._advance(now_s)
            self._arrive(now_s)
            if any(abs(now_s - each) < STEP_S / 2 for each in load.rack_s):
                for number in range(0, load.endpoints, 2):
                    self._crash(number, now_s)
            self._place_waiting(now_s)
            for entry in range(len(DOMAINS)):
                self.policies[entry].review(now_s)
                self._share(entry, now_s)
            self._cancel_refused(now_s)
        return self

    def _cancel_refused(self, now_s: float) -> None:
        """Cancels runs that are refused by now and have not begun."""
        for runs in self._runs:
            for run in list(runs):
                job = run.request.job
                policy = self.policies[run.request.entry]
                if job.first_token_s is None and policy.refuse(job, now_s):
                    runs.remove(run)
                    policy.on_finish(job, messages.Outcome.PREEMPTED, now_s)

    def _arrive(self, now_s: float) -> None:
        load = self._load
        if self._rng.random() < load.sound_per_s * STEP_S:
            parts = [self._rng.choice(FIRST_PARTS), self._rng.choice(SUBJECTS)]
            self._send(parts, now_s, is_sound=True)
        is_deadly_time = now_s >= load.deadly_from_s
        count = int(self._rng.random() < load.deadly_per_s * STEP_S)
        if load.burst and abs(now_s - load.deadly_from_s) < STEP_S / 2:
            count += load.burst
        for _ in range(count if is_deadly_time and load.deadly else 0):
            parts = [self._rng.choice(FIRST_PARTS), self._rng.choice(SUBJECTS)]
            part = self._rng.choice(load.deadly)
            parts.insert(self._rng.randrange(3), part)
            self._send(parts, now_s, is_sound=False)

    def _send(self, parts: list[str], now_s: float, *, is_sound: bool) -> None:
        number = next(self._numbers)
        job = self._new_job(
            fingerprint=ids.Fingerprint(f"f{number}"),
            parts=tuple(
                messages.PromptPart(each, 10)
                for each in (*parts, f"own{number}")
            ),
        )
        entry = self._rng.randrange(len(DOMAINS))
        request = _Request(job, entry, now_s, is_sound)
        if is_sound:
            self.sound.append(request)
        self._offer(request, now_s)

    def _offer(self, request: _Request, now_s: float) -> None:
        if self.policies[request.entry].refuse(request.job, now_s) is not None:
            if request.is_sound:
                self.refused.append(request)
            return
        self._waiting.append(request)

    def _place_waiting(self, now_s: float) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            policy = self.policies[request.entry]
            if policy.refuse(request.job, now_s) is not None:
                if request.is_sound:
                    self.refused.append(request)
                continue
            free = [
                number
                for number in range(self._load.endpoints)
                if self._may_place(request, number, now_s)
            ]
            if free:
                self._place(request, self._rng.choice(free), now_s)
            elif now_s - request.sent_s < WAIT_S:
                self._waiting.append(request)

    def _may_place(self, request: _Request, number: int, now_s: float) -> bool:
        if self._up_s[number] > now_s or len(self._runs[number]) >= SLOTS:
            return False
        policy = self.policies[request.entry]
        own = [
            run.request.job
            for run in self._runs[number]
            if run.request.entry == request.entry
        ]
        if policy.must_run_alone(request.job, now_s):
            return not own
        return not any(policy.must_run_alone(each, now_s) for each in own)

    def _place(self, request: _Request, number: int, now_s: float) -> None:
        request.attempts += 1
        request.job.first_token_s = None
        first_token_s = now_s + self._rng.uniform(*PREFILL_S)
        end_s = first_token_s + self._rng.uniform(*ANSWER_S)
        if not request.is_sound:
            end_s = first_token_s + CRASH_AFTER_S
            arrival = Arrival(now_s, ids.DomainId(DOMAINS[request.entry]))
            self.arrivals[self._part(request)].append(arrival)
        self._runs[number].append(_Run(request, first_token_s, end_s))

    def _part(self, request: _Request) -> str:
        (part,) = {each.part for each in request.job.parts} & set(
            self._load.deadly
        )
        return part

    def _advance(self, now_s: float) -> None:
        for number, runs in enumerate(self._runs):
            for run in list(runs):
                self._advance_run(number, run, now_s)

    def _advance_run(self, number: int, run: _Run, now_s: float) -> None:
        if run not in self._runs[number]:
            return
        request, job = run.request, run.request.job
        policy = self.policies[request.entry]
        if now_s >= run.first_token_s and job.first_token_s is None:
            job.first_token_s = now_s
            if request.is_sound:
                request.begun |= request.attempts == 1
                policy.on_first_token(job, now_s)
        if now_s < run.end_s:
            return
        if not request.is_sound:
            self.crashes[self._part(request)].append(now_s)
            self._crash(number, now_s)
            return
        self._runs[number].remove(run)
        policy.on_finish(job, messages.Outcome.DONE, now_s)

    def _crash(self, number: int, now_s: float) -> None:
        running, self._runs[number] = self._runs[number], []
        self._up_s[number] = now_s + DOWN_S
        endpoint, self._names[number] = self._names[number], self._boot()
        requests = [run.request for run in running]
        for entry in sorted({each.entry for each in requests}):
            suspects = [each.job for each in requests if each.entry == entry]
            policy = self.policies[entry]
            policy.on_crash(endpoint, suspects, now_s)
            for job in suspects:
                policy.on_finish(job, messages.Outcome.CRASHED, now_s)
            if self._kills_left and self._rng.random() < 0.3:
                self._kills_left -= 1
                self._restart(entry, now_s)
        for request in requests:
            if request.attempts < MAX_ATTEMPTS:
                self._offer(request, now_s)

    def _restart(self, entry: int, now_s: float) -> None:
        """Replaces an entry by one that gets the others' reports."""
        self.policies[entry] = self._boot_entry(entry)
        other = self.policies[(entry + 1) % len(DOMAINS)]
        self.policies[entry].merge_reports(other.reports(now_s), now_s)

    def _share(self, entry: int, now_s: float) -> None:
        reports = self.policies[entry].take_own_reports()
        for other, domain in enumerate(DOMAINS):
            if not reports or other == entry:
                continue
            near = domain == DOMAINS[entry]
            if not near and self._load.cut_domain in (domain, DOMAINS[entry]):
                continue
            delay_s = NEAR_S if near else FAR_S
            item = (now_s + delay_s, next(self._numbers), other, reports)
            heapq.heappush(self._messages, item)

    def _deliver(self, now_s: float) -> None:
        while self._messages and self._messages[0][0] <= now_s:
            _, _, entry, reports = heapq.heappop(self._messages)
            self.policies[entry].merge_reports(reports, now_s)

    def late_arrivals(self, part: str) -> int:
        """Counts arrivals long enough after the fifth crash.

        Entries that are cut off can't know of it.
        """
        crashes = sorted(self.crashes[part])
        if len(crashes) < CRASHES_BEFORE:
            return 0
        known_s = crashes[CRASHES_BEFORE - 1] + CONTACT_S
        return sum(
            each.at_s > known_s and each.domain != self._load.cut_domain
            for each in self.arrivals[part]
        )

    def share_begun(self, from_s: float, to_s: float) -> float:
        """Returns the share of sound requests begun at the first attempt."""
        sent = [each for each in self.sound if from_s <= each.sent_s < to_s]
        return sum(each.begun for each in sent) / max(len(sent), 1)
