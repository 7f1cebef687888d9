"""Answers that end within their head or their framing, or are damaged there."""

import contextlib
import functools
import socket
import threading
import time

import pytest

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import engine
from cardamombarrow.endpoints import http_get
from cardamombarrow.endpoints import pool as pool_module
from cardamombarrow.endpoints import transfer
from cardamombarrow.forwarding import core as forwarding
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.platform.tests import standin_streams

LIMIT_S = 10.0

_FIELDS = b"Content-Type: text/plain\r\nX-Checksum: 3e1b.07.5a2\r\n"
_OK = b"HTTP/1.1 200 OK\r\n"
_BODY = b"hello, world"
_LENGTH = b"Content-Length: 12\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"5\r\nhello\r\n7;part=2\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

ANSWERS = {
    "length": _OK + _FIELDS + _LENGTH + b"\r\n" + _BODY,
    "length first": _OK + _LENGTH + _FIELDS + b"\r\n" + _BODY,
    "long length": _OK + _FIELDS + b"Content-Length: 1234\r\n\r\n"
    b"%b" % (_BODY.ljust(1234)),
    "chunks": _OK + _FIELDS + _CHUNKED + b"\r\n" + _CHUNKS,
    "interim": _INTERIM + _OK + _FIELDS + _LENGTH + b"\r\n" + _BODY,
    "line feeds": (_OK + _FIELDS + _LENGTH + b"\r\n").replace(b"\r", b"")
    + _BODY,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + _FIELDS + _LENGTH + b"\r\n" + _BODY,
}
"""Whole answers whose end is marked."""

UNFRAMED = {
    "close": _OK + _FIELDS + b"Connection: close\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + _FIELDS + b"\r\n",
    "interim": _INTERIM + _OK + _FIELDS + b"\r\n",
    "stream": _OK + b"Content-Type: text/event-stream\r\n\r\n",
}
"""Heads of answers that end with their connection."""

MALFORMED = {
    "blank in a name": _OK + b"Content Length: 12\r\n\r\n" + _BODY,
    "control byte in a name": _OK + b"Content\x01-Length: 5\r\n\r\n" + _BODY,
    "blank before a name": _OK
    + b"X-A: b\r\n Content-Length: 5\r\n\r\n"
    + _BODY,
    "blank behind a name": _OK + b"Transfer-Encoding : chunked\r\n\r\n" + _BODY,
    "empty name": _OK + b": b\r\n" + _LENGTH + b"\r\n" + _BODY,
    "no field": _OK + b"garbage\r\n" + _LENGTH + b"\r\n" + _BODY,
    "control byte in a value": _OK
    + b"X-A: \x01\r\n"
    + _LENGTH
    + b"\r\n"
    + _BODY,
    "no number": _OK + b"Content-Length: 1x\r\n\r\n" + _BODY,
    "impossible number": _OK + b"Content-Length: 12 0\r\n\r\n" + _BODY,
    "two numbers": _OK + b"Content-Length: 5, 12\r\n\r\n" + _BODY,
    "empty coding": _OK + b"Transfer-Encoding:\r\n\r\n" + _BODY,
    "length and coding": _OK
    + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
    + b"c\r\nhello, world\r\n0\r\n\r\n",
    "body over its length": _OK + b"Content-Length: 5\r\n\r\n" + _BODY,
    "status 000": b"HTTP/1.1 000 OK\r\n" + _LENGTH + b"\r\n" + _BODY,
    "status 600": b"HTTP/1.1 600 OK\r\n" + _LENGTH + b"\r\n" + _BODY,
    "status 2000": b"HTTP/1.1 2000 OK\r\n" + _LENGTH + b"\r\n" + _BODY,
    "no blank behind the status": b"HTTP/1.1 200OK\r\n"
    + _LENGTH
    + b"\r\n"
    + _BODY,
    "interim": b"HTTP/1.1 103 Hints\r\ngarbage\r\n\r\n"
    + _OK
    + _LENGTH
    + b"\r\n"
    + _BODY,
}
"""Answers whose head is damaged."""

CUTS = [
    pytest.param(answer, len(answer), id=name)
    for name, answer in ANSWERS.items()
] + [
    pytest.param(head, len(head), id=f"unframed {name}")
    for name, head in UNFRAMED.items()
]


class _Broken:
    """An endpoint that sends a part of an answer and closes.

    Attributes:
        sent: What it sends on each connection.
        resets: Whether it resets the connections.
    """

    def __init__(self, resets=False):
        self.sent = b""
        self.resets = resets
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                if not connection.recv(65_536):
                    continue
                connection.sendall(self.sent)
                if self.resets:
                    standin_streams.reset(connection)

    def close(self):
        self._listener.close()


