"""Tests of what is told of the state in which a job waits."""

import math

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.tests import test_probes
from cardamombarrow.kernel import ids

_LOCAL = tuple(ids.EndpointId(f"10.0.0.{number}:80") for number in (1, 2))
_REMOTE = ids.EndpointId("10.0.1.1:80")
_NOW_S = 1.0


def _waiting(dispatcher, new_job, now_s=_NOW_S, **fields):
    """Returns a job that waits."""
    job = new_job("letter", arrived_s=now_s, **fields)
    assert dispatcher.offer(job, now_s) is None
    assert not list(dispatcher.place(now_s))
    return job


def _fill(dispatcher, new_job):
    while True:
        dispatcher.offer(new_job("letter", arrived_s=_NOW_S), _NOW_S)
        if not list(dispatcher.place(_NOW_S)):
            return


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_job_that_waits_for_probes_says_so(
    new_dispatcher, new_job, repeatable
):
    # Guards against a wait for endpoints that have failed, which no line names.
    dispatcher = new_dispatcher()
    now_s = test_probes._fail_all(dispatcher, new_job)
    job = _waiting(dispatcher, new_job, now_s, repeatable=repeatable)
    wait = dispatcher.wait_state(job, now_s)
    assert wait.stage is messages.WaitStage.QUEUE
    assert wait.causes == {messages.WaitCause.PROBATION: len(_LOCAL)}
    assert (wait.jobs_ahead, wait.waiting) == (0, 1)


def test_a_job_that_waits_for_slots_says_so(new_dispatcher, new_job):
    dispatcher = new_dispatcher(slots=2)
    dispatcher.set_leaving(_REMOTE, True)
    _fill(dispatcher, new_job)
    job = _waiting(dispatcher, new_job)
    wait = dispatcher.wait_state(job, _NOW_S)
    assert wait.causes == {messages.WaitCause.SLOT: len(_LOCAL)}
    assert (wait.jobs_ahead, wait.waiting) == (1, 2)


def test_a_job_that_waits_for_pauses_says_so(new_dispatcher, new_job):
    dispatcher = new_dispatcher()
    dispatcher.set_leaving(_REMOTE, True)
    for endpoint in _LOCAL:
        dispatcher.pause(endpoint, _NOW_S + 5.0, ids.RequestId(""), _NOW_S)
    job = _waiting(dispatcher, new_job)
    wait = dispatcher.wait_state(job, _NOW_S)
    assert wait.causes == {messages.WaitCause.PAUSE: len(_LOCAL)}


def test_a_job_that_awaits_a_remote_placement_says_so(new_dispatcher, new_job):
    dispatcher = new_dispatcher()
    job = new_job("letter", arrived_s=_NOW_S)
    assert dispatcher.await_remote_placement(job, _NOW_S) is None
    wait = dispatcher.wait_state(job, _NOW_S)
    assert wait.stage is messages.WaitStage.PLACER
    assert not wait.causes


def test_a_refusal_after_a_wait_says_what_it_waited_for(
    new_dispatcher, new_job
):
    # Guards against a refusal at the deadline that gives no reason.
    dispatcher = new_dispatcher(slots=2)
    dispatcher.set_leaving(_REMOTE, True)
    _fill(dispatcher, new_job)
    job = _waiting(dispatcher, new_job, deadline_s=_NOW_S + 2.0)
    now_s, refused = _NOW_S, None
    while refused is None and not math.isinf(now_s):
        now_s = dispatcher.next_s()
        assert now_s <= job.deadline_s
        refused = next(
            (
                each
                for each in dispatcher.place(now_s)
                if each.request_id == job.request_id
            ),
            None,
        )
    assert refused.wait.causes == {messages.WaitCause.SLOT: len(_LOCAL)}
    assert refused.wait.fields()["waited_for"] == {"slot": len(_LOCAL)}
