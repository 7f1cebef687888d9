"""Answers that servers end in all ways, to callers of HTTP/1.0 and 1.1."""

import signal
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_SENT = 3
_CLOSE = standin.Framing.CLOSE


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    for number in range(3):
        servers.start(f"i-{number}")
    folder = tmp_path_factory.mktemp("ends")
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    ("framing", "ending"),
    standin.NOTICEABLE_CUTS,
)
def test_an_answer_that_broke_off_does_not_look_complete(
    running, servers, ending, framing, version
):
    # Guards against callers that take a cut answer for a whole one.
    stream_client.check_cut(running, servers, (framing, ending), version)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    ("framing", "ending"), [each for each in standin.CUTS if each[1].cuts_event]
)
def test_a_stream_that_broke_off_in_an_event_is_resumed(
    running, servers, ending, framing, version
):
    # Guards against half an event passed on, after which none can follow.
    cut = standin.Answer(framing, ending, stream_client.EVENTS, _SENT)

    def script(received):
        return standin.Answer(framing) if received.last_event else cut

    servers.script = script
    seen = stream_client.call(running, "again", version)
    whole = stream_client.whole()
    assert seen == stream_client.Seen(200, whole, looks_complete=True)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "ending",
    [standin.Ending.WHOLE, standin.Ending.RESET_BETWEEN_EVENTS],
)
def test_an_answer_without_events_that_was_reset_does_not_look_complete(
    running, servers, ending, version
):
    # Guards against answers without a length that are taken for whole ones.
    answer = standin.Answer(_CLOSE, ending, content_type="text/plain")
    servers.script = lambda received: answer
    seen = stream_client.call(running, "once", version)
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
    seen = stream_client.call(running, route, version)
    assert seen == stream_client.Seen(
        200, stream_client.whole(line_end=line_end), looks_complete=True
    )


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("route", ["once", "again"])
def test_events_are_passed_on_as_they_arrive(running, servers, route, line_end):
    # Guards against events that wait for the end of their stream.
    answer = standin.Answer(pause_s=0.3, line_end=line_end)
    servers.script = lambda received: answer
    with stream_client.open_stream(
        running, stream_client.Attempt.new(route)
    ) as caller:
        received = b""
        while b"v1/1" + line_end not in received:
            received += caller.recv(65_536)
        assert b"v1/3" not in received


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_the_end_of_a_process_does_not_end_an_answer(running, servers, version):
    # Guards against answers that look complete since their entry was killed.
    answer = standin.Answer(pause_s=0.3)
    servers.script = lambda received: answer
    caller = stream_client.open_stream(
        running, stream_client.Attempt.new("once"), version, "a-2"
    )
    time.sleep(0.8)
    running.restart("a-2", signal.SIGKILL)
    seen = stream_client.read(caller)
    assert seen.status == 200
    assert not seen.looks_complete
