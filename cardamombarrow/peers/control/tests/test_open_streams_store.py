"""What a control process has acknowledged is on its disk."""

import asyncio
import errno
import os
import threading
import time
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.kernel import durable_file
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import followers
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.control import open_streams_store
from cardamombarrow.resumption import open_streams

_GROUPS = [
    open_streams.StreamGroup(
        ids.ClassId(f"class-{number}"),
        open_streams.Origin(
            ids.ServiceId("letters"), ids.SoftwareVersion("v1")
        ),
    )
    for number in range(3)
]
_ENOUGH_S = 5.0


@pytest.fixture
def path(tmp_path):
    return tmp_path / "open-streams"


def _process(path, *, founds=False, has_quorum=True):
    """Returns the followers of a control process that has just started."""
    return followers.Followers(
        lambda: has_quorum,
        founds=founds,
        open_streams_file=open_streams_store.OpenStreamsFile(path),
    )


async def _store(process, *items, wants_all=False):
    request = control_pb2.OpenStreamsRequest(
        open_streams=open_streams_codec.open_streams_to_wire(
            items, time.monotonic()
        ),
        wants_all=wants_all,
    )
    return await process.exchange_open_streams(request)


def _loaded(path):
    now_s = time.monotonic()
    stored = open_streams_store.OpenStreamsFile(path).load(now_s)
    return dict(stored.items), stored.are_all


def test_what_is_acknowledged_is_on_the_disk(path):
    # Guards against an acknowledgement that a restart of all makes untrue.
    async def run():
        until_s = time.monotonic() + 20.0
        reply = await _store(_process(path), (_GROUPS[0], until_s))
        assert not reply.is_unstored
        assert _loaded(path)[0][_GROUPS[0]] >= until_s

    asyncio.run(run())


def test_a_process_that_restarts_still_knows_all(path):
    # Guards against control that waits for others after it has restarted,
    # though each of them has restarted.
    async def run():
        first = _process(path, founds=True)
        end_s = time.monotonic() + _ENOUGH_S
        while not (await _store(first, wants_all=True)).knows_open_streams:
            assert time.monotonic() < end_s
            await asyncio.sleep(0.05)
        await _store(first, (_GROUPS[0], time.monotonic() + 20.0))
        reply = await _store(_process(path), wants_all=True)
        assert reply.knows_open_streams
        assert [each.class_id for each in reply.open_streams] == ["class-0"]

    asyncio.run(run())


def test_a_process_that_is_lost_before_it_has_a_quorum_knows_all(path):
    # Guards against a second loss of all processes, before they have found
    # each other, after which none knows all.
    items = ((_GROUPS[0], time.monotonic() + 60.0),)
    open_streams_store.OpenStreamsFile(path).save(
        open_streams_store.StoredStreams(items, are_all=True), time.monotonic()
    )

    async def run():
        process = _process(path, has_quorum=False)
        begun = (_GROUPS[1], time.monotonic() + 20.0)
        reply = await _store(process, begun, wants_all=True)
        assert not reply.knows_open_streams

    asyncio.run(run())
    groups, are_all = _loaded(path)
    assert are_all
    assert set(groups) == set(_GROUPS[:2])


def test_groups_without_room_are_not_stored(path, monkeypatch):
    # Guards against an acknowledgement of what is not on the disk, and against
    # a write for each request meanwhile.
    monkeypatch.setattr(open_streams, "MAX_GROUPS", 2)
    writes = []
    replace = durable_file.replace
    monkeypatch.setattr(
        durable_file,
        "replace",
        lambda *arguments: (writes.append(1), replace(*arguments)),
    )

    async def run():
        process = _process(path)
        until_s = time.monotonic() + 20.0
        for _ in range(5):
            replies = [
                await _store(process, (group, until_s)) for group in _GROUPS
            ]
        assert replies[-1].is_unstored

    asyncio.run(run())
    assert len(writes) <= 2
    assert set(_loaded(path)[0]) == set(_GROUPS[:2])


@pytest.mark.parametrize("has_file", [True, False])
def test_a_disk_without_all_vouches_for_nothing(path, has_file):
    # Guards against a new disk, and one that a process left before it had
    # been told all, that count as if they had all.
    async def run():
        if has_file:
            until_s = time.monotonic() + 20.0
            await _store(_process(path), (_GROUPS[0], until_s))
        reply = await _store(_process(path), wants_all=True)
        assert not reply.knows_open_streams
        assert len(reply.open_streams) == has_file

    asyncio.run(run())


@pytest.mark.parametrize("cut", [0, 3, 8, 20, -1])
def test_a_damaged_file_vouches_for_nothing(path, cut):
    # Guards against a torn or altered file that counts as all.
    file = open_streams_store.OpenStreamsFile(path)
    items = tuple((group, 120.0) for group in _GROUPS)
    file.save(open_streams_store.StoredStreams(items, are_all=True), 100.0)
    whole = path.read_bytes()
    for damaged in (whole[:cut], whole[:cut] + b"\xff" + whole[cut:][1:]):
        if damaged != whole:
            path.write_bytes(damaged)
            assert file.load(0.0) == open_streams_store.StoredStreams()
    path.write_bytes(whole)
    assert len(file.load(0.0).items) == len(_GROUPS)


