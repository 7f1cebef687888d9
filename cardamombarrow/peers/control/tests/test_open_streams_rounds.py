"""Round trips about open streams reach a majority, and are shared."""

import asyncio
from concurrent import futures
import time

import pytest

from cardamombarrow.control import state
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.log import local
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_rounds
from cardamombarrow.peers.control import service as control_service
from cardamombarrow.resumption import core
from cardamombarrow.resumption import rounds
from tools import deployment

_SECRET = "a-secret-of-the-tests"
_ORIGIN = core.Origin(ids.ServiceId("letters"), ids.SoftwareVersion("v1"))
_LIMIT_S = 5.0


def _knowing(name, **changes):
    fields = {
        "instance": name,
        "knows_open_streams": True,
        "has_quorum": True,
        "control_count": 3,
        **changes,
    }
    return control_pb2.OpenStreamsReply(**fields)


class _Controls:
    """Control processes that reply after a time, or not at all.

    Attributes:
        requests: All requests.
    """

    def __init__(self, *replies):
        self.replies = dict(enumerate(replies))
        self.requests = []

    def addresses(self):
        return list(self.replies)

    async def open_streams(self, request, address, timeout_s):
        self.requests.append(request)
        after_s, reply = self.replies[address]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(after_s)
        except TimeoutError:
            return None
        return reply


@pytest.fixture
def loop():
    thread = loop_module.LoopThread()
    thread.start()
    yield thread
    thread.stop()


def _rounds(loop, controls):
    time_source = clock.SystemClock()
    origins = core.StreamOrigins(time_source)
    made = open_streams_rounds.OpenStreamsRounds(
        loop, controls, ids.InstanceId("entry-1"), origins, time_source
    )
    origins.set_round_starter(made.begin)
    return made, origins


def _result(loop, *replies):
    made, _ = _rounds(loop, _Controls(*replies))
    return made.begin(True).result(_LIMIT_S)


def test_a_majority_that_knows_all_suffices(loop):
    # Guards against streams that are refused while one control process is down.
    result = _result(
        loop, (0.0, _knowing("a")), (0.0, None), (0.01, _knowing("c"))
    )
    assert result is rounds.RoundResult.ALL_KNOWN


@pytest.mark.parametrize(
    "changes",
    [
        {"knows_open_streams": False},
        {"has_quorum": False},
        {"instance": "a"},
        {"control_count": 5},
    ],
)
def test_one_that_does_not_count_completes_no_majority(loop, changes):
    # Guards against conclusions from a control process that restarted or was
    # cut off, that has two addresses, or that is one of more than are known.
    second = _knowing("c")
    second.MergeFrom(control_pb2.OpenStreamsReply(**changes))
    for name, value in changes.items():
        setattr(second, name, value)
    result = _result(loop, (0.0, _knowing("a")), (0.0, None), (0.0, second))
    assert result is not rounds.RoundResult.ALL_KNOWN


def test_a_silent_majority_delays_nothing_for_long(loop):
    # Guards against callers that wait for control processes that are stopped.
    controls = _Controls(*[(0.0, _knowing(name)) for name in "abc"])
    _, origins = _rounds(loop, controls)
    known = messages.KnownEndpoint(
        ids.EndpointId("10.0.0.1:80"),
        _ORIGIN.service,
        ids.DomainId("a"),
        software=_ORIGIN.software,
    )
    origins.set_listed([known])
    assert origins.wait_acknowledged(origins.add_own(1, _ORIGIN), _LIMIT_S)
    controls.replies |= {1: (60.0, None), 2: (60.0, None)}
    for wait_s in (core.ACKNOWLEDGEMENT_WAIT_S, core.OUT_OF_TOUCH_WAIT_S):
        begin_s = time.monotonic()
        begun = origins.add_own(1, _ORIGIN, class_id=ids.ClassId("letter"))
        assert not origins.wait_acknowledged(begun, _LIMIT_S)
        assert time.monotonic() - begin_s < wait_s + 0.2
        time.sleep(open_streams_rounds.TIMEOUT_S + 0.2)


def test_what_is_stored_is_acknowledged_before_all_is_known(loop):
    # Guards against first events that wait for a control process that is
    # stopped while another one recovers.
    unknowing = _knowing("b", knows_open_streams=False)
    made, origins = _rounds(
        loop,
        _Controls((0.0, _knowing("a")), (0.0, unknowing), (60.0, None)),
    )
    made.begin(True)
    begin_s = time.monotonic()
    assert origins.wait_acknowledged(origins.add_own(1, _ORIGIN), _LIMIT_S)
    assert time.monotonic() - begin_s < core.ACKNOWLEDGEMENT_WAIT_S


def test_attempts_share_round_trips(loop):
    # Guards against messages for each resumption after many streams broke.
    controls = _Controls(*((0.05, _knowing(name)) for name in "abc"))
    _, origins = _rounds(loop, controls)
    services = (_ORIGIN.service,)
    begin_s = time.monotonic()
    with futures.ThreadPoolExecutor(100) as pool:
        attempts = [
            pool.submit(origins.resolve, key, services, _LIMIT_S)
            for key in range(100)
        ]
    for each in attempts:
        resolved = each.result()
        assert resolved.round_result is rounds.RoundResult.ALL_KNOWN
    most = 2 + (time.monotonic() - begin_s) / 0.05
    assert len(controls.requests) <= len(controls.replies) * most


def test_a_request_during_a_round_trip_waits_for_the_next_one(loop):
    # Guards against an answer that does not cover what began after it was sent.
    controls = _Controls(*((0.05, _knowing(name)) for name in "abc"))
    made, _ = _rounds(loop, controls)
    first = made.begin(True)
    assert deployment.wait_until(lambda: len(controls.requests) == 3)
    later = [made.begin(True) for _ in range(3)]
    assert len(set(later)) == 1
    assert later[0] is not first
    first.result(_LIMIT_S)
    assert not later[0].done()
    later[0].result(_LIMIT_S)
    assert len(controls.requests) == 6


class _OldService(control_service.ControlService):
    """A control process that does not know the request."""

    def __mapping__(self):
        return {
            path: handler
            for path, handler in super().__mapping__().items()
            if not path.endswith("/OpenStreams")
        }


@pytest.mark.parametrize(
    ("service_class", "is_known"),
    [(control_service.ControlService, True), (_OldService, False)],
)
def test_control_processes_of_an_earlier_version_know_nothing(
    loop, service_class, is_known
):
    # Guards against unknown streams that go on, and first events that wait,
    # because a control process can't be asked.
    port = deployment.free_ports(1)[0]
    log = local.LocalLog("control-1", state.ControlState())

    async def build():
        return service_class(log, lambda: None, founds=True)

    service = loop.call(build()).result(_LIMIT_S)
    server = server_module.PeerServer(
        loop, "127.0.0.1", port, _SECRET, [service]
    )
    server.start()
    client = control_client.ControlClient(
        loop,
        (f"127.0.0.1:{port}",),
        _SECRET,
        lambda first: control_pb2.AppliedReport(),
        lambda *_: True,
        lambda: (ids.Revision(0), ""),
        0.2,
    )
    _, origins = _rounds(loop, client)
    begun = origins.add_own(1, _ORIGIN)
    assert origins.wait_acknowledged(begun, _LIMIT_S) == is_known
    resolved = origins.resolve(7, (_ORIGIN.service,), 0.2)
    assert resolved.is_complete == is_known
    assert (resolved.origin == _ORIGIN) == is_known
    loop.call(client._close()).result(_LIMIT_S)
    server.stop()
