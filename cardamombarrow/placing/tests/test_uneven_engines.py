"""Engines whose speeds differ, in virtual time, with a placer.

Nine engines take 1, 1.3 or 2.5 times the usual time, and four of them become
four times as slow for six seconds, one after the other. With one prefill time
per service, slow engines are sent as many prompts as fast ones: an urgent
request waits seconds behind them while fast engines are idle.
"""

import dataclasses
import functools
import random

import pytest

from benchmarks import driver as driver_module
from benchmarks import fake_engine
from benchmarks import many_entries
from benchmarks import placer_driver
from benchmarks import uneven_engines
from cardamombarrow.decisions.choosing import endpoint_speed
from cardamombarrow.kernel import ids

SEEDS = (0, 1, 2)

MIN_SHARE = 0.95
"""Minimum share of first events in time."""

NO_REPORTS = fake_engine.WorkTime.NONE
TOO_HIGH = {0: 8.0, 3: 8.0, 6: 8.0}
"""The fastest three of nine engines report to be the slowest."""

TOO_LOW = {2: 0.25, 5: 0.25, 8: 0.25}
"""The slowest three of nine engines report to be the fastest."""

REPLACED_S = 14.0
REMOVED_S = 24.0


class _SpeedDriver(uneven_engines.SpeedDriver):
    """Records the placements."""

    def __init__(self, scenario, seed, source):
        super().__init__(scenario, seed, source)
        self.placed = []
        self.placements = []
        self.last_placed_s = 0.0

    def _placed(self, flight, placement):
        self.placed.append((self._now_s, flight.work, placement.endpoint))
        self.placements.append(placement)
        self.last_placed_s = self._now_s
        super()._placed(flight, placement)


@functools.cache
def _results(**fields):
    results = []
    for seed in SEEDS:
        scenario = uneven_engines.scenario(
            random.Random(seed), asked=True, **fields
        )
        results.append(placer_driver.make(scenario, seed).run())
    return results


def _share(results, class_id):
    rows = [result.classes[class_id] for result in results]
    return sum(r.attained for r in rows) / sum(r.offered for r in rows)


def _run_with_false_reports(source, false_work_times):
    results = []
    for seed in SEEDS:
        scenario = uneven_engines.scenario(
            random.Random(seed),
            asked=True,
            false_work_times=false_work_times,
        )
        results.append(_SpeedDriver(scenario, seed, source).run())
    return results


@pytest.mark.parametrize("kind", many_entries.KINDS, ids=lambda k: k.class_id)
@pytest.mark.parametrize("engines", [6, 9, 13])
def test_first_events_are_in_time(engines, kind):
    # All engines report their work time, which enables the part.
    share = _share(_results(engines=engines), kind.class_id)
    assert share >= MIN_SHARE


def test_without_speeds_fast_engines_idle_and_first_events_are_late():
    # The same requests and engines, but the part is off.
    results = _results(engines=9, work_time=NO_REPORTS)
    assert _share(results, many_entries.SUMMARY) < MIN_SHARE - 0.05


def test_speeds_are_learned_without_reports():
    # The part is enabled by the setting; no engine reports its work time.
    results = _results(engines=9, work_time=NO_REPORTS, learns_speeds=True)
    assert _share(results, many_entries.SUMMARY) >= MIN_SHARE


def test_losing_the_placer_keeps_most_of_the_gain():
    # The entries learn by themselves meanwhile; the next placer starts empty.
    # Each entry knows only its own prompts, so some first events are late. A
    # question may wait behind a long prompt at its affinity endpoint with or
    # without speeds: single requests differ between the runs.
    lost = {"placer_lost_from_s": 12.0, "placer_lost_until_s": 20.0}
    with_speeds = _results(engines=9, **lost)
    without = _results(engines=9, work_time=NO_REPORTS, **lost)
    for kind in many_entries.KINDS:
        share = _share(with_speeds, kind.class_id)
        assert share >= _share(without, kind.class_id) - 0.01
    summary = many_entries.SUMMARY
    assert _share(with_speeds, summary) >= _share(without, summary) + 0.05


@pytest.mark.parametrize("false_work_times", [TOO_HIGH, TOO_LOW])
def test_false_reports_are_not_followed(false_work_times):
    # Three engines always report a false work time. The true reports of the
    # other engines must not make these be believed.
    weighted = _run_with_false_reports(
        uneven_engines.SpeedSource.WEIGHTED, false_work_times
    )
    assert _share(weighted, many_entries.SUMMARY) >= MIN_SHARE


