"""The origins of streams that a control process keeps on its disk."""

import asyncio
import errno
import time

import pytest

from cardamombarrow.kernel import durable_file
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import stream_origins_store
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.resumption import core

_OLD, _NEW = (
    core.Origin(ids.ServiceId("letters"), ids.SoftwareVersion(name))
    for name in ("v1", "v2")
)
_LIMIT_S = 20.0


@pytest.fixture(autouse=True)
def flushed_at_once(monkeypatch):
    monkeypatch.setattr(stream_origins_store, "FLUSH_S", 0.0)


@pytest.fixture
def path(tmp_path):
    return tmp_path / "stream-origins"


def _store(path):
    return stream_origins_store.StreamOriginsStore(
        stream_origins_store.StreamOriginsFile(path), time.monotonic()
    )


def _origins(origin, *keys, left_s=_LIMIT_S):
    now_s = time.monotonic()
    records = [
        core.Record(key, origin, now_s, core.Source.OWN, now_s + left_s)
        for key in keys
    ]
    return origin_codec.origins_to_wire(records, now_s)


def _report(path, *reports):
    """Has a process take reports, each with time to be written."""

    async def run():
        store = _store(path)
        for instance, origins in reports:
            store.put(origins, instance, time.monotonic())
            while store._writer is not None and not store._writer.done():
                await asyncio.sleep(0.001)

    asyncio.run(run())


def _found(path, *keys):
    """Returns what a process that restarts has: origin by stream."""
    store = _store(path)
    now_s = time.monotonic()
    groups = store.find(keys, now_s)
    return {
        record.key: record.origin
        for record in origin_codec.origins_from_wire(
            groups, now_s, core.Source.OTHER_DOMAIN
        )
    }


def test_a_process_that_restarts_has_the_origins(path):
    # Guards against streams of several versions that are all refused after a
    # restart of all processes.
    _report(path, ("a-1", _origins(_OLD, 1, 2)), ("b-1", _origins(_NEW, 3)))
    assert _found(path, 1, 3, 4) == {1: _OLD, 3: _NEW}
    _report(path, ("a-1", _origins(_OLD, 5)))
    assert _found(path, 2, 5) == {2: _OLD, 5: _OLD}


def test_the_last_word_of_an_entry_counts(path):
    # Guards against a stream that goes on at the version that was listed while
    # its endpoint already ran another one.
    _report(path, ("a-1", _origins(_OLD, 1)), ("a-1", _origins(None, 1)))
    assert _found(path, 1) == {1: None}
    _report(path, ("a-1", _origins(_OLD, 1)))
    assert _found(path, 1) == {1: _OLD}


def test_two_streams_with_one_key_have_no_origin(path):
    # Guards against one of them that goes on at the version of the other.
    _report(path, ("a-1", _origins(_OLD, 1)), ("b-1", _origins(_NEW, 1)))
    assert _found(path, 1) == {1: None}
    _report(path, ("a-1", _origins(_OLD, 1)))
    assert _found(path, 1) == {1: None}


def test_ended_streams_are_not_told(path):
    # Guards against a table that only grows.
    _report(path, ("a-1", _origins(_OLD, 1, left_s=0.0)))
    assert _found(path, 1) == {}


def test_a_torn_end_hides_no_later_report(path):
    # Guards against reports that are appended behind a part of a record.
    _report(path, ("a-1", _origins(_OLD, 1)), ("a-1", _origins(_OLD, 2)))
    path.write_bytes(path.read_bytes()[:-3])
    assert _found(path, 1, 2) == {1: _OLD}
    _report(path, ("a-1", _origins(_NEW, 3)))
    assert _found(path, 1, 3) == {1: _OLD, 3: _NEW}


def test_a_disk_that_fails_loses_nothing_for_long(path, monkeypatch):
    # Guards against reports behind a write that failed halfway.
    def fail(path, data):
        path.write_bytes(path.read_bytes() + data[:5])
        raise OSError(errno.ENOSPC, "full")

    async def run():
        store = _store(path)
        for number in range(3):
            if number == 1:
                monkeypatch.setattr(durable_file, "append", fail)
            store.put(_origins(_OLD, number), "a-1", time.monotonic())
            while not store._writer.done():
                await asyncio.sleep(0.001)

    asyncio.run(run())
    assert _found(path, 0, 1, 2) == {0: _OLD, 1: _OLD, 2: _OLD}


def test_the_file_and_the_table_are_bounded(path, monkeypatch):
    # Guards against a disk and a memory that fill up during a long rollout.
    monkeypatch.setattr(stream_origins_store, "MIN_REWRITE_BYTES", 2_000)
    monkeypatch.setattr(stream_origins_store, "MAX_STREAMS", 50)
    sizes = []
    for first in range(0, 1_000, 20):
        _report(path, ("a-1", _origins(_OLD, *range(first, first + 20))))
        sizes.append(path.stat().st_size)
    assert max(sizes) < 10_000
    # Whole reports are dropped.
    assert len(_store(path)) == 40
    assert _found(path, 999) == {999: _OLD}
