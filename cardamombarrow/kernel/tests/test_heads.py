"""Parsing of request heads; ambiguous ones are rejected."""

import pytest

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import heads

_LINE = b"POST /a/b?c=%20d HTTP/1.1\r\n"
_HOST = b"Host: one.example\r\n"


def test_a_head_is_parsed():
    head = heads.parse(_LINE + _HOST + b"X-A:  b c \r\nX-A: d\r\n\r\n")
    assert (head.method, head.target) == ("POST", "/a/b?c=%20d")
    assert head.fields[1:] == (("X-A", "b c"), ("X-A", "d"))
    assert not head.is_chunked


@pytest.mark.parametrize(
    "raw",
    [
        _LINE + _HOST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
        _LINE + _HOST + b"Content-Length: 5, 5\r\n\r\n",
        _LINE + _HOST + b"Content-Length: +5\r\n\r\n",
        _LINE + _HOST + b"Content-Length: \r\n\r\n",
        _LINE
        + _HOST
        + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        _LINE + _HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        _LINE
        + _HOST
        + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n",
        _LINE + _HOST + b"Transfer-Encoding : chunked\r\n\r\n",
        _LINE + _HOST + b"X-A: b\nContent-Length: 5\r\n\r\n",
        _LINE + _HOST + b"X-A: b\r\n folded\r\n\r\n",
        _LINE + _HOST + b"X-A: b\x00\r\n\r\n",
        _LINE + _HOST + b"\n",
        _LINE.replace(b"\r\n", b"\n") + _HOST + b"\r\n",
        _LINE + b"\r\n",
        _LINE + _HOST + _HOST + b"\r\n",
        b"POST  /a HTTP/1.1\r\n" + _HOST + b"\r\n",
        b"POST http://x/a HTTP/1.1\r\n" + _HOST + b"\r\n",
        b"POST /a\tb HTTP/1.1\r\n" + _HOST + b"\r\n",
        b"post /a HTTP/1.1\r\n" + _HOST + b"\r\n",
        b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_an_ambiguous_head_is_rejected(raw):
    # Request smuggling: a caller hides a second request in the first, which an
    # entry and an endpoint see differently if they parse the head differently.
    with pytest.raises(errors.RefusedError) as caught:
        heads.parse(raw)
    assert caught.value.kind is errors.ErrorKind.BAD_REQUEST


_OK = b"HTTP/1.1 200 OK\r\n"


def test_the_head_of_an_answer_is_parsed():
    head = heads.parse_answer(_OK + b"X-A:  b c \r\nX-A: d\r\nX-B:\r\n\r\n")
    assert (head.status, head.reason) == (200, "OK")
    assert head.fields == (("X-A", "b c"), ("X-A", "d"), ("X-B", ""))


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200\r\n\r\n",
        b"HTTP/1.1 200 \r\n\r\n",
        b"HTTP/1.0 200 Fine\n\n",
        b"HTTP/1.1 200 OK\nX-A: b\r\n\n",
    ],
)
def test_the_head_of_an_answer_may_lack_a_reason_or_carriage_returns(raw):
    assert heads.parse_answer(raw).status == 200


@pytest.mark.parametrize(
    "raw",
    [
        b"\r\n",
        b"\r\n" + _OK + b"\r\n",
        b"HTTP/1.1 20 OK\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"HTTP/1.1  200 OK\r\n\r\n",
        b"HTTP/1.1 200OK\r\n\r\n",
        b"HTTP/1.1 000 OK\r\n\r\n",
        b"HTTP/1.1 099 OK\r\n\r\n",
        b"HTTP/1.1 600 OK\r\n\r\n",
        b"HTTP/1.1 999 OK\r\n\r\n",
        b"HTTP/9.9 200 OK\r\n\r\n",
        b"HTTP/0.9 200 OK\r\n\r\n",
        b"HTTP 200 OK\r\n\r\n",
        b"http/1.1 200 OK\r\n\r\n",
        _OK + b" X-A: b\r\n\r\n",
        _OK + b"X-A: b\r\n folded\r\n\r\n",
        _OK + b"X-A: b\r\n\tfolded\r\n\r\n",
        _OK + b"X-A: b\r\n Content-Length: 5\r\n\r\n",
        _OK + b"X-A: b\r\n \r\n\r\n",
        _OK + b"X-A: b\rX-B: c\r\n\r\n",
        _OK + b"X-A: b\x00\r\n\r\n",
        _OK + b"X-A: b\x01\r\n\r\n",
        _OK + b"X-A: b\x0b\r\n\r\n",
        _OK + b"X-A: \x7f\r\n\r\n",
        b"HTTP/1.1 200 O\x08K\r\n\r\n",
        _OK + b"X-A : b\r\n\r\n",
        _OK + b"X A: b\r\n\r\n",
        _OK + b"X\x01A: b\r\n\r\n",
        _OK + b": b\r\n\r\n",
        _OK + b"garbage\r\n\r\n",
        _OK + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        _OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
        _OK + b"Content-Length: 5, 5\r\n\r\n",
        _OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        _OK + b"Content-Type: a/b\r\nContent-Type: text/event-stream\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_a_malformed_head_of_an_answer_is_rejected(raw):
    # Guards against a body that is delimited, or passed on, by a damaged head.
    with pytest.raises(ValueError):
        heads.parse_answer(raw)
