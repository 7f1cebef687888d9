"""Learned and reported speeds of endpoints, and invalid input."""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions.choosing import endpoint_speed
from cardamombarrow.kernel import ids

_SERVICE = ids.ServiceId("letters")
_ENDPOINT = ids.EndpointId("10.0.0.1:80")
_OTHER = ids.EndpointId("10.0.0.2:80")
_TOKEN_S = 0.00002

_INVALID = (0.0, -1.0, -0.0, math.inf, -math.inf, math.nan)


def _state(endpoint=_ENDPOINT, service=_SERVICE):
    return endpoint_module.EndpointState(
        endpoint, service, ids.DomainId("one"), 8
    )


def _learn(speeds, factor, now_s, endpoint=_ENDPOINT):
    speeds.learn(_state(endpoint), factor * _TOKEN_S, _TOKEN_S, now_s)


def _play(speeds, seconds, actual, reported, endpoint=_ENDPOINT, from_s=0.0):
    """Reports and observes once a second.

    Args:
        speeds: The speeds under test.
        seconds: Number of observations.
        actual: Returns the actual factor by number of the observation.
        reported: Returns the reported factor, or None.
        endpoint: The endpoint.
        from_s: Time of the first observation.
    """
    for number in range(seconds):
        now_s = from_s + number
        speeds.report(endpoint, _SERVICE, reported(number), now_s - 0.2)
        _learn(speeds, actual(number), now_s, endpoint)


def _changes(number):
    """A factor of 1 and 4 in turns of three."""
    return 4.0 if number % 6 >= 3 else 1.0


def test_unknown_endpoint_is_as_fast_as_its_service():
    assert endpoint_speed.EndpointSpeeds().factor(_ENDPOINT, 0.0) == 1.0


def test_few_observations_are_drawn_towards_one():
    # The first prompt may have been cached, or not cached, unexpectedly.
    speeds = endpoint_speed.EndpointSpeeds()
    factors = []
    for number in range(8):
        _learn(speeds, 2.5, 0.1 * number)
        factors.append(speeds.factor(_ENDPOINT, 0.1 * number))
    assert 1.0 < factors[0] < 1.7
    assert factors == sorted(factors)
    assert 2.0 < factors[-1] < 2.5


def test_slow_endpoint_without_observations_is_tried_again():
    # An endpoint that is avoided gets no prompts that would show a recovery.
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 8, lambda _: 4.0, lambda _: None)
    assert speeds.factor(_ENDPOINT, 8.0) > 3.0
    assert speeds.factor(_ENDPOINT, 200.0) < 1.2


def test_removed_endpoint_leaves_nothing_to_its_successor():
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 8, lambda _: 4.0, _changes)
    speeds.forget(_ENDPOINT)
    assert speeds.factor(_ENDPOINT, 8.0) == 1.0
    assert speeds.report_age_s(_ENDPOINT, 8.0) is None
    speeds.forget(_ENDPOINT)


def test_predictive_report_is_followed_before_any_prompt():
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, _changes, _changes)
    assert speeds.factor(_ENDPOINT, 23.0) > 2.5
    speeds.report(_ENDPOINT, _SERVICE, 1.0, 23.5)
    assert speeds.factor(_ENDPOINT, 23.5) < 1.5
    speeds.report(_OTHER, _SERVICE, 4.0, 23.5)
    assert speeds.factor(_OTHER, 23.5) > 2.5


def test_report_is_not_applied_before_it_has_proved_predictive():
    speeds = endpoint_speed.EndpointSpeeds()
    speeds.report(_ENDPOINT, _SERVICE, 8.0, 0.0)
    assert speeds.factor(_ENDPOINT, 0.0) == 1.0


def test_report_that_says_nothing_is_ignored():
    # The endpoint reports changes that do not occur.
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, lambda _: 1.0, _changes)
    for report in (0.25, 1.0, 4.0):
        speeds.report(_ENDPOINT, _SERVICE, report, 24.0)
        assert speeds.factor(_ENDPOINT, 24.0) == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("false_factor", [0.25, 0.5, 4.0, 8.0])
def test_one_endpoint_with_a_false_value_is_found_among_honest_ones(
    false_factor,
):
    # The reports of the service are predictive, so the false value is believed
    # at first. Without an own accuracy, and with the learned factor divided by
    # nothing, the placement would follow it for good.
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, _changes, _changes)
    speeds.report(_OTHER, _SERVICE, false_factor, 24.0)
    believed = abs(math.log(speeds.factor(_OTHER, 24.0)))
    assert believed > 0.5 * abs(math.log(false_factor))
    _play(speeds, 6, lambda _: 1.0, lambda _: false_factor, _OTHER, from_s=24.0)
    assert speeds.factor(_OTHER, 30.0) == pytest.approx(1.0, abs=0.25)


