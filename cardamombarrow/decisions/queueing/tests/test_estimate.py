"""Estimated answer lengths."""

import random

import pytest

from cardamombarrow.decisions import baselines
from cardamombarrow.decisions.queueing import estimate


@pytest.fixture
def policy(context):
    return estimate.QuantileEstimate(context)


def _learn(policy, job, mean, count, seed=1):
    rng = random.Random(seed)
    for _ in range(count):
        policy.learn(job, max(1, round(rng.gauss(mean, mean / 10))))


def test_document_value_is_used_without_answers(policy, new_job):
    assert policy.expected_tokens(new_job("letter")) == 500
    policy.learn(new_job("letter"), 5)
    assert policy.expected_tokens(new_job("letter")) == 500


def test_workspace_with_long_answers_gets_its_own_estimate(policy, new_job):
    # One workspace's chat answers are ten times as long as the others'. With
    # the average estimate it would be charged a tenth of what it uses.
    for seed in range(30):
        _learn(policy, new_job("chat", workspace="one"), 100, 9, seed)
        _learn(policy, new_job("chat", workspace="two"), 1000, 1, seed)
    short = policy.expected_tokens(new_job("chat", workspace="one"))
    long = policy.expected_tokens(new_job("chat", workspace="two"))
    fresh = policy.expected_tokens(new_job("chat", workspace="limited"))
    assert 80 < short < 130
    assert long > 600
    assert 150 < fresh < 230


def test_estimate_follows_a_change_of_lengths(policy, new_job):
    # A new model version gives four times as long answers. An estimate over
    # the whole history would take days to adapt.
    _learn(policy, new_job("letter"), 200, 5000)
    _learn(policy, new_job("letter"), 800, 520, seed=2)
    assert policy.quantile("letter", 0.5) == pytest.approx(800, rel=0.1)
    assert policy.quantile("letter", 0.05) > 500
    assert policy.expected_tokens(new_job("letter")) > 500


def test_caller_limit_bounds_the_estimate(policy, new_job):
    assert policy.expected_tokens(new_job("letter", max_tokens=20)) == 20


def test_empty_answers_are_ignored(policy, new_job):
    for _ in range(50):
        policy.learn(new_job("summary"), 0)
    assert policy.expected_tokens(new_job("summary")) == 250


def _mean_error(policy, new_job):
    """Mean relative error against the true mean of each workspace."""
    rng = random.Random(3)
    scales = {name: rng.lognormvariate(0, 0.8) for name in range(20)}
    errors = []
    for number in range(2000):
        job = new_job("chat", workspace=rng.randrange(20))
        mean = scales[job.workspace] * (200 if number < 1000 else 600)
        if number > 300:
            error = abs(policy.expected_tokens(job) - mean) / mean
            errors.append(error)
        length = rng.lognormvariate(0, 0.7) / 1.28 * mean
        policy.learn(job, max(1, round(length)))
    return sum(errors) / len(errors)


def test_error_is_a_third_of_the_plain_mean(policy, context, new_job):
    plain = baselines.MeanEstimate(context)
    error = _mean_error(policy, new_job)
    assert error < _mean_error(plain, new_job) / 3
