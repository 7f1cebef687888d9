"""Stops of an instance, on a schedule."""

import math

import pytest

from cardamombarrow.decisions import draining
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

BEGIN_S = 100.0
GRACE_S = 8.0
NOTICE_S = 2.3
RUN_S = 3.0


def _job(*, repeatable=True, deadline_s=BEGIN_S + 20.0, class_id="letter"):
    return messages.Job(
        request_id=ids.RequestId("r-1"),
        workspace=ids.WorkspaceId("clinic"),
        class_id=ids.ClassId(class_id),
        service=ids.ServiceId("letters"),
        model=ids.ModelId("m"),
        rank=0,
        arrived_s=BEGIN_S,
        target_first_token_s=1.0,
        deadline_s=deadline_s,
        repeatable=repeatable,
    )


def _backlog(wait_s, service_s=RUN_S):
    return messages.Backlog(
        jobs_ahead=0, slots=1, service_s=service_s, predicted_wait_s=wait_s
    )


def _draining(runs_s=(RUN_S,), grace_s=GRACE_S):
    run_times = draining.RunTimes()
    for run_s in runs_s:
        run_times.record(_job(), run_s)
    schedule = draining.DrainSchedule.within(grace_s, NOTICE_S, 30.0)
    return draining.Draining(schedule, BEGIN_S, run_times)


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 4.0, 8.0, 30.0, 300.0])
def test_every_step_of_a_schedule_is_within_the_grace(grace_s):
    # Guards against a schedule for one grace that exceeds a shorter one.
    schedule = draining.DrainSchedule.within(grace_s, NOTICE_S, 30.0)
    steps = (0.0, schedule.notice_s, schedule.end_s, schedule.error_s, grace_s)
    assert list(steps) == sorted(set(steps))
    assert schedule.notice_s <= NOTICE_S
    assert schedule.port_s == schedule.end_s


def test_a_long_grace_is_used():
    # Guards against requests that are refused or fail long before the kill.
    schedule = draining.DrainSchedule.within(30.0, NOTICE_S, 30.0)
    assert schedule.notice_s == NOTICE_S
    assert (schedule.end_s, schedule.error_s) == (29.0, 29.6)


def test_without_a_grace_nothing_ends():
    # Guards against requests that are refused though nothing kills the process.
    stop = _draining(grace_s=0.0)
    job = _job(repeatable=False, deadline_s=math.inf, class_id="unknown")
    assert stop.may_send(job, BEGIN_S + 1_000.0)
    assert stop.may_wait(job, _backlog(1_000.0), BEGIN_S + 1_000.0)
    assert math.isinf(stop.error_s)


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_request_is_sent_only_if_its_answer_is_expected_in_time(repeatable):
    # Guards against sends late in the grace, which are cut at its end.
    stop = _draining()
    job = _job(repeatable=repeatable)
    assert stop.may_send(job, BEGIN_S + 3.9)
    assert not stop.may_send(job, BEGIN_S + 4.1)


def test_an_unrepeatable_request_is_held_to_the_longest_run():
    # Guards against an unrepeatable request that is sent as the usual one would
    # end in time, and is lost when it takes as long as some do.
    stop = _draining([0.5] * 10 + [6.5])
    assert stop.may_send(_job(), BEGIN_S + 2.0)
    assert not stop.may_send(_job(repeatable=False), BEGIN_S + 2.0)


def test_old_runs_are_forgotten():
    # Guards against one long run after which others are always refused.
    stop = _draining([60.0] + [0.5] * draining.RECENT_RUNS)
    assert stop.may_send(_job(repeatable=False), BEGIN_S + 2.0)


def test_only_classes_that_were_not_seen_lately_are_forgotten():
    # Guards against memory that grows with each document that renames classes,
    # and against a class in use that is forgotten for their sake.
    run_times = draining.RunTimes()
    for number in range(2 * draining.MAX_CLASSES):
        run_times.record(_job(), RUN_S)
        run_times.record(_job(class_id=f"renamed-{number}"), RUN_S)
    unknown = _job(repeatable=False, class_id="renamed-0")
    assert run_times.expected_s(_job(repeatable=False)) == RUN_S
    assert math.isinf(run_times.expected_s(unknown))


def test_an_unrepeatable_request_of_unknown_length_may_take_all_its_time():
    # Guards against the first request of a class that is sent too late.
    stop = _draining(runs_s=())
    in_time = _job(repeatable=False, deadline_s=BEGIN_S + 6.0)
    assert stop.may_send(in_time, BEGIN_S + 5.0)
    assert not stop.may_send(_job(repeatable=False), BEGIN_S)
    assert stop.may_send(_job(), BEGIN_S + 6.9)


def test_a_run_that_goes_on_needs_the_rest_of_its_time_only():
    # Guards against a stream that is not resumed though it is nearly whole.
    stop = _draining([5.0])
    assert not stop.may_send(_job(), BEGIN_S + 5.0)
    assert stop.may_send(_job(), BEGIN_S + 5.0, done_s=4.0)
    assert stop.may_send(_job(), BEGIN_S + 6.9, done_s=6.0)


def test_a_request_that_is_not_placed_in_time_is_refused_at_once():
    # Guards against a caller that learns late that its request is not served.
    stop = _draining()
    assert stop.may_wait(_job(), _backlog(2.0), BEGIN_S + 1.5)
    assert not stop.may_wait(_job(), _backlog(3.0), BEGIN_S + 1.5)


def test_runs_longer_than_the_forecast_lengthen_the_predicted_wait():
    # Guards against a wait predicted from a mean that follows slowly.
    stop = _draining()
    backlog = _backlog(1.0, service_s=RUN_S / 4)
    assert stop.may_wait(_job(), _backlog(1.0), BEGIN_S + 0.5)
    assert not stop.may_wait(_job(), backlog, BEGIN_S + 0.5)


@pytest.mark.parametrize("left_s", [4.0, 20.0, 60.0])
def test_a_waiting_caller_keeps_most_of_its_time(left_s):
    # Guards against a request that waits as long as it might still be served,
    # and leaves its caller no time for another instance.
    stop = _draining([0.1], grace_s=300.0)
    job = _job(deadline_s=BEGIN_S + NOTICE_S + left_s)
    last_s = BEGIN_S + NOTICE_S + draining.WAIT_SHARE * left_s
    assert stop.may_wait(job, _backlog(0.0), last_s - 0.1)
    assert not stop.may_wait(job, _backlog(0.0), last_s + 0.1)


@pytest.mark.parametrize("runs_s", [(), (RUN_S,)])
def test_an_endless_wait_is_refused(runs_s):
    # Guards against arithmetic with infinite waits and unknown run times.
    stop = _draining(runs_s)
    for repeatable in (False, True):
        job = _job(repeatable=repeatable)
        assert not stop.may_wait(job, _backlog(math.inf), BEGIN_S)
