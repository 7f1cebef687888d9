"""Tests of the number of endpoints over patterns of demand."""

import math

import pytest

from cardamombarrow.decisions.fleet import scaling
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


def test_number_is_unchanged_before_any_demand():
    assert _play(scaling.TargetUtilisation(), [{}] * 30) == _PRESENT


def test_first_requests_remove_no_endpoint():
    # Guards against scaling a service down while its callers begin to send.
    scaler = scaling.TargetUtilisation()
    _play(scaler, [{}] * 10)
    for second in range(10, 60):
        wanted = scaler.wanted(
            _SERVICE, _even(0.1, running=1.0), _PRESENT, float(second)
        )
        assert wanted == _PRESENT


def test_endpoints_that_are_listed_one_by_one_are_all_kept():
    # Guards against a number taken from an incomplete list.
    scaler = scaling.TargetUtilisation()
    for second, count in enumerate((1, 3, 5, 4, 2)):
        present = dict.fromkeys(_DOMAINS, count)
        wanted = scaler.wanted(_SERVICE, {}, present, float(second))
    assert wanted == _PRESENT


def test_low_demand_removes_endpoints():
    wanted = _play(scaling.TargetUtilisation(), [_even(2.0)] * 80)
    assert sum(wanted.values()) < sum(_PRESENT.values())


def test_burst_adds_endpoints_within_seconds():
    scaler = scaling.TargetUtilisation()
    _play(scaler, [_even(2.0)] * 80)
    for second in range(81, 85):
        wanted = scaler.wanted(_SERVICE, _even(8.0), _PRESENT, float(second))
    assert sum(wanted.values()) >= 8.0 / scaling.READING_UTILISATION


def test_few_long_prompts_add_no_endpoint():
    # Guards against endpoints ordered for a peak of one second.
    scaler = scaling.TargetUtilisation()
    _play(scaler, [_even(4.8)] * 10)
    for tenth in range(10):
        demand = _even(4.8)
        if tenth == 3:
            demand[_DOMAINS[0]] = scaling.DomainDemand(3.0, 0.0)
        wanted = scaler.wanted(_SERVICE, demand, _PRESENT, 10 + tenth / 2)
    assert wanted == _PRESENT


def test_wave_removes_no_endpoint_between_its_peaks():
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
def test_enough_endpoints_remain_after_the_loss_of_a_domain(lost):
    # Guards against the reclaim of all spot endpoints of a domain at once.
    wanted = _play(scaling.TargetUtilisation(), [_even(4.8)] * 80)
    left = sum(count for domain, count in wanted.items() if domain != lost)
    assert left >= 4.8 / scaling.READING_UTILISATION


def test_numbers_stay_within_bounds():
    wanted = _play(scaling.TargetUtilisation(), [_even(100.0)] * 3)
    assert set(wanted.values()) == {10}
    wanted = _play(scaling.TargetUtilisation(), [_even(0.01)] * 140)
    assert set(wanted.values()) == {1}


def test_slots_decide_where_reading_is_cheap():
    wanted = _play(scaling.TargetUtilisation(), [_even(0.1, running=1_000)] * 3)
    assert sum(wanted.values()) >= 1_000 / 32


def test_domain_with_many_callers_gets_more_endpoints():
    demand = _even(3.0)
    demand[_DOMAINS[0]] = scaling.DomainDemand(3.0, 0.0)
    wanted = _play(scaling.TargetUtilisation(), [demand] * 40)
    assert wanted[_DOMAINS[0]] > wanted[_DOMAINS[1]]


def test_static_scaler_never_orders():
    assert _play(scaling.StaticScaler(), [_even(50.0)] * 5) == _PRESENT
