"""Threads that wait for a placement, and callers that leave during the wait."""

from concurrent import futures
import dataclasses
import random
import threading
import time

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.document import parsing
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import broker_base
from cardamombarrow.entry.placement import ticket as ticket_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

_LIMIT_S = 10.0


def _job(number: int, **fields: object) -> messages.Job:
    now_s = time.monotonic()
    job = messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=ids.WorkspaceId("race-control"),
        class_id=ids.ClassId("marshal-question"),
        service=ids.ServiceId("report-writer"),
        model=ids.ModelId("trail-7b"),
        rank=0,
        arrived_s=now_s,
        target_first_token_s=30.0,
        deadline_s=now_s + 60.0,
    )
    for name, value in fields.items():
        setattr(job, name, value)
    return job


@pytest.fixture
def broker(kandula_text):
    document = parsing.parse(kandula_text)
    started = broker_module.Broker(
        document,
        ids.InstanceId("entry-1"),
        ids.DomainId("badulla-a"),
        clock.SystemClock(),
    )
    started.start()
    yield started
    started.stop()


def _wait_until(condition) -> None:
    end_s = time.monotonic() + _LIMIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.005)


def test_slot_is_released_when_caller_leaves_during_placement(broker):
    # A caller disconnects at the moment its request gets a slot. If the two
    # events miss each other, the slot stays taken until a restart, and after
    # some dozens of them the entry serves no requests.
    def call_once(number: int) -> None:
        rng = random.Random(number)
        try:
            ticket = broker.submit(_job(number))
        except errors.RefusedError:
            return
        try:
            ticket.placed.result(timeout=rng.uniform(0.0, 0.004))
        except futures.TimeoutError:
            broker.withdraw(ticket)
            return
        except errors.RefusedError:
            return
        time.sleep(rng.uniform(0.0, 0.004))
        broker.finish(ticket.job.request_id, messages.Outcome.DONE)

    with futures.ThreadPoolExecutor(48) as executor:
        for future in [executor.submit(call_once, n) for n in range(800)]:
            future.result(timeout=60)
    demand = broker.demand()
    assert demand.demand_tokens_per_s == {}
    assert demand.in_flight == {}


def test_withdrawal_after_placement_releases_the_slot(broker):
    ticket = broker.submit(_job(1))
    assert ticket.placed.result(timeout=_LIMIT_S)
    broker.withdraw(ticket)
    assert broker.demand().in_flight == {}
    assert broker.submit(_job(2)).placed.result(timeout=_LIMIT_S)


def _fill(broker) -> list[ticket_module.Ticket]:
    held = []
    while True:
        ticket = broker.submit(_job(len(held) + 100, rank=2))
        if not ticket.placed.done():
            broker.withdraw(ticket)
            return held
        held.append(ticket)


def test_a_withdrawn_job_tells_what_it_waited_for(broker):
    # Guards against a caller that leaves unplaced, and no line says why.
    held = _fill(broker)
    ticket = broker.submit(_job(1, rank=2))
    assert not ticket.placed.done()
    wait = broker.withdraw(ticket)
    assert wait.stage is messages.WaitStage.QUEUE
    assert set(wait.causes) <= {
        messages.WaitCause.SLOT,
        messages.WaitCause.OTHER_DOMAIN,
    }
    assert wait.causes[messages.WaitCause.SLOT]
    assert broker.withdraw(held[0]) is None


def test_deadline_is_answered_without_any_other_event(broker):
    # Every slot is taken and no other event occurs at this entry. Without a
    # timer for the deadline the caller would never get an answer.
    _fill(broker)
    now_s = time.monotonic()
    ticket = broker.submit(_job(1, deadline_s=now_s + 6.0, rank=2))
    error = ticket.placed.exception(timeout=_LIMIT_S)
    assert error.kind is errors.ErrorKind.QUEUE_TIMEOUT
    assert error.not_run
    assert error.retry_after_s


