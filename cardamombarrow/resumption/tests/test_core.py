"""Tests of the origins of streams."""

from concurrent import futures
import time

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.resumption import candidates
from cardamombarrow.resumption import core
from cardamombarrow.resumption import open_streams
from cardamombarrow.resumption import rounds
from cardamombarrow.resumption import table

_SERVICE = ids.ServiceId("letters")
_LONGEST_S = 15.0
_RETENTION_S = _LONGEST_S + core.RETENTION_MARGIN_S
_OLD, _NEW = (
    core.Origin(_SERVICE, ids.SoftwareVersion(name)) for name in ("v1", "v2")
)


def _found(*origins):
    return [
        messages.KnownEndpoint(
            ids.EndpointId(f"10.0.0.{number}:80"),
            origin.service,
            ids.DomainId("a"),
            software=origin.software,
        )
        for number, origin in enumerate(origins)
    ]


def _group(origin, class_id=open_streams.ANY_CLASS):
    return open_streams.StreamGroup(class_id, origin)


class _Control:
    """Control processes that answer at once."""

    def __init__(self, *, knows_all=True):
        self.is_reached = True
        self.knows_all = knows_all
        self.open = []
        self.origins = []
        self.asked = []
        self.rounds = 0

    def begin_round(self, origins, wants_all, stream=None):
        self.rounds += 1
        self.asked += [] if stream is None else [stream]
        result = rounds.RoundResult.NO_MAJORITY
        if self.is_reached:
            result = rounds.RoundResult.STORED
            stored = origins.unacknowledged()
            self.open += stored
            origins.acknowledge(stored)
        if self.is_reached and wants_all and self.knows_all:
            result = rounds.RoundResult.ALL_KNOWN
        known = self.open if self.is_reached and wants_all else ()
        ended = futures.Future()
        origins.merge([each for each in self.origins if each.key == stream])
        origins.end_round(ended, result, known)
        return ended


class _Instance:
    def __init__(self, time_source, *, is_complete=True, control=None):
        self.control = control or _Control(knows_all=is_complete)
        self.origins = core.StreamOrigins(time_source)
        self.origins.set_longest_answer_s(_LONGEST_S)
        self.origins.set_round_starter(
            lambda *asked: self.control.begin_round(self.origins, *asked)
        )
        if is_complete:
            self.origins.set_complete()
            self.origins.merge_open_streams((), are_all=True)

    def resolve(self, key, services=(_SERVICE,)):
        return self.origins.resolve(key, services, 0.0)

    def run(self, time_source, time_s):
        """Lets time pass in which news of other instances arrive."""
        end_s = time_source.now_s() + time_s
        while (left_s := end_s - time_source.now_s()) > 1e-6:
            time_source.advance(min(left_s, 1.0))
            self.origins.touch()


@pytest.fixture
def time_source():
    return clock.ManualClock(100.0)


@pytest.fixture
def instance(time_source):
    return _Instance(time_source)


def test_the_key_of_a_stream_belongs_to_one_workspace():
    # Guards against a caller that resumes the stream of another workspace.
    keys = {
        core.stream_key(ids.WorkspaceId(workspace), attempt)
        for workspace, attempt in (("a", "1"), ("b", "1"), ("a", "2"))
    }
    assert len(keys) == 3


def test_a_stream_goes_on_at_what_began_it(instance):
    instance.origins.set_listed(_found(_OLD, _NEW))
    instance.origins.add_own(1, _OLD)
    resolved = instance.resolve(1)
    assert resolved.resolution is core.Resolution.KNOWN
    assert resolved.origin == _OLD
    assert resolved.source is core.Source.OWN


@pytest.mark.parametrize("key", [None, 7])
def test_an_unknown_stream_is_not_guessed(instance, key):
    # Guards against a stream that goes on at another version than its own.
    instance.origins.set_listed(_found(_OLD, _NEW))
    assert instance.resolve(key).resolution is core.Resolution.UNKNOWN


@pytest.mark.parametrize("key", [None, 7])
def test_an_unknown_stream_goes_on_where_there_is_one_version(instance, key):
    # Guards against streams that are refused although nothing can be mixed.
    instance.origins.set_listed(_found(_NEW, _NEW))
    resolved = instance.resolve(key)
    assert resolved.resolution is core.Resolution.ONLY_VERSION
    assert resolved.origin == _NEW


