"""What many instances send again stays within one bound."""

import dataclasses
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import fleet
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import retry

_BOUNDS = context_module.RetryBounds(share=0.2, slack=54.0, window_s=10.0)


def _instances(context, count):
    made = [
        retry.WindowRetry(
            dataclasses.replace(
                context, retries=_BOUNDS, fleet=fleet.FleetPart()
            )
        )
        for _ in range(count)
    ]
    for policy in made:
        policy.context.fleet.heard(count)
    return made


@pytest.mark.parametrize("count", [1, 7, 80])
@pytest.mark.parametrize("per_s", [5, 50, 500])
def test_retries_of_all_instances_keep_the_bound(
    context, new_job, count, per_s
):
    # Every endpoint of a service fails each request. Seven or eighty
    # instances each try again out of a budget of their own, at the moment
    # when capacity is short; together they must stay within one bound.
    rng = random.Random(3)
    policies = _instances(context, count)
    arrivals, retries = [], []
    for step in range(30 * per_s):
        now_s = step / per_s
        policy = rng.choice(policies)
        job = new_job(arrived_s=now_s, deadline_s=now_s + 60.0)
        policy.on_arrival(job, now_s)
        arrivals.append(now_s)
        for attempt in range(1, 4):
            job.attempts = attempt
            outcome = messages.Outcome.FAILURE_ANSWERED
            if policy.may_retry(job, outcome, now_s):
                retries.append(now_s)
    assert retries
    for begin_s in range(20):
        window = range(begin_s, begin_s + 10)
        again = sum(int(when_s) in window for when_s in retries)
        asked = sum(int(when_s) in window for when_s in arrivals)
        assert again <= _BOUNDS.share * asked + _BOUNDS.slack


def test_an_instance_that_hears_nobody_does_not_take_the_others_part(
    context, new_job
):
    # A cut leaves an instance alone. The others are cut off as well and go on
    # with their parts; were each to take the whole slack, the bound would be
    # broken by as many times as there are instances.
    (policy,) = _instances(context, 1)
    policy.context.fleet.heard(80)
    policy.context.fleet.heard(1)
    allowed = 0
    for _ in range(50):
        job = new_job(deadline_s=60.0, attempts=1)
        allowed += policy.may_retry(job, messages.Outcome.CRASHED, 1.0)
    assert allowed <= 1


@pytest.mark.parametrize(
    ("runs", "max_runs", "allowed"), [(1, 2, True), (2, 2, False), (9, 0, True)]
)
def test_a_request_runs_on_no_more_endpoints_than_its_route_allows(
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
def test_a_run_is_given_up_only_where_another_one_may_follow(
    context, new_job, fields, allowed
):
    # Given up without another run allowed, a request that was only late would
    # have been failed by the router itself.
    (policy,) = _instances(context, 1)
    job = new_job(deadline_s=60.0, attempts=1, **fields)
    assert policy.may_redo(job, 1.0) is allowed
