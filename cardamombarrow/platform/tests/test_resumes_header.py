"""Streams whose callers name in `Resumes` nothing, or not what they should."""

from concurrent import futures
import dataclasses
import itertools
import socket
import time

import pytest

from cardamombarrow.platform.tests import returning_callers
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

pytestmark = pytest.mark.process

_ENTRIES = {"a": ["a-1", "a-2"], "b": ["b-1", "b-2"]}
_NAMES = [name for group in _ENTRIES.values() for name in group]
_LIMIT_MS = 20_000
_ROUTE = stream_client.Route("again", limit_ms=_LIMIT_MS)
_ZONES = {"v1": "a", "v2": "b"}
"""Each version serves in one domain, so that callers that come back in the
other one meet the wrong version first."""

_LISTED_S = 1.2
"""Time in which all entries have read the list."""

_SERVERS_OF_EACH = 3
_STREAMS = 24
_PAUSE_S = 0.25
_CUT_AFTER = 2
_UNKNOWN = 1_000
_CALLERS = 48
_AMID_S = 2.0
"""Time after which known streams are taken up beside unknown ones."""

_LEAST_SHARE = 0.5
_LONG_TEXT = 60_000


@pytest.fixture(scope="module")
def servers():
    def answer(received):
        return standin.Answer(pause_s=_PAUSE_S)

    with standin.Servers(answer) as started:
        for version, zone in _ZONES.items():
            for number in range(_SERVERS_OF_EACH):
                identity = f"{version}-{number}"
                started.start(identity, version=version, zone=zone)
        yield started


@pytest.fixture(scope="module")
def running(servers, tmp_path_factory):
    plan = stream_client.plan(servers.listing_url, _ENTRIES, (_ROUTE,))
    folder = tmp_path_factory.mktemp("resumes")
    with deployment.Deployment(plan, folder) as started:
        yield started


@dataclasses.dataclass
class _Begun:
    """A stream whose caller has closed its connection in the middle.

    Attributes:
        first: The attempt that brought the first event.
        events: Version and number of each event so far.
    """

    first: stream_client.Attempt
    events: list[tuple[str, int]]

    @property
    def again(self):
        """The next attempt, which names the first one."""
        return self.first.again(self.events[-1][1])


def _new():
    attempt = stream_client.Attempt.new(_ROUTE.name)
    return dataclasses.replace(attempt, limit_ms=_LIMIT_MS)


def _break_off(running, attempt, name, events=_CUT_AFTER):
    """Returns the first events of an answer, and closes the connection."""
    raw = b""
    with stream_client.open_stream(running, attempt, name=name) as caller:
        while data := caller.recv(65_536):
            raw += data
            seen = stream_client.parse(raw, True)
            if len(seen.events) >= events:
                caller.shutdown(socket.SHUT_RDWR)
                break
    return stream_client.parse(raw, True).events


def _begin(running, servers):
    """Has callers begin streams at each version, and leave in the middle."""

    def begin(name):
        attempt = _new()
        return _Begun(attempt, _break_off(running, attempt, name))

    begun = []
    for version in _ZONES:
        for each in servers.listed.values():
            each.state = "ready" if each.version == version else "draining"
        time.sleep(_LISTED_S)
        with futures.ThreadPoolExecutor(_CALLERS) as pool:
            begun += pool.map(begin, (_STREAMS // 2 // len(_NAMES)) * _NAMES)
    for each in servers.listed.values():
        each.state = "ready"
    time.sleep(_LISTED_S)
    assert all(each.events for each in begun)
    versions = {version for each in begun for version, _ in each.events}
    assert versions == set(_ZONES)
    return begun


def _resume(running, attempts):
    """Sends attempts at once, each in the other domain."""

    def send(attempt, name):
        end_s = time.monotonic() + attempt.limit_ms / 1_000
        return returning_callers.try_once(running, attempt, name, end_s)

    with futures.ThreadPoolExecutor(_CALLERS) as pool:
        names = itertools.cycle(_NAMES[2:] + _NAMES[:2])
        return list(pool.map(send, attempts, names))


def _check_same_version(begun, answers):
    for each, seen in zip(begun, answers, strict=True):
        events = each.events + seen.events
        assert len({version for version, _ in events}) == 1
        numbers = [number for _, number in events]
        assert numbers == list(range(1, len(numbers) + 1))


def _share_that_went_on(answers):
    return sum(bool(each.events) for each in answers) / len(answers)


def test_resumes_is_missing(running, servers):
    # Guards against a guess for callers that do not say what they take up.
    begun = _begin(running, servers)
    attempts = [dataclasses.replace(each.again, resumes="") for each in begun]
    answers = _resume(running, attempts)
    _check_same_version(begun, answers)
    assert {each.status for each in answers} == {503}


def test_resumes_names_a_later_attempt(running, servers):
    # Guards against streams that go on at the version that one of their later
    # attempts met, and against such attempts taken for first ones.
    begun = _begin(running, servers)
    later = []
    for each, name in zip(begun, itertools.cycle(_NAMES)):
        attempt = each.again
        each.events += _break_off(running, attempt, name, 1)
        later.append(dataclasses.replace(each.again, resumes=attempt.attempt))
    answers = _resume(running, later)
    print(f"{_share_that_went_on(answers):.3f} went on")
    _check_same_version(begun, answers)


def test_resumes_names_an_attempt_without_events(running, servers):
    # Guards against a refused attempt that is taken for the stream's origin.
    begun = _begin(running, servers)
    unknown = [
        dataclasses.replace(each.again, resumes="none-such") for each in begun
    ]
    _resume(running, unknown)
    refused = [
        dataclasses.replace(each.again, resumes=attempt.attempt)
        for each, attempt in zip(begun, unknown, strict=True)
    ]
    answers = _resume(running, refused)
    _check_same_version(begun, answers)
    assert {each.status for each in answers} == {503}


def test_unknown_streams_by_the_thousand(running, servers):
    # Guards against guesses under load, and against known streams that are
    # forgotten or held up beside unknown ones.
    begun = _begin(running, servers)
    attempts = [_new().again(_CUT_AFTER) for _ in range(_UNKNOWN)]
    with futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(_resume, running, attempts)
        time.sleep(_AMID_S)
        later = _resume(running, [each.again for each in begun])
        answers = pending.result()
    assert not any(each.events for each in answers)
    unknown = {each.attempt for each in attempts}
    assert not [each for each in servers.received if each.attempt in unknown]
    _check_same_version(begun, later)
    assert _share_that_went_on(later) >= _LEAST_SHARE


@pytest.mark.parametrize("length", [10_000, _LONG_TEXT])
def test_resumes_is_long(running, servers, length):
    # Guards against a name that is cut short, or that ends the entry.
    begun = _begin(running, servers)
    servers.received.clear()
    attempts = [
        dataclasses.replace(
            each.again, resumes=each.first.attempt + length * "x"
        )
        for each in begun
    ]
    answers = _resume(running, attempts)
    assert not any(each.events for each in answers)
    assert not [each for each in servers.received if each.last_event]
    later = _resume(running, [each.again for each in begun])
    _check_same_version(begun, later)
    assert _share_that_went_on(later) >= _LEAST_SHARE
