"""Entries and the placer of their domain over loopback, with failures."""

import contextlib
import threading
import time

from grpclib import server as grpclib_server
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.document import parsing
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import placer as placer_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.placing import client as placing_client
from cardamombarrow.peers.placing import placing_grpc
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.peers.placing import service as placing_service
from cardamombarrow.placing import ranking as ranking_module
from cardamombarrow.resumption import core as resumption
from tools import deployment
from tools import proxy

_SECRET = "a-secret-of-the-tests"
_LIMIT_S = 20.0
_DOMAIN = ids.DomainId("badulla-a")
_SERVICE = ids.ServiceId("report-writer")


def _wait_until(condition) -> None:
    end_s = time.monotonic() + _LIMIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.005)


class _Fake(placing_grpc.PlacingBase):
    """Implements no load exchange."""

    async def Tell(self, stream: grpclib_server.Stream) -> None:  # noqa: N802
        raise NotImplementedError


class _Silent(_Fake):
    """Sends the first message, then accepts questions and answers none."""

    async def Place(self, stream: grpclib_server.Stream) -> None:  # noqa: N802
        await stream.send_message(placing_pb2.PlacingReply())
        while await stream.recv_message() is not None:
            pass


class _OtherVersion(_Fake):
    """A service that does not implement the call."""

    async def Place(self, stream: grpclib_server.Stream) -> None:  # noqa: N802
        raise NotImplementedError


class _Entry:
    """An entry without an HTTP port: its broker, peer server and client."""

    def __init__(self, name, document):
        self.name = ids.InstanceId(name)
        self.broker = broker_module.Broker(
            document, self.name, _DOMAIN, clock.SystemClock()
        )
        self.loop = loop_module.LoopThread()
        self.address = f"127.0.0.1:{deployment.free_ports(1)[0]}"
        self.members = {}
        self.placer = placer_module.Placer(
            self.broker.for_domain, self.loop.call_soon
        )
        self.origins = resumption.StreamOrigins(clock.SystemClock())
        self.services = [
            placing_service.PlacingService(self.placer, dict, self.origins)
        ]
        self.server = None
        self.client = placing_client.PlacingClient(
            self.loop,
            self.name,
            _SECRET,
            placing_client.ClientHooks(
                members=lambda: self.members,
                runs=self.broker.runs,
                on_answer=self.broker.on_answer,
                fall_back=self.broker.fall_back,
                count=lambda outcome: None,
                pauses_left_s=self.broker.pauses_left_s,
            ),
            self.origins,
        )

    def start(self) -> None:
        self.broker.start()
        self.loop.start()
        self.listen()
        self.broker.set_remote_placer(self.client)
        self.client.start()

    def listen(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.server = server_module.PeerServer(
            self.loop, host, int(port), _SECRET, self.services
        )
        self.server.start()

    def die(self) -> None:
        """Stops without closing its streams, as a killed process does."""
        self.client.stop()
        self.loop.stop()

    def stop(self) -> None:
        if not self.loop._thread.is_alive():
            return
        self.client.stop()
        self.server.stop()
        self.broker.stop()
        self.loop.stop()

    def is_connected_to(self, other: "_Entry") -> bool:
        link = self.client._link
        return link is not None and link.instance == other.name


def _job(number: int, **fields: object) -> messages.Job:
    now_s = time.monotonic()
    job = messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=ids.WorkspaceId("race-control"),
        class_id=ids.ClassId("marshal-question"),
        service=_SERVICE,
        model=ids.ModelId("trail-7b"),
        rank=0,
        arrived_s=now_s,
        target_first_token_s=30.0,
        deadline_s=now_s + 60.0,
        prompt_tokens=100,
    )
    for name, value in fields.items():
        setattr(job, name, value)
    return job


def _made(kandula_text, count):
    document = parsing.parse(kandula_text)
    made = [_Entry(f"entry-{n + 1}", document) for n in range(count)]
    order = ranking_module.PlacerRanking()
    order.set_members([each.name for each in made])
    made.sort(key=lambda each: each.name != order.first(0.0))
    members = {each.name: each.address for each in made}
    for each in made:
        each.members = members
    return made


