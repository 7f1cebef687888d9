"""Retries, while processes restart, stand still and are cut off in series.

Chaotic spans, in which disruptions overlap, alternate with calm ones. What
arrives is counted at the endpoints. `SOAK_SEEDS=FIRST:LAST` plays other seeds
than the short run.
"""

from concurrent import futures
import contextlib
import dataclasses
import itertools
import random
import signal
import threading
import time

import pytest

from cardamombarrow.decisions.queueing import retry
from cardamombarrow.kernel import errors
from tools import arrivals
from tools import caller
from tools import cut_off
from tools import deployment
from tools import engine_restarter
from tools import failing_engines
from tools import soak
from tools.standin import cut_links

pytestmark = pytest.mark.process

_SEEDS = soak.seeds("1:2")
_MARKER = "standin-crash"
_ENTRIES = {
    "a": ["a-1", "a-2", "a-3"],
    "b": ["b-1", "b-2"],
    "c": ["c-1", "c-2"],
}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_CONTROLS = {"a": ["control-a"], "b": ["control-b"], "c": ["control-c"]}
_CONTROL_NAMES = [name for group in _CONTROLS.values() for name in group]
_BOUND = arrivals.RetryBound(share=0.01, slack=100.0, window_s=20.0)
_ENGINES = failing_engines.FailingEngines(
    _BOUND, fail_share=0.8, crash_marker=_MARKER
)
_CALLERS = 16
_DISRUPTIONS_AT_ONCE = 7
_CHAOS_S = 10.0
_CALM_S = 9.0
_ROUNDS = 2
_CONTACT_S = 4.0
"""Time without disruptions after which an entry has to know of all crashes."""

_CRASHES_BEFORE = 3
_MOST_RETRIES = 3
_CRASHING = 2
_CRASHING_INTERVAL_S = 0.6
_ENGINE_DOWN_S = 1.0


@dataclasses.dataclass(frozen=True)
class _Crash:
    """A call of a request that crashes endpoints, and its answer."""

    entry: str
    request_id: str


@dataclasses.dataclass(frozen=True)
class _Disruption:
    """A restart or freeze of a process, in Unix time."""

    name: str
    begin_s: float
    end_s: float


