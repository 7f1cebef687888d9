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
