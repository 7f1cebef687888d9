"""Parts that crash servers, while entries end and domains are cut off.

Entries are killed, stopped, restarted and frozen, and domains lose their links
to control processes and to each other, in series that overlap. What is checked
is what servers and callers see. `SOAK_SEEDS=FIRST:LAST` plays other seeds than
the short run.
"""

from concurrent import futures
import contextlib
import random
import time

import pytest

from cardamombarrow.platform.tests import crashing_servers
from cardamombarrow.platform.tests import disruptions
from cardamombarrow.platform.tests import stream_client
from tools import deployment
from tools import soak

pytestmark = pytest.mark.process

_SEEDS = soak.seeds("1:2")
_ENTRIES = {
    "a": ["a-1", "a-2", "a-3"],
    "b": ["b-1", "b-2"],
    "c": ["c-1", "c-2"],
}
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


@contextlib.contextmanager
def _going_on(disturbed, seed):
    """Disturbs entries and cuts off domains while the context is open."""
    rng = random.Random(seed)
    tasks = _DISRUPTIONS_AT_ONCE * [disturbed.disturb]
    tasks.append(lambda of_cuts: _cut(disturbed, of_cuts))
    with futures.ThreadPoolExecutor(len(tasks)) as pool:
        pending = [
            pool.submit(task, random.Random(rng.random())) for task in tasks
        ]
        try:
            yield
        finally:
            disturbed.stopped.set()
        for each in pending:
            each.result()


def _cut(disturbed, rng):
    running = disturbed.running
    while not disturbed.stopped.wait(rng.uniform(4.0, 8.0)):
        domain = rng.choice(list(_ENTRIES))
        inside = {*_ENTRIES[domain], f"control-{domain}"}
        outside = {*running.entries, *running.controls} - inside
        links = running.proxy.between(inside, outside)
        with disturbed.span(_ENTRIES[domain]):
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
        disturbed = disruptions.EntryDisruptions(running, _CONTACT_S)
        start_s = time.monotonic()
        traffic.run(_CALM_S, _SOUND_PER_S)
        calm_s = time.monotonic()
        with _going_on(disturbed, seed):
            traffic.run(_RUN_S, _SOUND_PER_S, _DEADLY_PER_S, _DEADLY)
        end_s = time.monotonic()

    def in_touch(sent):
        return disturbed.is_in_touch(sent.entry, sent.at_s)

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
