"""Streams whose server's process is killed between two events."""

import time

import pytest

from cardamombarrow.platform.tests import server_process
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_SENT = 3
_LISTED_S = 1.2
"""Time in which all entries have read the list."""


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    folder = tmp_path_factory.mktemp("killed")
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    servers.start("i-0")
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.fixture
def process(servers, running, request):
    """A server of its own process, the only one that is listed."""
    for listed in list(servers.listed.values()):
        servers.crash(listed)
    options = getattr(request, "param", ())
    with server_process.ServerProcess(_SENT, *options) as started:
        servers.listed[started.port] = standin.Listed(
            f"i-{started.port}", started.port
        )
        time.sleep(_LISTED_S)
        yield started


def _begin(running, route, version):
    caller = stream_client.open_stream(
        running, stream_client.Attempt.new(route), version
    )
    received = b""
    while b"v1/%d\n\n" % _SENT not in received:
        received += caller.recv(65_536)
    return received, caller


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "process",
    [(), ("--content-type", "text/plain")],
    indirect=True,
    ids=["stream", "text"],
)
def test_an_answer_whose_server_is_killed_does_not_look_complete(
    running, process, version
):
    # Guards against the orderly end of a killed process's connections.
    received, caller = _begin(running, "once", version)
    process.kill()
    seen = stream_client.read(caller, received)
    assert seen.status == 200
    assert not seen.looks_complete
    assert stream_client.whole().startswith(seen.body)


def test_a_stream_of_a_killed_server_goes_on_at_another(
    running, servers, process
):
    # Guards against streams that end early where they could be resumed.
    received, caller = _begin(running, "again", "1.1")
    servers.script = lambda received: standin.Answer()
    servers.start("i-other")
    time.sleep(_LISTED_S)
    process.kill()
    seen = stream_client.read(caller, received)
    assert seen == stream_client.Seen(
        200, stream_client.whole(), looks_complete=True
    )


def test_a_whole_stream_of_a_killed_server_stays_whole(
    running, servers, process
):
    # Guards against the last events, or its end, that come twice or never.
    received, caller = _begin(running, "again", "1.1")
    nothing_left = standin.Answer(events=_SENT)
    servers.script = lambda received: nothing_left
    servers.start("i-other")
    time.sleep(_LISTED_S)
    process.kill()
    seen = stream_client.read(caller, received)
    assert seen.looks_complete
    assert [number for _, number in seen.events] == list(range(1, _SENT + 1))