def test_a_version_that_has_just_gone_may_have_begun_a_stream(
    instance, time_source
):
    # Guards against streams of the old version right after a rollout.
    instance.origins.set_listed(_found(_OLD, _NEW))
    instance.origins.set_listed(_found(_NEW))
    instance.run(time_source, _RETENTION_S - 0.1)
    assert instance.resolve(7).origin is None
    instance.run(time_source, open_streams.REPORT_AHEAD_S + 0.2)
    assert instance.resolve(7).origin == _NEW


def test_a_stream_outlives_the_limit_of_its_class(instance, time_source):
    # Guards against a version and its streams that are forgotten while callers
    # with limits of their own still resume them.
    limit_s = 3 * _RETENTION_S
    instance.origins.set_listed(_found(_OLD))
    instance.origins.add_own(1, _OLD, time_source.now_s() + limit_s)
    instance.origins.set_listed(_found(_NEW))
    instance.run(time_source, limit_s - 0.1)
    assert instance.resolve(1).origin == _OLD
    assert instance.resolve(7).origin is None
    instance.run(time_source, open_streams.REPORT_AHEAD_S + 0.2)
    assert instance.resolve(7).origin == _NEW


def test_a_lower_limit_of_the_document_ends_no_stream(instance, time_source):
    # Guards against streams that begin before a document shortens their class.
    instance.origins.set_listed(_found(_OLD, _NEW))
    instance.origins.add_own(1, _OLD, time_source.now_s() + _LONGEST_S)
    instance.origins.set_longest_answer_s(1.0)
    instance.origins.set_listed(_found(_NEW))
    instance.run(time_source, _LONGEST_S - 0.1)
    assert instance.resolve(1).origin == _OLD
    assert instance.resolve(7).origin is None


@pytest.mark.parametrize("silent_s", [0.0, 0.5, 3.0, candidates.SILENCE_S])
def test_an_entry_that_stood_still_does_not_know_what_others_began(
    instance, time_source, silent_s
):
    # Guards against an entry that takes its old list for the present one.
    instance.origins.set_listed(_found(_NEW))
    instance.control.is_reached = False
    time_source.advance(silent_s)
    assert instance.resolve(7).origin is None
    instance.origins.touch()
    assert instance.resolve(7).origin is None
    instance.origins.merge_open_streams((), are_all=True)
    assert instance.resolve(7).origin is None
    instance.control.is_reached = True
    assert instance.resolve(7).origin == _NEW


@pytest.mark.parametrize("silent_s", [0.0, 0.5, 3.0, candidates.SILENCE_S])
def test_a_version_that_joined_unnoticed_is_asked_for(time_source, silent_s):
    # Guards against an entry that goes on by what it knew before it was stopped
    # or cut off, however short that was.
    control = _Control()
    behind, other = (_Instance(time_source, control=control) for _ in range(2))
    for each in (behind, other):
        each.origins.set_listed(_found(_OLD))
    assert behind.resolve(7).origin == _OLD
    other.origins.set_listed(_found(_NEW))
    begun = other.origins.add_own(7, _NEW)
    assert other.origins.wait_acknowledged(begun, 1.0)
    time_source.advance(silent_s)
    resolved = behind.resolve(7)
    assert resolved.origin is None
    assert resolved.candidates == {_OLD, _NEW}


def test_control_is_not_asked_where_the_answer_could_not_differ(instance):
    # Guards against messages for each resumption of a stream that is known, or
    # that several versions may have begun and that its caller does not name.
    instance.origins.set_listed(_found(_OLD, _NEW))
    instance.origins.add_own(1, _OLD)
    before = instance.control.rounds
    assert instance.resolve(1).origin == _OLD
    assert instance.resolve(None).origin is None
    assert instance.control.rounds == before
    assert instance.resolve(7).origin is None
    assert instance.control.asked == [7]