@contextlib.contextmanager
def _started(made):
    for each in made:
        each.start()
    try:
        yield made
    finally:
        for each in made:
            with contextlib.suppress(Exception):
                each.stop()


@pytest.fixture
def entries(kandula_text):
    """Two entries that know each other; the first one is the placer."""
    with _started(_made(kandula_text, 2)) as started:
        yield started


def _wait_connected(entries) -> None:
    _wait_until(
        lambda: all(each.is_connected_to(entries[0]) for each in entries)
    )


def _wait_for_next_link(entry: _Entry, before: object) -> None:
    # A poll may miss the time without a link, which takes milliseconds.
    _wait_until(lambda: entry.client._link not in (None, before))


def _running(broker: broker_module.Broker) -> int:
    return sum(view.running for view in broker.views())


def _slots(broker: broker_module.Broker) -> int:
    return sum(
        view.share
        for view in broker.views()
        if (view.service, view.domain) == (_SERVICE, _DOMAIN)
    )


def _place(entry: _Entry, number: int, **fields: object):
    ticket = entry.broker.submit(_job(number, **fields))
    return ticket, ticket.placed.result(timeout=_LIMIT_S)


def test_the_placer_decides_for_both_and_counts_all_runs(entries):
    _wait_connected(entries)
    for number, entry in enumerate(entries * 2):
        _place(entry, number)
    domain = entries[0].broker.for_domain()
    assert _running(domain) == 4
    assert [_running(each.broker) for each in entries] == [2, 2]
    for number, entry in enumerate(entries * 2):
        entry.broker.first_token(ids.RequestId(f"r{number}"))
        entry.broker.finish(ids.RequestId(f"r{number}"), messages.Outcome.DONE)
    _wait_until(lambda: _running(domain) == 0)


def test_a_request_waits_at_the_placer_for_a_free_slot(entries):
    _wait_connected(entries)
    slots = _slots(entries[0].broker.for_domain())
    for number in range(slots):
        _place(entries[number % 2], number)
    waiting = entries[1].broker.submit(_job(slots))
    time.sleep(3 * placing_client.ANSWER_TIMEOUT_S)
    assert not waiting.placed.done()
    entries[0].broker.finish(ids.RequestId("r0"), messages.Outcome.DONE)
    waiting.placed.result(timeout=_LIMIT_S)


def test_a_caller_that_leaves_while_its_request_waits_takes_no_slot(entries):
    # If its request stayed in the queue, it would get a slot of an engine
    # that is neither used nor released.
    _wait_connected(entries)
    domain = entries[0].broker.for_domain()
    slots = _slots(domain)
    for number in range(slots):
        _place(entries[0], number)
    waiting = entries[1].broker.submit(_job(slots))
    time.sleep(3 * placing_client.ANSWER_TIMEOUT_S)
    entries[1].broker.withdraw(waiting)
    for number in range(slots):
        entries[0].broker.finish(
            ids.RequestId(f"r{number}"), messages.Outcome.DONE
        )
    _wait_until(lambda: _running(domain) == 0)
    assert not waiting.placed.done()
    assert _running(entries[1].broker) == 0


@pytest.mark.parametrize("how", ["silent", "gone", "another version"])
def test_without_a_placer_each_entry_decides_by_itself_at_once(
    kandula_text, entries, how
):
    # The placer hangs, is dead, or is of a version without placement. Callers
    # must not notice: none is refused, and none waits longer than the timeout
    # of a question.
    _wait_connected(entries)
    first, second = entries
    link = second.client._link
    first.server.stop()
    if how != "gone":
        first.services = [_Silent()] if how == "silent" else []
        if how == "another version":
            first.services = [_OtherVersion()]
        first.listen()
        first.client.stop()
    if how == "silent":
        _wait_for_next_link(second, link)
    for number in range(6):
        begin_s = time.monotonic()
        _place(second, number)
        assert time.monotonic() - begin_s < 1.0
    assert _running(second.broker) == 6


