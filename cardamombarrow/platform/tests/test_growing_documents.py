"""Documents that grow while control processes end and endpoints change.

Entries have narrow links, control processes end by themselves and return, and
each document has more routes than the one before. What is checked is what
servers and callers see. `SOAK_SEEDS=FIRST:LAST` plays other seeds than the
short run.
"""

from concurrent import futures
import contextlib
import itertools
import random
import signal
import threading
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import urgency_rule
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment
from tools import soak

pytestmark = pytest.mark.process

_SEEDS = soak.seeds("1:2")
_ZONES = ("a", "b", "c")
_ENTRIES = {zone: [f"{zone}-{n}" for n in range(3)] for zone in _ZONES}
_CONTROLS = {
    "a": ["control-1", "control-2"],
    "b": ["control-3", "control-4"],
    "c": ["control-5"],
}
"""Enough for the loss of two: one is down while another one starts."""

_SERVERS_PER_ZONE = 2
_PAUSE_S = 0.03
_LINK_BYTES_PER_S = {"a": 93_750.0, "b": 93_750.0, "c": 12_500_000.0}
"""What requests, answers and gossip leave of 5 Mbit/s on a busy entry, and of
100 Mbit/s, for connections to the control processes of a zone."""

_MORE_ROUTES = 2_800
_ROUTES_PER_EDITION = 70
_EDITION_GAP_S = (1.0, 2.0)
_UP_S = (1.5, 3.0)
_DOWN_S = (0.6, 1.4)
_SERVER_GAP_S = (1.0, 3.0)
_LEAVING_S = 1.5
_CALM_S = 3.0
_RUN_S = 25.0
_EACH_PER_S = 8.0
"""Requests of each class: enough that a twelfth of a window's are ten."""


def _narrow_links(running):
    for zone, names in _CONTROLS.items():
        for (source, name), link in running.proxy.links.items():
            if name in names and source not in running.controls:
                link.bytes_per_s = _LINK_BYTES_PER_S[zone]


class _Disruptions:
    """Changes documents and servers and ends control processes."""

    def __init__(self, running, servers, seed):
        self._running = running
        self._servers = servers
        self._editions = urgent_traffic.Editions(running)
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self.acknowledged = 0

    @contextlib.contextmanager
    def going_on(self):
        tasks = (self._edit, self._end_controls, self._replace_servers)
        with futures.ThreadPoolExecutor(len(tasks)) as pool:
            pending = [
                pool.submit(task, random.Random(self._rng.random()))
                for task in tasks
            ]
            try:
                yield
            finally:
                self._stopped.set()
            for each in pending:
                each.result()

    def _edit(self, rng):
        for number in itertools.count():
            routes = _MORE_ROUTES + number * _ROUTES_PER_EDITION
            self.acknowledged += self._editions.send(routes)
            if self._stopped.wait(rng.uniform(*_EDITION_GAP_S)):
                return

    def _end_controls(self, rng):
        for name in itertools.cycle(self._running.controls):
            self._running.signal(name, signal.SIGKILL)
            self._running.processes[name].wait()
            time.sleep(rng.uniform(*_DOWN_S))
            self._running.start_instance(name)
            if self._stopped.wait(rng.uniform(*_UP_S)):
                return

    def _replace_servers(self, rng):
        for number in itertools.count():
            if self._stopped.wait(rng.uniform(*_SERVER_GAP_S)):
                return
            leaving = rng.choice(list(self._servers.listed.values()))
            self._servers.start(f"new-{number}", zone=leaving.zone)
            leaving.state = "draining"
            time.sleep(_LEAVING_S)
            self._servers.listed.pop(leaving.port, None)


@pytest.mark.parametrize("seed", _SEEDS)
def test_growing_documents_pass_over_no_urgent_class(seed, tmp_path):
    # Guards against entries that refuse urgent requests because they can't
    # confirm a large document, while less urgent ones begin at others.
    servers = standin.Servers(lambda _: standin.Answer(pause_s=_PAUSE_S))
    with servers, contextlib.ExitStack() as stack:
        for zone, number in itertools.product(_ZONES, range(_SERVERS_PER_ZONE)):
            servers.start(f"{zone}-{number}", zone=zone)
        plan = urgent_traffic.plan(servers.listing_url, _ENTRIES, _CONTROLS)
        running = stack.enter_context(deployment.Deployment(plan, tmp_path))
        _narrow_links(running)
        traffic = urgent_traffic.Traffic(running, servers, seed)
        traffic.run(_CALM_S, _EACH_PER_S)
        disruptions = _Disruptions(running, servers, seed)
        start_s = time.monotonic()
        with disruptions.going_on():
            traffic.run(_RUN_S, _EACH_PER_S)
    windows = [start_s + each for each in range(int(_RUN_S))]
    violations = urgency_rule.find_violations(traffic.requests, windows)
    print(
        f"seed {seed}: {disruptions.acknowledged} documents, "
        f"{len(traffic.requests)} requests, {len(traffic.refusals)} refusals"
    )
    assert disruptions.acknowledged > 0
    assert not violations
