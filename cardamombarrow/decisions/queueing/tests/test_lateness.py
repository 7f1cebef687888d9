"""Late jobs go behind those that can still be in time."""

import collections
import random

import hypothesis
from hypothesis import strategies

from benchmarks import overload_order
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import roster
from cardamombarrow.decisions.queueing import fairness
from cardamombarrow.decisions.queueing import lateness
from cardamombarrow.kernel import ids


def _queue(new_job, late, in_time, workspaces=1):
    """Returns a queue whose first jobs are late, and their ids."""
    queue = fairness.FairQueue()
    late_ids = []
    for number in range(late + in_time):
        job = new_job(
            workspace=f"w{number % workspaces}", arrived_s=float(number)
        )
        queue.push(job, 1.0)
        if number < late:
            late_ids.append(job.request_id)
    queue.set_lateness(lambda job: job.request_id in late_ids)
    return queue, late_ids


def _drain(queue):
    order = []
    while (job := queue.pop()) is not None:
        order.append(job)
    return order


def test_late_jobs_go_behind_in_order_of_arrival(new_job):
    # In order of deadlines the late job goes first, and the next one has become
    # late when it is done: all of them are late together.
    queue, late_ids = _queue(new_job, late=3, in_time=5)
    order = [job.request_id for job in _drain(queue)]
    assert order[5:] == late_ids


def test_late_jobs_do_not_starve(new_job):
    # In a burst that lasts there is always a job that can be in time. Of 500
    # prompts in such bursts one late prompt was served.
    queue, late_ids = _queue(new_job, late=10, in_time=80)
    order = [job.request_id for job in _drain(queue)]
    for start in range(0, 80, 8):
        window = order[start : start + 8]
        assert sum(each in late_ids for each in window) == 1


def test_blocked_late_job_does_not_hold_up_the_others(new_job):
    # A late job whose turn it is may fit no free slot.
    queue, late_ids = _queue(new_job, late=1, in_time=20)
    for _ in range(fairness.IN_TIME_PER_LATE):
        queue.pop()
    assert queue.peek().request_id in late_ids
    queue.skip_turn()
    assert queue.peek().request_id not in late_ids
    assert queue.pop().request_id not in late_ids
    assert queue.pop().request_id in late_ids


def test_workspace_gains_nothing_by_being_late(new_job):
    # Half of the jobs of one workspace are late. If late jobs had a credit of
    # their own, it would get more than its share.
    queue = fairness.FairQueue()
    late_ids = set()
    for number in range(200):
        for workspace in ("late", "in time"):
            job = new_job(workspace=workspace, arrived_s=float(number))
            queue.push(job, 1.0)
            if workspace == "late" and number % 2:
                late_ids.add(job.request_id)
    queue.set_lateness(lambda job: job.request_id in late_ids)
    served = collections.Counter(queue.pop().workspace for _ in range(160))
    assert served["late"] <= 81


def test_only_next_jobs_are_examined(new_job):
    # At thousands of waiting jobs, examining all of them on each event would
    # take longer than the decisions.
    queue, late_ids = _queue(new_job, late=50, in_time=500)
    examined = []

    def is_late(job):
        examined.append(job.request_id)
        return job.request_id in late_ids

    queue.set_lateness(is_late)
    for _ in range(10):
        queue.pop()
    assert len(examined) <= 50 + 10 + 10


@hypothesis.given(strategies.integers(0, 1000))
def test_every_job_leaves_once(new_job, seed):
    # A job put behind is in the heaps twice; the caller of a lost one would
    # hang until its deadline, and one taken twice would run twice.
    rng = random.Random(seed)
    queue = fairness.FairQueue()
    queue.set_lateness(lambda job: rng.random() < 0.3)
    queued, served = {}, []
    for step in range(150):
        action = rng.choice(("push", "push", "pop", "remove", "hide", "skip"))
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
            if job is not None:
                served.append(job.request_id)
                del queued[job.request_id]
        elif action == "remove" and queued:
            request_id = rng.choice(list(queued))
            assert queue.remove(request_id) is queued.pop(request_id)
        elif action == "hide":
            entry = queue.hide()
            if entry is not None:
                queue.restore(entry)
        elif action == "skip":
            queue.skip_turn()
        assert len(queue) == len(queued)
    served += [job.request_id for job in _drain(queue)]
    assert len(served) == len(set(served))
    assert set(queued) <= set(served)


def _job(target_s=2.0):
    return messages.Job(
        request_id=ids.RequestId("r"),
        workspace=ids.WorkspaceId("w"),
        class_id=ids.ClassId("long"),
        service=ids.ServiceId("s"),
        model=ids.ModelId("m"),
        rank=2,
        arrived_s=10.0,
        target_first_token_s=target_s,
        deadline_s=20.0,
    )


def test_job_is_late_once_its_first_token_is_expected_after_the_target():
    prediction = lateness.Lateness(lambda job, now_s: 0.5)
    assert not prediction.is_late(_job(), 11.49)
    assert prediction.is_late(_job(), 11.51)
    assert prediction.is_late(_job(), 12.0)


def _runs(seeds, **fields):
    return [
        overload_order.run(seed, overload=True, **fields)[overload_order.LONG]
        for seed in seeds
    ]


def test_some_are_in_time_in_each_second_of_a_burst(monkeypatch):
    # More prefill than the engines can do for the whole burst: in order of
    # deadlines there are seconds in which all requests are late.
    seeds = (0, 1, 2)
    on = _runs(seeds, load=1.3)
    monkeypatch.setattr(
        roster.Roster, "orders_late_jobs", lambda self, service: False
    )
    off = _runs(seeds, load=1.3)
    assert min(row.lowest_in_time_share for row in off) == 0.0
    assert min(row.lowest_in_time_share for row in on) > 0.0
    assert sum(row.in_time for row in on) > sum(row.in_time for row in off)
