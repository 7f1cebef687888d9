"""Tests of budgeted retries and of retry-after times."""

import dataclasses
import statistics

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.queueing import retry

NOT_STARTED = messages.Outcome.NOT_STARTED
CRASHED = messages.Outcome.CRASHED
PREEMPTED = messages.Outcome.PREEMPTED


@pytest.fixture
def policy(context):
    return retry.BudgetRetry(context)


def test_retries_add_at_most_a_tenth_of_the_load(policy, new_job):
    # An endpoint fails every request. Three runs of every request would triple
    # the load of the other endpoints just when one is missing.
    retries = 0
    for _ in range(1000):
        job = new_job("summary", attempts=1)
        while policy.may_retry(job, NOT_STARTED, 0.0):
            job.attempts += 1
            retries += 1
        policy.on_finish(job, messages.Outcome.DONE)
    assert retries <= retry.BUDGET_START + 0.1 * 1000


@pytest.mark.parametrize(
    ("outcome", "repeatable", "allowed"),
    [
        (NOT_STARTED, False, True),
        (CRASHED, False, False),
        (CRASHED, True, True),
        (PREEMPTED, False, False),
    ],
)
def test_only_repeatable_or_unrun_requests_are_retried(
    policy, new_job, outcome, repeatable, allowed
):
    job = new_job(repeatable=repeatable, attempts=1)
    assert policy.may_retry(job, outcome, 0.0) is allowed


def test_preempted_run_is_requeued_without_delay_or_cost(policy, new_job):
    job = new_job("letter", attempts=9)
    for _ in range(100):
        assert policy.may_retry(job, PREEMPTED, 0.0)
    assert policy.delay_s(job, PREEMPTED) == 0.0
    assert policy.may_retry(new_job("letter", attempts=1), CRASHED, 0.0)


def test_retry_delays_grow_with_each_attempt(policy, new_job):
    means = []
    for attempts in (1, 2, 3):
        job = new_job(attempts=attempts)
        waits = [policy.delay_s(job, CRASHED) for _ in range(400)]
        assert min(waits) < 0.1 * max(waits)
        means.append(statistics.fmean(waits))
    assert means == sorted(means)


def test_retry_after_grows_and_is_spread(policy):
    # A wave of refusals that all return after one second is the same wave a
    # second later, and is refused again.
    backlog = messages.Backlog(0, 8, 2.0, 0.5)
    spans = []
    for returning_s in (0.0, 10.0, 60.0):
        now = dataclasses.replace(backlog, returning_s=returning_s)
        times = [policy.retry_after_s(now) for _ in range(200)]
        spans.append((min(times), max(times)))
        assert max(times) > 1.5 * min(times)
    assert spans[0][1] < spans[1][0] < spans[1][1] < spans[2][0]


def test_delayed_job_can_be_withdrawn_and_is_queued_once(
    new_dispatcher, new_job
):
    # Between a failure and its retry the job is in no queue. If the caller
    # disconnects in that time, its request must not run.
    dispatcher = new_dispatcher(retry="budget")
    retried, withdrawn = new_job(), new_job()
    for job in (retried, withdrawn):
        dispatcher.offer(job, 0.0)
    assert len(list(dispatcher.place(0.0))) == 2
    for job in (retried, withdrawn):
        dispatcher.finish(job.request_id, NOT_STARTED, 0.1)
        assert dispatcher.retry(job, NOT_STARTED, 0.1)
    assert dispatcher.withdraw(withdrawn.request_id)
    placed = [p.request_id for p in dispatcher.place(5.0)]
    assert placed == [retried.request_id]
    assert not dispatcher.withdraw(withdrawn.request_id)