class _Soak:
    """Callers and disruptions of one run.

    Attributes:
        sent_s: When callers sent their requests.
        bodies: The requests that crash endpoints.
        crashes: Their calls that were answered.
        disruptions: The restarts and freezes.
    """

    def __init__(self, running, seed):
        self._running = running
        self._seed = seed
        self._stop = threading.Event()
        self._chaos = threading.Event()
        self._locks = {
            name: threading.Lock() for name in (*_NAMES, *_CONTROL_NAMES)
        }
        self._numbers = itertools.count()
        self.sent_s: list[float] = []
        self.bodies = [
            caller.completion_body(
                failing_engines.SERVICE, f"{_MARKER} {n}", False, 1
            )
            for n in range(_CRASHING)
        ]
        self.crashes: list[_Crash] = []
        self.disruptions: list[_Disruption] = []

    def run(self):
        """Plays the whole soak."""
        tasks = [
            *((self._call, f"c{n}") for n in range(_CALLERS)),
            *((self._crash, f"b{n}") for n in range(_CRASHING)),
            *((self._disrupt, f"d{n}") for n in range(_DISRUPTIONS_AT_ONCE)),
        ]
        with futures.ThreadPoolExecutor(len(tasks)) as pool:
            pending = [
                pool.submit(task, random.Random(f"{self._seed} {name}"), name)
                for task, name in tasks
            ]
            for _ in range(_ROUNDS):
                self._chaos.set()
                time.sleep(_CHAOS_S)
                self._chaos.clear()
                time.sleep(_CALM_S)
            self._stop.set()
            for each in pending:
                each.result()

    def _send(self, name, prompt):
        self.sent_s.append(time.time())
        return caller.complete(
            self._running.entries[name],
            "desk",
            model=failing_engines.SERVICE,
            prompt=prompt,
            stream=False,
            tokens=1,
        )

    def _call(self, rng, _):
        while not self._stop.wait(rng.uniform(0.0, 0.2)):
            prompt = f"{self._seed}-{next(self._numbers)}"
            try:
                self._send(rng.choice(_NAMES), prompt)
            except errors.EndpointError:
                # The entry was killed, or has not started yet.
                time.sleep(0.05)

    def _crash(self, rng, task):
        prompt = f"{_MARKER} {task[1:]}"
        while not self._stop.wait(_CRASHING_INTERVAL_S):
            name = rng.choice(_NAMES)
            try:
                answer = self._send(name, prompt)
            except errors.EndpointError:
                continue
            if answer.error is not None:
                request_id = answer.error["request_id"]
                self.crashes.append(_Crash(name, request_id))

    def _disrupt(self, rng, _):
        while not self._stop.is_set():
            if not self._chaos.wait(0.1):
                continue
            self._stop.wait(rng.uniform(0.0, 0.5))
            disruption = rng.choice(
                (*[self._restart] * 4, self._freeze, self._cut)
            )
            disruption(rng)

    @contextlib.contextmanager
    def _disrupted(self, name):
        """Holds a process for one disruption; yields False if it is held."""
        if not self._locks[name].acquire(blocking=False):
            yield False
            return
        begin_s = time.time()
        try:
            yield True
        finally:
            self.disruptions.append(_Disruption(name, begin_s, time.time()))
            self._locks[name].release()

    def _restart(self, rng):
        names = _CONTROL_NAMES if rng.random() < 0.2 else _NAMES
        name = rng.choice(names)
        with self._disrupted(name) as is_free:
            if is_free:
                number = rng.choice((signal.SIGTERM, signal.SIGKILL))
                self._running.restart(name, number, rng.uniform(0.0, 0.5))

    def _freeze(self, rng):
        name = rng.choice((*_NAMES, *_CONTROL_NAMES))
        with self._disrupted(name) as is_free:
            if is_free:
                self._running.signal(name, signal.SIGSTOP)
                time.sleep(rng.uniform(0.2, 1.5))
                self._running.signal(name, signal.SIGCONT)

    def _cut(self, rng):
        names = rng.sample(_NAMES, rng.randrange(1, 5))
        mode = rng.choice(list(cut_links.CutMode))
        with cut_off.cut(self._running, names, mode):
            time.sleep(rng.uniform(0.5, 3.0))

    def was_in_touch(self, name, at_s):
        """Returns whether an entry and control were undisturbed for a time."""
        return not any(
            each.name in (name, *_CONTROL_NAMES)
            and each.begin_s <= at_s
            and at_s - _CONTACT_S < each.end_s
            for each in self.disruptions
        )


@pytest.mark.parametrize("seed", _SEEDS)
def test_retries_stay_within_their_bounds_during_a_soak(tmp_path, seed):
    # Guards against retries beyond the bound over all entries, beyond those
    # of one request, and of requests that have crashed three endpoints.
    plan = _ENGINES.plan(tmp_path, _ENTRIES, _CONTROLS)
    with (
        deployment.Deployment(plan, tmp_path) as running,
        engine_restarter.EngineRestarter(
            running, failing_engines.SERVICE, _ENGINE_DOWN_S
        ),
    ):
        soak = _Soak(running, seed)
        soak.run()
    found = _ENGINES.arrivals(tmp_path)
    crashing = {arrivals.body_digest(body) for body in soak.bodies}
    attempts = [_by_attempt(each, crashing) for each in found]
    excess = arrivals.most_excess_retries(attempts, soak.sent_s, _BOUND)
    assert excess <= 0.0
    assert _most_arrivals(found, crashing) <= retry.ATTEMPTS
    senders = {each.request_id: each.entry for each in soak.crashes}
    for digest in crashing:
        late = arrivals.retries_after_crashes(
            found, digest, _CRASHES_BEFORE, _CONTACT_S
        )
        counted = [
            each
            for each in late
            if each.request_id in senders
            and soak.was_in_touch(senders[each.request_id], each.at_s)
        ]
        assert len(counted) <= _MOST_RETRIES


def _by_attempt(arrival, crashing):
    """Tells the calls of a request that crashes endpoints apart."""
    if arrival.digest not in crashing:
        return arrival
    return dataclasses.replace(arrival, digest=arrival.request_id)


def _most_arrivals(found, crashing):
    counts: dict[str, int] = {}
    for each in found:
        if each.digest not in crashing:
            counts[each.digest] = counts.get(each.digest, 0) + 1
    return max(counts.values())
