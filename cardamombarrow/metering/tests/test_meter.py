"""Tests of the counts of an entry."""

import pytest

from cardamombarrow.kernel import ids
from cardamombarrow.metering import meter as meter_module

_WORKSPACE = ids.WorkspaceId("trails")
_SERVICE = ids.ServiceId("writer")


class _Time:
    def __init__(self):
        self.now_s = 1_000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def now():
    return _Time()


@pytest.fixture
def meter(now):
    return meter_module.Meter(5.0, now)


def test_counts_by_window_and_workspace(meter, now):
    meter.count_request(_WORKSPACE)
    now.now_s = 1_004.9
    meter.count_request(_WORKSPACE)
    now.now_s = 1_005.0
    meter.count_request(ids.WorkspaceId("clubs"))
    changed, _ = meter.unconfirmed("a:1")
    assert [(each.window, each.counts) for each in changed] == [
        (200, {"trails": 2}),
        (201, {"clubs": 1}),
    ]


def test_only_unconfirmed_counts_are_sent_again(meter):
    meter.count_request(_WORKSPACE)
    _, number = meter.unconfirmed("a:1")
    meter.acknowledge("a:1", 7, number)
    assert meter.unconfirmed("a:1")[0] == []
    meter.count_request(_WORKSPACE)
    assert meter.unconfirmed("a:1")[0][0].counts == {"trails": 2}


def test_another_control_process_gets_all_counts(meter):
    # Guards against counts that are lost with a control process.
    meter.count_request(_WORKSPACE)
    _, number = meter.unconfirmed("a:1")
    meter.acknowledge("a:1", 7, number)
    assert meter.unconfirmed("b:1")[0][0].counts == {"trails": 1}


def test_a_restarted_control_process_gets_all_counts(meter):
    # Guards against counts that are lost by a restart at the same address.
    meter.count_request(_WORKSPACE)
    _, number = meter.unconfirmed("a:1")
    meter.acknowledge("a:1", 7, number)
    _, number = meter.unconfirmed("a:1")
    meter.acknowledge("a:1", 8, number)
    assert meter.unconfirmed("a:1")[0][0].counts == {"trails": 1}


def test_windows_and_memory_are_bounded(meter, now):
    for _ in range(100):
        now.now_s += 5.0
        meter.count_request(_WORKSPACE)
    assert len(meter.unconfirmed("a:1")[0]) == meter_module.MAX_WINDOWS


def test_without_windows_nothing_is_counted(now):
    meter = meter_module.Meter(0.0, now)
    meter.count_request(_WORKSPACE)
    assert meter.unconfirmed("a:1")[0] == []


def test_queued_prompts_do_not_change_the_prefill_time(meter):
    # Guards against a burst that makes prefill look slower than it is: more
    # endpoints would be ordered than the prompts need.
    for turn in range(2_000):
        waited = 1.0 if turn % 2 else 0.0
        meter.count_prefill(_SERVICE, 10_000, 0.1 + waited)
    before_s = meter.demand({})[0].prefill_s
    meter.count_prefill(_SERVICE, 10_000, 0.1)
    assert meter.demand({})[0].prefill_s - before_s < 0.15


def test_demand_includes_services_with_running_requests_only(meter):
    total = meter.demand({_SERVICE: 3})[0]
    assert (total.service, total.running) == (_SERVICE, 3)
