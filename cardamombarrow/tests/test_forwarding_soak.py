"""Cuts, signals and restarts in overlapping series, under callers' requests.

`SOAK_SEEDS=FIRST:LAST` plays other seeds than the short run.
"""

from concurrent import futures
import dataclasses
import itertools
import json
import random
import signal
import threading
import time

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import caller
from tools import cut_off
from tools import deployment
from tools import soak
from tools.standin import cut_links

pytestmark = pytest.mark.process

_SEEDS = soak.seeds("1:3")
_CALLERS = 10
_DISRUPTIONS_AT_ONCE = 3
_SOAK_S = 20.0
_SETTLE_S = 12.0
_ENTRIES = [name for group in cut_off.ENTRIES.values() for name in group]


@dataclasses.dataclass
class _Charge:
    """An unrepeatable call.

    Attributes:
        status: Status of its answer; 0 if the connection broke.
        not_run: Whether the answer promised that it has not run.
    """

    body: str
    status: int = 0
    not_run: bool = False


class _Soak:
    """Callers and disruptions of one run."""

    def __init__(self, running, seed):
        self._running = running
        self._seed = seed
        self._stop = threading.Event()
        self._locks = {name: threading.Lock() for name in _ENTRIES}
        self._numbers = itertools.count()
        self.charges: list[_Charge] = []

    def run(self):
        """Plays the whole soak."""
        with futures.ThreadPoolExecutor(32) as pool:
            tasks = [
                pool.submit(self._call, random.Random(f"{self._seed} {n}"))
                for n in range(_CALLERS)
            ]
            tasks += [
                pool.submit(self._disrupt, random.Random(f"{self._seed} d{n}"))
                for n in range(_DISRUPTIONS_AT_ONCE)
            ]
            time.sleep(_SOAK_S)
            self._stop.set()
            for task in tasks:
                task.result()

    def _call(self, rng):
        while not self._stop.is_set():
            url = self._running.entries[rng.choice(_ENTRIES)]
            kind = rng.choice(("charge", "read", "stream"))
            try:
                if kind == "charge":
                    self._charge(url)
                elif kind == "read":
                    caller.service(url, "desk", "shop/stock", method="GET")
                else:
                    caller.complete(
                        url,
                        "desk",
                        model="engines",
                        tokens=rng.randrange(1, 90),
                    )
            except errors.EndpointError:
                # The entry was killed, or has not started yet.
                time.sleep(0.1)

    def _charge(self, url):
        charge = _Charge(f"charge-{self._seed}-{next(self._numbers)}")
        self.charges.append(charge)
        answer = caller.service(
            url,
            "desk",
            "shop/charge",
            body=charge.body.encode(),
            key=charge.body,
        )
        charge.status = answer.status
        charge.not_run = bool(answer.error and answer.error["not_run"])

    def _disrupt(self, rng):
        while not self._stop.is_set():
            self._stop.wait(rng.uniform(0.2, 1.5))
            disruption = rng.choice(
                (self._cut, self._cut, self._restart, self._freeze, self._kill)
            )
            disruption(rng)

    def _cut(self, rng):
        names = rng.sample(_ENTRIES, rng.randrange(1, 5))
        with cut_off.cut(
            self._running, names, rng.choice(list(cut_links.CutMode))
        ):
            time.sleep(rng.uniform(0.5, 5.0))

    def _restart(self, rng):
        name = rng.choice(_ENTRIES)
        if not self._locks[name].acquire(blocking=False):
            return
        with_notice = rng.random() < 0.5
        try:
            number = signal.SIGTERM if with_notice else signal.SIGKILL
            self._running.restart(name, number, rng.uniform(0.0, 1.0))
        finally:
            self._locks[name].release()

    def _freeze(self, rng):
        address = rng.choice(self._running.engines["engines"])
        name = f"engine-{address}"
        self._running.signal(name, signal.SIGSTOP)
        time.sleep(rng.uniform(0.3, 1.2))
        self._running.signal(name, signal.SIGCONT)

    def _kill(self, rng):
        address = self._running.engines["engines"][rng.randrange(3)]
        process = self._running.processes[f"engine-{address}"]
        if process.poll() is None and rng.random() < 0.3:
            process.kill()
            process.wait()
            time.sleep(rng.uniform(0.2, 1.0))
            self._running.start_engine(address)


@pytest.fixture
def running(tmp_path):
    with deployment.Deployment(cut_off.plan(), tmp_path) as started:
        yield started


def _charged(running):
    return [
        run["body"]
        for address in running.engines["shop"]
        for run in json.loads(
            http_get.fetch(f"http://{address}/standin/runs", timeout_s=5).body
        )
        if run["path"].endswith("/charge")
    ]


def _all_serve(running, numbers):
    return all(
        cut_off.send(running, name, next(numbers)).status == 200
        for name in _ENTRIES
        for _ in range(3)
    )


@pytest.mark.parametrize("seed", _SEEDS)
def test_no_call_runs_twice_and_all_entries_serve_after_the_soak(running, seed):
    # Guards against second runs, runs of calls that were said not to have run,
    # and entries that stay cut off, when cuts and restarts overlap.
    soak = _Soak(running, seed)
    soak.run()
    ran = _charged(running)
    assert len(ran) == len(set(ran))
    assert not [c.body for c in soak.charges if c.not_run and c.body in ran]
    assert not [
        c.body for c in soak.charges if c.status == 200 and c.body not in ran
    ]
    numbers = itertools.count(1_000_000)
    assert deployment.wait_until(
        lambda: _all_serve(running, numbers), _SETTLE_S
    )
