"""Tests of priority by tier and of reserved shares."""

import collections

import pytest

from cardamombarrow.decisions import messages


def _drive(dispatcher, hold_s, until_s, arrive, now_s=0.0):
    """Runs jobs for fixed times; returns slot-seconds by rank."""
    running, held = {}, collections.Counter()
    step_s = 0.1
    while now_s < until_s:
        arrive(now_s)
        for name, (end_s, rank) in list(running.items()):
            held[rank] += step_s
            if end_s <= now_s:
                del running[name]
                dispatcher.finish(name, messages.Outcome.DONE, now_s)
        for decision in dispatcher.place(now_s):
            if isinstance(decision, messages.Placement):
                rank = _rank(dispatcher, decision)
                end_s = now_s + hold_s[rank]
                running[decision.request_id] = (end_s, rank)
        now_s += step_s
    return held


def _rank(dispatcher, placement):
    for state in dispatcher.endpoints():
        if state.endpoint == placement.endpoint:
            return state.running[placement.request_id].job.rank
    raise AssertionError("the job does not run")


class _Backlog:
    """Keeps a constant number of jobs of each class waiting."""

    def __init__(self, dispatcher, new_job, most):
        self._dispatcher = dispatcher
        self._new_job = new_job
        self._most = most

    def fill(self, class_id, now_s):
        waiting = collections.Counter(
            job.class_id for job in self._dispatcher.waiting_jobs()
        )
        for _ in range(self._most - waiting[class_id]):
            job = self._new_job(class_id, now_s, deadline_s=1e9)
            assert self._dispatcher.offer(job, now_s) is None


def test_higher_tier_goes_first(new_dispatcher, new_job):
    # Letters fill the queue over night. In order of arrival a family's
    # question would wait for all of them.
    dispatcher = new_dispatcher(slots=1, queue="tiered", admission="bounded")
    letters = [new_job("letter") for _ in range(20)]
    chat = new_job("chat", 0.5)
    for job in (*letters, chat):
        assert dispatcher.offer(job, 0.5) is None
    placed = [decision.request_id for decision in dispatcher.place(0.5)]
    assert placed[0] == chat.request_id


@pytest.mark.parametrize(("slots", "reserved"), [(1, 0.1), (4, 0.1), (20, 0.1)])
def test_lower_tiers_get_their_share_of_few_slots(
    new_dispatcher, new_job, slots, reserved
):
    # Chat alone could use every slot for an hour. A tenth of two slots is
    # less than one: if it were rounded down, no letter would ever run.
    dispatcher = new_dispatcher(
        slots=slots, queue="tiered", admission="bounded"
    )

    backlog = _Backlog(dispatcher, new_job, 2 * slots + 2)

    def arrive(now_s):
        for class_id in ("chat", "summary", "letter"):
            backlog.fill(class_id, now_s)

    held = _drive(dispatcher, {0: 2.0, 1: 5.0, 2: 10.0}, 600.0, arrive)
    total = sum(held.values())
    for rank in (1, 2):
        assert held[rank] / total == pytest.approx(reserved, abs=0.02)


def test_low_tier_uses_all_slots_without_other_demand(new_dispatcher, new_job):
    dispatcher = new_dispatcher(slots=4, queue="tiered", admission="bounded")
    for _ in range(9):
        dispatcher.offer(new_job("letter"), 0.0)
    assert len(list(dispatcher.place(0.0))) == 8


def test_low_tier_is_not_starved_after_it_used_all_slots(
    new_dispatcher, new_job
):
    # Letters use all slots when a burst of chat begins. If all those slots were
    # charged to them, no letter would run for minutes.
    dispatcher = new_dispatcher(slots=4, queue="tiered", admission="bounded")
    for _ in range(8):
        dispatcher.offer(new_job("letter", deadline_s=1e9), 0.0)
    _drive(dispatcher, {2: 20.0}, 19.0, lambda now_s: None)

    backlog = _Backlog(dispatcher, new_job, 10)

    def arrive(now_s):
        backlog.fill("chat", now_s)
        backlog.fill("letter", now_s)

    held = _drive(dispatcher, {0: 2.0, 2: 10.0}, 60.0, arrive, now_s=19.0)
    assert held[2] >= 0.08 * sum(held.values())
