"""Servers that answer an earlier request where the next answer is due."""

import threading

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_REJECTED = (
    b"HTTP/1.1 503 Full\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_MISDIRECTED = (
    b"HTTP/1.1 421 Misdirected\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_WHOLE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %%b\r\nServer-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\n"
    b"Content-Length: %d\r\n\r\n%b"
    % (len(stream_client.whole()), stream_client.whole())
)


class _KeptServers(standin.Servers):
    """Servers that keep connections, and send surplus bytes on them.

    Attributes:
        surplus: Sent before the second answer of a connection.
        second: Set once a second request has run on a connection.
        run: The attempts that have run, in order.
    """

    def __init__(self):
        super().__init__(lambda received: standin.Answer())
        self.surplus = b""
        self.second = threading.Event()
        self.run = []

    def _answer_request(self, connection, port, raw):
        earlier = None
        while raw:
            attempt = _attempt(raw)
            self.run.append(attempt)
            if earlier is not None:
                self.second.set()
                surplus = self.surplus
                if b"%b" in surplus:
                    surplus = surplus % earlier
                connection.sendall(surplus)
            connection.sendall(_WHOLE % attempt)
            earlier = attempt
            raw = connection.recv(65_536)


def _attempt(raw):
    found = [
        line.partition(b":")[2].strip()
        for line in raw.split(b"\r\n")
        if line.lower().startswith(b"attempt-id:")
    ]
    return found[0]


@pytest.fixture(scope="module")
def servers():
    with _KeptServers() as started:
        started.start("i-0")
        yield started


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    folder = tmp_path_factory.mktemp("surplus")
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1"]})
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.mark.parametrize(
    "surplus",
    [
        _REJECTED,
        _MISDIRECTED,
        _WHOLE,
        standin.event(7, "v1"),
        b"\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
    ids=["rejected", "misdirected", "whole", "event", "line end", "interim"],
)
def test_an_answer_of_an_earlier_request_is_not_taken_for_the_next_one(
    running, servers, surplus
):
    # Guards against a request that runs and is said not to have run, and
    # against a stream with the events of another one.
    servers.surplus = surplus
    servers.second.clear()
    servers.run.clear()

    def send():
        return stream_client.call(running, "once", "1.1")

    def reaches_second():
        seen = send()
        if not servers.second.is_set():
            assert seen.body == stream_client.whole()
            return False
        assert seen.status in (0, 200, 502)
        if seen.status == 200:
            whole = seen.body == stream_client.whole()
            assert seen.looks_complete is whole
        return True

    assert deployment.wait_until(reaches_second)
    assert len(servers.run) == len(set(servers.run))