def test_false_reports_taken_as_given_leave_fast_engines_idle():
    # Shows that the reports of the test above are harmful.
    as_given = _run_with_false_reports(
        uneven_engines.SpeedSource.REPORT, TOO_HIGH
    )
    assert _share(as_given, many_entries.SUMMARY) < MIN_SHARE - 0.1


def test_reports_that_stop_leave_the_learned_speeds():
    # The reports stop in the middle of the first slow period, in which the
    # engine reported four times its usual work time.
    shares = []
    for seed in SEEDS:
        scenario = uneven_engines.scenario(random.Random(seed), asked=True)
        scenario.engines = {
            endpoint: dataclasses.replace(settings, work_time_until_s=11.0)
            for endpoint, settings in scenario.engines.items()
        }
        result = placer_driver.make(scenario, seed).run()
        shares.append(_share([result], many_entries.SUMMARY))
    assert sum(shares) / len(shares) >= MIN_SHARE


def test_replaced_endpoint_starts_with_the_speed_of_its_service():
    # A restarted endpoint has a new id. It must not inherit the speed of the
    # earlier one, nor may that one stay in the records.
    scenario = uneven_engines.scenario(random.Random(0), asked=True)
    driver = _SpeedDriver(scenario, 0, uneven_engines.SpeedSource.WEIGHTED)
    old = many_entries.ENDPOINTS[2]
    new = ids.EndpointId("10.10.1.99:8000")
    factors = []

    def configure():
        service = scenario.document.services[driver_module.SERVICE]
        listed = service.endpoints[driver_module.DOMAIN]
        listed = tuple(new if each == old else each for each in listed)
        service = dataclasses.replace(
            service, endpoints={driver_module.DOMAIN: listed}
        )
        document = dataclasses.replace(
            scenario.document, services={driver_module.SERVICE: service}
        )
        for dispatcher in (driver._placer, *driver.entries):
            dispatcher.configure(document, driver._now_s)

    def replace():
        speeds = driver._placer._policies.choice._prefill.speeds
        factors.append(speeds.factor(old, driver._now_s))
        driver._engines[new] = fake_engine.FakeEngine(many_entries.ENGINE)
        configure()
        factors.append(speeds.factor(new, driver._now_s))

    driver._at(REPLACED_S, replace)
    driver._at(REMOVED_S, configure)
    driver.run()
    assert factors[0] > endpoint_speed.SLOW_FACTOR
    assert factors[1] == 1.0
    for dispatcher in (driver._placer, *driver.entries):
        assert old not in dispatcher._policies.choice._prefill.speeds._speeds
    to_new = [at_s for at_s, _, endpoint in driver.placed if endpoint == new]
    assert len(to_new) > 20
    assert all(at_s >= REPLACED_S for at_s in to_new)


def test_placements_state_the_speed_and_the_age_of_its_report():
    # Without its inputs a decision can't be explained from the log.
    scenario = uneven_engines.scenario(random.Random(0), asked=True)
    driver = _SpeedDriver(scenario, 0, uneven_engines.SpeedSource.WEIGHTED)
    driver.run()
    last = driver.placements[-1]
    assert last.speed.factor > 0.0
    assert 0.0 <= last.speed.report_age_s < 5.0
    assert "speed factor" in last.reason
    placer = driver._placer
    assert placer.count_slow_endpoints(driver.last_placed_s) >= 1


def test_placements_state_no_speed_where_the_part_is_off():
    # Log lines of existing deployments must not change.
    scenario = uneven_engines.scenario(
        random.Random(0), asked=True, work_time=NO_REPORTS
    )
    driver = _SpeedDriver(scenario, 0, uneven_engines.SpeedSource.WEIGHTED)
    driver.run()
    assert all(each.speed is None for each in driver.placements)
    assert all("speed" not in each.reason for each in driver.placements)
    assert driver._placer.count_slow_endpoints(driver.last_placed_s) == 0


def test_predictions_of_ended_requests_are_dropped():
    # State per request must not grow without bound.
    scenario = uneven_engines.scenario(random.Random(0), asked=True)
    driver = _SpeedDriver(scenario, 0, uneven_engines.SpeedSource.WEIGHTED)
    driver.run()
    for dispatcher in (driver._placer, *driver.entries):
        assert not dispatcher._policies.choice._prefill.predictions