def test_a_stream_of_several_versions_goes_on_where_control_has_its_origin(
    instance, time_source
):
    # Guards against streams that are refused after a restart of all processes
    # though their origins are on a disk, and against asking for single ones
    # where one version has served.
    instance.origins.set_listed(_found(_OLD, _NEW))
    until_s = time_source.now_s() + 20.0
    instance.control.origins = [
        core.Record(
            key, origin, time_source.now_s(), core.Source.OTHER_DOMAIN, until_s
        )
        for key, origin in ((1, _OLD), (2, _NEW), (3, None))
    ]
    for key, origin in ((1, _OLD), (2, _NEW), (3, None), (4, None)):
        assert instance.resolve(key).origin == origin
    assert instance.control.asked == [1, 2, 3, 4]
    other = _Instance(time_source)
    other.origins.set_listed(_found(_OLD))
    assert other.resolve(5).origin == _OLD
    assert not other.control.asked


def test_control_with_two_origins_of_a_stream_decides_nothing(
    instance, time_source
):
    # Guards against the answer of a control process that was told less.
    instance.origins.set_listed(_found(_OLD, _NEW))
    now_s = time_source.now_s()
    instance.control.origins = [
        core.Record(1, origin, now_s, core.Source.OTHER_DOMAIN, now_s + 20.0)
        for origin in (_OLD, _NEW)
    ]
    resolved = instance.resolve(1)
    assert resolved.origin is None
    assert resolved.resolution is core.Resolution.CONFLICTING


def test_an_attempt_is_decided_by_a_round_that_began_after_it(instance):
    # Guards against an attempt that shares the answer to an earlier question.
    instance.origins.set_listed(_found(_OLD))
    pending = []

    def begin(wants_all):
        pending.append(futures.Future())
        return pending[-1]

    instance.origins.set_round_starter(begin)
    with futures.ThreadPoolExecutor() as pool:
        attempt = pool.submit(instance.origins.resolve, 7, (_SERVICE,), 10.0)
        while not pending:
            time.sleep(0.001)
        result = rounds.RoundResult.ALL_KNOWN
        instance.origins.end_round(futures.Future(), result, ())
        time.sleep(0.05)
        assert not attempt.done()
        instance.origins.end_round(pending[0], result, ())
        assert attempt.result().origin == _OLD


def test_a_first_event_waits_until_control_has_stored_its_version(instance):
    # Guards against a stream that its caller resumes elsewhere before any other
    # entry can learn which version began it, and against one that waits for
    # long though control knows the version.
    instance.origins.set_listed(_found(_OLD))
    instance.control.is_reached = False
    begun = instance.origins.add_own(1, _OLD, class_id=ids.ClassId("letter"))
    began_s = time.monotonic()
    assert not instance.origins.wait_acknowledged(begun, 1.0)
    assert time.monotonic() - began_s < 1.0
    instance.control.is_reached = True
    assert instance.origins.wait_acknowledged(begun, 1.0)
    assert {group.origin for group, _ in instance.control.open} == {_OLD}


def test_a_first_event_of_a_version_that_control_does_not_know_waits(instance):
    # Guards against a version that nobody knows after a restart of all
    # processes, as it came while control was gone and has left since.
    instance.control.is_reached = False
    instance.origins.set_listed(_found(_NEW))
    begun = instance.origins.add_own(1, _NEW, class_id=ids.ClassId("letter"))
    began_s = time.monotonic()
    wait_s = 2 * core.ACKNOWLEDGEMENT_WAIT_S
    assert not instance.origins.wait_acknowledged(begun, wait_s)
    assert time.monotonic() - began_s >= wait_s
    assert not instance.origins.is_established(begun)
    instance.control.is_reached = True
    assert instance.origins.wait_acknowledged(begun, wait_s)
    assert instance.origins.is_established(begun)


def test_a_listed_version_stays_known_to_control_without_traffic(
    instance, time_source
):
    # Guards against a version whose first stream in a while begins as control
    # has gone, and which nobody knows afterwards.
    instance.origins.set_listed(_found(_OLD))
    instance.origins.add_own(1, _OLD, time_source.now_s() + 25.0)
    for _ in range(100):
        time_source.advance(1.2)
        instance.origins.touch_list()
    assert instance.control.rounds <= 40
    instance.control.is_reached = False
    begun = instance.origins.add_own(
        2, _OLD, time_source.now_s() + 25.0, ids.ClassId("letter")
    )
    began_s = time.monotonic()
    assert not instance.origins.wait_acknowledged(begun, 5.0)
    assert time.monotonic() - began_s < 1.0


