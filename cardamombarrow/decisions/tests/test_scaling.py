"""How many endpoints are wanted, over patterns of work."""

import math

import pytest

from cardamombarrow.decisions import scaling
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

_DOMAINS = [ids.DomainId(name) for name in "abcdef"]
_SERVICE = schema.Service(
    ids.ServiceId("writer"),
    schema.ServiceKind.ENGINE,
    slots_per_endpoint=64,
    scaling=schema.Scaling(1, 10, 4.0, 0.2, dict.fromkeys(_DOMAINS, 1.0)),
)
_PRESENT = dict.fromkeys(_DOMAINS, 5)


def _even(reading, running=0.0):
    demand = scaling.DomainDemand(reading / 6, running / 6)
    return dict.fromkeys(_DOMAINS, demand)


def _play(scaler, demands, present=None):
    present = dict(present or _PRESENT)
    wanted = {}
    for second, demand in enumerate(demands):
        wanted = scaler.wanted(_SERVICE, demand, present, float(second))
    return wanted


def test_before_any_work_what_is_there_stays():
    assert _play(scaling.TargetUtilisation(), [{}] * 30) == _PRESENT


def test_the_first_requests_take_no_endpoint_away():
    # Guards against a service that is cut down as its callers begin to come.
    scaler = scaling.TargetUtilisation()
    _play(scaler, [{}] * 10)
    for second in range(10, 60):
        wanted = scaler.wanted(
            _SERVICE, _even(0.1, running=1.0), _PRESENT, float(second)
        )
        assert wanted == _PRESENT


def test_endpoints_that_are_listed_bit_by_bit_are_all_kept():
    # Guards against a number that is read from half of a list.
    scaler = scaling.TargetUtilisation()
    for second, count in enumerate((1, 3, 5, 4, 2)):
        present = dict.fromkeys(_DOMAINS, count)
        wanted = scaler.wanted(_SERVICE, {}, present, float(second))
    assert wanted == _PRESENT


def test_calm_work_gives_endpoints_back():
    wanted = _play(scaling.TargetUtilisation(), [_even(2.0)] * 80)
    assert sum(wanted.values()) < sum(_PRESENT.values())


def test_a_burst_is_followed_within_seconds():
    scaler = scaling.TargetUtilisation()
    _play(scaler, [_even(2.0)] * 80)
    for second in range(81, 85):
        wanted = scaler.wanted(_SERVICE, _even(8.0), _PRESENT, float(second))
    assert sum(wanted.values()) >= 8.0 / scaling.READING_UTILISATION


def test_a_few_long_prompts_order_nothing():
    # Guards against endpoints ordered for one second's luck.
    scaler = scaling.TargetUtilisation()
    _play(scaler, [_even(4.8)] * 10)
    for tenth in range(10):
        demand = _even(4.8)
        if tenth == 3:
            demand[_DOMAINS[0]] = scaling.DomainDemand(3.0, 0.0)
        wanted = scaler.wanted(_SERVICE, demand, _PRESENT, 10 + tenth / 2)
    assert wanted == _PRESENT


def test_a_wave_gives_nothing_back_between_its_crests():
    # Guards against endpoints that start and stop with every wave of 11 s.
    scaler = scaling.TargetUtilisation()
    totals = []
    for second in range(200):
        swing = 1 + 0.27 * math.sin(2 * math.pi * second / 11)
        wanted = scaler.wanted(
            _SERVICE, _even(4.8 * swing), _PRESENT, float(second)
        )
        totals.append(sum(wanted.values()))
    assert len(set(totals[70:])) == 1


@pytest.mark.parametrize("lost", _DOMAINS)
def test_the_loss_of_a_domain_leaves_enough(lost):
    # Guards against spot ones that are reclaimed all of a domain at once.
    wanted = _play(scaling.TargetUtilisation(), [_even(4.8)] * 80)
    left = sum(count for domain, count in wanted.items() if domain != lost)
    assert left >= 4.8 / scaling.READING_UTILISATION


def test_bounds_hold():
    wanted = _play(scaling.TargetUtilisation(), [_even(100.0)] * 3)
    assert set(wanted.values()) == {10}
    wanted = _play(scaling.TargetUtilisation(), [_even(0.01)] * 140)
    assert set(wanted.values()) == {1}


def test_places_count_where_reading_is_cheap():
    wanted = _play(scaling.TargetUtilisation(), [_even(0.1, running=1_000)] * 3)
    assert sum(wanted.values()) >= 1_000 / 32


def test_a_domain_with_many_callers_gets_more():
    demand = _even(3.0)
    demand[_DOMAINS[0]] = scaling.DomainDemand(3.0, 0.0)
    wanted = _play(scaling.TargetUtilisation(), [demand] * 40)
    assert wanted[_DOMAINS[0]] > wanted[_DOMAINS[1]]


def test_the_way_that_never_orders():
    assert _play(scaling.Unchanged(), [_even(50.0)] * 5) == _PRESENT
