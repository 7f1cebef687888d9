"""Endpoints that fall over when they reject too many requests."""

import dataclasses

import pytest

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import rejections
from cardamombarrow.endpoints import statements
from cardamombarrow.kernel import ids

_ENDPOINT = ids.EndpointId("10.0.0.1:80#i-1")
_NOW_S = 100.0
_SLOTS = 10


@pytest.fixture
def limits():
    stated = rejections.RejectionLimits()
    stated.update(_ENDPOINT, messages.RejectionLimit(4.0), _NOW_S)
    return stated


def _state(running, waiting, age_s=0.1):
    state = endpoint_module.EndpointState(
        _ENDPOINT, ids.ServiceId("s"), ids.DomainId("d"), _SLOTS
    )
    state.report = messages.LoadReport(
        running, waiting, 0.0, False, _NOW_S - age_s
    )
    return state


@pytest.mark.parametrize(
    ("running", "waiting", "has_room"),
    [(0, 0, True), (7, 0, True), (8, 0, False), (3, 1, False), (10, 0, False)],
)
def test_only_free_slots_are_room(limits, running, waiting, has_room):
    # Guards against requests that wait at an endpoint with no room for them.
    state = _state(running, waiting)
    assert limits.has_room(state, _NOW_S) is has_room
    assert rejections.RejectionLimits().has_room(state, _NOW_S)


def test_one_request_at_a_time_without_a_recent_report(limits):
    # Guards against an endpoint that gets nothing because nobody asks it.
    state = _state(10, 5, age_s=60.0)
    assert limits.has_room(state, _NOW_S)
    job = messages.Job(
        *(ids.RequestId("r"), ids.WorkspaceId("w"), ids.ClassId("c")),
        *(ids.ServiceId("s"), ids.ModelId("m"), 0, 0.0, 1.0, 2.0),
    )
    state.add(messages.Running(job, _ENDPOINT, _NOW_S))
    assert not limits.has_room(state, _NOW_S)


@pytest.mark.parametrize("per_s", [0.5, 1.0, 3.0, 10.0, 1e6])
@pytest.mark.parametrize("parties", [1, 3, 11])
def test_parties_that_pause_stay_within_the_limit(per_s, parties):
    # Guards against rejections that are few for each party and too many for the
    # endpoint: each causes one, pauses and causes the next.
    limits = rejections.RejectionLimits()
    limits.update(_ENDPOINT, messages.RejectionLimit(per_s), _NOW_S)
    pause_s = limits.reject(_ENDPOINT, parties, _NOW_S)
    bound = max(per_s, parties / rejections.PAUSE_MAX_S)
    assert parties / pause_s <= bound or pause_s == rejections.PAUSE_MIN_S


def test_an_endpoint_without_a_limit_gets_no_pause():
    limits = rejections.RejectionLimits()
    assert limits.reject(_ENDPOINT, 3, _NOW_S) == 0.0
    assert not limits.may_have_fallen(_ENDPOINT, _NOW_S)


def test_a_limit_ends_with_the_first_answer_without_it(limits):
    assert limits.is_stated(_ENDPOINT, _NOW_S)
    limits.update(_ENDPOINT, messages.RejectionLimit(None), _NOW_S)
    assert not limits.is_stated(_ENDPOINT, _NOW_S)


def test_a_limit_ends_without_answers(limits):
    later_s = _NOW_S + rejections.STATEMENT_S
    assert not limits.is_stated(_ENDPOINT, later_s)
    assert limits.count(later_s) == 0


def test_an_end_after_rejections_is_put_down_to_them(limits):
    # Guards against quarantining what ran on an endpoint that fell over.
    assert not limits.may_have_fallen(_ENDPOINT, _NOW_S)
    limits.reject(_ENDPOINT, 1, _NOW_S)
    assert limits.may_have_fallen(_ENDPOINT, _NOW_S + 1.0)
    assert not limits.may_have_fallen(_ENDPOINT, _NOW_S + rejections.FALL_S)


def test_the_table_is_bounded():
    limits = rejections.RejectionLimits()
    for number in range(2 * rejections.MAX_ENDPOINTS):
        endpoint = ids.EndpointId(f"e{number}")
        limits.update(endpoint, messages.RejectionLimit(1.0), _NOW_S)
    assert limits.count(_NOW_S) == rejections.MAX_ENDPOINTS


@pytest.mark.parametrize(
    ("text", "per_s"),
    [("0", 0.0), ("3", 3.0), (" 2.5 ", 2.5), ("999999999", 999999999.0)],
)
def test_a_limit_is_a_decimal_number(text, per_s):
    parsed = statements.parse_rejection_limit(text)
    assert dataclasses.astuple(parsed) == (per_s,)


@pytest.mark.parametrize("text", ["", "-1", "many", "1e3", "9" * 10, "nan"])
def test_an_unreadable_limit_leaves_an_earlier_one_in_force(text):
    assert statements.parse_rejection_limit(text) is None
    assert statements.parse_rejection_limit(None).per_s is None
