"""Streams that go on while an earlier run, server or try of them lives on."""

import itertools
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_SENT = 3
_CUT = standin.Ending.RESET_BETWEEN_EVENTS
_SILENCES_S = (1.9, 2.0, 2.02, 2.05, 2.1, 2.2, 2.3, 2.4)
"""Silences around that after which a stream goes on elsewhere."""

_LISTED_S = 1.2
"""Time in which all entries have read the list."""

_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    servers.start("i-0")
    folder = tmp_path_factory.mktemp("overlapping")
    plan = stream_client.plan(servers.listing_url, {"a": ["a-1", "a-2"]})
    with deployment.Deployment(plan, folder) as started:
        yield started


def _replace(servers, count, version="v1"):
    """Replaces all servers."""
    before = list(servers.listed.values())
    for _ in range(count):
        servers.start(f"i-{next(_numbers)}", version=version)
    for listed in before:
        servers.crash(listed)
    time.sleep(_LISTED_S)


@pytest.mark.parametrize("framing", standin.Framing)
def test_a_stream_that_was_silent_holds_each_event_once(
    running, servers, framing
):
    # Guards against events of a connection that comes back to life while the
    # stream goes on elsewhere.
    _replace(servers, 3)
    silences_s = iter(_SILENCES_S)

    def script(received):
        if received.last_event:
            return standin.Answer(framing)
        return standin.Answer(framing, pause_s=next(silences_s), pause_at=_SENT)

    servers.script = script
    servers.received.clear()
    callers = [
        stream_client.open_stream(running, stream_client.Attempt.new("again"))
        for _ in _SILENCES_S
    ]
    for caller in callers:
        seen = stream_client.read(caller)
        assert seen == stream_client.Seen(
            200, stream_client.whole(), looks_complete=True
        )
    resumed = [each for each in servers.received if each.last_event]
    assert resumed


def test_a_stream_goes_on_for_its_caller_and_inside_its_answer(
    running, servers
):
    # Guards against two runs of one stream whose events mix.
    _replace(servers, 3)
    servers.script = lambda received: (
        standin.Answer(pause_s=0.1)
        if received.last_event
        else standin.Answer(ending=_CUT, sent=_SENT, pause_s=0.1)
    )
    begun = []
    for _ in range(8):
        attempt = stream_client.Attempt.new("again")
        begun.append((attempt, stream_client.open_stream(running, attempt)))
    time.sleep(0.45)
    again = [
        stream_client.open_stream(running, attempt.again(number), name="a-2")
        for number, (attempt, _) in zip(
            itertools.cycle((1, 2, 3)), begun, strict=False
        )
    ]
    for (_, caller), other, after in zip(
        begun, again, itertools.cycle((1, 2, 3)), strict=False
    ):
        first = stream_client.read(caller)
        assert first == stream_client.Seen(
            200, stream_client.whole(), looks_complete=True
        )
        second = stream_client.read(other)
        assert second.status == 200
        assert second.looks_complete
        assert [number for _, number in second.events] == list(
            range(after + 1, stream_client.EVENTS + 1)
        )


def _after_cut(servers, change):
    """Has the first stream break off, and something change right before."""

    def script(received):
        if received.last_event:
            return standin.Answer()
        return standin.Answer(
            ending=_CUT,
            sent=_SENT,
            pause_s=0.2,
            pause_at=1,
            on_begun=lambda: change(received),
        )

    servers.script = script


def test_a_server_that_comes_back_elsewhere_goes_on(running, servers):
    # Guards against a server whose identity is known at two addresses.
    _replace(servers, 1)
    (listed,) = servers.listed.values()

    def move(received):
        servers.listed.pop(listed.port, None)
        servers.start(received.identity)

    _after_cut(servers, move)
    seen = stream_client.call(running, "again", "1.1")
    assert stream_client.whole().startswith(seen.body)
    assert len(seen.events) >= _SENT
    assert seen.looks_complete is (seen.body == stream_client.whole())


def test_a_stream_does_not_go_on_at_the_next_server_of_an_address(
    running, servers
):
    # Guards against the software of a server that took over an address.
    _replace(servers, 2)

    def take_over(_):
        for listed in list(servers.listed.values()):
            servers.listed[listed.port] = standin.Listed(
                f"i-{next(_numbers)}", listed.port, version="v2"
            )

    _after_cut(servers, take_over)
    seen = stream_client.call(running, "again", "1.1")
    assert {version for version, _ in seen.events} == {"v1"}
    assert not seen.looks_complete