@pytest.fixture(params=[False, True], ids=["closed", "reset"])
def broken(request):
    with contextlib.closing(_Broken(request.param)) as endpoint:
        yield endpoint


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


def _call(address):
    return base.OutgoingCall(
        request_id=ids.RequestId("r"),
        endpoint=ids.endpoint_id(address, "i-1"),
        method="POST",
        path="/a",
        body=b"x",
        content_type="",
        rank=0,
        deadline_s=time.monotonic() + LIMIT_S,
        stall_limit_s=LIMIT_S,
        caller=_NoCaller(),
        cancelled=lambda: False,
    )


def _exchange(address):
    """Returns the body of one exchange."""
    pool = pool_module.Pool(clock.BootClock())
    with contextlib.closing(
        transfer.HttpExchange(_call(address), list, lambda endpoint: True, pool)
    ) as exchange:
        exchange.head()
        return b"".join(exchange.chunks())


class _CutOff:
    def is_cut_off(self, service):
        return True


def _forward(address):
    """Returns the body of an answer that another entry relays."""
    forwarder = forwarding.Forwarder(
        forwarding.ForwardSettings(secret="s"), _CutOff()
    )
    forwarder.set_entries([address], [])
    now_s = time.monotonic()
    answer = forwarder.forward(
        forwarding.ForwardRequest(
            request_id=ids.RequestId("r"),
            service=ids.ServiceId("s"),
            method="POST",
            target="/a",
            headers=(("Host", "one.example"),),
            body=b"x",
            arrived_s=now_s,
            deadline_s=now_s + LIMIT_S,
            stall_limit_s=LIMIT_S,
            caller=_NoCaller(),
        )
    )
    return b"".join(answer.chunks)


def _fetch(address):
    return http_get.fetch(f"http://{address}/", timeout_s=LIMIT_S).body


READERS = pytest.mark.parametrize(
    "read", [_exchange, _forward, _fetch], ids=["exchange", "forward", "fetch"]
)


@READERS
@pytest.mark.parametrize(("answer", "end"), CUTS)
def test_a_part_of_an_answer_is_no_answer(broken, read, answer, end):
    # Guards against a connection's end that is taken for the end of a head, so
    # that a success with an empty body is reported.
    complete = []
    for size in range(end):
        broken.sent = answer[:size]
        try:
            complete.append((answer[:size][-16:], read(broken.address)))
        except errors.EndpointError as error:
            assert error.sent
    assert not complete


@READERS
@pytest.mark.parametrize("answer", MALFORMED.values(), ids=MALFORMED)
def test_an_answer_with_a_malformed_head_is_no_answer(read, answer):
    # Guards against readers of which one takes what another one refuses.
    with contextlib.closing(_Broken()) as endpoint:
        endpoint.sent = answer
        with pytest.raises(errors.EndpointError) as caught:
            read(endpoint.address)
    assert caught.value.sent


@READERS
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_whole_answer_is_read(read, answer):
    # Guards against checks that reject interim answers, trailers or line feeds.
    with contextlib.closing(_Broken()) as endpoint:
        endpoint.sent = answer
        assert read(endpoint.address).strip() == _BODY


@pytest.mark.parametrize(
    "answer",
    [
        b"hello, world",
        b"HTTP/1.1 200 OK",
        b"200 OK\r\n\r\nhello, world",
        _INTERIM,
        _INTERIM[:-2],
        _OK.replace(b"200", b"101") + b"\r\n",
    ],
    ids=[
        "HTTP/0.9",
        "status line",
        "no version",
        "interim only",
        "half interim",
        "switch",
    ],
)
@READERS
def test_bytes_without_a_final_head_are_no_answer(broken, read, answer):
    # Guards against bodies without a head, and interim answers taken as final.
    broken.sent = answer
    with pytest.raises(errors.EndpointError):
        read(broken.address)


@pytest.mark.parametrize("head", UNFRAMED.values(), ids=UNFRAMED)
def test_an_unframed_answer_ends_with_its_connection(head):
    # Guards against a complete head without a body that passes for half a head.
    with contextlib.closing(_Broken()) as endpoint:
        endpoint.sent = head
        assert _fetch(endpoint.address) == b""
        endpoint.sent = head + _BODY
        assert _fetch(endpoint.address) == _BODY


@pytest.mark.parametrize("size", [0, 9, 17, 30, 63])
def test_a_probe_that_gets_a_part_of_a_head_fails(size):
    # Guards against an endpoint that counts as alive by a part of a head.
    with contextlib.closing(_Broken()) as endpoint:
        endpoint.sent = ANSWERS["length"][:size]
        probe = functools.partial(
            engine.EngineKind().probe, ids.endpoint_id(endpoint.address, "i-1")
        )
        assert not probe()
        endpoint.sent = ANSWERS["length"]
        assert probe()