def test_a_disk_that_fails_acknowledges_nothing(path, monkeypatch):
    # Guards against first events that go out as stored while the disk is full,
    # and against one that is not used again after it has room.
    def full(*_):
        raise OSError(errno.ENOSPC, "full")

    async def run():
        process = _process(path, founds=True)
        begun = (_GROUPS[0], time.monotonic() + 20.0)
        monkeypatch.setattr(durable_file, "replace", full)
        reply = await _store(process, begun)
        assert reply.is_unstored
        monkeypatch.undo()
        end_s = time.monotonic() + _ENOUGH_S
        while (await _store(process, begun)).is_unstored:
            assert time.monotonic() < end_s
        assert _GROUPS[0] in _loaded(path)[0]

    asyncio.run(run())


def test_a_disk_that_fails_for_long_is_logged_once(path, monkeypatch):
    # Guards against a line for each try of a write to a disk that is full.
    def full(*_):
        raise OSError(errno.ENOSPC, "full")

    events = []
    monkeypatch.setattr(durable_file, "replace", full)
    monkeypatch.setattr(open_streams_store, "RETRY_S", 0.01)
    monkeypatch.setattr(
        open_streams_store.logs,
        "event",
        lambda name, *_, **__: events.append(name),
    )

    async def run():
        begun = (_GROUPS[0], time.monotonic() + 20.0)
        assert (await _store(_process(path), begun)).is_unstored

    asyncio.run(run())
    assert events.count("open streams not stored") == 1


def test_a_disk_that_hangs_delays_no_answer_for_long(path, monkeypatch):
    # Guards against attempts that wait for a disk, which they do not need.
    released = threading.Event()
    replace = durable_file.replace

    def hang(*arguments):
        released.wait(_ENOUGH_S)
        replace(*arguments)

    async def run():
        process = _process(path, founds=True)
        monkeypatch.setattr(durable_file, "replace", hang)
        begun = (_GROUPS[0], time.monotonic() + 20.0)
        begin_s = time.monotonic()
        reply = await _store(process, begun, wants_all=True)
        assert reply.is_unstored
        assert [each.class_id for each in reply.open_streams] == ["class-0"]
        assert time.monotonic() - begin_s < followers.STORE_WAIT_S
        released.set()
        end_s = time.monotonic() + _ENOUGH_S
        while (await _store(process, begun)).is_unstored:
            assert time.monotonic() < end_s

    asyncio.run(run())


def test_steady_traffic_writes_the_file_rarely(path, monkeypatch):
    # Guards against a sync for each request of each entry.
    syncs = []
    monkeypatch.setattr(os, "fsync", lambda _: syncs.append(1))
    replace = durable_file.replace
    monkeypatch.setattr(
        durable_file,
        "replace",
        lambda *a: replace(*a, lambda _: syncs.append(1)),
    )

    async def run():
        process = _process(path)
        now_s = time.monotonic()
        for step in range(100):
            until_s = now_s + 20.0 + 0.25 * step
            await asyncio.gather(
                *(_store(process, (group, until_s)) for group in _GROUPS)
            )

    asyncio.run(run())
    # Two for each write: the first one, and one for what came during it.
    assert len(syncs) <= 4


_steps = strategies.lists(
    strategies.tuples(
        strategies.booleans(),
        strategies.integers(0, len(_GROUPS) - 1),
        strategies.floats(0.0, 700.0),
    ),
    max_size=5,
)
"""Whether the disk fails, the group, and the time for which it is open."""


@hypothesis.settings(max_examples=40)
@hypothesis.given(lives=strategies.lists(_steps, max_size=3))
def test_the_disk_is_never_older_than_what_was_acknowledged(
    tmp_path_factory, lives
):
    # Guards against any series of stores, failed writes and restarts after
    # which something that was acknowledged is missing, or ends too early.
    path = tmp_path_factory.mktemp("lives") / "open-streams"
    acknowledged = {}
    is_failing = False
    replace = durable_file.replace

    def write(*arguments):
        if is_failing:
            raise OSError(errno.EIO, "fails")
        replace(*arguments)

    async def live(steps):
        nonlocal is_failing
        process = _process(path)
        for fails, number, left_s in steps:
            is_failing = fails
            begun = (_GROUPS[number], time.monotonic() + left_s)
            reply = await _store(process, begun, wants_all=True)
            if not reply.is_unstored:
                known_s = acknowledged.get(begun[0], 0.0)
                acknowledged[begun[0]] = max(known_s, begun[1])
            items = _loaded(path)[0]
            now_s = time.monotonic()
            for group, until_s in acknowledged.items():
                # A millisecond is the unit of the file.
                assert until_s <= now_s or items[group] >= until_s - 0.001

    with mock.patch.object(durable_file, "replace", write):
        for steps in lives:
            asyncio.run(live(steps))
