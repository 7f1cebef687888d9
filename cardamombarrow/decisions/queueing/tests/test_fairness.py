"""Tests of fairness between the workspaces of a tier."""

import collections
import random

import hypothesis
from hypothesis import strategies

from cardamombarrow.decisions.queueing import fairness


def _order(queue: fairness.FairQueue) -> list[str]:
    order = []
    while (job := queue.pop()) is not None:
        order.append(job.workspace)
    return order


def test_hot_workspace_does_not_delay_the_others(new_job):
    # One clinic's batch job sends a hundred questions at once. A question of a
    # family shortly after would wait for all of them.
    queue = fairness.FairQueue()
    for _ in range(100):
        queue.push(new_job(workspace="hot"), 1.0)
    for number in range(5):
        queue.push(new_job(workspace=f"cold-{number}", arrived_s=0.5), 1.0)
    first = _order(queue)[:12]
    assert sum(name != "hot" for name in first) == 5


def test_equal_workspaces_are_served_by_deadline(new_job):
    queue = fairness.FairQueue()
    for number in (3, 1, 4, 0, 2):
        job = new_job(workspace=f"w{number}", arrived_s=float(number))
        queue.push(job, 1.0)
    assert _order(queue) == ["w0", "w1", "w2", "w3", "w4"]


def test_weight_gives_a_larger_part(new_job):
    queue = fairness.FairQueue()
    for _ in range(200):
        queue.push(new_job(workspace="double"), 2.0)
        queue.push(new_job(workspace="single"), 1.0)
    served = collections.Counter(_order(queue)[:150])
    assert 1.8 < served["double"] / served["single"] < 2.2


def test_answers_longer_than_estimated_are_charged(new_job):
    # The length of an answer is not known in advance. A workspace whose
    # answers are ten times as long as estimated would get ten times its share.
    queue = fairness.FairQueue()
    served = collections.Counter()
    for _ in range(300):
        queue.push(new_job(workspace="long"), 1.0)
        queue.push(new_job(workspace="short"), 1.0)
    for _ in range(220):
        job = queue.pop()
        served[job.workspace] += 1
        queue.settle(job, 800 if job.workspace == "long" else 80)
    assert 8 < served["short"] / served["long"] < 12


@hypothesis.given(strategies.integers(0, 1000))
def test_every_job_leaves_once(new_job, seed):
    # The caller of a job lost between the heaps would hang until its deadline;
    # a job that is queued twice would run twice.
    rng = random.Random(seed)
    queue = fairness.FairQueue()
    queued, served = {}, []
    for step in range(120):
        action = rng.choice(("push", "push", "pop", "remove", "hide"))
        if action == "push":
            job = new_job(
                workspace=f"w{rng.randrange(4)}",
                arrived_s=rng.random() * step,
                expected_tokens=rng.choice((1.0, 80.0, 2000.0)),
            )
            queued[job.request_id] = job
            queue.push(job, rng.choice((0.1, 1.0, 3.0)))
        elif action == "pop":
            job = queue.pop()
            assert (job is None) == (not queued)
            if job is not None:
                served.append(queued.pop(job.request_id))
                queue.settle(job, rng.randrange(3000))
        elif action == "remove" and queued:
            name = rng.choice(list(queued))
            assert queue.remove(name) is queued.pop(name)
        elif action == "hide":
            assert len(queue.heads(3)) == min(3, len(queued))
        assert len(queue) == len(queued)
    assert len(_order(queue)) == len(queued)
