"""Streams in front of servers of two software versions, on real processes."""

import contextlib
import itertools
import signal
import socket
import time

import pytest

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_STREAMS = 24
_ROUNDS = 6
_PAUSE_S = 0.25
_CUT_AFTER = 2
_VERSIONS = ("v1", "v2")
_LISTED_S = 1.2
"""Time in which all entries have read the list."""

_LEAST_SHARE = 0.5
"""Least share of streams that go on, while all new ones begin."""

_identities = itertools.count(1)


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    _start(servers, ("v1",))
    folder = tmp_path_factory.mktemp("versions")
    plan = stream_client.plan(
        servers.listing_url, {"a": ["a-1", "a-2"], "b": ["b-1", "b-2"]}
    )
    with deployment.Deployment(plan, folder) as started:
        yield started


@pytest.fixture(scope="module")
def with_lone_entry(servers, tmp_path_factory):
    """A deployment whose first failure domain has a single entry."""
    _start(servers, ("v1",))
    folder = tmp_path_factory.mktemp("lone")
    plan = stream_client.plan(
        servers.listing_url, {"a": ["a-1"], "b": ["b-1", "b-2"]}
    )
    with deployment.Deployment(plan, folder) as started:
        yield started


def _start(servers, versions):
    return [
        servers.start(f"i-{next(_identities)}", version=version)
        for version in versions
    ]


def _replace(servers, versions):
    """Replaces all servers."""
    before = list(servers.listed.values())
    started = _start(servers, versions)
    for listed in before:
        servers.crash(listed)
    time.sleep(_LISTED_S)
    return started


def _paced(received):
    return standin.Answer(pause_s=_PAUSE_S)


def _begin(running, count, name="a-1"):
    attempts = [stream_client.Attempt.new("again") for _ in range(count)]
    return [
        (each, stream_client.open_stream(running, each, name=name))
        for each in attempts
    ]


def _wait_begun(servers, begun):
    """Waits until a server runs each stream: a late one begins elsewhere."""
    attempts = {each.attempt for each, _ in begun}
    assert deployment.wait_until(
        lambda: attempts <= {each.attempt for each in servers.received}
    )


def _versions(*answers):
    return {version for seen in answers for version, _ in seen.events}


def _numbers(*answers):
    return [number for seen in answers for _, number in seen.events]


def test_a_stream_goes_on_at_the_version_that_began_it(running, servers):
    # Guards against a stream whose events two software versions wrote.
    _replace(servers, 2 * _VERSIONS)
    cut = standin.Answer(
        ending=standin.Ending.RESET_IN_EVENT, sent=_CUT_AFTER, pause_s=_PAUSE_S
    )
    servers.script = lambda received: (
        _paced(received) if received.last_event else cut
    )
    for _ in range(_ROUNDS):
        for _, caller in _begin(running, _STREAMS // _ROUNDS):
            seen = stream_client.read(caller)
            assert len(_versions(seen)) == 1
            assert seen.looks_complete
            assert _numbers(seen) == list(range(1, stream_client.EVENTS + 1))


def test_a_stream_is_cut_off_if_no_server_of_its_version_is_left(
    running, servers
):
    # Guards against another version's events where nothing else is left.
    (first,) = _replace(servers, ("v1",))
    servers.script = lambda received: standin.Answer(pause_s=2 * _PAUSE_S)
    begun = _begin(running, 8)
    _wait_begun(servers, begun)
    _start(servers, ("v2", "v2"))
    time.sleep(_LISTED_S)
    servers.crash(first)
    for _, caller in begun:
        seen = stream_client.read(caller)
        assert _versions(seen) <= {"v1"}
        assert not seen.looks_complete


def _share_that_goes_on(running, begun, names):
    """Has all callers take up their streams at once, at these entries.

    Returns:
        The share of streams that reach their ends.
    """
    entries = itertools.cycle(names)
    resumed = []
    for attempt, caller in begun:
        before = stream_client.read(caller)
        if before.events:
            again = attempt.again(max(_numbers(before)))
            resumed.append(
                (
                    before,
                    stream_client.open_stream(
                        running, again, name=next(entries)
                    ),
                )
            )
    assert len(resumed) > len(begun) / 2
    went_on = 0
    for before, caller in resumed:
        after = stream_client.read(caller)
        assert len(_versions(before, after)) == 1
        numbers = _numbers(before, after)
        assert numbers == list(range(1, len(numbers) + 1))
        went_on += after.looks_complete and after.status == 200
    return went_on / len(resumed)


@pytest.mark.parametrize("killed", ["a-1", "a-2", "b-1"])
def test_streams_of_a_killed_entry_go_on_at_their_version(
    running, servers, killed
):
    # Guards against a caller that comes back at an entry that does not know
    # which software version began its stream.
    _replace(servers, 2 * _VERSIONS)
    servers.script = _paced
    begun = _begin(running, _STREAMS, killed)
    _wait_begun(servers, begun)
    time.sleep(2.5 * _PAUSE_S)
    running.signal(killed, signal.SIGKILL)
    running.processes[killed].wait()
    try:
        others = sorted({"a-1", "a-2", "b-1", "b-2"} - {killed})
        assert _share_that_goes_on(running, begun, others) >= _LEAST_SHARE
    finally:
        running.start_instance(killed)
        running.wait_ready(killed)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize(
    ("ended", "others"), [("a-1", ["b-1", "b-2"]), ("b-1", ["a-1"])]
)
def test_streams_go_on_in_the_domain_of_a_lone_entry_and_from_there(
    with_lone_entry, servers, ended, others, number
):
    # Guards against streams whose software version only the single entry of a
    # failure domain knows, and against such an entry that knows no others.
    running = with_lone_entry
    _replace(servers, 2 * _VERSIONS)
    servers.script = _paced
    begun = _begin(running, _STREAMS, ended)
    _wait_begun(servers, begun)
    time.sleep(2.5 * _PAUSE_S)
    running.signal(ended, number)
    time.sleep(0.1)
    for _, caller in begun:
        with contextlib.suppress(OSError):
            caller.shutdown(socket.SHUT_WR)
    try:
        assert _share_that_goes_on(running, begun, others) >= _LEAST_SHARE
    finally:
        running.processes[ended].wait()
        running.start_instance(ended)
        running.wait_ready(ended)


def test_a_restarted_entry_knows_the_streams_that_others_began(
    running, servers
):
    # Guards against an entry that forgets with its process.
    _replace(servers, 2 * _VERSIONS)
    servers.script = _paced
    begun = _begin(running, _STREAMS, "a-2")
    _wait_begun(servers, begun)
    time.sleep(2.5 * _PAUSE_S)
    for _, caller in begun:
        with contextlib.suppress(OSError):
            caller.shutdown(socket.SHUT_WR)
    running.restart("a-1", signal.SIGKILL)
    assert _share_that_goes_on(running, begun, ["a-1"]) >= _LEAST_SHARE


def test_a_stream_that_nobody_knows_is_not_resumed(running, servers):
    # Guards against a guess where two software versions serve.
    _replace(servers, 2 * _VERSIONS)
    servers.script = lambda received: standin.Answer()
    servers.received.clear()
    unknown = stream_client.Attempt.new("again").again(2)
    seen = stream_client.read(stream_client.open_stream(running, unknown))
    assert seen.status == 503
    assert not [each for each in servers.received if each.last_event]
