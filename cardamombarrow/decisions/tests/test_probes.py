"""Tests of probes of endpoints that have failed."""

import collections

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.kernel import ids

_LONGEST_WAIT_S = 20.0
_REMOTE = ids.EndpointId("10.0.1.1:80")
_FAILURES = failures.FAILURES_TO_PROBATION


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
