"""Requests that crash endpoints, sent to seven entries in three domains.

In virtual time: reports take a tenth of a second inside a domain and 1.1 s to
another one, as over the links to control processes.
"""

import dataclasses
import heapq
import itertools
import random

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import quarantine
from cardamombarrow.kernel import ids

_DOMAINS = ("a", "a", "a", "b", "b", "c", "c")
_NEAR_S = 0.1
_FAR_S = 1.1
_CONTACT_S = 4.0
_CRASHES_BEFORE = 3
_MOST_RETRIES = 3
_DOWN_S = 4.0
_DURATION_S = 60.0
_STEP_S = 0.1
_HARMLESS_S = 1.0
"""How long a harmless request runs."""


@dataclasses.dataclass
class _Run:
    job: messages.Job
    entry: int
    end_s: float


class _World:
    """Entries and endpoints.

    Attributes:
        crashes: Times at which each bad request crashed an endpoint.
    """

    def __init__(self, context, seed, endpoints, cut_domain=None):
        self._rng = random.Random(seed)
        self._cut_domain = cut_domain
        self.policies = [
            quarantine.CrashQuarantine(
                dataclasses.replace(
                    context,
                    instance=ids.InstanceId(f"entry-{number}"),
                    rng=self._rng,
                )
            )
            for number in range(len(_DOMAINS))
        ]
        self._up_s = [0.0] * endpoints
        self._boots = itertools.count()
        self._names = [self._boot() for _ in range(endpoints)]
        self._runs: list[list[_Run]] = [[] for _ in range(endpoints)]
        self._messages: list = []
        self._numbers = itertools.count()
        self.crashes: dict[str, list[float]] = {}
        self.refused: set[str] = set()

    def _boot(self):
        return ids.EndpointId(f"e#i-{next(self._boots)}")

    def advance(self, now_s):
        """Delivers reports and ends harmless runs."""
        while self._messages and self._messages[0][0] <= now_s:
            _, _, entry, reports = heapq.heappop(self._messages)
            self.policies[entry].merge_reports(
                [self._aged(each, now_s) for each in reports], now_s
            )
        for runs in self._runs:
            for run in [each for each in runs if each.end_s <= now_s]:
                runs.remove(run)
                policy = self.policies[run.entry]
                policy.on_finish(run.job, messages.Outcome.DONE, now_s)
                self._share(run.entry, now_s)

    def _aged(self, report, now_s):
        return dataclasses.replace(report, seen_s=min(report.seen_s, now_s))

    def _share(self, entry, now_s):
        reports = self.policies[entry].take_own_reports()
        for other, domain in enumerate(_DOMAINS):
            if not reports or other == entry:
                continue
            near = domain == _DOMAINS[entry]
            if not near and self._cut_domain in (domain, _DOMAINS[entry]):
                continue
            delay_s = _NEAR_S if near else _FAR_S
            item = (now_s + delay_s, next(self._numbers), other, reports)
            heapq.heappush(self._messages, item)

    def send(self, entry, job, now_s, *, is_bad):
        """Sends a request to an endpoint through an entry."""
        policy = self.policies[entry]
        if policy.refuse(job, now_s) is not None:
            self.refused.add(job.fingerprint)
            return
        free = [
            number
            for number, up_s in enumerate(self._up_s)
            if up_s <= now_s and self._may_place(entry, job, number, now_s)
        ]
        if not free:
            return
        number = self._rng.choice(free)
        if not is_bad:
            run = _Run(job, entry, now_s + _HARMLESS_S)
            self._runs[number].append(run)
            return
        self.crashes.setdefault(job.fingerprint, []).append(now_s)
        self._crash(number, entry, job, now_s)

    def _may_place(self, entry, job, number, now_s):
        own = [run.job for run in self._runs[number] if run.entry == entry]
        policy = self.policies[entry]
        if policy.must_run_alone(job, now_s):
            return not own
        return not any(policy.must_run_alone(each, now_s) for each in own)

    def _crash(self, number, entry, job, now_s):
        running = [(run.entry, run.job) for run in self._runs[number]]
        running.append((entry, job))
        self._runs[number] = []
        self._up_s[number] = now_s + _DOWN_S
        endpoint, self._names[number] = self._names[number], self._boot()
        for each in sorted({each for each, _ in running}):
            suspects = [job for owner, job in running if owner == each]
            self.policies[each].on_crash(endpoint, suspects, now_s)
            self._share(each, now_s)


def _play(context, new_job, seed, *, bad, endpoints, cut_domain=None):
    """Plays a minute in which each bad request comes once a second."""
    world = _World(context, seed, endpoints, cut_domain)
    rng = random.Random(seed)
    bad_jobs = [
        new_job(fingerprint=ids.Fingerprint(f"bad-{n}")) for n in range(bad)
    ]
    harmless = itertools.count()
    for step in range(int(_DURATION_S / _STEP_S)):
        now_s = 1.0 + step * _STEP_S
        world.advance(now_s)
        job = new_job(fingerprint=ids.Fingerprint(f"good-{next(harmless)}"))
        world.send(rng.randrange(len(_DOMAINS)), job, now_s, is_bad=False)
        if step % int(1.0 / _STEP_S) == 0:
            for each in bad_jobs:
                entry = rng.randrange(len(_DOMAINS))
                world.send(entry, each, now_s, is_bad=True)
    return world


def _late_arrivals(crashes):
    """Counts arrivals long enough after the third crash."""
    if len(crashes) <= _CRASHES_BEFORE:
        return 0
    from_s = crashes[_CRASHES_BEFORE - 1] + _CONTACT_S
    return sum(each > from_s for each in crashes)


@pytest.mark.parametrize("endpoints", [3, 9])
@pytest.mark.parametrize("bad", [1, 10])
@pytest.mark.parametrize("seed", range(10))
def test_a_request_crashes_few_endpoints_whatever_entries_it_comes_to(
    context, new_job, seed, bad, endpoints
):
    # Guards against as many lost endpoints as there are entries, and against
    # refusing the requests that ran beside the bad ones.
    world = _play(context, new_job, seed, bad=bad, endpoints=endpoints)
    for crashes in world.crashes.values():
        assert _late_arrivals(crashes) <= _MOST_RETRIES
    if bad == 1:
        (crashes,) = world.crashes.values()
        assert len(crashes) <= _CRASHES_BEFORE + 1
    assert {each for each in world.refused if each.startswith("good")} == set()


@pytest.mark.parametrize("seed", range(10))
def test_a_domain_that_is_cut_off_pays_for_itself_only(context, new_job, seed):
    # Guards against a cut that lets a request crash endpoints without an end.
    world = _play(context, new_job, seed, bad=1, endpoints=9, cut_domain="b")
    (crashes,) = world.crashes.values()
    assert len(crashes) <= 2 * (_CRASHES_BEFORE + 1)
