"""Pauses and departures that endpoints state."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from benchmarks import pauses
from benchmarks import scenarios
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import (
    restrictions as restrictions_module,
)
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

_ENDPOINT = ids.EndpointId("10.0.0.1:80#i-1")
_LOCAL = (ids.EndpointId("10.0.0.1:80"), ids.EndpointId("10.0.0.2:80"))
_REMOTE = ids.EndpointId("10.0.1.1:80")
_NO_REQUEST = ids.RequestId("")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 20.0), strategies.floats(0.01, 10.0)
        )
    ),
    strategies.floats(0.0, 40.0),
)
def test_an_endpoint_is_paused_until_the_end_of_its_longest_pause(
    stated, now_s
):
    # Guards against a shorter pause, or one stated later, that ends a longer.
    restrictions = restrictions_module.Restrictions()
    for stated_s, pause_s in stated:
        restrictions.pause(_ENDPOINT, stated_s + pause_s)
    is_paused = any(now_s < at_s + pause_s for at_s, pause_s in stated)
    assert restrictions.is_paused(_ENDPOINT, now_s) is is_paused
    assert restrictions.allows(_ENDPOINT, now_s) is not is_paused
    assert (_ENDPOINT in restrictions.pauses(now_s)) is is_paused


def test_a_pause_does_not_end_a_departure_or_the_reverse():
    restrictions = restrictions_module.Restrictions()
    restrictions.set_leaving(_ENDPOINT, 0.0)
    restrictions.pause(_ENDPOINT, 5.0)
    restrictions.set_leaving(_ENDPOINT, 1.0)
    assert restrictions.is_paused(_ENDPOINT, 4.0)
    assert restrictions.is_leaving(_ENDPOINT, 1e9)


@pytest.mark.parametrize(
    ("endpoint", "returns"),
    [("10.0.0.1:80#i-1", False), ("10.0.0.1:80", True)],
)
def test_only_an_endpoint_without_an_identity_may_return_after_its_departure(
    endpoint, returns
):
    # Guards against a static endpoint that stays unused after its restart, and
    # against the return of a process that stops.
    endpoint = ids.EndpointId(endpoint)
    restrictions = restrictions_module.Restrictions()
    assert restrictions.set_leaving(endpoint, 0.0)
    restrictions.set_leaving(endpoint, 10.0)
    later_s = 10.0 + restrictions_module.DEPARTURE_S
    assert not restrictions.allows(endpoint, later_s - 0.1)
    assert restrictions.allows(endpoint, later_s) is returns
    assert restrictions.allows(ids.EndpointId("10.0.0.1:80#i-2"), 0.0)


def test_the_endpoints_without_news_for_the_longest_time_are_removed_first(
    monkeypatch,
):
    monkeypatch.setattr(restrictions_module, "MAX_RESTRICTIONS", 2)
    restrictions = restrictions_module.Restrictions()
    names = [ids.EndpointId(f"10.0.0.{number}:80#i") for number in range(3)]
    for endpoint in names:
        restrictions.set_leaving(endpoint, 0.0)
    assert [restrictions.allows(each, 0.0) for each in names] == [
        True,
        False,
        False,
    ]


def _pause(dispatcher, endpoint, until_s, now_s=0.0):
    dispatcher.pause(endpoint, until_s, _NO_REQUEST, now_s)


def _placed(dispatcher, now_s):
    return [
        decision.endpoint
        for decision in dispatcher.place(now_s)
        if isinstance(decision, messages.Placement)
    ]


def test_the_other_endpoints_take_the_work_of_a_paused_one(
    new_dispatcher, new_job
):
    dispatcher = new_dispatcher(slots=2)
    dispatcher.refresh_shares(0.0)
    _pause(dispatcher, _LOCAL[0], 5.0)
    for _ in range(2):
        assert dispatcher.offer(new_job(), 0.0) is None
    assert _placed(dispatcher, 0.0) == [_LOCAL[1]] * 2
    assert dispatcher.offer(new_job(), 0.0) is None
    assert _LOCAL[0] not in _placed(dispatcher, 4.0)
    dispatcher.refresh_shares(5.0)
    assert dispatcher.offer(new_job(arrived_s=5.0), 5.0) is None
    assert _LOCAL[0] in _placed(dispatcher, 5.0)


def test_a_paused_endpoint_is_no_capacity(new_dispatcher, new_job):
    # Guards against a wait that is predicted with slots that nobody may use.
    dispatcher = new_dispatcher(slots=2)
    dispatcher.refresh_shares(0.0)
    job = new_job()
    assert dispatcher.backlog(job, 0.0).slots == 4
    _pause(dispatcher, _LOCAL[0], 5.0)
    assert dispatcher.backlog(job, 0.0).slots == 2
    dispatcher.refresh_shares(1.0)
    assert dispatcher.backlog(job, 1.0).slots == 2


@pytest.mark.parametrize("class_id", ["chat", "summary"])
def test_with_all_endpoints_paused_a_request_that_starts_late_is_refused(
    new_dispatcher, new_job, class_id
):
    # Guards against holding callers, and against a time to come back at which
    # they are refused again.
    dispatcher = new_dispatcher()
    for endpoint in (*_LOCAL, _REMOTE):
        _pause(dispatcher, endpoint, 6.0 if endpoint == _REMOTE else 5.0)
    for _ in range(20):
        refusal = dispatcher.offer(new_job(class_id), 0.0)
        assert refusal.kind is errors.ErrorKind.OVERLOADED
        assert refusal.retry_after_s >= 5.0


def test_a_request_waits_for_the_end_of_a_short_pause(new_dispatcher, new_job):
    dispatcher = new_dispatcher()
    for endpoint in (*_LOCAL, _REMOTE):
        _pause(dispatcher, endpoint, 0.5)
    assert dispatcher.offer(new_job(), 0.0) is None
    assert _placed(dispatcher, 0.4) == []
    dispatcher.refresh_shares(0.5)
    assert len(_placed(dispatcher, 0.5)) == 1


def test_waiting_requests_are_answered_when_the_last_endpoint_pauses(
    new_dispatcher, new_job
):
    # Guards against callers that are held until the next check of their job.
    dispatcher = new_dispatcher(slots=1, spill="never")
    for _ in range(2):
        dispatcher.offer(new_job("letter"), 0.0)
    assert len(_placed(dispatcher, 0.0)) == 2
    waiting = new_job()
    assert dispatcher.offer(waiting, 0.0) is None
    assert _placed(dispatcher, 0.0) == []
    for endpoint in _LOCAL:
        _pause(dispatcher, endpoint, 5.0, 0.1)
    refusals = [
        decision
        for decision in dispatcher.place(0.1)
        if isinstance(decision, messages.Refusal)
    ]
    assert [each.request_id for each in refusals] == [waiting.request_id]
    assert refusals[0].retry_after_s >= 4.9


def test_nothing_is_preempted_on_a_paused_endpoint(new_dispatcher, new_job):
    # Guards against a lost answer whose slot nobody may use.
    dispatcher = new_dispatcher(slots=1)
    for _ in range(2):
        dispatcher.offer(new_job("letter"), 0.0)
    assert len(_placed(dispatcher, 0.0)) == 2
    for endpoint in _LOCAL:
        _pause(dispatcher, endpoint, 0.8)
    chat = new_job()
    dispatcher.offer(chat, 0.0)
    decisions = list(dispatcher.place(0.7))
    assert not any(
        isinstance(decision, messages.Preemption) for decision in decisions
    )


def test_a_placement_of_the_placer_on_a_paused_endpoint_is_not_applied(
    new_dispatcher, new_job
):
    dispatcher = new_dispatcher()
    _pause(dispatcher, _LOCAL[0], 5.0)
    job = new_job()
    assert dispatcher.await_remote_placement(job, 0.0) is None
    placed = messages.Placement(job.request_id, _LOCAL[0], 0.0, (), "test")
    assert not dispatcher.apply_remote_placement(job.request_id, placed, 0.0)
    assert dispatcher.queue_locally(job.request_id, 0.0)
    assert _placed(dispatcher, 0.0) == [_LOCAL[1]]


def test_a_withheld_request_is_placed_again_without_a_failure_or_a_retry(
    new_dispatcher, new_job
):
    # Guards against a pause that uses up the retries of a request, or that
    # counts as a failure of the endpoint.
    dispatcher = new_dispatcher(retry="window")
    job = new_job(repeatable=False, max_runs=1)
    dispatcher.offer(job, 0.0)
    for _ in range(30):
        assert len(_placed(dispatcher, 0.0)) == 1
        dispatcher.finish(job.request_id, messages.Outcome.WITHHELD, 0.0)
        assert dispatcher.retry(job, messages.Outcome.WITHHELD, 0.0)
    assert (job.attempts, job.tried, job.may_have_run) == (0, (), False)


def test_no_paused_engine_is_the_source_of_a_fetch(new_dispatcher, new_job):
    dispatcher = new_dispatcher(choice="first-event")
    choice = dispatcher._policies.choice
    usable = []

    def fetch(job, state, affinity, is_usable, now_s):
        usable.extend(map(is_usable, _LOCAL))

    choice._caches.fetch = fetch
    choice._prefill.service_token_s = lambda service: 1.0
    services = {
        name: dataclasses.replace(
            service, cache_token_bytes=1, cache_link_mbit_per_s=1.0
        )
        for name, service in choice.document.services.items()
    }
    choice.configure(dataclasses.replace(choice.document, services=services))
    _pause(dispatcher, _LOCAL[0], 5.0)
    dispatcher.offer(new_job(prompt_tokens=10), 0.0)
    list(dispatcher.place(0.0))
    assert usable[:2] == [False, True]


def _depart(dispatcher, endpoint, now_s=0.0):
    dispatcher.depart(endpoint, _NO_REQUEST, now_s)


def test_no_other_source_puts_a_departed_endpoint_back_into_use(
    new_dispatcher, new_job, context
):
    # Guards against the list or another instance, which may be out of date.
    dispatcher = new_dispatcher()
    _depart(dispatcher, _LOCAL[0])
    dispatcher.set_leaving(_LOCAL[0], True)
    dispatcher.set_leaving(_LOCAL[0], False)
    dispatcher.configure(context.document, 1.0)
    dispatcher.refresh_shares(1.0)
    for _ in range(8):
        dispatcher.offer(new_job(arrived_s=1.0), 1.0)
    assert set(_placed(dispatcher, 1.0)) == {_LOCAL[1]}


def test_an_endpoint_without_an_identity_is_used_again_after_its_departure(
    new_dispatcher, new_job
):
    dispatcher = new_dispatcher(slots=1)
    _depart(dispatcher, _LOCAL[0])
    returned_s = restrictions_module.DEPARTURE_S
    for now_s, used in ((returned_s - 1.0, 1), (returned_s, 2)):
        dispatcher.refresh_shares(now_s)
        assert dispatcher.backlog(new_job(), now_s).slots == used


def test_requests_are_refused_at_once_when_the_last_endpoint_departs(
    new_dispatcher, new_job
):
    # Guards against a departed endpoint that is used because it is the last.
    dispatcher = new_dispatcher()
    running = new_job()
    dispatcher.offer(running, 0.0)
    list(dispatcher.place(0.0))
    awaiting = new_job()
    assert dispatcher.await_remote_placement(awaiting, 0.0) is None
    for endpoint in (*_LOCAL, _REMOTE):
        _depart(dispatcher, endpoint)
    refusal = dispatcher.offer(new_job(), 0.0)
    assert refusal.kind is errors.ErrorKind.NO_ENDPOINT
    assert refusal.retry_after_s
    assert dispatcher.queue_locally(awaiting.request_id, 0.0)
    (refusal,) = dispatcher.place(0.0)
    assert refusal.kind is errors.ErrorKind.NO_ENDPOINT
    outcome = messages.Outcome.WITHHELD
    dispatcher.finish(running.request_id, outcome, 0.0)
    assert not dispatcher.retry(running, outcome, 0.0)
    assert dispatcher.blocked_for_s(running, 0.0)


@pytest.mark.parametrize("asked", [False, True], ids=["entries", "placer"])
def test_engines_that_refuse_all_get_nothing_in_their_pauses(asked):
    # Guards against probes and retries in pauses, with 32 entries under load.
    result = pauses.run(
        "4 of 13 engines refuse all for 8 s",
        scenarios.PauseScope.DOMAIN,
        asked,
        0,
    )
    assert result.turned_away
    assert result.most_in_pause == 0