def test_stopped_reports_leave_the_learned_factor():
    # The machine's usual time is 2.5 times the service's, and it reports that.
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, _changes, _changes, _OTHER)
    _play(speeds, 24, lambda _: 2.5, lambda _: 2.5)
    _play(speeds, 12, lambda _: 2.5, lambda _: None, from_s=24.0)
    assert speeds.factor(_ENDPOINT, 36.0) == pytest.approx(2.3, abs=0.3)


def test_report_fades_with_its_age():
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, _changes, _changes)
    speeds.report(_OTHER, _SERVICE, 4.0, 24.0)
    fresh, later, old = (
        speeds.factor(_OTHER, 24.0 + age_s) for age_s in (0.0, 2.0, 20.0)
    )
    assert fresh > later > old
    assert old == pytest.approx(1.0, abs=0.01)


def test_report_without_work_time_keeps_the_earlier_one():
    # Other instances pass on the numbers of requests only.
    speeds = endpoint_speed.EndpointSpeeds()
    speeds.report(_ENDPOINT, _SERVICE, 2.0, 1.0)
    speeds.report(_ENDPOINT, _SERVICE, None, 2.0)
    assert speeds.report_age_s(_ENDPOINT, 2.0) == 1.0


def test_older_report_does_not_replace_a_newer_one():
    speeds = endpoint_speed.EndpointSpeeds()
    speeds.report(_ENDPOINT, _SERVICE, 2.0, 2.0)
    speeds.report(_ENDPOINT, _SERVICE, 4.0, 1.0)
    assert speeds.report_age_s(_ENDPOINT, 2.0) == 0.0


def test_number_of_tracked_endpoints_is_bounded():
    # Restarted endpoints get new ids and would accumulate.
    speeds = endpoint_speed.EndpointSpeeds()
    for number in range(endpoint_speed.MAX_ENDPOINTS + 100):
        speeds.report(ids.EndpointId(f"e{number}"), _SERVICE, 2.0, 0.0)
    assert len(speeds._speeds) == endpoint_speed.MAX_ENDPOINTS


def test_new_report_and_new_prompt_are_applied_at_once():
    # Factors are used again for a short time; a change must not wait for it.
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, _changes, _changes)
    now_s = 24.0
    before = speeds.factor(_ENDPOINT, now_s)
    speeds.report(_ENDPOINT, _SERVICE, 1.0, now_s)
    reported = speeds.factor(_ENDPOINT, now_s)
    assert reported < before
    _learn(speeds, 0.25, now_s)
    assert speeds.factor(_ENDPOINT, now_s) < reported


def test_slower_endpoints_are_counted():
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 8, lambda _: 4.0, lambda _: None)
    _play(speeds, 8, lambda _: 1.0, lambda _: None, _OTHER)
    assert speeds.count_slower(endpoint_speed.SLOW_FACTOR, 8.0) == 1


@pytest.mark.parametrize("value", _INVALID)
def test_invalid_values_change_nothing(value):
    speeds = endpoint_speed.EndpointSpeeds()
    _play(speeds, 24, _changes, _changes)
    before = speeds.factor(_ENDPOINT, 23.0)
    speeds.report(_ENDPOINT, _SERVICE, value, 23.0)
    speeds.learn(_state(), value, _TOKEN_S, 23.0)
    speeds.learn(_state(), _TOKEN_S, value, 23.0)
    assert speeds.factor(_ENDPOINT, 23.0) == before


_ANY = st.floats() | st.sampled_from((*_INVALID, 5e-324, 1e308, 1e4, 0.01))


@hypothesis.given(
    st.lists(st.tuples(st.booleans(), _ANY, _ANY, _ANY), max_size=60)
)
def test_any_input_gives_a_factor_within_the_limits(events):
    # Values come from endpoints and clocks; a factor that is not finite would
    # make the costs of all endpoints incomparable.
    speeds = endpoint_speed.EndpointSpeeds()
    for is_report, first, second, now_s in events:
        if is_report:
            speeds.report(_ENDPOINT, _SERVICE, first, now_s)
        else:
            speeds.learn(_state(), first, second, now_s)
        for at_s in (0.0, 1.0, 1e9, now_s if math.isfinite(now_s) else 2.0):
            factor = speeds.factor(_ENDPOINT, at_s)
            limits = endpoint_speed.MIN_FACTOR, endpoint_speed.MAX_FACTOR
            assert limits[0] <= factor <= limits[1]
            assert speeds.factor(_OTHER, at_s) == 1.0


@hypothesis.given(st.lists(_ANY, max_size=40), st.sampled_from([1.0, 2.5]))
def test_invalid_reports_leave_the_learned_factor(reports, actual):
    speeds = endpoint_speed.EndpointSpeeds()
    learned = endpoint_speed.EndpointSpeeds()
    for number, report in enumerate(reports):
        if math.isfinite(report) and report > 0.0:
            report = -report
        speeds.report(_ENDPOINT, _SERVICE, report, float(number))
        _learn(speeds, actual, float(number))
        _learn(learned, actual, float(number))
        assert speeds.factor(_ENDPOINT, float(number)) == learned.factor(
            _ENDPOINT, float(number)
        )
