"""Tests of how control shares which versions have open streams."""

from concurrent import futures
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.entry.documents import control_news
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.control import open_streams_recovery
from cardamombarrow.peers.control import open_streams_relay
from cardamombarrow.peers.control import open_streams_rounds
from cardamombarrow.resumption import candidates
from cardamombarrow.resumption import core
from cardamombarrow.resumption import open_streams
from cardamombarrow.resumption import rounds

_SERVICE = ids.ServiceId("letters")
_OLD, _NEW = (
    core.Origin(_SERVICE, ids.SoftwareVersion(name)) for name in ("v1", "v2")
)
_UNKNOWN_KEY = 0
_ENTRIES = 3
_NUMBERS = itertools.count()


class _Entry:
    """An entry that follows the first of some control processes.

    Attributes:
        reached: The control processes that answer it.
    """

    def __init__(self, time_source, *relays):
        self._clock = time_source
        self._sent = open_streams_relay.Sent()
        self.reached = list(relays)
        self._control_count = len(relays)
        self.rounds = 0
        self.origins = core.StreamOrigins(time_source)
        self.origins.set_longest_answer_s(1.0)
        self.origins.set_round_starter(self._round)
        self.news = control_news.ControlNews(time_source, self.origins)
        self.link(relays[0])

    def link(self, relay):
        self._relay = relay
        if self._control_count == 1:
            self.reached = [relay]
        self._sent = open_streams_relay.Sent()
        self.report(first=True)

    def report(self, *, first=False):
        report = control_pb2.AppliedReport()
        self.news.add_open_streams(report, first=first)
        self._relay.put_report(_over_the_wire(report), self._clock.now_s())

    def _round(self, wants_all, stream=None):
        del stream
        self.rounds += 1
        now_s = self._clock.now_s()
        stored = self.origins.unacknowledged()
        request = control_pb2.OpenStreamsRequest(
            open_streams=open_streams_codec.open_streams_to_wire(stored, now_s),
            wants_all=wants_all,
        )
        answers = open_streams_rounds.Answers(self._control_count)
        for relay in self.reached:
            relay.put_request(_over_the_wire(request), now_s)
            reply = _over_the_wire(relay.reply(request, now_s))
            answers.add(reply, now_s)
        result = answers.result(wants_all=wants_all)
        if result is not rounds.RoundResult.NO_MAJORITY:
            self.origins.acknowledge(stored)
        ended = futures.Future()
        self.origins.end_round(ended, result, answers.known)
        return ended

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


def _relay(time_source, *, founds=False, control_count=1):
    """Returns a relay that has just started, or has founded the deployment."""
    age_s = open_streams_recovery.STORING_S if founds else 0.0
    return open_streams_relay.OpenStreamsRelay(
        founds=founds,
        count_controls=lambda: control_count,
        started_s=time_source.now_s() - age_s,
        instance=f"control-{next(_NUMBERS)}",
    )


def _tell(teller, told, source, now_s):
    """Has a control process ask another one."""
    reply = control_pb2.FollowersReply()
    teller.fill_reply(reply, now_s)
    told.put_reply(_over_the_wire(reply), source, now_s, now_s)


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
    started.reached = []
    assert started.resolve_unknown().origin is None
    started.receive()
    assert started.resolve_unknown().origin is None
    started.reached = [relay]
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
    time_source.advance(2 * open_streams_recovery.ENTRIES_WAIT_S)
    entry.receive()
    assert entry.resolve_unknown().origin is None


def test_control_is_told_by_an_entry_after_all_of_it_restarted(time_source):
    # Guards against a restart of control after which streams are refused, and
    # against one that takes an entry's word before others have reported.
    before, after = _relay(time_source, founds=True), _relay(time_source)
    entry = _Entry(time_source, before)
    entry.list(_OLD)
    entry.receive()
    other = _Entry(time_source, after)
    other.list(_OLD)
    entry.link(after)
    time_source.advance(open_streams_recovery.ENTRIES_WAIT_S - 0.1)
    assert other.resolve_unknown().origin is None
    time_source.advance(0.1)
    assert other.resolve_unknown().origin == _OLD


def test_an_entry_whose_link_was_silent_vouches_for_nothing(time_source):
    # Guards against control that restarts and takes old knowledge for all.
    before, after = _relay(time_source, founds=True), _relay(time_source)
    entry = _Entry(time_source, before)
    entry.list(_OLD)
    entry.receive()
    entry.origins.doubt()
    entry.link(after)
    time_source.advance(open_streams_recovery.ENTRIES_WAIT_S)
    assert entry.resolve_unknown().origin is None


