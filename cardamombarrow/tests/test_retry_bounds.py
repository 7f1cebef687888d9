"""Bounds on retries over all entries, while entries restart and are cut off."""

from concurrent import futures
import itertools
import random
import signal
import threading
import time

import pytest

from cardamombarrow.kernel import errors
from tools import arrivals
from tools import caller
from tools import deployment

pytestmark = pytest.mark.process

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:question]
tier = race
target_first_token_s = 2
target_total_s = 8
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question
[service:engines]
kind = engine
slots_per_endpoint = 100
endpoints.a = 10.0.0.1:80, 10.0.0.2:80, 10.0.0.3:80, 10.0.0.4:80
endpoints.b = 10.0.0.5:80, 10.0.0.6:80, 10.0.0.7:80, 10.0.0.8:80
[model:engines]
service = engines
[policies]
retry = window
choice = round-robin
admission = bounded
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""
_ENTRIES = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2"]}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_BOUND = arrivals.RetryBound(share=0.05, slack=60.0, window_s=10.0)
_CALLERS = 24
_PAUSE_S = 0.2
_LOAD_S = 16.0


def _plan(folder):
    return deployment.Plan(
        document=_DOCUMENT,
        entries=_ENTRIES,
        controls={"a": ["control-1"]},
        engine_options=(
            "--fail-status",
            "500",
            "--fail-share",
            "0.8",
            "--arrivals",
            str(folder / "arrivals"),
        ),
        entry_extra={
            "retries": f"share = {_BOUND.share}\nslack = {_BOUND.slack}\n"
            f"window_s = {_BOUND.window_s}\n",
            "document": "confirmed_within_s = 3.5\n",
        },
    )


class _Load:
    """Callers that each send one request after the other."""

    def __init__(self, running):
        self._running = running
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self.sent_s: list[float] = []

    def call(self, rng):
        while not self._stop.wait(_PAUSE_S):
            url = self._running.entries[rng.choice(_NAMES)]
            self.sent_s.append(time.time())
            try:
                caller.complete(
                    url,
                    "desk",
                    model="engines",
                    prompt=str(next(self._numbers)),
                    tokens=1,
                )
            except errors.EndpointError:
                # The entry is down.
                time.sleep(_PAUSE_S)

    def stop(self):
        self._stop.set()


def _restart(running, name, stop, rng):
    while not stop.wait(rng.uniform(0.5, 2.0)):
        number = rng.choice((signal.SIGKILL, signal.SIGTERM))
        running.signal(name, number)
        running.processes[name].wait()
        running.start_instance(name)
        running.wait_ready(name)


def test_restarted_entries_spend_the_slack_of_retries_once(tmp_path):
    # Guards against entries that spend a whole part of the bound after each
    # start.
    rng = random.Random(1)
    with deployment.Deployment(_plan(tmp_path), tmp_path) as running:
        load = _Load(running)
        with futures.ThreadPoolExecutor(_CALLERS + len(_NAMES)) as pool:
            tasks = [
                pool.submit(load.call, random.Random(n))
                for n in range(_CALLERS)
            ]
            stop = threading.Event()
            tasks += [
                pool.submit(_restart, running, name, stop, random.Random(name))
                for name in _NAMES
            ]
            time.sleep(_LOAD_S)
            stop.set()
            load.stop()
            for task in tasks:
                task.result()
    found = arrivals.read(tmp_path / "arrivals")
    assert arrivals.most_excess_retries(found, load.sent_s, _BOUND) <= 0.0
