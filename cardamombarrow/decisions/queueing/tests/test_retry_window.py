"""Tests that the retries of many instances stay within one bound."""

import dataclasses
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import fleet_share as fleet
from cardamombarrow.decisions.queueing import retry

_BOUNDS = context_module.RetryBounds(share=0.2, slack=54.0, window_s=10.0)


def _instances(context, count):
    policies = [
        retry.WindowRetry(
            dataclasses.replace(
                context, retries=_BOUNDS, fleet=fleet.FleetShare()
            )
        )
        for _ in range(count)
    ]
    for policy in policies:
        policy.context.fleet.update_instances(count)
    return policies


def _count_retries(policy, job, now_s):
    """Counts the retries of a job that arrives now and fails each time."""
    policy.on_arrival(job, now_s)
    retries = 0
    for attempt in range(1, 4):
        job.attempts = attempt
        outcome = messages.Outcome.FAILURE_ANSWERED
        retries += policy.may_retry(job, outcome, now_s)
    return retries


@pytest.mark.parametrize("count", [1, 7, 80])
@pytest.mark.parametrize("per_s", [5, 50, 500])
def test_retries_of_all_instances_stay_within_the_bound(
    context, new_job, count, per_s
):
    # Every endpoint of a service fails each request. Seven or eighty
    # instances each retry within a budget of their own, just when capacity is
    # short; together they must stay within one bound.
    rng = random.Random(3)
    policies = _instances(context, count)
    arrivals, retries = [], []
    for step in range(30 * per_s):
        now_s = step / per_s
        policy = rng.choice(policies)
        job = new_job(arrived_s=now_s, deadline_s=now_s + 60.0)
        arrivals.append(now_s)
        retries += [now_s] * _count_retries(policy, job, now_s)
    assert retries
    for begin_s in range(20):
        window = range(begin_s, begin_s + 10)
        retried = sum(int(when_s) in window for when_s in retries)
        arrived = sum(int(when_s) in window for when_s in arrivals)
        assert retried <= _BOUNDS.share * arrived + _BOUNDS.slack


def test_partitioned_instance_does_not_use_the_parts_of_others(
    context, new_job
):
    # All instances are partitioned from each other and go on with their parts.
    # If each used the whole slack, the bound would be exceeded by as many times
    # as there are instances.
    (policy,) = _instances(context, 1)
    policy.context.fleet.update_instances(80)
    policy.context.fleet.update_instances(1)
    allowed = 0
    for _ in range(50):
        job = new_job(deadline_s=60.0, attempts=1)
        allowed += policy.may_retry(job, messages.Outcome.CRASHED, 1.0)
    assert allowed <= 1


@pytest.mark.parametrize(
    ("runs", "max_runs", "allowed"), [(1, 2, True), (2, 2, False), (9, 0, True)]
)
def test_request_runs_on_at_most_max_runs_endpoints(
    context, new_job, runs, max_runs, allowed
):
    (policy,) = _instances(context, 1)
    job = new_job(deadline_s=60.0, attempts=1, runs=runs, max_runs=max_runs)
    outcome = messages.Outcome.CRASHED
    assert policy.may_retry(job, outcome, 1.0) is allowed


@pytest.mark.parametrize(
    ("fields", "allowed"),
    [
        ({"max_runs": 2}, True),
        ({"max_runs": 1}, False),
        ({"repeatable": False, "max_runs": 2}, False),
        ({"max_runs": 3, "runs": 2}, False),
    ],
)
def test_run_is_cancelled_only_if_it_may_be_retried(
    context, new_job, fields, allowed
):
    # Cancelling a request that is only late, without another run allowed,
    # would make the entry itself fail it.
    (policy,) = _instances(context, 1)
    job = new_job(deadline_s=60.0, attempts=1, **fields)
    assert policy.may_redo(job, 1.0) is allowed


def _most_retries_over_the_bound(times_s, arrived_s):
    worst = -_BOUNDS.slack
    for end_s in times_s:
        begin_s = end_s - _BOUNDS.window_s
        retried = sum(begin_s < each <= end_s for each in times_s)
        arrived = sum(begin_s < each <= end_s for each in arrived_s)
        worst = max(worst, retried - _BOUNDS.share * arrived - _BOUNDS.slack)
    return worst


@pytest.mark.parametrize("restarts", [1, 2, 4])
@pytest.mark.parametrize("per_s", [5, 15, 40])
@pytest.mark.parametrize("seed", range(3))
def test_restarted_instances_do_not_spend_the_slack_again(
    context, new_job, restarts, per_s, seed
):
    # Guards against a full part of the slack after each start of an entry.
    rng = random.Random(seed)
    policies = _instances(context, 7)
    arrived_s, retried_s = [], []
    for step in range(30 * per_s):
        now_s = step / per_s
        for number, policy in enumerate(policies):
            if rng.random() < restarts / _BOUNDS.window_s / per_s:
                started = dataclasses.replace(policy.context, started_s=now_s)
                policies[number] = retry.WindowRetry(started)
        policy = rng.choice(policies)
        job = new_job(arrived_s=now_s, deadline_s=now_s + 60.0)
        arrived_s.append(now_s)
        retried_s += [now_s] * _count_retries(policy, job, now_s)
    assert retried_s
    assert _most_retries_over_the_bound(retried_s, arrived_s) <= 0.0


def test_restarted_instance_gets_its_part_of_the_slack_after_a_window(
    context, new_job
):
    (policy,) = _instances(context, 1)
    started = dataclasses.replace(policy.context, started_s=100.0)
    policy = retry.WindowRetry(started)
    job = new_job(deadline_s=200.0, attempts=1)
    outcome = messages.Outcome.CRASHED
    assert not policy.may_retry(job, outcome, 109.9)
    assert policy.may_retry(job, outcome, 110.0)


def test_retries_that_had_to_wait_count_from_when_they_are_sent(
    new_dispatcher, new_job
):
    # Guards against retries of two windows that wait for slots and are then
    # sent together.
    dispatcher = new_dispatcher(slots=4, retry="window", preemption="never")
    failed = messages.Outcome.FAILED
    blockers = [new_job(deadline_s=90.0) for _ in range(8)]
    for job in blockers:
        dispatcher.offer(job, 0.0)
    assert len(list(dispatcher.place(0.0))) == len(blockers)
    most = dispatcher.retry_use(new_job(), 0.0).allowed
    allowed = 0
    for now_s in (1.0, 12.0):
        jobs = [new_job(attempts=1, deadline_s=90.0) for _ in range(8)]
        allowed += sum(dispatcher.retry(job, failed, now_s) for job in jobs)
    for job in blockers:
        dispatcher.finish(job.request_id, messages.Outcome.DONE, 13.0)
    sent = list(dispatcher.place(13.0))
    spent = dispatcher.retry_use(new_job(), 13.0).spent
    assert 0 < len(sent) == allowed == spent <= most


def test_new_instance_has_its_part_of_the_slack_at_once(context, new_job):
    # Guards against callers of a new deployment who are refused a first retry.
    (policy,) = _instances(context, 1)
    policy = retry.WindowRetry(
        dataclasses.replace(policy.context, started_s=100.0)
    )
    job = new_job(deadline_s=200.0, attempts=1)
    outcome = messages.Outcome.CRASHED
    assert not policy.may_retry(job, outcome, 101.0)
    policy.context.fleet.is_new = True
    assert policy.may_retry(job, outcome, 101.0)