def test_a_restarted_placer_gets_reports_of_all_runs(entries):
    # It restarts without any state. Without the reports, the engines look
    # empty to it and it fills them a second time.
    _wait_connected(entries)
    first, second = entries
    _place(second, 1)
    first.server.stop()
    _wait_until(lambda: not second.is_connected_to(first))
    _place(second, 2)
    domain = first.broker.for_domain()
    _wait_until(lambda: _running(domain) == 0)
    first.listen()
    _wait_until(lambda: _running(domain) == 2)
    second.broker.finish(ids.RequestId("r1"), messages.Outcome.DONE)
    second.broker.finish(ids.RequestId("r2"), messages.Outcome.DONE)
    _wait_until(lambda: _running(domain) == 0)


def test_an_entry_that_dies_holds_no_slots(entries):
    _wait_connected(entries)
    first, second = entries
    for number in range(4):
        _place(second, number)
    domain = first.broker.for_domain()
    assert _running(domain) == 4
    second.die()
    _wait_until(lambda: _running(domain) == 0)


def test_a_later_stream_of_an_entry_replaces_the_previous_one(kandula_text):
    # The link goes silent without a reset, and the entry connects again. With
    # both streams in use, all its runs would be counted twice.
    broker = broker_module.Broker(
        parsing.parse(kandula_text),
        ids.InstanceId("entry-1"),
        _DOMAIN,
        clock.SystemClock(),
    )
    answers = []
    placer = placer_module.Placer(broker.for_domain, lambda call: call())
    before = placer.join(ids.InstanceId("entry-2"), 1, answers.append)
    placer.handle_question(before, _job(1))
    after = placer.join(ids.InstanceId("entry-2"), 2, answers.append)
    assert after is not None
    assert placer.join(ids.InstanceId("entry-2"), 1, answers.append) is None
    assert _running(broker.for_domain()) == 0
    placer.leave(before)
    assert placer.owners == 1
    broker.for_domain().stop()


def test_one_entry_cannot_fill_the_placer(kandula_text, monkeypatch):
    monkeypatch.setattr(placer_module, "MOST_OPEN", 3)
    broker = broker_module.Broker(
        parsing.parse(kandula_text),
        ids.InstanceId("entry-1"),
        _DOMAIN,
        clock.SystemClock(),
    )
    answers = []
    placer = placer_module.Placer(broker.for_domain, lambda call: call())
    owner = placer.join(ids.InstanceId("entry-2"), 1, answers.append)
    for number in range(5):
        placer.handle_question(owner, _job(number))
    refused = [
        answer.decision.kind
        for answer in answers
        if isinstance(getattr(answer, "decision", None), messages.Refusal)
    ]
    assert refused == [errors.ErrorKind.NOT_READY] * 2
    broker.for_domain().stop()


