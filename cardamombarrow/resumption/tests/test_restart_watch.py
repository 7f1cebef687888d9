"""Tests of the judgement of broken connections."""

import pytest

from cardamombarrow.endpoints import open_connections
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.resumption import restart_watch
from cardamombarrow.resumption import software_doubts

_ENDPOINT, _OTHER = (
    ids.endpoint_id(f"10.0.0.{number}:80", f"i-{number}") for number in (1, 2)
)
_LAG_S = 5.0
_IDLE_S = 4.0


class _Connection:
    """A connection without a socket."""

    def __init__(self):
        self.is_busy = True
        self.whole = False
        self.was_reset = False
        self.usable_until_s = 0.0
        self.ended = False
        self._on_close = lambda: None

    def has_hung_up(self):
        return self.ended

    def set_close_listener(self, listener):
        self._on_close = listener

    def close(self):
        self._on_close()


class _World:
    """An entry's connections, and what it is told of doubts."""

    def __init__(self):
        self.clock = clock.ManualClock(100.0)
        self.connections = open_connections.OpenConnections(self.clock.now_s)
        self.begun = []
        self.ended = []
        self.doubted = frozenset()
        self.watch = restart_watch.RestartWatch(
            self.connections,
            self.clock,
            _LAG_S,
            restart_watch.Listeners(
                lambda endpoint, since_s: self.begun.append(
                    (endpoint, since_s)
                ),
                self.ended.append,
                self._set_doubted,
            ),
        )
        self.connections.set_break_listener(self.watch.on_break)

    def _set_doubted(self, doubted):
        self.doubted = doubted

    def connect(self, count=1, endpoint=_ENDPOINT):
        found = [_Connection() for _ in range(count)]
        for each in found:
            self.connections.add(endpoint, each)
        return found

    def break_(self, *broken):
        """Has connections break, and their requests notice it."""
        for each in broken:
            each.ended = True
            self.connections.report_break(_ENDPOINT, each)
            each.close()

    def judge(self):
        self.clock.advance(restart_watch.JUDGED_AFTER_S)
        self.watch.judge()
        return self.watch.is_in_doubt(_ENDPOINT)


@pytest.fixture
def world():
    return _World()


def test_an_endpoint_that_ends_all_connections_is_doubted(world):
    # Guards against streams that go on at an endpoint that came back under its
    # identity with other software.
    since_s = world.clock.now_s()
    world.connect(1, _OTHER)
    world.break_(*world.connect(2))
    assert world.judge()
    assert world.begun == [(_ENDPOINT, since_s)]
    assert world.doubted == {_ENDPOINT}
    assert not world.watch.is_in_doubt(_OTHER)


@pytest.mark.parametrize("broken", [1, 3])
def test_an_endpoint_with_an_older_open_connection_is_not_doubted(
    world, broken
):
    # Guards against streams that do not go on where single answers are reset.
    connections = world.connect(broken + 1)
    world.break_(*connections[1:])
    world.connect(2)
    assert not world.judge()


def test_a_lone_connection_shows_nothing(world):
    # Guards against the same where an entry has one connection to an endpoint.
    world.break_(*world.connect())
    assert not world.judge()


@pytest.mark.parametrize("resets", [1, 2])
def test_resets_alone_show_nothing(world, resets):
    # Guards against streams that do not go on where an endpoint resets all
    # answers that it gives at one time.
    broken = world.connect(2)
    for each in broken[:resets]:
        each.was_reset = True
    world.break_(*broken)
    assert world.judge() is (resets < 2)


def test_a_connection_that_is_refused_shows_the_end(world):
    # Guards against a process that has ended while one connection was open.
    world.break_(*world.connect())
    world.connections.report_break(_ENDPOINT)
    assert world.judge()


