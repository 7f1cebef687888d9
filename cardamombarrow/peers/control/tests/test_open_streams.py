"""Tests of how control shares which versions have open streams."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.entry.documents import control_news
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_relay
from cardamombarrow.resumption import candidates
from cardamombarrow.resumption import core
from cardamombarrow.resumption import open_streams

_SERVICE = ids.ServiceId("letters")
_OLD, _NEW = (
    core.Origin(_SERVICE, ids.SoftwareVersion(name)) for name in ("v1", "v2")
)
_UNKNOWN_KEY = 0
_ENTRIES = 3


class _Entry:
    """An entry with a link to a control process."""

    def __init__(self, time_source, relay):
        self._clock = time_source
        self._sent = open_streams_relay.Sent()
        self.origins = core.StreamOrigins(time_source)
        self.origins.set_longest_answer_s(1.0)
        self.news = control_news.ControlNews(time_source, self.origins)
        self.link(relay)

    def link(self, relay):
        self._relay = relay
        self._sent = open_streams_relay.Sent()
        self.report(first=True)

    def report(self, *, first=False):
        report = control_pb2.AppliedReport()
        self.news.add_open_streams(report, first=first)
        self._relay.put(_over_the_wire(report), self._clock.now_s())

    def receive(self):
        message = control_pb2.DocumentMessage()
        now_s = self._clock.now_s()
        self._sent = self._relay.fill(message, self._sent, now_s)
        message = _over_the_wire(message)
        self.origins.touch()
        self.news.on_open_streams(
            message.open_streams, message.knows_open_streams
        )

    def list(self, *origins):
        found = [
            messages.KnownEndpoint(
                ids.EndpointId(f"10.0.0.{number}:80"),
                origin.service,
                ids.DomainId("a"),
                software=origin.software,
            )
            for number, origin in enumerate(origins)
        ]
        self.origins.set_listed(found)

    def resolve_unknown(self, class_id=open_streams.ANY_CLASS):
        return self.origins.resolve(_UNKNOWN_KEY, (_SERVICE,), 0.0, class_id)


def _over_the_wire(message):
    return type(message).FromString(message.SerializeToString())


def _relay(time_source, *, founds=False):
    return open_streams_relay.OpenStreamsRelay(founds=founds)


@pytest.fixture
def time_source():
    return clock.ManualClock(100.0)


def test_an_entry_that_starts_knows_the_versions_of_lost_entries(time_source):
    # Guards against a stream that goes on at the only version that is left
    # after all entries that knew another one were lost.
    relay = _relay(time_source, founds=True)
    lost = _Entry(time_source, relay)
    lost.list(_OLD)
    lost.origins.add_own(1, _OLD, time_source.now_s() + 25.0)
    lost.report()
    time_source.advance(10.0)
    started = _Entry(time_source, relay)
    started.list(_NEW)
    started.receive()
    assert started.resolve_unknown().origin is None
    for _ in range(10):
        time_source.advance(5.0)
        started.receive()
    assert started.resolve_unknown().origin == _NEW


def test_a_class_that_moves_to_another_service_keeps_its_streams(time_source):
    # Guards against a stream that goes on at the only service that its route
    # has now, though another one began it.
    relay = _relay(time_source, founds=True)
    lost = _Entry(time_source, relay)
    class_id = ids.ClassId("letter")
    other = core.Origin(ids.ServiceId("replies"), ids.SoftwareVersion("v1"))
    until_s = time_source.now_s() + 25.0
    lost.origins.add_own(1, other, until_s, class_id)
    lost.report()
    started = _Entry(time_source, relay)
    started.list(_OLD)
    started.receive()
    assert started.resolve_unknown(class_id).origin is None
    assert started.resolve_unknown(ids.ClassId("digest")).origin == _OLD


def test_a_class_that_is_renamed_keeps_its_streams(time_source):
    # Guards against a route that gets another name while its streams are open.
    relay = _relay(time_source, founds=True)
    lost = _Entry(time_source, relay)
    until_s = time_source.now_s() + 25.0
    lost.origins.add_own(1, _OLD, until_s, ids.ClassId("letter"))
    lost.report()
    started = _Entry(time_source, relay)
    started.list(_NEW)
    started.receive()
    assert started.resolve_unknown(ids.ClassId("note")).origin is None


def test_streams_that_could_not_be_resumed_may_be_later(time_source):
    # Guards against a document that lets callers resume streams that are open.
    relay = _relay(time_source, founds=True)
    lost = _Entry(time_source, relay)
    until_s = time_source.now_s() + 25.0
    lost.origins.add_own(None, _OLD, until_s, ids.ClassId("letter"))
    lost.report()
    started = _Entry(time_source, relay)
    started.list(_NEW)
    started.receive()
    assert started.resolve_unknown(ids.ClassId("letter")).origin is None


def test_a_control_process_without_a_quorum_vouches_for_nothing(time_source):
    # Guards against one that was cut off, and tells old knowledge as all.
    relay = open_streams_relay.OpenStreamsRelay(
        founds=True, has_quorum=lambda: False
    )
    entry = _Entry(time_source, relay)
    entry.list(_NEW)
    entry.receive()
    assert entry.resolve_unknown().origin is None


def test_a_follower_gets_only_what_has_changed(time_source):
    # Guards against messages that grow with the number of classes.
    relay = _relay(time_source, founds=True)
    entry, other = (_Entry(time_source, relay) for _ in range(2))
    sent = open_streams_relay.Sent()
    for number in range(100):
        until_s = time_source.now_s() + 15.0
        entry.origins.add_own(
            number, _OLD, until_s, ids.ClassId(f"class-{number}")
        )
        entry.report()
        message = control_pb2.DocumentMessage()
        sent = relay.fill(message, sent, time_source.now_s())
        assert len(message.open_streams) == 1
    other.receive()
    assert len(other.origins.take_report(first=True).items) == 100


def test_streams_of_lost_entries_go_on_where_there_is_one_version(time_source):
    # Guards against callers that are refused although nothing can be mixed.
    relay = _relay(time_source, founds=True)
    lost = _Entry(time_source, relay)
    lost.list(_OLD)
    lost.origins.add_own(1, _OLD, time_source.now_s() + 25.0)
    lost.report()
    started = _Entry(time_source, relay)
    started.list(_OLD)
    assert started.resolve_unknown().origin is None
    started.receive()
    assert started.resolve_unknown().origin == _OLD


def test_a_new_control_process_does_not_vouch_for_what_it_was_not_told(
    time_source,
):
    # Guards against control processes and entries that start together, and
    # take the versions that they see for all.
    entry = _Entry(time_source, _relay(time_source))
    entry.list(_NEW)
    entry.receive()
    assert entry.resolve_unknown().origin is None


@pytest.mark.parametrize("teller", ["control", "entry"])
def test_a_new_control_process_is_told_by_one_that_knows(time_source, teller):
    # Guards against a restart of control after which streams are refused.
    before, after = _relay(time_source, founds=True), _relay(time_source)
    entry = _Entry(time_source, before)
    entry.list(_OLD)
    entry.receive()
    if teller == "entry":
        entry.link(after)
    else:
        reply = control_pb2.FollowersReply()
        before.fill_reply(reply, time_source.now_s())
        after.put(_over_the_wire(reply), time_source.now_s())
    other = _Entry(time_source, after)
    other.list(_OLD)
    other.receive()
    assert other.resolve_unknown().origin == _OLD


def test_little_is_reported_while_one_version_serves(time_source):
    # Guards against reports that grow with the number of streams.
    entry = _Entry(time_source, _relay(time_source, founds=True))
    entry.list(_OLD)
    reported = 0
    for key in range(1, 1_001):
        entry.origins.add_own(key, _OLD, time_source.now_s() + 15.0)
        reported += len(entry.origins.take_report(first=False).items)
        time_source.advance(0.01)
    assert reported <= 10.0 / (open_streams.REPORT_AHEAD_S / 2) + 1


_INDEX = strategies.integers(0, _ENTRIES - 1)
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("begin"),
            _INDEX,
            strategies.sampled_from([_OLD, _NEW]),
            strategies.floats(0.5, 60.0),
        ),
        strategies.tuples(
            strategies.just("list"),
            _INDEX,
            strategies.sampled_from([(), (_OLD,), (_NEW,), (_OLD, _NEW)]),
        ),
        strategies.tuples(strategies.just("restart"), _INDEX),
        strategies.tuples(strategies.just("restart_all")),
        strategies.tuples(strategies.just("restart_control")),
        strategies.tuples(strategies.just("lower_limit"), _INDEX),
        strategies.tuples(strategies.just("wait"), strategies.floats(0.1, 9.0)),
        strategies.tuples(strategies.just("stand_still"), _INDEX),
    ),
    max_size=40,
)


class _Deployment:
    """Entries and one control process; reports arrive at once."""

    def __init__(self):
        self.time_source = clock.ManualClock(100.0)
        self.relay = _relay(self.time_source, founds=True)
        self.entries = [self._start() for _ in range(_ENTRIES)]
        self.still = set()
        self.open = []

    def _start(self):
        return _Entry(self.time_source, self.relay)

    def begin(self, index, origin, limit_s):
        until_s = self.time_source.now_s() + limit_s
        self.open.append((origin, until_s))
        self.entries[index].origins.add_own(len(self.open), origin, until_s)
        self.entries[index].report()

    def list(self, index, origins):
        self.entries[index].list(*origins)
        self.entries[index].report()

    def restart(self, index):
        self.entries[index] = self._start()
        self.still.discard(index)

    def restart_all(self):
        for index in range(_ENTRIES):
            self.restart(index)

    def restart_control(self):
        self.relay = _relay(self.time_source)
        for index, entry in enumerate(self.entries):
            if index not in self.still:
                entry.link(self.relay)

    def lower_limit(self, index):
        self.entries[index].origins.set_longest_answer_s(0.1)

    def stand_still(self, index):
        """Lets an entry miss all news for longer than its link lasts."""
        self.still.add(index)
        self.wait(candidates.SILENCE_S)
        self.still.discard(index)
        self.check(self.entries[index])
        self.entries[index].link(self.relay)

    def wait(self, time_s):
        self.time_source.advance(time_s)

    def check(self, entry):
        now_s = self.time_source.now_s()
        resolved = entry.resolve_unknown()
        if resolved.origin is not None:
            begun = {origin for origin, until_s in self.open if until_s > now_s}
            assert begun <= {resolved.origin}

    def check_all(self):
        for index, entry in enumerate(self.entries):
            if index not in self.still:
                entry.receive()
                self.check(entry)


@hypothesis.given(_STEPS)
@hypothesis.example(
    [
        ("begin", 0, _OLD, 1.0),
        ("begin", 0, _OLD, 7.0),
        ("wait", 6.0),
        ("list", 1, (_NEW,)),
    ]
)
@hypothesis.settings(max_examples=400, deadline=None)
def test_no_entry_takes_another_version_for_the_only_one(steps):
    # Guards against streams of two versions, whoever starts, stands still or
    # sees which list.
    deployment = _Deployment()
    for name, *arguments in steps:
        getattr(deployment, name)(*arguments)
        deployment.check_all()
