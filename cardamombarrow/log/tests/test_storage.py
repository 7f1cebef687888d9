"""State restored from the data folder after crashes and damage."""

import pytest

from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.log import storage as storage_module

_VOTER = membership.VoterId("A.1")


def _entries(first, last, term=1):
    return tuple(
        messages.Entry(i, term, messages.EntryKind.COMMAND, data=b"x%d" % i)
        for i in range(first, last + 1)
    )


@pytest.fixture
def folder(tmp_path):
    storage = storage_module.Storage(tmp_path / "A", "A")
    storage.load()
    storage.save([messages.VoteWrite(3, _VOTER)])
    for index in range(1, 6):
        storage.save([messages.EntryWrite(_entries(index, index))])
    storage.close()
    return tmp_path / "A"


def _load(folder):
    return storage_module.Storage(folder, "A").load()


def test_vote_term_and_entries_are_restored(folder):
    durable = _load(folder)
    assert (durable.term, durable.vote) == (3, _VOTER)
    assert durable.entries.slice(1, 5) == _entries(1, 5)


@pytest.mark.parametrize("cut_bytes", [1, 5, 20, 25])
def test_torn_last_record_is_truncated(folder, cut_bytes):
    # Power fails before the sync of the last record, which was therefore never
    # acknowledged. The process has to start without it.
    log = folder / "log"
    log.write_bytes(log.read_bytes()[:-cut_bytes])
    assert _load(folder).entries.last_index == 4
    assert _load(folder).entries.last_index == 4


def test_lost_end_that_was_committed_is_refused(folder):
    # The disk loses the last record after it was synced. It looks like a torn
    # one, but its entry was committed, perhaps with this member's vote.
    storage = storage_module.Storage(folder, "A")
    storage.load()
    storage.save_commit(5)
    storage.close()
    assert _load(folder).commit_index == 5
    log = folder / "log"
    log.write_bytes(log.read_bytes()[:-3])
    with pytest.raises(storage_module.CorruptError, match="was committed"):
        _load(folder)


def test_damage_before_the_last_record_is_refused(folder):
    # A bad sector damages acknowledged entries. Starting without them could
    # lose an accepted edit.
    raw = bytearray((folder / "log").read_bytes())
    raw[len(raw) // 2] ^= 0xFF
    (folder / "log").write_bytes(raw)
    with pytest.raises(storage_module.CorruptError, match="damaged"):
        _load(folder)


@pytest.mark.parametrize("lost", ["log", "snapshot"])
def test_a_lost_file_is_refused(folder, lost):
    # A file of the folder is deleted. Continuing under the old identity without
    # its votes could elect two leaders.
    storage = storage_module.Storage(folder, "A")
    log = storage.load().entries
    snapshot = messages.Snapshot(
        4, 1, membership.Membership(), messages.MemoryData(b"state")
    )
    log.compact(snapshot, keep=0)
    storage.save([messages.SnapshotWrite(snapshot, 4, 1, log.slice(5, 5))])
    storage.close()
    (folder / lost).unlink()
    with pytest.raises(storage_module.CorruptError, match="is gone"):
        _load(folder)


def test_damaged_snapshot_is_refused(folder):
    storage = storage_module.Storage(folder, "A")
    storage.load()
    snapshot = messages.Snapshot(
        5, 1, membership.Membership(), messages.MemoryData(b"state")
    )
    storage.save([messages.SnapshotWrite(snapshot, 5, 1, ())])
    storage.close()
    raw = bytearray((folder / "snapshot").read_bytes())
    raw[-1] ^= 0xFF
    (folder / "snapshot").write_bytes(raw)
    with pytest.raises(storage_module.CorruptError, match="checksum"):
        _load(folder)


def test_crash_between_snapshot_and_log_loses_nothing(folder):
    # Power fails after the rename of the snapshot and before the log is
    # rewritten.
    old_log = (folder / "log").read_bytes()
    storage = storage_module.Storage(folder, "A")
    storage.load()
    snapshot = messages.Snapshot(
        4, 1, membership.Membership(), messages.MemoryData(b"state")
    )
    storage.save([messages.SnapshotWrite(snapshot, 4, 1, _entries(5, 5))])
    storage.close()
    (folder / "log").write_bytes(old_log)
    durable = _load(folder)
    assert durable.entries.snapshot.index == 4
    assert durable.entries.slice(5, 5) == _entries(5, 5)
    assert durable.vote == _VOTER


def test_new_entries_replace_old_ones_of_another_term(folder):
    storage = storage_module.Storage(folder, "A")
    storage.load()
    storage.save([messages.EntryWrite(_entries(3, 4, term=2))])
    storage.close()
    log = _load(folder).entries
    assert (log.last_index, log.last_term, log.term_at(2)) == (4, 2, 1)


def test_folder_of_another_process_is_refused(folder):
    with pytest.raises(storage_module.CorruptError, match="belongs to A"):
        storage_module.Storage(folder, "B")


class _ShortFile:
    """A file that writes only a part of the first data."""

    def __init__(self, file):
        self._file = file
        self._short = True

    def write(self, data):
        if self._short:
            self._short = False
            return self._file.write(data[: len(data) // 2])
        return self._file.write(data)

    def __getattr__(self, name):
        return getattr(self._file, name)


def test_partial_write_fails_and_can_be_repeated(folder):
    # A disk that fills up writes half of a record without an error. If it
    # counted as complete, the entry would be acknowledged and lost at the next
    # start.
    storage = storage_module.Storage(folder, "A")
    storage.load()
    storage._file = _ShortFile(storage._file)
    batch = [messages.EntryWrite(_entries(6, 6))]
    with pytest.raises(OSError):
        storage.save(batch)
    storage.save(batch)
    storage.close()
    assert _load(folder).entries.slice(1, 6) == _entries(1, 6)
