"""Placers of several domains exchange their loads on endpoints."""

import asyncio
import time

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.placing import codec as placing_codec
from cardamombarrow.peers.placing import load_publisher
from cardamombarrow.peers.placing import service as placing_service
from cardamombarrow.resumption import core as resumption
from tools import deployment
from tools import proxy

_SECRET = "a-secret-of-the-tests"
_LIMIT_S = 20.0
_ONE = ids.EndpointId("10.1.0.1:80#a")
_TWO = ids.EndpointId("10.1.0.2:80#b")
_SENDER = ids.InstanceId("entry-1")


def _load(running, unread=0, tokens=0.0, seen_at_s=0.0):
    return messages.PeerLoad((5,) * running, unread, tokens, seen_at_s)


def _wait_until(condition) -> None:
    end_s = time.monotonic() + _LIMIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.005)


@pytest.mark.parametrize(
    ("before", "now", "told"),
    [
        ({}, {}, {}),
        ({}, {_ONE: _load(1)}, {_ONE: 1}),
        ({_ONE: _load(1)}, {_ONE: _load(1, seen_at_s=9.0)}, {}),
        ({_ONE: _load(1, 1)}, {_ONE: _load(1)}, {_ONE: 1}),
        ({_ONE: _load(2)}, {_TWO: _load(1)}, {_ONE: 0, _TWO: 1}),
    ],
)
def test_only_changed_and_ended_loads_are_sent(before, now, told):
    updates = load_publisher.changed(before, now)
    assert {name: len(load.ranks) for name, load in updates.items()} == told


def test_an_endpoint_unknown_to_the_receiver_is_left_out():
    known = {rows.endpoint_hash(_ONE): _ONE}
    news = placing_codec.loads_to_wire(
        _SENDER, {_ONE: _load(3, 2, 99.6), _TWO: _load(1)}
    )
    back = placing_codec.loads_from_wire(news, known, 7.0)
    assert back == {_ONE: _load(3, 2, 100.0, 7.0)}


class _Placer:
    """Records the loads of the other placers."""

    def __init__(self):
        self.loads = {}

    def set_peer_loads(self, instance, loads):
        counts = self.loads.setdefault(instance, {})
        for endpoint, load in loads.items():
            counts[endpoint] = len(load.ranks)

    def remove_peer_loads(self, instance):
        self.loads.pop(instance, None)


@pytest.fixture
def loop():
    made = loop_module.LoopThread()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def receiver(loop):
    """Address of a placer, and the placer."""
    port = deployment.free_ports(1)[0]
    placer = _Placer()
    known = {rows.endpoint_hash(each): each for each in (_ONE, _TWO)}
    service = placing_service.PlacingService(
        placer, lambda: known, resumption.StreamOrigins(clock.SystemClock())
    )
    server = server_module.PeerServer(
        loop, "127.0.0.1", port, _SECRET, [service]
    )
    server.start()
    yield f"127.0.0.1:{port}", placer
    server.stop()


@pytest.fixture
def publisher(loop):
    """A publisher, and the loads that it publishes."""
    loads = {_ONE: _load(2)}
    placing = [True]
    made = load_publisher.LoadPublisher(
        loop,
        _SENDER,
        _SECRET,
        lambda: dict(loads),
        lambda: placing[0],
        resumption.StreamOrigins(clock.SystemClock()),
    )
    made.loads, made.placing = loads, placing
    made.start()
    yield made
    made.stop()


def test_loads_are_received_and_updated(receiver, publisher):
    address, placer = receiver
    publisher.set_placers([address])
    _wait_until(lambda: placer.loads.get(_SENDER) == {_ONE: 2})
    del publisher.loads[_ONE]
    publisher.loads[_TWO] = _load(1)
    _wait_until(lambda: placer.loads.get(_SENDER) == {_ONE: 0, _TWO: 1})


def test_loads_of_an_instance_that_stops_placing_are_removed(
    receiver, publisher
):
    # Its requests are now placed by others. If its last loads stayed, the
    # engines would look loaded forever.
    address, placer = receiver
    publisher.set_placers([address])
    _wait_until(lambda: _SENDER in placer.loads)
    publisher.placing[0] = False
    _wait_until(lambda: _SENDER not in placer.loads)


def test_loads_received_over_a_link_that_went_silent_are_removed(
    receiver, publisher, monkeypatch
):
    # The link between two regions goes silent without a reset. Engines that
    # were full at that moment would look full until the link works again.
    monkeypatch.setattr(placing_service, "LOADS_TIMEOUT_S", 1.5)
    address, placer = receiver
    with proxy.Proxy() as proxies:
        link = proxies.link("one", "other", address)
        publisher.set_placers([link.address])
        _wait_until(lambda: _SENDER in placer.loads)
        link.silence(new_too=True)
        _wait_until(lambda: _SENDER not in placer.loads)
        link.restore()
        _wait_until(lambda: _SENDER in placer.loads)


class _Stream:
    """A stream whose messages the test provides."""

    def __init__(self):
        self.messages = asyncio.Queue()

    async def recv_message(self):
        return await self.messages.get()

    async def send_message(self, message):
        pass


def test_the_end_of_a_stream_keeps_the_loads_of_a_later_one():
    # A placer opens another stream while the old one is still open here. When
    # the old one ends, the loads of the new one have to stay: only changes
    # are sent, so a full engine would look idle from then on.
    placer = _Placer()
    known = {rows.endpoint_hash(_ONE): _ONE}
    service = placing_service.PlacingService(
        placer, lambda: known, resumption.StreamOrigins(clock.SystemClock())
    )
    news = placing_codec.loads_to_wire(_SENDER, {_ONE: _load(2)})

    async def run():
        old, new = _Stream(), _Stream()
        tasks = []
        for stream in (old, new):
            tasks.append(asyncio.create_task(service.Tell(stream)))
            stream.messages.put_nowait(news)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        old.messages.put_nowait(None)
        await tasks[0]
        assert placer.loads == {_SENDER: {_ONE: 2}}
        new.messages.put_nowait(None)
        await tasks[1]
        assert placer.loads == {}

    asyncio.run(run())
