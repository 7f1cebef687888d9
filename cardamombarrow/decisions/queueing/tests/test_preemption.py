"""Which running request is preempted, and when."""

import pytest

from cardamombarrow.decisions import messages


@pytest.fixture
def full(new_dispatcher, new_job):
    """A dispatcher whose 16 slots are all held by letters."""
    dispatcher = new_dispatcher(preemption="least-progress")
    for number in range(16):
        job = new_job("letter", request_id=f"letter-{number}")
        assert dispatcher.offer(job, 0.0) is None
    assert len(list(dispatcher.place(0.0))) == 16
    for number in range(16):
        dispatcher.first_token(f"letter-{number}", 0.1)
        dispatcher.progress(f"letter-{number}", 100 + number)
    return dispatcher


def _preempted(dispatcher, now_s):
    return [
        decision.request_id
        for decision in dispatcher.place(now_s)
        if isinstance(decision, messages.Preemption)
    ]


def test_least_progress_is_preempted_once_a_target_is_at_risk(full, new_job):
    # Letters hold every slot for another ten seconds. Without preemption an
    # urgent question waits for one of them to end, whatever the queue order.
    chat = new_job("chat", 1.0)
    assert full.offer(chat, 1.0) is None
    assert _preempted(full, 1.0) == []
    full.refresh_shares(1.7)
    assert _preempted(full, 1.7) == ["letter-0"]
    full.refresh_shares(1.75)
    assert _preempted(full, 1.75) == []
    full.finish("letter-0", messages.Outcome.PREEMPTED, 1.8)
    (placement,) = full.place(1.8)
    assert placement.request_id == chat.request_id
    assert full.wasted_tokens == 100


def test_request_without_tokens_is_preempted_first_and_requeued(full, new_job):
    full.finish("letter-9", messages.Outcome.DONE, 1.0)
    fresh = new_job("letter", 1.0)
    assert full.offer(fresh, 1.0) is None
    list(full.place(1.0))
    full.offer(new_job("chat", 1.0), 1.0)
    (decision,) = full.place(1.7)
    assert decision.request_id == fresh.request_id
    assert decision.requeue
    full.finish(fresh.request_id, messages.Outcome.PREEMPTED, 1.8)
    assert full.retry(fresh, messages.Outcome.PREEMPTED, 1.8)


def test_reserved_share_and_unrepeatable_requests_are_protected(
    new_dispatcher, new_job
):
    # No burst preempts the letters within the reserved share, and a request
    # that may run only once must never be preempted.
    dispatcher = new_dispatcher(preemption="least-progress")
    for number in range(16):
        name, repeatable = f"letter-{number}", number >= 8
        job = new_job("letter", request_id=name, repeatable=repeatable)
        dispatcher.offer(job, 0.0)
    list(dispatcher.place(0.0))
    preempted = []
    for number in range(20):
        now_s = float(number)
        dispatcher.offer(new_job("chat", now_s), now_s)
        dispatcher.refresh_shares(now_s + 0.7)
        for name in _preempted(dispatcher, now_s + 0.7):
            preempted.append(name)
            dispatcher.finish(name, messages.Outcome.PREEMPTED, now_s + 0.8)
    assert sorted(preempted) == sorted(f"letter-{n}" for n in range(8, 16))


def test_equal_and_higher_tiers_are_never_preempted(new_dispatcher, new_job):
    dispatcher = new_dispatcher(preemption="least-progress")
    for number in range(16):
        job = new_job("summary" if number % 2 else "chat")
        dispatcher.offer(job, 0.0)
    list(dispatcher.place(0.0))
    dispatcher.offer(new_job("summary"), 0.0)
    dispatcher.offer(new_job("letter"), 0.0)
    dispatcher.refresh_shares(3.9)
    assert _preempted(dispatcher, 3.9) == []


def test_preempted_requests_are_sent_again_within_the_bound_on_retries(
    new_dispatcher, new_job
):
    # Guards against a burst of urgent requests whose preempted victims arrive
    # at endpoints again beyond the bound over all instances.
    dispatcher = new_dispatcher(preemption="least-progress", retry="window")
    jobs = {}
    for number in range(16):
        jobs[f"letter-{number}"] = job = new_job(
            "letter", request_id=f"letter-{number}"
        )
        assert dispatcher.offer(job, 0.0) is None
    assert len(list(dispatcher.place(0.0))) == 16
    for _ in range(16):
        dispatcher.offer(new_job("chat", 1.0), 1.0)
    resent = 0
    for now_s in (1.7, 1.8, 1.9, 2.0, 2.1, 2.2, 2.3, 2.4):
        dispatcher.refresh_shares(now_s)
        for name in _preempted(dispatcher, now_s):
            outcome = messages.Outcome.PREEMPTED
            dispatcher.finish(name, outcome, now_s)
            resent += dispatcher.retry(jobs[name], outcome, now_s)
    use = dispatcher.retry_use(new_job("letter"), 2.4)
    assert 0 < resent == use.spent <= use.allowed