def test_one_control_process_does_not_complete_another(time_source):
    # Guards against a control process that restarts, and is told by one that
    # was never told what the other two had stored.
    lost, kept, unaware = (
        _relay(time_source, founds=True, control_count=3) for _ in range(3)
    )
    entry = _Entry(time_source, kept, lost, unaware)
    entry.reached = [lost, kept]
    entry.list(_NEW)
    begun = entry.origins.add_own(1, _NEW, time_source.now_s() + 60.0)
    assert entry.origins.wait_acknowledged(begun, 1.0)
    restarted = _relay(time_source, control_count=3)
    other = _Entry(time_source, unaware, restarted)
    other.list(_OLD)
    for _ in range(2):
        time_source.advance(2 * open_streams_recovery.ENTRIES_WAIT_S)
        _tell(unaware, restarted, "unaware", time_source.now_s())
        assert other.resolve_unknown().origin is None
    _tell(kept, restarted, "kept", time_source.now_s())
    resolved = other.resolve_unknown()
    assert resolved.candidates == {_OLD, _NEW}
    assert resolved.is_complete


def test_what_others_may_not_have_stored_yet_is_asked_for_again(time_source):
    # Guards against a control process that acknowledged a version, restarts,
    # and asks the others before the version has reached them.
    relay = _relay(time_source, control_count=3)
    others = [
        _relay(time_source, founds=True, control_count=3) for _ in range(2)
    ]
    request = control_pb2.OpenStreamsRequest(wants_all=True)
    for wait_s in (0.0, open_streams_recovery.STORING_S):
        time_source.advance(wait_s)
        now_s = time_source.now_s()
        for number, other in enumerate(others):
            _tell(other, relay, str(number), now_s)
        is_late = wait_s > 0
        assert relay.reply(request, now_s).knows_open_streams == is_late


def test_two_of_three_control_processes_restart_at_once(time_source):
    # Guards against control that knows nothing for as long as streams last.
    relays = [_relay(time_source, control_count=3) for _ in range(2)]
    relays.append(_relay(time_source, founds=True, control_count=3))
    request = control_pb2.OpenStreamsRequest(wants_all=True)
    for _ in range(6):
        time_source.advance(1.0)
        now_s = time_source.now_s()
        for source, teller in enumerate(relays):
            for told in relays:
                if told is not teller:
                    _tell(teller, told, str(source), now_s)
    now_s = time_source.now_s()
    assert all(each.reply(request, now_s).knows_open_streams for each in relays)


def test_a_founding_process_that_lost_its_disk_does_not_know_all(time_source):
    # Guards against a control process that takes its second start for the first
    # one, and forgets what it had stored before.
    others = [
        _relay(time_source, founds=True, control_count=3) for _ in range(2)
    ]
    started = open_streams_relay.OpenStreamsRelay(
        founds=True,
        count_controls=lambda: 3,
        started_s=time_source.now_s(),
        instance="started",
    )
    request = control_pb2.OpenStreamsRequest(wants_all=True)
    assert not started.reply(request, time_source.now_s()).knows_open_streams
    _tell(others[0], started, "0", time_source.now_s())
    for number, other in enumerate(others):
        time_source.advance(open_streams_recovery.STORING_S)
        now_s = time_source.now_s()
        assert not started.reply(request, now_s).knows_open_streams
        _tell(other, started, str(number), now_s)
    assert started.reply(request, time_source.now_s()).knows_open_streams


def test_a_control_process_does_not_count_itself(time_source):
    # Guards against one that is listed under two addresses, asks itself, and
    # takes that for the word of another one.
    relays = [_relay(time_source, control_count=3)]
    relays.append(_relay(time_source, founds=True, control_count=3))
    request = control_pb2.OpenStreamsRequest(wants_all=True)
    time_source.advance(open_streams_recovery.ENTRIES_WAIT_S)
    now_s = time_source.now_s()
    for source, teller in enumerate(relays):
        _tell(teller, relays[0], str(source), now_s)
    assert not relays[0].reply(request, now_s).knows_open_streams


def test_a_lone_control_process_knows_all_after_the_longest_stream(time_source):
    # Guards against streams that are refused for ever.
    relay = _relay(time_source, control_count=3)
    request = control_pb2.OpenStreamsRequest(wants_all=True)
    time_source.advance(open_streams.LONGEST_STREAM_S - 0.1)
    assert not relay.reply(request, time_source.now_s()).knows_open_streams
    time_source.advance(0.1)
    assert relay.reply(request, time_source.now_s()).knows_open_streams


def test_little_is_reported_while_one_version_serves(time_source):
    # Guards against reports that grow with the number of streams.
    entry = _Entry(time_source, _relay(time_source, founds=True))
    entry.list(_OLD)
    reported, listed_rounds = 0, entry.rounds
    for key in range(1, 1_001):
        entry.origins.add_own(key, _OLD, time_source.now_s() + 15.0)
        reported += len(entry.origins.take_report(first=False).items)
        time_source.advance(0.01)
    most = 10.0 / (open_streams.REPORT_AHEAD_S / 2) + 1
    assert reported <= most
    assert entry.rounds - listed_rounds <= most


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


