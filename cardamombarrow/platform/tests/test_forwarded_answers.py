"""Answers that break off, and whole ones, that another entry relays."""

import signal
import time

import pytest

from cardamombarrow.platform.tests import server_process
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import cut_off
from tools import deployment
from tools.standin import cut_links

pytestmark = pytest.mark.process

_SENT = 3
_PAUSE_S = 0.3
_LISTED_S = 1.2
"""Time in which all entries have read the list."""


@pytest.fixture(scope="module")
def servers():
    with standin.Servers(lambda received: standin.Answer()) as started:
        for number in range(3):
            started.start(f"i-{number}")
        yield started


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    folder = tmp_path_factory.mktemp("forwarded")
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.fixture(scope="module")
def forwarding(running, servers):
    """The deployment while entry a-1 has another one serve its callers."""
    answer = standin.Answer()
    servers.script = lambda received: answer
    refuse = cut_links.CutMode.REFUSE
    with cut_off.cut_ports(running, ["a-1"], refuse, list(servers.listed)):

        def is_forwarded():
            # Requests that may be repeated probe endpoints at once.
            seen = stream_client.call(running, "again", "1.1")
            is_taken = '"outcome": "taken"' in running.log("a-1")
            return is_taken and seen.status == 200

        assert deployment.wait_until(is_forwarded)
        yield running


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(("framing", "ending"), standin.NOTICEABLE_CUTS)
def test_a_forwarded_answer_that_broke_off_does_not_look_complete(
    forwarding, servers, framing, ending, version
):
    # Guards against a cut that is lost between two entries.
    stream_client.check_cut(forwarding, servers, (framing, ending), version)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("framing", standin.Framing)
def test_a_whole_forwarded_stream_reaches_its_caller_whole(
    forwarding, servers, framing, version
):
    answer = standin.Answer(framing)
    servers.script = lambda received: answer
    seen = stream_client.call(forwarding, "once", version)
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)


def _begin(forwarding, route, version):
    """Returns a caller that has the first events, and what it has."""
    caller = stream_client.open_stream(
        forwarding, stream_client.Attempt.new(route), version
    )
    received = b""
    while b"v1/%d\n\n" % _SENT not in received:
        data = caller.recv(65_536)
        assert data
        received += data
    return caller, received


def _wait_forwarded(forwarding, servers, route):
    """Waits until the entry that forwards knows the other one again."""
    answer = standin.Answer()
    servers.script = lambda received: answer
    assert deployment.wait_until(
        lambda: all(
            stream_client.call(forwarding, route, "1.1").status == 200
            for _ in range(3)
        )
    )


@pytest.mark.parametrize(("framing", "ending"), standin.NOTICEABLE_CUTS)
def test_a_forwarded_stream_that_breaks_off_is_resumed_once(
    forwarding, servers, framing, ending
):
    # Guards against two entries that both go on with a stream.
    cut = standin.Answer(framing, ending, sent=_SENT)
    servers.script = lambda received: (
        standin.Answer(framing) if received.last_event else cut
    )
    seen = stream_client.call(forwarding, "again", "1.1")
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("route", ["once", "again"])
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_forwarded_stream_whose_entry_ends_does_not_look_complete(
    forwarding, servers, number, route, version
):
    # Guards against the orderly end of a killed entry's connections.
    servers.script = lambda received: standin.Answer(pause_s=_PAUSE_S)
    caller, received = _begin(forwarding, route, version)
    forwarding.signal("a-2", number)
    try:
        seen = stream_client.read(caller, received)
    finally:
        forwarding.processes["a-2"].wait()
        forwarding.start_instance("a-2")
        forwarding.wait_ready("a-2")
        _wait_forwarded(forwarding, servers, route)
    assert stream_client.whole().startswith(seen.body)
    assert seen.looks_complete is (seen.body == stream_client.whole())
    if number is signal.SIGKILL:
        assert not seen.looks_complete


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_forwarded_answer_of_a_killed_server_does_not_look_complete(
    forwarding, servers, version
):
    # Guards against an end that only the entry that forwards can't tell.
    with server_process.ServerProcess(_SENT) as process:
        before = dict(servers.listed)
        servers.listed.clear()
        servers.listed[process.port] = standin.Listed("i-p", process.port)
        try:
            time.sleep(_LISTED_S)
            caller, received = _begin(forwarding, "once", version)
            process.kill()
            seen = stream_client.read(caller, received)
        finally:
            servers.listed.update(before)
            del servers.listed[process.port]
            time.sleep(_LISTED_S)
    assert seen.status == 200
    assert not seen.looks_complete