def test_later_streams_of_a_version_wait_for_nothing(instance, time_source):
    # Guards against a round trip for each stream.
    begun = instance.origins.add_own(1, _OLD)
    assert instance.origins.wait_acknowledged(begun, 1.0)
    asked = instance.control.rounds
    for key in range(2, 3_000):
        time_source.advance(0.01)
        begun = instance.origins.add_own(key, _OLD)
        assert instance.origins.wait_acknowledged(begun, 0.0)
    renewals = 30.0 / (open_streams.REPORT_AHEAD_S / 2)
    assert instance.control.rounds - asked <= renewals + 1


def test_a_longer_stream_waits_until_its_end_is_stored(instance, time_source):
    # Guards against a version that control forgets before its last stream ends.
    now_s = time_source.now_s()
    begun = instance.origins.add_own(1, _OLD, now_s + 1.0)
    assert instance.origins.wait_acknowledged(begun, 1.0)
    instance.control.is_reached = False
    begun = instance.origins.add_own(2, _OLD, now_s + 300.0)
    assert not instance.origins.wait_acknowledged(begun, 1.0)


def test_a_full_table_of_versions_shows_no_only_one(instance, time_source):
    # Guards against versions that are left out and taken for absent.
    ends_s = time_source.now_s() + 1.0
    many = [
        (
            _group(core.Origin(_SERVICE, ids.SoftwareVersion(str(number)))),
            ends_s,
        )
        for number in range(open_streams.MAX_GROUPS)
    ]
    instance.origins.set_listed(_found(_NEW))
    instance.origins.merge_open_streams(many, are_all=True)
    instance.origins.merge_open_streams(
        [(_group(_OLD), ends_s + 1.0)], are_all=True
    )
    instance.run(time_source, 1.5)
    assert instance.resolve(7).origin is None
    instance.run(time_source, 1.0)
    assert instance.resolve(7).origin == _NEW


def test_a_process_that_has_just_started_does_not_know_the_past(time_source):
    # Guards against an entry that takes the version that it sees for the only
    # one, since the other one went before its start.
    fresh = _Instance(time_source, is_complete=False)
    fresh.origins.set_listed(_found(_NEW))
    assert fresh.resolve(7).origin is None
    fresh.run(time_source, _RETENTION_S)
    assert fresh.resolve(7).origin is None
    fresh.control.knows_all = True
    assert fresh.resolve(7).origin == _NEW


def test_streams_of_an_endpoint_that_restarted_are_doubted(
    instance, time_source
):
    # Guards against an endpoint that comes back under its identity with other
    # software, and is taken for what it was until it is listed.
    before, after = _found(_OLD), _found(_NEW)
    instance.origins.set_listed(before)
    until_s = time_source.now_s() + _RETENTION_S
    (endpoint,) = (each.endpoint for each in before)
    for key, begun_s in ((1, 0.0), (2, core.LISTING_LAG_S)):
        time_source.advance(begun_s)
        instance.origins.add_own(key, _OLD, until_s, endpoint=endpoint)
    instance.origins.add_own(3, _OLD, until_s)
    time_source.advance(1.0)
    instance.origins.set_listed(after)
    resolutions = [instance.resolve(key).resolution for key in (1, 2, 3)]
    known, conflicting = core.Resolution.KNOWN, core.Resolution.CONFLICTING
    assert resolutions == [known, conflicting, known]
    assert not instance.origins.confirms(2, _OLD.software)


def test_streams_of_an_endpoint_in_doubt_are_not_known(instance, time_source):
    # Guards against streams of an endpoint that restarted with other software,
    # recorded with the version that is still listed.
    old = _found(_OLD)
    instance.origins.set_listed(old)
    (endpoint,) = (each.endpoint for each in old)
    instance.origins.add_own(1, _OLD, endpoint=endpoint)
    time_source.advance(0.1)
    since_s = time_source.now_s()
    instance.origins.add_own(2, _OLD, endpoint=endpoint)
    instance.origins.begin_doubt(endpoint, since_s)
    instance.origins.add_own(3, _OLD, endpoint=endpoint)
    assert instance.resolve(1).origin == _OLD
    for key in (2, 3):
        resolved = instance.resolve(key)
        assert resolved.resolution is core.Resolution.CONFLICTING
        assert not instance.origins.confirms(key, _OLD.software)
    assert instance.resolve(4).resolution is core.Resolution.UNKNOWN