def test_newer_connections_do_not_show_that_a_process_goes_on(world):
    # Guards against connections to the new process that are taken for a sign
    # that the old one has gone on.
    old = world.connect(2)
    for each in old:
        each.ended = True
    world.connect()
    world.break_(*old)
    assert world.judge()


def test_sockets_of_a_process_may_close_one_after_the_other(world):
    # Guards against an endpoint that is judged by its first broken connection.
    first, second = world.connect(2)
    world.break_(first)
    world.clock.advance(restart_watch.JUDGED_AFTER_S / 2)
    world.watch.judge()
    second.ended = True
    assert world.judge()


def test_connections_that_end_after_their_answers_show_nothing(world):
    # Guards against endpoints that close each connection after its answer, as
    # found by a new connection before their requests have read the end.
    for each in world.connect(2):
        each.ended = each.whole = True
    world.connect()
    assert not world.judge()


@pytest.mark.parametrize("idle_s", [_IDLE_S - 0.1, _IDLE_S + 0.1])
def test_only_an_early_end_of_an_idle_connection_shows_the_end(world, idle_s):
    # Guards against a keep-alive time that has passed, taken for a restart.
    (idle,) = world.connect()
    idle.is_busy, idle.whole = False, True
    idle.usable_until_s = world.clock.now_s() + _IDLE_S
    world.clock.advance(idle_s)
    idle.ended = True
    world.connect()
    assert world.judge() is (idle_s < _IDLE_S)


def test_a_doubt_ends_with_a_list_that_was_fetched_late_enough(world):
    # Guards against a list that was fetched before the restart was listed.
    world.break_(*world.connect(2))
    broke_s = world.clock.now_s()
    assert world.judge()
    world.clock.advance(2 * _LAG_S)
    world.watch.on_listing(broke_s + _LAG_S - 0.1)
    assert world.watch.is_in_doubt(_ENDPOINT)
    world.watch.on_listing(broke_s + _LAG_S)
    assert not world.watch.is_in_doubt(_ENDPOINT)
    assert world.ended == [_ENDPOINT]
    assert not world.doubted


def test_another_restart_prolongs_a_doubt():
    # Guards against a list that shows the first restart only.
    doubts = software_doubts.SoftwareDoubts(_LAG_S)
    assert doubts.begin(_ENDPOINT, 1.0)
    assert not doubts.begin(_ENDPOINT, 3.0)
    assert not doubts.end(1.0 + _LAG_S)
    assert doubts.end(3.0 + _LAG_S) == [_ENDPOINT]


def test_a_break_that_is_not_judged_counts_as_a_doubt(world, monkeypatch):
    # Guards against a stream that goes on before the judgement, on a machine
    # that is too busy for it.
    monkeypatch.setattr(restart_watch, "MAX_WAIT_S", 0.0)
    world.break_(*world.connect(2))
    assert world.watch.is_in_doubt(_ENDPOINT)


def test_breaks_are_judged_in_time(world):
    # Guards against streams that wait for a judgement that never comes.
    world.watch = restart_watch.RestartWatch(
        world.connections,
        clock.SystemClock(),
        _LAG_S,
        restart_watch.Listeners(
            lambda endpoint, since_s: None,
            lambda endpoint: None,
            world._set_doubted,
        ),
    )
    world.watch.start()
    try:
        world.break_(*world.connect(2))
        world.watch.wait_judged()
        assert world.doubted == {_ENDPOINT}
    finally:
        world.watch.stop()


def test_a_retry_that_is_cut_like_its_first_attempt_raises_no_doubt():
    # Guards against doubts of an endpoint that goes on and cuts two answers in
    # turn, the second one on a connection made after the first cut.
    world = _World()
    (first,) = world.connect(1)
    world.break_(first)
    world.clock.advance(0.02)
    (second,) = world.connect(1)
    world.break_(second)
    world.connect(1)
    world.clock.advance(0.03)
    world.watch.judge()
    assert not world.watch.is_in_doubt(_ENDPOINT)
