"""Parts that crash endpoints, in virtual time, at entries of three domains.

`PART_SEEDS=FIRST:LAST` plays other seeds than the short run.
"""

import pytest

from cardamombarrow.decisions.fleet.tests import part_world
from tools import soak

_SEEDS = soak.seeds("0:2", "PART_SEEDS")
_MOST_ARRIVALS = 3
_LEAST_RATIO = 0.9
_RUN_S = 45.0
_LEAST_WINDOW_S = 10.0
"""Least time at the end in which sound requests are counted: a late trial may
crash an endpoint again."""

_TWO = ("dead1", "dead2")
_LOADS = {
    "many endpoints": part_world.Load(duration_s=_RUN_S),
    "few endpoints": part_world.Load(duration_s=_RUN_S, endpoints=6),
    "often": part_world.Load(duration_s=_RUN_S, deadly_per_s=5.0),
    "seldom": part_world.Load(duration_s=120.0, deadly_per_s=0.1),
    "forty at once": part_world.Load(duration_s=_RUN_S, burst=40),
    "two parts": part_world.Load(duration_s=_RUN_S, deadly=_TWO),
    "domain cut off": part_world.Load(duration_s=_RUN_S, cut_domain="b"),
    "entries killed": part_world.Load(duration_s=_RUN_S, killed=3),
}


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("load", _LOADS.values(), ids=list(_LOADS))
def test_requests_with_a_deadly_part_end_few_endpoints(
    context, new_job, load, seed
):
    # Guards against an endpoint lost to each new request with such a part, and
    # against sound requests that pay for it.
    world = part_world.World(context, new_job, load, seed).play()
    last_s = load.deadly_from_s
    for part in load.deadly:
        assert world.late_arrivals(part) <= _MOST_ARRIVALS
        counted = sorted(world.crashes[part])[: part_world.CRASHES_BEFORE]
        last_s = max(last_s, *counted)
    before = world.share_begun(0.0, load.deadly_from_s)
    known_s = last_s + 2 * part_world.CONTACT_S
    after = world.share_begun(
        min(known_s, load.duration_s - _LEAST_WINDOW_S), load.duration_s - 3.0
    )
    assert after >= _LEAST_RATIO * before


@pytest.mark.parametrize("seed", _SEEDS)
def test_endpoints_that_fail_together_have_no_sound_request_refused(
    context, new_job, seed
):
    # Guards against refusing popular parts, which run on each endpoint of a
    # rack that fails.
    load = part_world.Load(
        duration_s=_RUN_S, deadly=(), rack_s=(12.0, 20.0, 28.0, 36.0)
    )
    world = part_world.World(context, new_job, load, seed).play()
    assert world.refused == []