def test_preempted_run_is_notified_and_queued_again(broker):
    held = _fill(broker)
    urgent = broker.submit(_job(1, target_first_token_s=0.2))
    _wait_until(lambda: any(ticket.preempted for ticket in held))
    victim = next(ticket for ticket in held if ticket.preempted)
    broker.finish(victim.job.request_id, messages.Outcome.PREEMPTED)
    assert urgent.placed.result(timeout=_LIMIT_S)
    new_ticket = broker.resubmit(victim, messages.Outcome.PREEMPTED)
    assert new_ticket is not None
    assert new_ticket.preempted is None


def test_no_line_is_written_while_the_lock_is_held(broker, monkeypatch):
    # Every request's thread takes the lock. If log lines were written under
    # it, one write to a slow log would delay all requests.
    probes = []

    def probe(name: str, **fields: object) -> None:
        thread = threading.Thread(target=broker.demand)
        thread.start()
        thread.join(_LIMIT_S)
        probes.append((name, not thread.is_alive()))

    monkeypatch.setattr(logs, "decision", probe)
    ticket = broker.submit(_job(1))
    broker.finish(ticket.job.request_id, messages.Outcome.DONE)
    with pytest.raises(errors.RefusedError):
        broker.submit(_job(2, service=ids.ServiceId("no-such-service")))
    assert probes == [("place", True), ("refuse", True)]


def test_timer_sleeps_while_nothing_waits(broker, monkeypatch):
    calls = []
    look = broker._look
    monkeypatch.setattr(
        broker,
        "_look",
        lambda *args: calls.append(args) or look(*args),
    )
    time.sleep(1.0)
    assert len(calls) <= 1


def test_slots_are_up_to_date_when_a_job_arrives_after_an_idle_time(broker):
    # Guards against slots of the time before: nothing recomputes them while
    # nothing waits.
    endpoint = broker.views()[0].endpoint
    broker._dispatcher._roster.endpoints[endpoint].share = 0
    time.sleep(broker_base.SHARE_REFRESH_S)
    broker.submit(_job(1))
    assert broker._dispatcher._roster.endpoints[endpoint].share > 0


def test_a_waiting_job_gets_a_slot_that_appears_without_any_event(broker):
    # Guards against a timer that sleeps while a job waits.
    held = _fill(broker)
    states = broker._dispatcher._roster.endpoints.values()
    limits = broker._dispatcher._policies.limits
    waiting = broker.submit(_job(1, rank=2))
    assert not waiting.placed.done()
    most = 2 * max(len(state.running) for state in states)
    limits.limit = lambda state, now_s: most
    assert waiting.placed.result(timeout=_LIMIT_S)
    assert held


def test_invalid_statements_are_counted_and_logged_once_per_endpoint(
    broker, monkeypatch
):
    # Guards against values that are lost silently, and against a log line for
    # each answer of an endpoint.
    lines = []
    monkeypatch.setattr(
        logs, "event", lambda event, *_, **fields: lines.append((event, fields))
    )
    statement = messages.EndpointStatement(invalid_fields=("load",))
    for endpoint in ("10.0.0.1:80", "10.0.0.1:80", "10.0.0.2:80"):
        broker.answer_statement(
            ids.EndpointId(endpoint), statement, ids.RequestId("r1")
        )
    assert broker.invalid_fields() == {"load": 3}
    assert [fields["endpoint"] for _, fields in lines] == [
        "10.0.0.1:80",
        "10.0.0.2:80",
    ]


def test_work_time_enables_the_use_of_speeds_for_its_service(broker):
    [state, *_] = broker._dispatcher.endpoints()
    overload = broker._context.overload
    report = messages.LoadReport(0, 0, 0.0, False, 0.0)
    broker.report(state.endpoint, report)
    assert not overload.learns_speeds(state.service)
    broker.report(
        state.endpoint, dataclasses.replace(report, work_time_factor=1.0)
    )
    assert overload.learns_speeds(state.service)
    assert not overload.learns_speeds(ids.ServiceId("another"))


