"""Answers of control processes to operators' commands."""

import contextlib

import pytest

from cardamombarrow.admin import client
from cardamombarrow.endpoints.tests import raw_server
from cardamombarrow.kernel import errors

_CONTENT = b'{"revision": 7, "text": ""}'
_OK = b"HTTP/1.1 200 OK\r\n"


def _answer(body, status_line=_OK):
    return status_line + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.fixture
def serve():
    with contextlib.ExitStack() as stack:
        yield lambda answer: stack.enter_context(
            raw_server.RawServer(lambda control: control.sendall(answer))
        )


@pytest.mark.parametrize(
    "broken",
    [
        _answer(b""),
        _answer(b"garbage"),
        _answer(b"\xff\xfe"),
        _answer(b"null"),
        _answer(b"7"),
        _answer(b"[]"),
        _answer(b'"error"'),
        _answer(_CONTENT[:-1]),
        _answer(b"{}", b"HTTP/1.1 500 Failed\r\n"),
        _answer(b'{"error": 7}', b"HTTP/1.1 400 Bad\r\n"),
        _answer(b'{"error": {"code": "x", "message": ""}}'),
        _answer(_CONTENT, b"HTTP/1.1 000 OK\r\n"),
        _OK + b"Content Length: 5\r\n\r\n" + _CONTENT,
        _OK + b"Content-Length: 99\r\n\r\n" + _CONTENT,
    ],
)
def test_a_broken_answer_has_the_next_control_process_asked(serve, broken):
    # Guards against a command that ends in a traceback, or prints what no
    # control process has said.
    first, second = serve(broken), serve(_answer(_CONTENT))
    admin = client.AdminClient([first.url, second.url], "token")
    assert admin.get("/v1/document") == {"revision": 7, "text": ""}
    with pytest.raises(errors.EndpointError):
        client.AdminClient([first.url], "token").get("/v1/document")


def test_an_error_of_a_control_process_ends_a_command(serve):
    body = b'{"error": {"code": "not_found", "message": "no such key"}}'
    first = serve(_answer(body, b"HTTP/1.1 404 Not Found\r\n"))
    second = serve(_answer(_CONTENT))
    admin = client.AdminClient([first.url, second.url], "token")
    with pytest.raises(errors.RouterError) as caught:
        admin.get("/v1/ledger")
    assert caught.value.kind is errors.ErrorKind.NOT_FOUND
    assert not second.requests