def test_two_placers_in_a_domain_send_no_request_twice(entries):
    # The views of the live instances differ for some seconds, so each entry
    # is its own placer. Each request is still sent once, by its own entry.
    _wait_connected(entries)
    for each in entries:
        each.members = {
            each.name: each.address,
            ids.InstanceId("nobody"): "127.0.0.1:1",
        }
    placed = {}

    def one(entry, number):
        ticket, placement = _place(entry, number)
        placed.setdefault(number, []).append(placement.endpoint)
        entry.broker.finish(ticket.job.request_id, messages.Outcome.DONE)

    threads = [
        threading.Thread(target=one, args=(entries[number % 2], number))
        for number in range(40)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(_LIMIT_S)
    assert sorted(placed) == list(range(40))
    assert all(len(endpoints) == 1 for endpoints in placed.values())
    assert [_running(each.broker) for each in entries] == [0, 0]


def test_a_link_that_goes_silent_holds_no_request(entries):
    # A device between two machines loses the state of their connection: there
    # is no reset, and new connections work. A request that waits at the
    # placer would wait until its deadline.
    _wait_connected(entries)
    first, second = entries
    with proxy.Proxy() as proxies:
        link = proxies.link("second", "first", first.address)
        second.members = {**second.members, first.name: link.address}
        before = second.client._link
        second.client._loop.call_soon(
            lambda: before.close("moves", failed=False)
        )
        _wait_for_next_link(second, before)
        _wait_until(lambda: second.is_connected_to(first))
        slots = _slots(first.broker.for_domain())
        for number in range(slots):
            _place(first, number)
        waiting = second.broker.submit(_job(slots))
        time.sleep(3 * placing_client.ANSWER_TIMEOUT_S)
        assert second.client._link.questions
        link.silence(new_too=False)
        for number in range(slots):
            first.broker.finish(
                ids.RequestId(f"r{number}"), messages.Outcome.DONE
            )
        waiting.placed.result(timeout=_LIMIT_S)


_PAUSE = messages.EndpointStatement(pause_s=60.0)


def _pause_all_but(entry, endpoint):
    for view in entry.broker.views():
        if view.service == _SERVICE and view.endpoint != endpoint:
            entry.broker.answer_statement(
                view.endpoint, _PAUSE, ids.RequestId("r")
            )


def _one_endpoint(entry):
    return next(
        view.endpoint
        for view in entry.broker.views()
        if (view.service, view.domain) == (_SERVICE, _DOMAIN)
    )


def _all_but_paused(broker, endpoint):
    return all(
        broker.is_paused(view.endpoint) is (view.endpoint != endpoint)
        for view in broker.views()
        if view.service == _SERVICE
    )


@pytest.mark.parametrize("when", ["connected", "connected later"])
def test_the_placer_leaves_out_endpoints_that_asked_an_entry_for_a_pause(
    entries, when
):
    # Guards against one request turned away for each entry of the domain.
    _wait_connected(entries)
    first, second = entries
    domain = first.broker.for_domain()
    open_endpoint = _one_endpoint(second)
    if when == "connected later":
        first.server.stop()
        _wait_until(lambda: not second.is_connected_to(first))
        _pause_all_but(second, open_endpoint)
        first.listen()
    else:
        _pause_all_but(second, open_endpoint)
    _wait_until(lambda: _all_but_paused(domain, open_endpoint))
    _wait_until(lambda: first.is_connected_to(first))
    assert not first.broker.pauses_left_s()
    for number in range(6):
        _, placement = _place(first, number)
        assert placement.endpoint == open_endpoint


def test_an_entry_does_not_apply_a_placement_that_crosses_a_pause(entries):
    # Guards against an entry that relies on the placer to know of its pauses.
    _wait_connected(entries)
    first, second = entries
    open_endpoint = _one_endpoint(second)
    second.broker.set_remote_placer(second.client)
    second.client.pause_reported = lambda endpoint, pause_s: None
    _pause_all_but(second, open_endpoint)
    assert not first.broker.for_domain().pauses_left_s()
    for number in range(6):
        _, placement = _place(second, number)
        assert placement.endpoint == open_endpoint


def test_streams_of_an_entry_that_has_left_the_placer_are_known(kandula_text):
    # Guards against streams of a killed entry that nobody in its domain can
    # resume, because it asked another placer than the others did.
    made = _made(kandula_text, 4)
    placer, others = made[0], made[1:]
    without = {each.name: each.address for each in others}
    order = ranking_module.PlacerRanking()
    order.set_members(without)
    others.sort(key=lambda each: each.name != order.first(0.0))
    second, third, apart = others
    apart.members = without
    with _started(made):
        _wait_until(
            lambda: all(
                each.is_connected_to(placer) for each in (placer, second, third)
            )
        )
        _wait_until(lambda: apart.is_connected_to(second))
        for key, software in enumerate(("v1", "v2")):
            origin = resumption.Origin(_SERVICE, ids.SoftwareVersion(software))
            apart.origins.add_own(key, origin)
        for each in made:
            _wait_until(lambda each=each: len(each.origins) == 2)