def test_a_waiting_request_is_refused_once_it_is_quarantined(broker):
    # Guards against a request that waits for a slot, and then crashes another
    # endpoint, while the other instances already know what it does.
    held = _fill(broker)
    fingerprint = ids.Fingerprint("f" * 32)
    ticket = broker.submit(_job(1, fingerprint=fingerprint))
    assert not ticket.placed.done()
    broker.merge_suspects(
        [
            messages.SuspectReport(
                ids.InstanceId(f"entry-{number}"),
                number,
                (fingerprint,),
                ids.EndpointId(f"10.0.0.{number}:80"),
                time.monotonic(),
            )
            for number in (2, 3)
        ]
    )
    error = ticket.placed.exception(timeout=_LIMIT_S)
    assert error.kind is errors.ErrorKind.QUARANTINED
    assert error.not_run
    for each in held:
        broker.finish(each.job.request_id, messages.Outcome.DONE)
    assert broker.demand().in_flight == {}
    assert broker.demand().demand_tokens_per_s == {}


def _parts(*names: str) -> tuple[messages.PromptPart, ...]:
    return tuple(messages.PromptPart(name, 10) for name in names)


def _report_crashes(broker, *ages_s: float) -> None:
    """Reports crashes under requests of other entries with the part "dead"."""
    now_s = time.monotonic()
    (part,) = part_evidence.part_keys(_job(0, parts=_parts("dead", "own")))
    broker.merge_suspects(
        [
            messages.SuspectReport(
                ids.InstanceId(f"entry-{number}"),
                number,
                (ids.Fingerprint(f"{number:032x}"),),
                ids.EndpointId(f"10.0.0.{number}:80"),
                now_s - age_s,
                parts=((part,),),
            )
            for number, age_s in enumerate(ages_s, start=2)
        ]
    )


def test_a_verdict_on_a_part_stops_what_waits_and_what_has_not_begun(broker):
    # Guards against requests with a deadly part that are sent, or crash their
    # endpoint, after the verdict; the last of it is only a matter of time.
    running = broker.submit(_job(1, parts=_parts("dead", "own-1")))
    begun = broker.submit(_job(2, parts=_parts("dead", "own-2")))
    broker.first_token(begun.job.request_id)
    held = _fill(broker)
    waiting = broker.submit(_job(3, parts=_parts("dead", "own-3")))
    sound = broker.submit(_job(4, parts=_parts("alive", "own-4")))
    age_s = part_evidence.WATCH_S - 0.2
    _report_crashes(broker, age_s, age_s - 0.6, age_s - 1.2)
    assert not waiting.placed.done()
    error = waiting.placed.exception(timeout=_LIMIT_S)
    assert error.kind is errors.ErrorKind.QUARANTINED
    assert error.not_run
    assert error.retry_after_s >= 1.0
    assert running.preempted is not None
    assert not running.preempted.requeue
    assert begun.preempted is None
    assert not sound.placed.done()
    broker.withdraw(sound)
    for each in (running, begun, *held):
        broker.finish(each.job.request_id, messages.Outcome.PREEMPTED)
    assert broker.demand().in_flight == {}
    assert broker.submit(_job(5, parts=_parts("alive", "own-5"))).placed.done()


def test_requests_go_to_endpoints_at_once_when_the_path_is_back(broker):
    # Guards against requests that wait, or are refused, for the backoff of
    # endpoints which failed while this entry reached none of them.
    service = ids.ServiceId("report-writer")
    number = 0
    for _ in range(6):
        for _ in broker.endpoints_in_use()[service]:
            number += 1
            try:
                ticket = broker.submit(_job(number))
                ticket.placed.result(timeout=0.05)
            except (errors.RefusedError, futures.TimeoutError):
                continue
            broker.finish(ticket.job.request_id, messages.Outcome.NOT_STARTED)
    waiting = broker.submit(_job(1_000))
    assert not waiting.placed.done()
    broker.reachable_again(service)
    assert waiting.placed.result(timeout=_LIMIT_S)
