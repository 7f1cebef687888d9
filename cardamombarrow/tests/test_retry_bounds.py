"""Bounds on retries over all entries, while entries restart and are cut off."""

from concurrent import futures
import dataclasses
import itertools
import random
import signal
import threading
import time

import pytest

from cardamombarrow.kernel import errors
from tools import arrivals
from tools import caller
from tools import cut_off
from tools import deployment
from tools import failing_engines
from tools.standin import control
from tools.standin import cut_links

pytestmark = pytest.mark.process

_ENTRIES = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2"]}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_BOUND = arrivals.RetryBound(share=0.05, slack=60.0, window_s=10.0)
_ENGINES = failing_engines.FailingEngines(_BOUND, fail_share=0.8)
_CALLERS = 24
_PAUSE_S = 0.2
_LOAD_S = 16.0


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
                    model=failing_engines.SERVICE,
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
        running.restart(name, number)


def test_restarted_entries_spend_the_slack_of_retries_once(tmp_path):
    # Guards against entries that spend a whole part of the bound after each
    # start.
    plan = _ENGINES.plan(tmp_path, _ENTRIES, {"a": ["control-1"]})
    with deployment.Deployment(plan, tmp_path) as running:
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
    found = _ENGINES.arrivals(tmp_path)
    assert arrivals.most_excess_retries(found, load.sent_s, _BOUND) <= 0.0


_IN_FLIGHT = 12
_PREFILL_S_PER_TOKEN = 0.2
_NO_RETRIES = arrivals.RetryBound(share=0.0, slack=0.0, window_s=10.0)


def _cut_plan(folder):
    plan = cut_off.plan()
    return dataclasses.replace(
        plan,
        document=plan.document.replace(
            "kind = engine", "kind = engine\nslots_per_endpoint = 100"
        )
        + "[policies]\nretry = window\n",
        engine_options=("--arrivals", str(folder / "arrivals")),
        entry_extra={
            "retries": f"share = {_NO_RETRIES.share}\n"
            f"slack = {_NO_RETRIES.slack}\n",
        },
    )


def _complete(running, number):
    return caller.complete(
        running.entries["a-1"],
        "desk",
        model="engines",
        prompt=str(number),
        stream=False,
    )


def _set_engines(running, **behaviour):
    for address in running.engines["engines"]:
        control.set_behaviour(address, **behaviour)


def test_forwarded_requests_are_retried_within_the_bound(tmp_path):
    # Guards against requests that run once more at another entry, without a
    # retry being spent, after they have failed at one that is cut off.
    path = tmp_path / "arrivals"
    with (
        deployment.Deployment(_cut_plan(tmp_path), tmp_path) as running,
        futures.ThreadPoolExecutor(_IN_FLIGHT) as pool,
    ):
        _set_engines(running, prefill_s_per_token=_PREFILL_S_PER_TOKEN)
        pending = [
            pool.submit(_complete, running, number)
            for number in range(_IN_FLIGHT)
        ]
        assert deployment.wait_until(
            lambda: len(arrivals.read(path)) == _IN_FLIGHT
        )
        _set_engines(running, prefill_s_per_token=0.0)
        with cut_off.cut(running, ("a-1",), cut_links.CutMode.REFUSE):
            numbers = itertools.count(_IN_FLIGHT)
            # Another entry serves one, so that it is known to reach endpoints.
            assert deployment.wait_until(
                lambda: _complete(running, next(numbers)).status == 200
            )
            assert not any(each.done() for each in pending)
            _set_engines(running, cut_after_tokens=1)
            for each in pending:
                each.result()
        assert "forward" in running.log("a-1")
    found = arrivals.read(path)
    assert arrivals.most_excess_retries(found, [], _NO_RETRIES) <= 0.0