@pytest.mark.parametrize("now", [_OLD, _NEW])
def test_streams_begun_in_doubt_are_known_once_the_list_shows_it(
    instance, time_source, now
):
    # Guards against streams that can't go on, or go on at the former version.
    old = _found(_OLD)
    instance.origins.set_listed(old)
    (endpoint,) = (each.endpoint for each in old)
    instance.origins.begin_doubt(endpoint, time_source.now_s())
    for key in (1, 2, 2):
        instance.origins.add_own(key, _OLD, endpoint=endpoint)
    time_source.advance(core.LISTING_LAG_S)
    instance.origins.set_listed(_found(now))
    instance.origins.end_doubt(endpoint)
    assert instance.resolve(1).origin == now
    assert instance.origins.confirms(1, now.software)
    assert instance.origins.confirms(1, _OLD.software) is (now == _OLD)
    # Two streams have the same key.
    assert instance.resolve(2).resolution is core.Resolution.CONFLICTING


def test_two_streams_with_the_same_key_are_both_refused(instance):
    # Guards against callers with the same key that use the same id.
    instance.origins.set_listed(_found(_OLD, _NEW))
    instance.origins.add_own(1, _OLD)
    instance.origins.add_own(1, _NEW)
    instance.origins.add_own(1, _NEW)
    assert instance.resolve(1).resolution is core.Resolution.CONFLICTING


def test_a_stream_that_is_resumed_is_kept(instance, time_source):
    instance.origins.set_listed(_found(_OLD, _NEW))
    for _ in range(4):
        instance.origins.add_own(1, _OLD)
        time_source.advance(0.6 * _RETENTION_S)
        assert instance.resolve(1).origin == _OLD
    time_source.advance(_RETENTION_S)
    assert instance.resolve(1).origin is None
    assert not len(instance.origins)


def test_the_number_of_streams_is_bounded(instance, monkeypatch):
    # Guards against callers that fill the memory of all entries.
    monkeypatch.setattr(table, "MAX_STREAMS", 10)
    instance.origins.set_listed(_found(_OLD, _NEW))
    for key in range(100):
        instance.origins.add_own(key, _OLD)
    assert len(instance.origins) == 10
    assert instance.resolve(99).origin == _OLD
    assert instance.resolve(1).origin is None


def test_nothing_is_told_while_there_is_one_version(instance):
    instance.origins.set_listed(_found(_OLD))
    for key in range(20):
        instance.origins.add_own(key, _OLD)
    told, number = instance.origins.since(0, core.Source.OTHER_DOMAIN)
    assert not told
    instance.origins.set_listed(_found(_OLD, _NEW))
    told, number = instance.origins.since(number, core.Source.OTHER_DOMAIN)
    assert {record.key for record in told} == set(range(20))
    told, _ = instance.origins.since(number, core.Source.OTHER_DOMAIN)
    assert not told


def test_only_near_streams_are_told_if_asked(instance):
    instance.origins.set_listed(_found(_OLD, _NEW))
    for key, source in enumerate(core.Source):
        instance.origins.merge([core.Record(key, _OLD, 100.0, source)])
    for source in core.Source:
        told, _ = instance.origins.since(0, source)
        assert {record.key for record in told} == set(range(source + 1))


def _tell(sender, receiver, now_s, nearest=core.Source.DOMAIN):
    records, _ = sender.since(0, core.Source.OTHER_DOMAIN)
    message = placing_pb2.PlacingReply(
        origins=origin_codec.origins_to_wire(records, now_s)
    )
    received = placing_pb2.PlacingReply.FromString(message.SerializeToString())
    receiver.merge(
        origin_codec.origins_from_wire(received.origins, now_s, nearest)
    )


_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("begin"),
            strategies.integers(0, 2),
            strategies.integers(0, 8),
            strategies.sampled_from([_OLD, _NEW]),
        ),
        strategies.tuples(
            strategies.just("tell"),
            strategies.integers(0, 2),
            strategies.integers(0, 2),
        ),
        strategies.tuples(
            strategies.just("list"),
            strategies.integers(0, 2),
            strategies.sampled_from([(_OLD,), (_NEW,), (_OLD, _NEW)]),
        ),
        strategies.tuples(
            strategies.just("wait"), strategies.floats(0.1, _RETENTION_S)
        ),
        strategies.tuples(
            strategies.just("restart"), strategies.integers(0, 2)
        ),
    ),
    max_size=60,
)


