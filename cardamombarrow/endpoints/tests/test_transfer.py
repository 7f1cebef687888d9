"""Tests of exchanges with endpoints that don't answer or want no request."""

import contextlib
import dataclasses
import socket
import threading
import time

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import poller as poller_module
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


@pytest.fixture
def silent():
    """Address of a port that accepts connections and sends nothing."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def call(silent):
    return base.OutgoingCall(
        request_id=ids.RequestId("r"),
        endpoint=ids.endpoint_id(silent, "i-1"),
        method="GET",
        path="/a",
        body=b"",
        content_type="",
        rank=0,
        deadline_s=time.monotonic() + 1.0,
        stall_limit_s=30.0,
        caller=_NoCaller(),
        cancelled=lambda: False,
        first_byte_limit_s=0.1,
    )


def _error(call):
    exchange = transfer.HttpExchange(call, list, lambda endpoint: True)
    try:
        with pytest.raises(errors.EndpointError) as caught:
            exchange.head()
    finally:
        exchange.close()
    return caught.value


def test_a_late_answer_is_given_up_if_the_request_can_be_redone(call):
    # A faulty endpoint accepts requests, answers none and passes every probe.
    # A repeatable request must go elsewhere long before its deadline.
    error = _error(dataclasses.replace(call, may_redo=lambda: True))
    assert error.kind is errors.ErrorKind.STALLED
    assert error.not_run is False


def test_a_late_answer_is_awaited_if_the_request_can_not_be_redone(call):
    assert _error(call).kind is errors.ErrorKind.DEADLINE


def test_a_request_that_was_placed_before_a_pause_is_not_sent_in_it(call):
    # Guards against requests that connect or wait while a pause is stated.
    checks = iter([False])
    error = _error(
        dataclasses.replace(call, may_send=lambda: next(checks, False))
    )
    assert error.kind is errors.ErrorKind.ENDPOINT_RESTRICTED
    assert error.not_run
    assert not error.sent


def test_no_byte_of_a_withheld_request_reaches_the_endpoint(call):
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        _error(
            dataclasses.replace(
                call,
                endpoint=ids.endpoint_id(address, "i-1"),
                may_send=lambda: False,
            )
        )
        connection, _ = server.accept()
        with connection:
            assert connection.recv(100) == b""


def test_a_request_that_is_being_answered_goes_on_in_a_pause(call):
    # Guards against an answer that is cut because its endpoint wants no more.
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        sent = []

        def may_send():
            return not sent

        exchange = transfer.HttpExchange(
            dataclasses.replace(
                call,
                endpoint=ids.endpoint_id(address, "i-1"),
                may_send=may_send,
            ),
            list,
            lambda endpoint: True,
        )
        connection = exchange._connect()
        while not connection.sent:
            exchange._step()
        sent.append(True)
        accepted, _ = server.accept()
        with accepted:
            accepted.recv(1_000)
            accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            while connection.head is None:
                exchange._step()
            assert b"".join(exchange.chunks()) == b"ok"
        exchange.close()


@pytest.mark.parametrize("is_paused", [False, True])
def test_no_probe_sends_a_request_in_a_pause(call, is_paused):
    # Guards against a status check as one more request in the pause.
    probes = []
    exchange = transfer.HttpExchange(
        dataclasses.replace(
            call, stall_limit_s=0.1, is_paused=lambda: is_paused
        ),
        list,
        lambda endpoint: probes.append(endpoint) or True,
    )
    with pytest.raises(errors.EndpointError):
        exchange.head()
    exchange.close()
    assert bool(probes) is not is_paused


_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
_EVENT = b"data: a\n\n"
_COMMENT = b": idle\n\n"


@pytest.fixture
def stream(call):
    """Returns a function that reads a stream of pieces with pauses."""

    def read(pieces, *, stall_limit_s, read_s=0.0):
        def send():
            accepted, _ = server.accept()
            with accepted, contextlib.suppress(OSError):
                accepted.recv(1_000)
                accepted.sendall(_STREAM)
                for pause_s, piece in pieces:
                    time.sleep(pause_s)
                    accepted.sendall(piece)

        received = b""
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            threading.Thread(target=send, daemon=True).start()
            exchange = transfer.HttpExchange(
                dataclasses.replace(
                    call,
                    endpoint=ids.endpoint_id(address, "i-1"),
                    deadline_s=time.monotonic() + 30.0,
                    stall_limit_s=stall_limit_s,
                ),
                list,
                lambda endpoint: True,
            )
            with contextlib.closing(exchange):
                exchange.head()
                try:
                    for chunk in exchange.chunks():
                        received += chunk
                        time.sleep(read_s)
                except errors.EndpointError as error:
                    return received, error.kind
        return received, None

    return read


@pytest.mark.parametrize("begun", [b"", _EVENT])
@pytest.mark.parametrize("filler", [_COMMENT, b"\n", b"id: 1\n\n"])
def test_a_stream_that_brings_only_comments_is_given_up(stream, begun, filler):
    # Guards against a caller that waits until its deadline, though the request
    # could be resumed elsewhere.
    pieces = [(0.0, begun), *[(0.1, filler)] * 100]
    received, kind = stream(pieces, stall_limit_s=1.0)
    assert kind is errors.ErrorKind.CONNECTION_SILENT
    assert received.startswith(begun + filler)


def test_comments_between_events_are_relayed(stream):
    # Guards against a sound stream that is cut for its keep-alives.
    pieces = [(0.2, _COMMENT), (0.2, _EVENT)] * 8
    received, kind = stream(pieces, stall_limit_s=2.0)
    assert kind is None
    assert received == 8 * (_COMMENT + _EVENT)


def test_a_caller_that_reads_slowly_is_not_the_silence_of_the_endpoint(stream):
    # Guards against a sound stream that is cut since its caller was slow.
    pieces = [(0.0, _EVENT), (0.0, _COMMENT), (0.5, _EVENT)]
    received, kind = stream(pieces, stall_limit_s=0.4, read_s=0.6)
    assert kind is None
    assert received == _EVENT + _COMMENT + _EVENT


def test_an_event_that_arrives_during_the_probe_ends_the_silence(call):
    # Guards against a stream that is cut though its endpoint went on in time.
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        accepted = []

        def probe(endpoint):
            accepted[0].sendall(_EVENT)
            accepted[0].close()
            return True

        exchange = transfer.HttpExchange(
            dataclasses.replace(
                call,
                endpoint=ids.endpoint_id(address, "i-1"),
                deadline_s=time.monotonic() + 30.0,
                stall_limit_s=0.3,
            ),
            list,
            probe,
        )
        with contextlib.closing(exchange):
            connection = exchange._connect()
            while not connection.sent:
                exchange._step()
            accepted.append(server.accept()[0])
            accepted[0].recv(1_000)
            accepted[0].sendall(_STREAM)
            while connection.head is None:
                exchange._step()
            assert b"".join(exchange.chunks()) == _EVENT


@pytest.mark.parametrize("is_paused", [False, True])
def test_a_paused_endpoint_is_not_polled(is_paused):
    polls = []

    class Kind:
        def poll(self, endpoint, timeout_s):
            polls.append(endpoint)

    poller = poller_module.Poller(
        0.01, lambda *_: None, lambda endpoint: is_paused
    )
    poller.watch({ids.EndpointId("10.0.0.1:80"): Kind()})
    time.sleep(0.2)
    poller.stop()
    assert bool(polls) is not is_paused


def test_header_fields_are_written_once_there_is_a_connection(call):
    # Guards against endpoints that are given the time that connecting took.
    states = []

    def headers():
        states.append(exchange._connection.connected)
        return []

    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        exchange = transfer.HttpExchange(
            dataclasses.replace(call, endpoint=ids.endpoint_id(address, "i-1")),
            headers,
            lambda endpoint: True,
        )
        connection = exchange._connect()
        assert not states
        while not connection.sent:
            exchange._step()
        exchange.close()
    assert states == [True]


def test_a_stream_that_goes_on_while_it_is_checked_is_not_given_up(call):
    # Guards against streams that break off though their endpoint goes on.
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"

        def probe(endpoint):
            accepted.sendall(b"data: b\n\n")
            return True

        exchange = transfer.HttpExchange(
            dataclasses.replace(
                call,
                endpoint=ids.endpoint_id(address, "i-1"),
                deadline_s=time.monotonic() + 20.0,
                first_byte_limit_s=20.0,
                stall_limit_s=0.3,
            ),
            list,
            probe,
        )
        connection = exchange._connect()
        while not connection.sent:
            exchange._step()
        accepted, _ = server.accept()
        with accepted:
            accepted.recv(1_000)
            accepted.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Content-Length: 27\r\n\r\ndata: a\n\n"
            )
            while connection.head is None:
                exchange._step()
            assert b"".join(exchange.chunks()) == (
                b"data: a\n\ndata: b\n\ndata: b\n\n"
            )
        exchange.close()
