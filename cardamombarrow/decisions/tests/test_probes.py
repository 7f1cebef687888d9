"""Tests of probes of endpoints that have failed."""

import collections

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.kernel import ids

_LONGEST_WAIT_S = 20.0
_REMOTE = ids.EndpointId("10.0.1.1:80")
_FAILURES = failures.FAILURES_TO_PROBATION
_STEP_S = 0.05


def _fail_all(dispatcher, new_job):
    """Has each endpoint fail until it is on probation; returns the time."""
    now_s = 0.0
    failed = collections.Counter()
    dispatcher.set_leaving(_REMOTE, True)
    states = [each for each in dispatcher.endpoints() if not each.leaving]
    while min(failed[state.endpoint] for state in states) < _FAILURES:
        now_s += 0.1
        assert now_s < 1_000.0
        job = new_job("letter", arrived_s=now_s, repeatable=True)
        dispatcher.offer(job, now_s)
        for placed in list(dispatcher.place(now_s)):
            if isinstance(placed, messages.Placement):
                failed[placed.endpoint] += 1
                outcome = messages.Outcome.NOT_STARTED
                dispatcher.finish(placed.request_id, outcome, now_s)
    return now_s


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_service_recovers_whatever_requests_it_gets(
    new_dispatcher, new_job, repeatable
):
    # Guards against a service that is down for good since all its requests may
    # run once only, and so none of them probes its endpoints.
    dispatcher = new_dispatcher()
    start_s = _fail_all(dispatcher, new_job)
    now_s = start_s
    served = 0
    while now_s < start_s + _LONGEST_WAIT_S:
        now_s += 0.1
        job = new_job("letter", arrived_s=now_s, repeatable=repeatable)
        dispatcher.offer(job, now_s)
        for placed in list(dispatcher.place(now_s)):
            if isinstance(placed, messages.Placement):
                served += 1
                dispatcher.first_token(placed.request_id, now_s)
                dispatcher.progress(placed.request_id, 5)
                dispatcher.finish(
                    placed.request_id, messages.Outcome.DONE, now_s
                )
    assert served > 20


def test_a_request_that_may_be_repeated_probes_first(new_dispatcher, new_job):
    # Guards against unrepeatable requests that are lost in probes.
    dispatcher = new_dispatcher()
    now_s = _fail_all(dispatcher, new_job) + 30.0
    placed = []
    for repeatable in (True, False):
        job = new_job("letter", arrived_s=now_s, repeatable=repeatable)
        dispatcher.offer(job, now_s)
        placed += [
            job.repeatable
            for each in dispatcher.place(now_s)
            if isinstance(each, messages.Placement)
        ]
    assert placed[0]


def _first_decision(dispatcher, job, until_s):
    """Returns the first decision on a waiting job, and when it is made."""
    now_s = job.arrived_s
    while now_s < until_s:
        for decision in dispatcher.place(now_s):
            if decision.request_id == job.request_id:
                return decision, now_s
        now_s += _STEP_S
        dispatcher.refresh_shares(now_s)
    return None, now_s


@pytest.mark.parametrize("admission", ["predicted-wait", "queue-age"])
@pytest.mark.parametrize("limit_s", [1.0, 2.0, 8.0])
def test_a_request_that_no_probe_can_serve_is_refused_early(
    new_dispatcher, new_job, limit_s, admission
):
    # Guards against a request that waits until its caller's limit, though no
    # endpoint may get it before.
    dispatcher = new_dispatcher(admission=admission)
    now_s = _fail_all(dispatcher, new_job)
    job = new_job(
        "chat", arrived_s=now_s, repeatable=False, deadline_s=now_s + limit_s
    )
    assert dispatcher.offer(job, now_s) is None
    refusal, refused_s = _first_decision(dispatcher, job, job.deadline_s)
    assert isinstance(refusal, messages.Refusal)
    assert refused_s <= now_s + limit_s / 3
    assert 0.0 < refusal.retry_after_s < 2.0
    assert set(refusal.wait.causes) == {messages.WaitCause.PROBATION}


@pytest.mark.parametrize(
    ("repeatable", "limit_s"), [(True, 2.0), (False, 20.0)]
)
def test_a_request_that_a_probe_can_serve_waits_for_it(
    new_dispatcher, new_job, repeatable, limit_s
):
    # Guards against refusals of requests that would have been the next probe.
    dispatcher = new_dispatcher()
    now_s = _fail_all(dispatcher, new_job)
    job = new_job(
        "chat",
        arrived_s=now_s,
        repeatable=repeatable,
        deadline_s=now_s + limit_s,
    )
    assert dispatcher.offer(job, now_s) is None
    placed, _ = _first_decision(dispatcher, job, job.deadline_s)
    assert isinstance(placed, messages.Placement)


def test_a_request_is_placed_once_an_endpoint_is_sound_again(
    new_dispatcher, new_job
):
    # Guards against a refusal at once, while a probe of another is under way.
    dispatcher = new_dispatcher()
    now_s = _fail_all(dispatcher, new_job) + failures.FIRST_PROBE_S + _STEP_S
    probe = new_job("chat", arrived_s=now_s, repeatable=True)
    assert dispatcher.offer(probe, now_s) is None
    assert list(dispatcher.place(now_s))
    job = new_job(
        "chat", arrived_s=now_s, repeatable=False, deadline_s=now_s + 2.0
    )
    assert dispatcher.offer(job, now_s) is None
    assert not list(dispatcher.place(now_s))
    now_s += _STEP_S
    dispatcher.first_token(probe.request_id, now_s)
    dispatcher.finish(probe.request_id, messages.Outcome.DONE, now_s)
    assert any(
        isinstance(each, messages.Placement) for each in dispatcher.place(now_s)
    )
