"""Jobs that the dispatcher holds while their prefix is in prefill elsewhere."""

import dataclasses

import pytest

from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import overload
from cardamombarrow.decisions.limiting import restrictions
from cardamombarrow.kernel import ids

FIRST_TOKEN_S = 0.2
"""Shorter than the expected prefill of 20,000 tokens."""


def _dispatcher(context, enabled=True, **policies):
    document = context.document
    policies = {"choice": "first-event", **policies}
    changed = dataclasses.replace(
        document,
        policies=dataclasses.replace(document.policies, **policies),
    )
    return core.Dispatcher(
        dataclasses.replace(
            context,
            document=changed,
            restrictions=restrictions.Restrictions(),
            overload=overload.OverloadControl(enabled),
            whole_domain=True,
        ),
        0.0,
    )


def _job(new_job, prefix, class_id="summary", arrived_s=0.0):
    own = messages.PromptPart(f"own-{prefix}", 1_000)
    return new_job(
        class_id,
        arrived_s,
        prompt_tokens=20_000,
        prefix_key=prefix,
        parts=(messages.PromptPart(prefix, 19_000), own),
    )


def _offer(dispatcher, jobs, now_s=0.0):
    for job in jobs:
        assert dispatcher.offer(job, now_s) is None
    return _placed(dispatcher, now_s)


def _placed(dispatcher, now_s):
    return {each.request_id: each for each in dispatcher.place(now_s)}


def _ids(jobs):
    return {job.request_id for job in jobs}


@pytest.fixture(name="dispatcher")
def _make_dispatcher(context):
    return _dispatcher(context)


def test_held_jobs_do_not_block_the_jobs_behind_them(dispatcher, new_job):
    # The queue looks past a few blocked jobs of a tier only. Many jobs that
    # wait for one prefix would keep all others of the tier from being placed,
    # and the prefills of other prefixes would run one after the other.
    first = _job(new_job, "a")
    waiting = [_job(new_job, "a") for _ in range(10)]
    other = _job(new_job, "b")
    less_urgent = _job(new_job, "c", "letter")
    placed = _offer(dispatcher, [first, *waiting, other, less_urgent])
    expected = [first, other, less_urgent]
    assert list(placed) == [job.request_id for job in expected]


def test_placement_says_how_long_a_job_has_waited(dispatcher, new_job):
    jobs = [_job(new_job, "a"), _job(new_job, "a")]
    _offer(dispatcher, jobs)
    dispatcher.first_token(jobs[0].request_id, FIRST_TOKEN_S)
    placed = _placed(dispatcher, FIRST_TOKEN_S)
    reason = placed[jobs[1].request_id].reason
    assert "waited 0.200 s for a prefill of its prefix" in reason
    assert dispatcher.next_s() is None
    assert dispatcher.waits_for_prefill == 1


@pytest.mark.parametrize(
    "outcome",
    [
        messages.Outcome.CALLER_GONE,
        messages.Outcome.CRASHED,
        messages.Outcome.NOT_STARTED,
        messages.Outcome.PREEMPTED,
    ],
)
def test_one_job_goes_on_at_once_after_a_failure(dispatcher, new_job, outcome):
    jobs = [_job(new_job, "a") for _ in range(5)]
    _offer(dispatcher, jobs)
    dispatcher.finish(jobs[0].request_id, outcome, 0.05)
    placed = _placed(dispatcher, 0.05)
    assert len(placed) == 1
    dispatcher.first_token(next(iter(placed)), 0.3)
    assert set(placed) | set(_placed(dispatcher, 0.3)) == _ids(jobs[1:])


def test_job_is_placed_when_no_end_is_reported(dispatcher, new_job):
    # Nobody calls the dispatcher in time unless it names the time.
    jobs = [_job(new_job, "a") for _ in range(3)]
    _offer(dispatcher, jobs)
    wakeup_s = dispatcher.next_s()
    assert wakeup_s < jobs[1].target_first_token_s
    placed = _placed(dispatcher, wakeup_s)
    assert len(placed) == 1


def test_held_job_can_be_withdrawn(dispatcher, new_job):
    jobs = [_job(new_job, "a") for _ in range(3)]
    _offer(dispatcher, jobs)
    assert dispatcher.withdraw(jobs[1].request_id)
    assert not dispatcher.withdraw(jobs[1].request_id)
    dispatcher.first_token(jobs[0].request_id, FIRST_TOKEN_S)
    assert set(_placed(dispatcher, FIRST_TOKEN_S)) == _ids([jobs[2]])
    assert not dispatcher.waiting_jobs()
    assert not dispatcher.has_queued_jobs()


def test_held_jobs_are_listed_as_waiting(dispatcher, new_job):
    # An instance that stops hands over the jobs that are listed.
    jobs = [_job(new_job, "a") for _ in range(3)]
    _offer(dispatcher, jobs)
    assert _ids(dispatcher.waiting_jobs()) == _ids(jobs[1:])


def test_held_job_is_evicted_for_a_more_urgent_one(
    dispatcher, new_job, monkeypatch
):
    # Held jobs count towards the bound on waiting requests. If they could not
    # be evicted, an urgent request would be refused for less urgent ones.
    jobs = [_job(new_job, "a", "letter") for _ in range(3)]
    _offer(dispatcher, jobs)
    admission = dispatcher._policies.admission
    monkeypatch.setattr(admission, "max_waiting", lambda: 2)
    urgent = _job(new_job, "b", "chat", arrived_s=0.01)
    placed = _offer(dispatcher, [urgent], 0.01)
    assert placed.pop(urgent.request_id).endpoint
    ((request_id, refusal),) = placed.items()
    assert request_id == jobs[-1].request_id
    assert isinstance(refusal, messages.Refusal)
    assert refusal.retry_after_s is not None


def test_prefix_of_a_run_with_a_first_token_is_not_waited_for(
    dispatcher, new_job
):
    # A new placer learns of the runs of its domain. Their prefixes are cached,
    # and their first tokens are not reported again.
    first, second = _job(new_job, "a"), _job(new_job, "a")
    endpoint = dispatcher.endpoints()[0].endpoint
    assert dispatcher.add_remote_run(first, endpoint, 0.0, True, 0.1)
    assert second.request_id in _offer(dispatcher, [second], 0.1)


def test_without_the_overload_controls_nobody_is_held(context, new_job):
    jobs = [_job(new_job, "a") for _ in range(3)]
    assert set(_offer(_dispatcher(context, False), jobs)) == _ids(jobs)


@pytest.mark.parametrize("queue", ["fifo", "tiered"])
def test_every_queue_gets_held_jobs_back(context, new_job, queue):
    dispatcher = _dispatcher(context, queue=queue)
    jobs = [_job(new_job, "a") for _ in range(4)]
    placed = _offer(dispatcher, jobs)
    assert set(placed) == _ids(jobs[:1])
    dispatcher.first_token(ids.RequestId(jobs[0].request_id), FIRST_TOKEN_S)
    assert set(_placed(dispatcher, FIRST_TOKEN_S)) == _ids(jobs[1:])
