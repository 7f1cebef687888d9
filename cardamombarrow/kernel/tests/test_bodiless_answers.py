"""Answers that can't have a body."""

import socket

import pytest

from cardamombarrow.kernel import http


@pytest.fixture
def ask():
    """Returns what a server sends for a method, as one application answers."""
    servers = []

    def exchange(method, status, headers):
        def app(environ, start_response):
            start_response(status, headers)
            return [b"a bo", b"dy"]

        server = http.HttpServer(http.HttpSettings(connections=1), app)
        server.start()
        servers.append(server)
        with socket.create_connection(("127.0.0.1", server.port), 5) as caller:
            caller.sendall(f"{method} / HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            received = b""
            while data := caller.recv(4_096):
                received += data
        return received

    yield exchange
    for server in servers:
        server.stop()


@pytest.mark.parametrize(
    ("method", "status"),
    [
        ("HEAD", "200 OK"),
        ("HEAD", "404 Not Found"),
        ("GET", "204 No Content"),
        ("GET", "304 Not Modified"),
    ],
)
@pytest.mark.parametrize("headers", [[], [("Content-Length", "6")]])
def test_no_byte_follows_the_head_of_an_answer_without_a_body(
    ask, method, status, headers
):
    # Guards against bytes behind an answer that has ended for its caller.
    assert ask(method, status, headers).endswith(b"\r\n\r\n")


def test_other_answers_have_their_body(ask):
    raw = ask("GET", "404 Not Found", [("Content-Length", "6")])
    assert raw.endswith(b"\r\n\r\na body")
