"""Requests that all differ and share a part on which servers end."""

import time

import pytest

from cardamombarrow.platform.tests import crashing_servers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_ENTRIES = {
    "a": ["a-1", "a-2", "a-3"],
    "b": ["b-1", "b-2"],
    "c": ["c-1", "c-2"],
}
_ZONES = ("a", "a", "b", "b", "c", "c")
_DEADLY = "dead"
_CONTACT_S = 4.0
_CRASHES_BEFORE = 5
_MOST_ARRIVALS = 3
"""Requests with the part that may still reach servers after that time."""

_LEAST_RATIO = 0.5
_LEAST_SOUND = 20
_CALM_S = 3.0
_RUN_S = 20.0
_SOUND_PER_S = 25.0
_DEADLY_PER_S = 2.0


@pytest.fixture(params=list(standin.Framing), ids=lambda each: each.value)
def servers(request):
    with crashing_servers.CrashingServers(
        _ZONES, frozenset({_DEADLY}), request.param
    ) as started:
        yield started


@pytest.fixture
def running(servers, tmp_path):
    plan = stream_client.plan(servers.listing_url, _ENTRIES)
    with deployment.Deployment(plan, tmp_path) as started:
        yield started


def test_requests_that_share_a_deadly_part_end_few_servers(servers, running):
    # Guards against losing a server to each new request with such a part, and
    # against refusing or delaying sound ones that share all its other parts.
    traffic = crashing_servers.Traffic(running, seed=1)
    start_s = time.monotonic()
    traffic.run(_CALM_S, _SOUND_PER_S)
    calm_s = time.monotonic()
    traffic.run(_RUN_S, _SOUND_PER_S, _DEADLY_PER_S, [_DEADLY])
    end_s = time.monotonic()
    counted = servers.crashes[:_CRASHES_BEFORE]
    known_s = counted[-1].at_s + _CONTACT_S
    late = servers.arrivals(_DEADLY, known_s)
    _, before = traffic.share_begun(start_s, calm_s)
    count, after = traffic.share_begun(known_s + _CONTACT_S, end_s)
    print(
        f"{len(servers.crashes)} crashes, {late} late arrivals; begun "
        f"{before:.3f} before, {after:.3f} of {count} after"
    )
    assert late <= _MOST_ARRIVALS
    assert count >= _LEAST_SOUND
    assert after >= _LEAST_RATIO * before