class _Instances:
    """Three instances that begin streams, tell each other, and restart."""

    def __init__(self):
        self.time_source = clock.ManualClock(100.0)
        self.begun = {}
        self.all = [self._start() for _ in range(3)]

    def _start(self):
        return _Instance(self.time_source, is_complete=False)

    def begin(self, index, key, origin):
        if key not in self.begun:
            self.begun[key] = origin, self.time_source.now_s()
            self.all[index].origins.add_own(key, origin)

    def tell(self, sender, receiver):
        now_s = self.time_source.now_s()
        _tell(self.all[sender].origins, self.all[receiver].origins, now_s)

    def list(self, index, origins):
        self.all[index].origins.set_listed(_found(*origins))

    def wait(self, time_s):
        self.time_source.advance(time_s)

    def restart(self, index):
        self.all[index] = self._start()

    def check(self):
        now_s = self.time_source.now_s()
        for instance in self.all:
            for key, (origin, begun_s) in self.begun.items():
                resolved = instance.resolve(key)
                if resolved.resolution is core.Resolution.KNOWN:
                    assert resolved.origin == origin
                    age_s = pytest.approx(now_s - begun_s, abs=0.01)
                    assert resolved.age_s == age_s


@hypothesis.given(_STEPS)
@hypothesis.settings(max_examples=400)
def test_no_instance_names_another_origin_than_the_stream_has(steps):
    # Guards against mixed streams, whatever was told, lost or forgotten.
    instances = _Instances()
    for name, *arguments in steps:
        getattr(instances, name)(*arguments)
        instances.check()


def test_conflicts_and_other_domains_survive_the_wire(time_source):
    sender, receiver = _Instance(time_source), _Instance(time_source)
    for each in (sender, receiver):
        each.origins.set_listed(_found(_OLD, _NEW))
    sender.origins.add_own(1, _OLD)
    sender.origins.add_own(1, _NEW)
    other = core.Source.OTHER_DOMAIN
    sender.origins.merge([core.Record(2, _NEW, 99.0, other)])
    _tell(sender.origins, receiver.origins, 100.0)
    assert receiver.resolve(1).resolution is core.Resolution.CONFLICTING
    assert receiver.resolve(2).source is other


def test_streams_between_two_restarts_of_an_endpoint_stay_doubted(
    instance, time_source
):
    # Guards against a stream that takes the version of the last restart for
    # its own, though the version between two restarts began it.
    old = _found(_OLD)
    instance.origins.set_listed(old)
    (endpoint,) = (each.endpoint for each in old)
    instance.origins.begin_doubt(endpoint, time_source.now_s())
    time_source.advance(0.5)
    instance.origins.add_own(1, _OLD, endpoint=endpoint)
    time_source.advance(1.0)
    instance.origins.begin_doubt(endpoint, time_source.now_s())
    time_source.advance(core.LISTING_LAG_S)
    last = core.Origin(_OLD.service, ids.SoftwareVersion("v3"))
    instance.origins.set_listed(_found(last))
    instance.origins.end_doubt(endpoint)
    assert instance.resolve(1).origin is None


def test_a_version_is_stored_once_the_doubt_of_its_endpoint_ends(
    instance, time_source
):
    # Guards against a version that control never learns of, because its first
    # streams began while their endpoint was in doubt.
    found = _found(_OLD)
    instance.origins.set_listed(found)
    (endpoint,) = (each.endpoint for each in found)
    instance.origins.begin_doubt(endpoint, time_source.now_s())
    until_s = time_source.now_s() + 10 * _LONGEST_S
    instance.origins.add_own(1, _OLD, until_s, endpoint=endpoint)
    instance.origins.set_listed(_found(_NEW))
    instance.origins.end_doubt(endpoint)
    assert instance.resolve(1).origin == _NEW
    stored = dict(instance.control.open)
    assert stored.get(_group(_NEW), 0.0) >= until_s
