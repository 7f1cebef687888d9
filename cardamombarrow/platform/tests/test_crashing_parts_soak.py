"""Parts that crash servers, while entries end and domains are cut off.

Entries are killed, stopped, restarted and frozen, and domains lose their links
to control processes and to each other, in series that overlap. What is checked
is what servers and callers see. `SOAK_SEEDS=FIRST:LAST` plays other seeds than
the short run.
"""

from concurrent import futures
import contextlib
import os
import random
import signal
import threading
import time

import pytest

from cardamombarrow.platform.tests import crashing_servers
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_FIRST, _, _LAST = os.environ.get("SOAK_SEEDS", "1:2").partition(":")
_SEEDS = range(int(_FIRST), int(_LAST))
_ENTRIES = {
    "a": ["a-1", "a-2", "a-3"],
    "b": ["b-1", "b-2"],
    "c": ["c-1", "c-2"],
}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_ZONES = ("a", "a", "b", "b", "c", "c")
_DEADLY = ("dead1", "dead2")
_CONTACT_S = 4.0
_CRASHES_BEFORE = 5
_MOST_ARRIVALS = 3
_LEAST_RATIO = 0.5
_LEAST_SOUND = 20
_CALM_S = 3.0
_RUN_S = 30.0
_SOUND_PER_S = 25.0
_DEADLY_PER_S = 2.0
_DISRUPTIONS_AT_ONCE = 2


class _Disruptions:
    """Ends, freezes and cuts at random, and the times in which they last."""

    def __init__(self, running, seed):
        self._running = running
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._locks = {name: threading.Lock() for name in _NAMES}
        self._cut_lock = threading.Lock()
        self._spans: dict[str, list[list[float]]] = {n: [] for n in _NAMES}

    @contextlib.contextmanager
    def going_on(self):
        """Disturbs entries while the context is open."""
        with futures.ThreadPoolExecutor(_DISRUPTIONS_AT_ONCE + 1) as pool:
            tasks = _DISRUPTIONS_AT_ONCE * [self._disturb] + [self._cut]
            pending = [
                pool.submit(task, random.Random(self._rng.random()))
                for task in tasks
            ]
            try:
                yield
            finally:
                self._stop.set()
            for each in pending:
                each.result()

    def is_in_touch(self, name, at_s):
        """Returns whether an entry was undisturbed for long enough."""
        return all(
            not start_s <= at_s <= end_s + _CONTACT_S
            for start_s, end_s in self._spans[name]
        )

    @contextlib.contextmanager
    def _span(self, names):
        spans = []
        for name in names:
            spans.append([time.monotonic(), float("inf")])
            self._spans[name].append(spans[-1])
        yield
        for span in spans:
            span[1] = time.monotonic()

    def _disturb(self, rng):
        while not self._stop.wait(rng.uniform(1.0, 4.0)):
            name = rng.choice(_NAMES)
            if not self._locks[name].acquire(blocking=False):
                continue
            with contextlib.ExitStack() as stack:
                stack.callback(self._locks[name].release)
                stack.enter_context(self._span([name]))
                self._disturb_one(rng, name)

    def _disturb_one(self, rng, name):
        kind = rng.choice(("kill", "kill", "stop", "freeze"))
        if kind == "freeze":
            self._running.signal(name, signal.SIGSTOP)
            time.sleep(rng.uniform(0.3, 1.5))
            self._running.signal(name, signal.SIGCONT)
        elif kind == "kill":
            down_s = rng.uniform(0.0, 1.0)
            self._running.restart(name, signal.SIGKILL, down_s)
        else:
            self._running.restart(name, signal.SIGTERM)

    def _cut(self, rng):
        while not self._stop.wait(rng.uniform(4.0, 8.0)):
            domain = rng.choice(list(_ENTRIES))
            inside = {*_ENTRIES[domain], f"control-{domain}"}
            outside = {*_NAMES, *self._running.controls} - inside
            links = self._running.proxy.between(inside, outside)
            with self._span(_ENTRIES[domain]):
                for link in links:
                    link.cut()
                time.sleep(rng.uniform(2.0, 5.0))
                for link in links:
                    link.restore()


@pytest.mark.parametrize("seed", _SEEDS)
def test_deadly_parts_end_few_servers_while_entries_end(seed, tmp_path):
    # Guards against a server lost for each entry that has forgotten, or was not
    # told of, the crashes before.
    servers = crashing_servers.CrashingServers(_ZONES, frozenset(_DEADLY))
    plan = stream_client.plan(servers.listing_url, _ENTRIES)
    plan.controls = {name: [f"control-{name}"] for name in _ENTRIES}
    plan.proxied = True
    with servers, deployment.Deployment(plan, tmp_path) as running:
        traffic = crashing_servers.Traffic(running, seed)
        disruptions = _Disruptions(running, seed)
        start_s = time.monotonic()
        traffic.run(_CALM_S, _SOUND_PER_S)
        calm_s = time.monotonic()
        with disruptions.going_on():
            traffic.run(_RUN_S, _SOUND_PER_S, _DEADLY_PER_S, _DEADLY)
        end_s = time.monotonic()

    def in_touch(sent):
        return disruptions.is_in_touch(sent.entry, sent.at_s)

    last_s = calm_s
    late = {}
    for part in _DEADLY:
        crashes = [each.at_s for each in servers.crashes if each.part == part]
        counted = crashes[:_CRASHES_BEFORE]
        last_s = max([last_s, *counted])
        known_s = (
            counted[-1] + _CONTACT_S
            if len(counted) == _CRASHES_BEFORE
            else float("inf")
        )
        late[part] = [
            received
            for received in servers.received
            if part in crashing_servers.parts_of(received)
            and received.at_s > known_s
            and in_touch(traffic.deadly[received.attempt])
        ]
    _, before = traffic.share_begun(start_s, calm_s)
    count, after = traffic.share_begun(last_s + 2 * _CONTACT_S, end_s, in_touch)
    print(
        f"seed {seed}: {len(servers.crashes)} crashes, late arrivals "
        f"{[len(each) for each in late.values()]}; begun {before:.3f} before, "
        f"{after:.3f} of {count} after"
    )
    assert all(len(each) <= _MOST_ARRIVALS for each in late.values())
    if count >= _LEAST_SOUND:
        assert after >= _LEAST_RATIO * before
