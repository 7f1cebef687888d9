"""Answers that servers end in all ways, to callers of HTTP/1.0 and 1.1."""

import dataclasses
import itertools
import json
import re
import signal
import socket
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process

_LIMIT_MS = 4_000
_EVENTS = 6
_SENT = 3
_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)
_CLOSE = standin.Framing.CLOSE
_CUTS = [
    (framing, ending)
    for framing, ending in itertools.product(standin.Framing, standin.Ending)
    if ending is not standin.Ending.WHOLE
    and not (framing is _CLOSE and ending is standin.Ending.FRAMED_IN_EVENT)
]
_NOTICEABLE_CUTS = [
    each
    for each in _CUTS
    # A stream without other framing is whole here.
    if each != (_CLOSE, standin.Ending.CLOSED_BETWEEN_EVENTS)
]


def _configuration(service=standin.SERVICE):
    route = {
        "host": "one.example",
        "routeKind": "streaming",
        "timeoutMs": _LIMIT_MS,
        "latencyGoalMs": 500,
        "itlTargetMs": 500,
        "priority": 0,
        "service": service,
        "maxAttempts": 3,
        "anonymous": True,
        "sticky": False,
    }
    names = {"once": False, "again": True}
    return {
        "version": 7,
        "routes": [
            {
                **route,
                "name": name,
                "pathPrefix": f"/{name}/",
                "resumable": resumable,
            }
            for name, resumable in names.items()
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": 400,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 100_000,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def _plan(listing_url, entries):
    plugins = "cardamombarrow.platform."
    return deployment.Plan(
        document="",
        standins=False,
        entries=entries,
        controls={"a": ["control-1"]},
        edition=deployment.Edition(
            "/configuration", json.dumps(_configuration())
        ),
        listing_url=listing_url,
        control_extra="[operators]\nprotocol = platform\n",
        control_plugins=tuple(
            plugins + name for name in ("configuration", "operator")
        ),
        entry_plugins=(
            *(
                plugins + name
                for name in ("caller", "configuration", "listing", "servers")
            ),
            "tools.standin.cut_links",
        ),
        entry_extra={
            "calls": "protocol = platform\ndrain_notice_s = 0.3\n",
            "document": "confirmed_within_s = 3.5\n",
            "platform": "discovery = platform\nlisting_interval_s = 0.3\n",
            "retries": "share = 1.0\nslack = 1000\n",
        },
    )


@pytest.fixture(scope="module")
def servers():
    with standin.Servers(lambda received: standin.Answer()) as started:
        yield started


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    for number in range(3):
        servers.start(f"i-{number}")
    folder = tmp_path_factory.mktemp("ends")
    plan = _plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    with deployment.Deployment(plan, folder) as started:
        yield started


_attempts = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class _Seen:
    """An answer as its caller sees it."""

    status: int
    body: bytes
    looks_complete: bool


def _open(running, route, version, name="a-1"):
    host, _, port = running.entries[name].removeprefix("http://").partition(":")
    caller = socket.create_connection((host, int(port)), timeout=10)
    caller.sendall(
        f"POST /{route}/x HTTP/{version}\r\nHost: one.example\r\n"
        f"Attempt-Id: {next(_attempts):08x}\r\nModel-Name: m\r\n"
        f"Token-Count: 10,{_EVENTS}\r\nDeadline-Ms: {_LIMIT_MS}\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    return caller


def _read(caller):
    raw, reset = b"", False
    with caller:
        try:
            while data := caller.recv(65_536):
                raw += data
        except ConnectionResetError:
            reset = True
    head, _, body = raw.partition(b"\r\n\r\n")
    if not head:
        return _Seen(0, b"", False)
    status = int(head.split(b" ")[1])
    length = _LENGTH.search(head)
    if length:
        return _Seen(status, body, len(body) == int(length[1]))
    if b"chunked" in head.lower():
        content = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            if not int(size, 16):
                return _Seen(status, content, looks_complete=True)
            content += body[: int(size, 16)]
            body = body[int(size, 16) + 2 :]
        return _Seen(status, content, looks_complete=False)
    return _Seen(status, body, not reset)


def _call(running, route, version):
    return _read(_open(running, route, version))


def _whole(version="v1", line_end=b"\n"):
    return b"".join(
        standin.event(number, version, line_end)
        for number in range(1, _EVENTS + 1)
    )


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    ("framing", "ending"),
    _NOTICEABLE_CUTS,
)
def test_an_answer_that_broke_off_does_not_look_complete(
    running, servers, ending, framing, version
):
    # Guards against callers that take a cut answer for a whole one.
    answer = standin.Answer(framing, ending, _EVENTS, _SENT)
    servers.script = lambda received: answer
    seen = _call(running, "once", version)
    assert seen.status in (0, 200, 502, 504)
    if seen.status == 200:
        assert not seen.looks_complete
        assert _whole().startswith(seen.body)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    ("framing", "ending"), [each for each in _CUTS if each[1].cuts_event]
)
def test_a_stream_that_broke_off_in_an_event_is_resumed(
    running, servers, ending, framing, version
):
    # Guards against half an event passed on, after which none can follow.
    cut = standin.Answer(framing, ending, _EVENTS, _SENT)

    def script(received):
        return standin.Answer(framing) if received.last_event else cut

    servers.script = script
    seen = _call(running, "again", version)
    assert seen == _Seen(200, _whole(), looks_complete=True)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "ending", [standin.Ending.WHOLE, standin.Ending.RESET_BETWEEN_EVENTS]
)
def test_an_answer_without_events_that_was_reset_does_not_look_complete(
    running, servers, ending, version
):
    # Guards against answers without a length that are taken for whole ones.
    answer = standin.Answer(_CLOSE, ending, content_type="text/plain")
    servers.script = lambda received: answer
    seen = _call(running, "once", version)
    assert seen.status == 200
    assert seen.looks_complete is (ending is standin.Ending.WHOLE)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", standin.Framing)
