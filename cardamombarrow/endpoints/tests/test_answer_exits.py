"""Tests of answers that only the end of their connection marks as complete."""

import socket
import threading
import time

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

_BODY = b"id: 1\ndata: a\n\n"
_STREAM = b"Content-Type: text/event-stream\r\n"
_LENGTH = b"Content-Length: %d\r\n" % len(_BODY)


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


def _serve(listener, fields, stays):
    """Answers one request and closes the connection."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + _BODY)
        if not stays:
            listener.close()


def _answer(fields=_STREAM, *, stays=True, may_exit=False, ends_stream=None):
    """Returns an answer's body, and whether a further connection was opened."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        server = threading.Thread(target=_serve, args=(listener, fields, stays))
        server.start()
        call = base.OutgoingCall(
            request_id=ids.RequestId("r"),
            endpoint=ids.endpoint_id(address, "i-1"),
            method="GET",
            path="/a",
            body=b"",
            content_type="",
            rank=0,
            deadline_s=time.monotonic() + 10.0,
            stall_limit_s=30.0,
            caller=_NoCaller(),
            cancelled=lambda: False,
            may_exit=lambda: may_exit,
        )
        exchange = transfer.HttpExchange(
            call, list, lambda endpoint: True, ends_stream=ends_stream
        )
        try:
            exchange.head()
            body = b"".join(exchange.chunks())
        finally:
            exchange.close()
            server.join()
        if not stays:
            return body, False
        listener.settimeout(0.0)
        try:
            listener.accept()[0].close()
        except BlockingIOError:
            return body, False
        return body, True


@pytest.mark.parametrize("fields", [_STREAM, b""])
def test_the_end_of_a_process_is_not_the_end_of_its_answer(fields):
    # Guards against answers that look complete since their endpoint has ended.
    with pytest.raises(errors.EndpointError) as caught:
        _answer(fields, stays=False)
    assert caught.value.kind is errors.ErrorKind.ANSWER_CUT
    assert caught.value.connection_broke


@pytest.mark.parametrize("fields", [_STREAM, b""])
def test_an_endpoint_that_goes_on_has_ended_its_answer(fields):
    # Guards against whole answers that are broken off.
    assert _answer(fields) == (_BODY, True)


def test_an_endpoint_that_leaves_may_end_with_its_last_answer():
    # Guards against whole answers of endpoints that end in order.
    assert _answer(stays=False, may_exit=True) == (_BODY, False)


@pytest.mark.parametrize("fields", [_STREAM + _LENGTH, _LENGTH])
def test_an_answer_whose_end_is_marked_needs_no_check(fields):
    # Guards against a connection for each answer, and against whole answers
    # that are broken off.
    assert _answer(fields) == (_BODY, False)
    assert _answer(fields, stays=False) == (_BODY, False)


def test_a_stream_whose_last_event_came_needs_no_check():
    # Guards against whole streams that are broken off.
    answer = _answer(stays=False, ends_stream=lambda tail: b"data: a" in tail)
    assert answer == (_BODY, False)


@pytest.mark.parametrize(
    "error", [TimeoutError(), OSError(113, "No route to host")]
)
def test_silence_of_the_path_is_no_evidence(monkeypatch, error):
    # Guards against whole answers that a lost path breaks off.
    def connect(*_):
        raise error

    monkeypatch.setattr(base.socket, "create_connection", connect)
    assert not base.refuses_connections(ids.EndpointId("127.0.0.1:9"))


@pytest.mark.parametrize(
    "first", [TimeoutError, ConnectionResetError, "accepted"]
)
def test_a_process_that_is_just_ending_is_tried_again(monkeypatch, first):
    # Guards against a listener that the system closes after the connections.
    results = [first, ConnectionRefusedError]

    def connect(*_):
        result = results.pop(0)
        if result != "accepted":
            raise result
        near, far = socket.socketpair()
        far.close()
        return near

    monkeypatch.setattr(base.socket, "create_connection", connect)
    assert base.refuses_connections(ids.EndpointId("127.0.0.1:9"))
    assert not results
