"""Tests of the split of an endpoint's slots among instances."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import shares
from cardamombarrow.kernel import ids

SERVICE = ids.ServiceId("models")
DEMANDS = st.lists(st.integers(0, 500), min_size=1, max_size=12)


def _state(number=0):
    return endpoint_module.EndpointState(
        ids.EndpointId(f"10.0.0.{number}:80"),
        SERVICE,
        ids.DomainId("osu"),
        configured_slots=8,
    )


def _demand(number, value, seen_at_s=0.0):
    return messages.PeerDemand(
        ids.InstanceId(f"entry-{number}"),
        {SERVICE: float(value)},
        {},
        seen_at_s,
    )


def _parts(context, views, limit, state, now_s=0.0):
    """Returns each instance's share, computed from its own view."""
    parts = []
    for number, view in enumerate(views):
        instance = ids.InstanceId(f"entry-{number}")
        own = dataclasses.replace(context, instance=instance)
        policy = shares.DemandShares(own)
        peers = [d for d in view if d.instance != instance]
        parts.append(policy.share(state, limit, view[number], peers, now_s))
    return parts


@hypothesis.given(DEMANDS, st.integers(1, 64))
def test_consistent_views_add_up_to_the_limit(context, demands, limit):
    view = [_demand(n, value) for n, value in enumerate(demands)]
    views = [view] * len(demands)
    parts = _parts(context, views, limit, _state())
    assert sum(parts) == limit
    assert min(parts) >= limit // (2 * len(demands))


@hypothesis.given(DEMANDS, DEMANDS, st.integers(1, 64))
def test_stale_views_exceed_the_limit_by_less_than_the_demand_half(
    context, now, before, limit
):
    """Each instance has its current demand and old demands of the others."""
    count = min(len(now), len(before))
    old = [_demand(n, before[n]) for n in range(count)]
    views = [
        [_demand(n, now[n]) if n == own else old[n] for n in range(count)]
        for own in range(count)
    ]
    parts = _parts(context, views, limit, _state())
    assert sum(parts) <= limit + limit * shares.EVEN_PART * count


@pytest.mark.parametrize("limit", [4, 8, 30])
def test_partitioned_instances_stay_within_the_limit(context, limit):
    """A switch fails and no instance receives gossip any more.

    If each dropped the others, each would use all slots and every engine would
    be overloaded by as many times as there are instances.
    """
    old = [_demand(n, 50 * n, seen_at_s=0.0) for n in range(4)]
    views = [
        [
            dataclasses.replace(d, seen_at_s=20.0) if n == own else d
            for n, d in enumerate(old)
        ]
        for own in range(4)
    ]
    parts = _parts(context, views, limit, _state(), now_s=20.0)
    assert sum(parts) == limit
    assert max(parts) - min(parts) <= 1


def test_few_slots_rotate_among_many_instances(context):
    """Twelve instances and one engine of two slots.

    Without rotation the same two instances would always have the slots, and
    the callers of the other ten would never be served.
    """
    served = set()
    for value in range(40):
        view = [_demand(n, 3 + (value if n == 0 else 0)) for n in range(12)]
        parts = _parts(context, [view] * 12, 2, _state())
        assert sum(parts) == 2
        served.update(n for n, part in enumerate(parts) if part)
    assert served == set(range(12))


def test_single_instance_has_all_slots(context):
    policy = shares.DemandShares(context)
    own = _demand(0, 5)
    assert policy.share(_state(), 8, own, [], 0.0) == 8