_CONTROLS = 3
_SOME_CONTROLS = strategies.sets(strategies.integers(0, _CONTROLS - 1))
_CONTROL_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("begin"),
            _INDEX,
            strategies.sampled_from([_OLD, _NEW]),
            strategies.floats(0.5, 60.0),
            _SOME_CONTROLS,
        ),
        strategies.tuples(
            strategies.just("list"),
            _INDEX,
            strategies.sampled_from([(), (_OLD,), (_NEW,), (_OLD, _NEW)]),
        ),
        strategies.tuples(strategies.just("resolve"), _INDEX, _SOME_CONTROLS),
        strategies.tuples(strategies.just("restart"), _INDEX),
        strategies.tuples(
            strategies.just("restart_control"),
            strategies.integers(0, _CONTROLS - 1),
        ),
        strategies.tuples(strategies.just("exchange"), _SOME_CONTROLS),
        strategies.tuples(strategies.just("wait"), strategies.floats(0.1, 9.0)),
    ),
    max_size=40,
)


class _PartitionedDeployment:
    """Entries that get no news, and three control processes.

    Each message to a control process may be lost. One control process at a time
    has restarted.
    """

    def __init__(self):
        self.time_source = clock.ManualClock(100.0)
        self.relays = [
            _relay(self.time_source, founds=True, control_count=_CONTROLS)
            for _ in range(_CONTROLS)
        ]
        self.entries = [self._start() for _ in range(_ENTRIES)]
        self.open = []

    def _start(self):
        return _Entry(self.time_source, *self.relays)

    def _reach(self, index, reached):
        entry = self.entries[index]
        entry.reached = [self.relays[each] for each in reached]
        return entry

    def begin(self, index, origin, limit_s, reached):
        entry = self._reach(index, reached)
        until_s = self.time_source.now_s() + limit_s
        begun = entry.origins.add_own(None, origin, until_s)
        if entry.origins.wait_acknowledged(begun, 0.0):
            self.open.append((origin, until_s))

    def list(self, index, origins):
        self._reach(index, ()).list(*origins)

    def resolve(self, index, reached):
        self._check(self._reach(index, reached))

    def check_majorities(self):
        """Has entries that know nothing ask each majority."""
        for missing in self.relays:
            entry = self._start()
            entry.reached.remove(missing)
            self._check(entry)

    def _check(self, entry):
        resolved = entry.resolve_unknown()
        now_s = self.time_source.now_s()
        if resolved.origin is not None:
            begun = {origin for origin, until_s in self.open if until_s > now_s}
            assert begun <= {resolved.origin}

    def restart(self, index):
        self.entries[index] = self._start()

    def restart_control(self, index):
        request = control_pb2.OpenStreamsRequest()
        now_s = self.time_source.now_s()
        others = [*self.relays[:index], *self.relays[index + 1 :]]
        if all(
            each.reply(request, now_s).knows_open_streams for each in others
        ):
            self.relays[index] = _relay(
                self.time_source, control_count=_CONTROLS
            )

    def exchange(self, reached):
        now_s = self.time_source.now_s()
        for teller in reached:
            for told in reached - {teller}:
                _tell(
                    self.relays[teller], self.relays[told], str(teller), now_s
                )

    def wait(self, time_s):
        self.time_source.advance(time_s)


@hypothesis.given(_CONTROL_STEPS)
@hypothesis.example(
    [
        ("begin", 0, _NEW, 60.0, {0, 1}),
        ("restart_control", 0),
        ("wait", 2.0),
        ("exchange", {0, 2}),
    ]
)
@hypothesis.settings(max_examples=400, deadline=None)
def test_no_version_is_missed_while_one_control_process_restarts(steps):
    # Guards against streams of two versions where no news are passed on, and
    # a minority of the control processes has lost what it stored.
    deployment = _PartitionedDeployment()
    for name, *arguments in steps:
        getattr(deployment, name)(*arguments)
        deployment.check_majorities()


def test_a_process_without_the_membership_claims_nothing(time_source):
    # Guards against a control process that has lost its disk and counts itself
    # as told by all others, as it hears the leader before it has any members.
    counts = [0]
    relay = open_streams_relay.OpenStreamsRelay(
        founds=False,
        count_controls=lambda: counts[0],
        started_s=time_source.now_s(),
    )
    request = control_pb2.OpenStreamsRequest()
    assert not relay.reply(request, time_source.now_s()).knows_open_streams
    counts[0] = 3
    assert not relay.reply(request, time_source.now_s()).knows_open_streams


def test_a_process_with_two_addresses_has_one_word(time_source):
    # Guards against a control process that has restarted and takes one other,
    # which is listed under two addresses, for all others.
    kept = _relay(time_source, founds=True, control_count=3)
    restarted = _relay(time_source, control_count=3)
    time_source.advance(open_streams_recovery.STORING_S)
    now_s = time_source.now_s()
    for address in ("10.0.0.1:1", "control-b:1"):
        _tell(kept, restarted, address, now_s)
    reply = restarted.reply(control_pb2.OpenStreamsRequest(), now_s)
    assert not reply.knows_open_streams
