"""Tests of the dispatcher's bookkeeping."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors


def test_workspace_limit_counts_waiting_and_running_requests(
    new_dispatcher, new_job
):
    dispatcher = new_dispatcher()
    jobs = [new_job(workspace="limited") for _ in range(3)]
    assert dispatcher.offer(jobs[0], 0.0) is None
    list(dispatcher.place(0.0))
    assert dispatcher.offer(jobs[1], 0.0) is None
    refusal = dispatcher.offer(jobs[2], 0.0)
    assert refusal.kind is errors.ErrorKind.WORKSPACE_LIMIT
    dispatcher.finish(jobs[0].request_id, messages.Outcome.DONE, 1.0)
    again = new_job(arrived_s=1.0, workspace="limited")
    assert dispatcher.offer(again, 1.0) is None


def test_waiting_job_is_answered_at_its_deadline(new_dispatcher, new_job):
    # Every slot is used by a long letter. Without a check of its deadline a
    # question would wait for an answer that is no longer of use.
    dispatcher = new_dispatcher(slots=1, preemption="never")
    for _ in range(2):
        dispatcher.offer(new_job("letter"), 0.0)
    assert len(list(dispatcher.place(0.0))) == 2
    chat = new_job("chat")
    assert dispatcher.offer(chat, 0.0) is None
    assert list(dispatcher.place(0.0)) == []
    (refusal,) = dispatcher.place(chat.deadline_s)
    assert refusal.request_id == chat.request_id
    assert refusal.kind is errors.ErrorKind.QUEUE_TIMEOUT
    assert list(dispatcher.place(chat.deadline_s + 1.0)) == []


def test_relisted_endpoint_takes_work_again(new_dispatcher, context):
    # An operator removes an endpoint from the document and adds it again while
    # an old request still runs there; it must not stay unused for good.
    dispatcher = new_dispatcher()
    document = context.document
    (service,) = document.services.values()
    job_state = dispatcher.endpoints()[0]
    job_state.running["old"] = None
    without = {**service.endpoints, "osu": ("10.0.0.2:80",)}
    from_document = _with_endpoints(document, service, without)
    dispatcher.configure(from_document, 1.0)
    assert job_state.leaving
    dispatcher.configure(document, 2.0)
    assert not job_state.leaving


def _with_endpoints(document, service, endpoints):
    changed = dataclasses.replace(service, endpoints=endpoints)
    return dataclasses.replace(document, services={service.service: changed})


def test_class_removed_from_the_document_breaks_nothing(
    new_dispatcher, new_job, document
):
    # An operator removes a class while one of its requests is about to be
    # queued and another one runs.
    dispatcher = new_dispatcher()
    first, second = new_job("letter"), new_job("letter")
    assert dispatcher.offer(first, 0.0) is None
    list(dispatcher.place(0.0))
    classes = {k: v for k, v in document.classes.items() if k != "letter"}
    tiers = {k: v for k, v in document.tiers.items() if k != "letter"}
    dispatcher.configure(
        dataclasses.replace(document, classes=classes, tiers=tiers), 1.0
    )
    assert dispatcher.offer(second, 1.0) is None
    assert len(list(dispatcher.place(1.0))) == 1
    dispatcher.progress(first.request_id, 10)
    dispatcher.finish(first.request_id, messages.Outcome.DONE, 2.0)


class _Callers:
    """Performs random actions and tracks the expected state."""

    def __init__(self, dispatcher, new_job, seed):
        self.dispatcher = dispatcher
        self.waiting, self.running = {}, {}
        self._new_job = new_job
        self._rng = random.Random(seed)
        self._now_s = 0.0

    def act(self):
        self._now_s += self._rng.expovariate(2.0)
        actions = [self._offer, self._offer]
        if self.running:
            actions += [self._finish, self._fail]
        if self.waiting:
            actions.append(self._withdraw)
        self._rng.choice(actions)()
        for decision in self.dispatcher.place(self._now_s):
            name = decision.request_id
            if isinstance(decision, messages.Placement):
                self.running[name] = self.waiting.pop(name)
            elif isinstance(decision, messages.Refusal):
                del self.waiting[name]
            else:
                assert name in self.running

    def _offer(self):
        class_id = self._rng.choice(("chat", "summary", "letter"))
        workspace = self._rng.choice(("one", "two"))
        job = self._new_job(class_id, self._now_s, workspace=workspace)
        if self.dispatcher.offer(job, self._now_s) is None:
            self.waiting[job.request_id] = job

    def _end(self, outcome):
        job = self.running.pop(self._rng.choice(list(self.running)))
        self.dispatcher.finish(job.request_id, outcome, self._now_s)
        return job

    def _finish(self):
        self._end(messages.Outcome.DONE)

    def _fail(self):
        outcome = messages.Outcome.NOT_STARTED
        job = self._end(outcome)
        if self.dispatcher.retry(job, outcome, self._now_s):
            self.waiting[job.request_id] = job

    def _withdraw(self):
        name = self._rng.choice(list(self.waiting))
        assert self.dispatcher.withdraw(name)
        del self.waiting[name]


@pytest.mark.parametrize("queue", ["fifo", "tiered"])
@hypothesis.given(seed=strategies.integers(0, 10_000))
def test_every_job_ends_exactly_once(new_dispatcher, new_job, queue, seed):
    # A caller without an answer hangs; a slot that is never released is lost
    # until a restart; counters that drift cause refusals without a reason.
    dispatcher = new_dispatcher(slots=2, queue=queue)
    callers = _Callers(dispatcher, new_job, seed)
    for _ in range(150):
        callers.act()
        running = sum(len(state.running) for state in dispatcher.endpoints())
        assert running == len(callers.running)
        demand = dispatcher.demand(0.0).demand_tokens_per_s
        expected = len(callers.waiting) + len(callers.running)
        assert sum(demand.values()) == expected
        for state in dispatcher.endpoints():
            assert len(state.running) <= state.share


def test_refusal_counts_the_running_requests_of_lower_tiers(
    new_dispatcher, new_job
):
    # Guards against a refusal whose log does not tell that less urgent requests
    # ran.
    dispatcher = new_dispatcher(slots=1, preemption="never")
    for _ in range(2):
        dispatcher.offer(new_job("letter"), 0.0)
    assert len(list(dispatcher.place(0.0))) == 2
    chat = new_job("chat")
    letter = new_job("letter")
    for job in (chat, letter):
        assert dispatcher.offer(job, 0.0) is None
    refusals = {r.request_id: r for r in dispatcher.place(letter.deadline_s)}
    assert refusals[chat.request_id].less_urgent_running == 2
    assert refusals[letter.request_id].less_urgent_running == 0


@pytest.mark.parametrize(
    ("outcome", "max_runs", "allowed", "spent"),
    [
        (messages.Outcome.NOT_STARTED, 1, True, 0),
        (messages.Outcome.REFUSED_BY_ENDPOINT, 1, True, 1),
        (messages.Outcome.CRASHED, 2, True, 1),
        (messages.Outcome.CRASHED, 1, False, 0),
    ],
)
def test_forwarding_a_failed_request_spends_a_retry_once_it_was_received(
    new_dispatcher, new_job, outcome, max_runs, allowed, spent
):
    # Guards against requests that run again at another instance beyond the
    # bounds on retries and on runs.
    dispatcher = new_dispatcher(retry="window")
    job = new_job(max_runs=max_runs)
    dispatcher.offer(job, 0.0)
    list(dispatcher.place(0.0))
    dispatcher.finish(job.request_id, outcome, 0.1)
    assert dispatcher.may_forward(job, 0.1) is allowed
    assert dispatcher.retry_use(job, 0.1).spent == spent


def test_forwarded_request_counts_as_one_request(new_dispatcher, new_job):
    # Guards against a bound on retries that grows with each instance that a
    # request passes.
    dispatcher = new_dispatcher(retry="window")
    job = new_job()
    before = dispatcher.retry_use(job, 0.0).allowed
    dispatcher.offer(new_job(attempts=1), 0.0)
    assert dispatcher.retry_use(job, 0.0).allowed == before
    dispatcher.offer(job, 0.0)
    assert dispatcher.retry_use(job, 0.0).allowed > before
