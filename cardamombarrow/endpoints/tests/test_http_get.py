"""Short requests to servers that answer, and to such that are in trouble."""

import contextlib
import subprocess
import time

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.endpoints.tests import raw_server
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import http
from cardamombarrow.platform.tests import standin_streams

LIMIT_S = 5.0

_OK = b"HTTP/1.1 200 OK\r\n"
_BODY = b"hello, world"


@pytest.fixture
def serve():
    with contextlib.ExitStack() as stack:
        yield lambda answer: stack.enter_context(raw_server.RawServer(answer))


@pytest.mark.parametrize("between_s", [0.0, 0.1])
@pytest.mark.parametrize("after_s", [0.0, 0.1])
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 99\r\n"])
def test_a_part_of_an_answer_during_an_upload_is_no_reply(
    serve, framing, after_s, between_s
):
    # Guards against a reset that a failed write hides from the reader.
    def answer(connection):
        connection.sendall(_OK + framing + b"\r\n")
        time.sleep(between_s)
        connection.sendall(b"hello, wor")
        time.sleep(after_s)
        standin_streams.reset(connection)

    server = serve(answer)
    with pytest.raises(errors.EndpointError) as caught:
        http_get.fetch(
            server.url, timeout_s=LIMIT_S, method="PUT", body=bytes(4_000_000)
        )
    assert caught.value.sent


def test_an_answer_before_the_end_of_an_upload_is_a_reply(serve):
    # Guards against a refusal that is lost, and an upload that goes on for it.
    def answer(connection):
        connection.sendall(
            b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno"
        )
        time.sleep(0.2)

    server = serve(answer)
    reply = http_get.fetch(
        server.url, timeout_s=LIMIT_S, method="PUT", body=bytes(4_000_000)
    )
    assert reply == http_get.Reply(413, b"no")


def test_a_request_has_its_target_fields_and_body(serve):
    server = serve(lambda connection: connection.sendall(_OK + b"\r\n" + _BODY))
    reply = http_get.fetch(
        f"{server.url}/a/b?c=d",
        timeout_s=LIMIT_S,
        method="POST",
        body=b"{}",
        headers=("X-A: b:c",),
    )
    assert reply == http_get.Reply(200, _BODY)
    first, *lines = server.received.partition(b"\r\n\r\n")[0].split(b"\r\n")
    assert first == b"POST /a/b?c=d HTTP/1.1"
    assert {b"X-A: b:c", b"Content-Length: 2"} <= set(lines)
    assert b"Host: " + server.url.removeprefix("http://").encode() in lines


def test_a_field_replaces_one_that_is_sent_by_default(serve):
    # Guards against requests with two hosts, which servers refuse.
    server = serve(lambda connection: connection.sendall(_OK + b"\r\n"))
    http_get.fetch(
        server.url, timeout_s=LIMIT_S, headers=("Host: shop.example",)
    )
    lines = server.received.lower().split(b"\r\n")
    assert [each for each in lines if each.startswith(b"host:")] == [
        b"host: shop.example"
    ]


def test_an_answer_that_has_no_body_by_its_status_is_a_reply(serve):
    # Guards against deletions that fail for the length that they state.
    server = serve(
        lambda connection: connection.sendall(
            b"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n{}"
        )
    )
    reply = http_get.fetch(server.url, timeout_s=LIMIT_S, method="DELETE")
    assert reply == http_get.Reply(204, b"")


@pytest.mark.parametrize(
    "url",
    [
        "http://127.0.0.1:1/",
        "http://127.0.0.1:99999/",
        "http://127.0.0.1:x/",
        "http:///a",
        "ftp://127.0.0.1/",
        "127.0.0.1:80",
        "",
        "http://a..b/",
        "http://127.0.0.1/a b",
        "http://\x00/",
    ],
    ids=ascii,
)
def test_a_url_that_leads_nowhere_is_unreached(url):
    # Guards against errors that its callers do not expect.
    with pytest.raises(errors.EndpointError) as caught:
        http_get.fetch(url, timeout_s=LIMIT_S)
    assert caught.value.kind is errors.ErrorKind.ENDPOINT_UNREACHED
    assert not caught.value.sent


def test_a_silent_server_times_out(serve):
    server = serve(lambda connection: time.sleep(1.0))
    begun_s = time.monotonic()
    with pytest.raises(errors.EndpointError) as caught:
        http_get.fetch(server.url, timeout_s=0.2)
    assert caught.value.sent
    assert time.monotonic() - begun_s >= 0.2


@pytest.fixture
def certificate(tmp_path):
    """Paths of a certificate of 127.0.0.1 and of its key."""
    path, key = tmp_path / "cert.pem", tmp_path / "key.pem"
    command = (
        f"openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=control "
        f"-addext subjectAltName=IP:127.0.0.1 -keyout {key} -out {path}"
    )
    try:
        subprocess.run(command.split(), check=True, capture_output=True)
    except FileNotFoundError:
        pytest.skip("no openssl command: not run")
    return path, key


def test_requests_are_sent_over_tls_to_trusted_servers_only(certificate):
    # Guards against an operator's token that is sent to another server.
    path, key = certificate
    bodies = []

    def app(environ, start_response):
        size = int(environ["CONTENT_LENGTH"])
        bodies.append(environ["wsgi.input"].read(size))
        start_response("200 OK", [("Content-Length", str(len(_BODY)))])
        return [_BODY]

    server = http.HttpServer(
        http.HttpSettings(tls_certificate=str(path), tls_key=str(key)), app
    )
    server.start()
    try:
        url = f"https://127.0.0.1:{server.port}/"
        reply = http_get.fetch(
            url,
            timeout_s=LIMIT_S,
            method="PUT",
            body=bytes(1_000_000),
            ca_file=str(path),
        )
        assert reply == http_get.Reply(200, _BODY)
        with pytest.raises(errors.EndpointError) as caught:
            http_get.fetch(url, timeout_s=LIMIT_S)
        assert not caught.value.sent
    finally:
        server.stop()
    assert bodies == [bytes(1_000_000)]