@pytest.mark.parametrize("route", ["once", "again"])
def test_a_whole_stream_reaches_its_caller_whole(
    running, servers, route, framing, version, line_end
):
    answer = standin.Answer(framing, line_end=line_end)
    servers.script = lambda received: answer
    seen = _call(running, route, version)
    assert seen == _Seen(200, _whole(line_end=line_end), looks_complete=True)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("route", ["once", "again"])
def test_events_are_passed_on_as_they_arrive(running, servers, route, line_end):
    # Guards against events that wait for the end of their stream.
    answer = standin.Answer(pause_s=0.3, line_end=line_end)
    servers.script = lambda received: answer
    with _open(running, route, "1.1") as caller:
        received = b""
        while b"v1/1" + line_end not in received:
            received += caller.recv(65_536)
        assert b"v1/3" not in received


@pytest.fixture(scope="module")
def forwarding(running, servers):
    """The deployment while entry a-1 has another one serve its callers."""
    answer = standin.Answer()
    servers.script = lambda received: answer
    refuse = cut_links.CutMode.REFUSE
    with cut_off.cut_ports(running, ["a-1"], refuse, list(servers.listed)):

        def is_forwarded():
            _call(running, "once", "1.1")
            return '"outcome": "taken"' in running.log("a-1")

        assert deployment.wait_until(is_forwarded)
        yield running


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(("framing", "ending"), _NOTICEABLE_CUTS)
def test_a_forwarded_answer_that_broke_off_does_not_look_complete(
    forwarding, servers, framing, ending, version
):
    # Guards against a cut that is lost between two entries.
    answer = standin.Answer(framing, ending, _EVENTS, _SENT)
    servers.script = lambda received: answer
    seen = _call(forwarding, "once", version)
    assert seen.status in (0, 200, 502, 504)
    if seen.status == 200:
        assert not seen.looks_complete
        assert _whole().startswith(seen.body)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", standin.Framing)
def test_a_whole_forwarded_stream_reaches_its_caller_whole(
    forwarding, servers, framing, version
):
    answer = standin.Answer(framing)
    servers.script = lambda received: answer
    seen = _call(forwarding, "once", version)
    assert seen == _Seen(200, _whole(), looks_complete=True)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_the_end_of_a_process_does_not_end_an_answer(running, servers, version):
    # Guards against answers that look complete since their entry was killed.
    answer = standin.Answer(pause_s=0.3)
    servers.script = lambda received: answer
    caller = _open(running, "once", version, "a-2")
    time.sleep(0.8)
    running.restart("a-2", signal.SIGKILL)
    seen = _read(caller)
    assert seen.status == 200
    assert not seen.looks_complete
