"""The log on disk: one data folder per member.

Files:

- ``identity``: name and random part of the member; made once per folder.
- ``log``: records, each written and synced as a whole and checksummed.
- ``snapshot``: the newest state; written aside, synced and renamed.
- ``commit``: the last index known to be committed, not synced. With it a
  member that starts while the others are out of reach has its state again.

A record is a four-byte mark, its length, its CRC-32 and a `LogRecord`. A
record is synced before the next one is written, so only the last one can be
torn by a crash; it was never acknowledged and is cut off. A broken record with
a whole one after it cannot come from a crash: the disk has lost what was
acknowledged, and the member refuses to start rather than vote on it.
"""

from collections import abc
import errno
import os
import pathlib
import secrets
import struct
import zlib

from cardamombarrow.log import codec
from cardamombarrow.log import entries as entries_module
from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module
from cardamombarrow.peers import log_pb2

__all__ = ["Batch", "CorruptError", "FileData", "Storage", "batches"]

_MARK = b"CbL1"
_HEADER = struct.Struct(">4sII")
_SNAPSHOT_HEADER = struct.Struct(">4sI")
_COMMIT = struct.Struct(">QI")
_NEXT_STEP = (
    "move the folder away and start again: this process then joins as a "
    "learner and becomes a voter once it has caught up"
)


Batch = abc.Sequence[messages.Write]
"""Writes that become durable together: one snapshot, or others in a row."""


def batches(writes: abc.Iterable[messages.Write]) -> abc.Iterator[Batch]:
    """Yields writes in order, as what `Storage.save` takes at once."""
    pending: list[messages.Write] = []
    for write in writes:
        if not isinstance(write, messages.SnapshotWrite):
            pending.append(write)
            continue
        if pending:
            yield pending
            pending = []
        yield [write]
    if pending:
        yield pending


class CorruptError(Exception):
    """The data folder holds something that no crash can explain."""


class FileData(messages.SnapshotData):
    """A snapshot's bytes in a file, read when asked for.

    The file stays open, so it can be read after a newer one replaced it.
    """

    def __init__(self, path: pathlib.Path, start: int, size_bytes: int):
        self._file = path.open("rb")
        self._start = start
        self._size_bytes = size_bytes

    @property
    def size_bytes(self) -> int:
        """Length of the whole."""
        return self._size_bytes

    def read(self, offset: int, size_bytes: int) -> bytes:
        """Returns up to `size_bytes` bytes from `offset` on."""
        size_bytes = min(size_bytes, self._size_bytes - offset)
        return os.pread(self._file.fileno(), size_bytes, self._start + offset)


class Storage:
    """Reads and writes one data folder; used by one thread.

    Attributes:
        identity: The member that this folder belongs to.
        is_new: Whether the folder was empty.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        sync: abc.Callable[[int], None] = os.fsync,
    ):
        """Opens a folder, or makes it.

        Raises:
            CorruptError: The folder belongs to another name.
        """
        self._folder = folder
        self._sync = sync
        folder.mkdir(parents=True, exist_ok=True)
        self.is_new = not (folder / "identity").exists()
        if not self.is_new and not (folder / "log").exists():
            raise CorruptError(f"{folder}: the log is gone; {_NEXT_STEP}")
        self.identity = self._identify(name)
        self._term, self._vote = 0, membership_module.NOBODY
        self._file = None
        self._commit_file: int | None = None
        self._size_bytes = 0
        self._rewritten_bytes = 0

    @property
    def grown_bytes(self) -> int:
        """What was added to the log's file since it was last rewritten."""
        return self._size_bytes - self._rewritten_bytes

    def _identify(self, name: str) -> membership_module.VoterId:
        if self.is_new:
            # The log first: an identity without a log is a lost log.
            self._replace("log", [])
            voter = f"{name}.{secrets.token_hex(4)}"
            self._replace("identity", [voter.encode()])
        found = (self._folder / "identity").read_text()
        voter = membership_module.VoterId(found)
        if membership_module.name_of(voter) != name:
            raise CorruptError(
                f"{self._folder}: belongs to {found}, not to {name}"
            )
        return voter

    def load(self) -> state_module.Durable:
        """Reads what is durable.

        Raises:
            CorruptError: What was synced before is damaged.
        """
        path = self._folder / "log"
        log = entries_module.Entries()
        for record in self._records(path):
            log = self._take(log, record)
        self._file = path.open("r+b", buffering=0)
        self._file.truncate(self._size_bytes)
        self._file.seek(self._size_bytes)
        self._sync(self._file.fileno())
        self._rewritten_bytes = self._size_bytes
        log = self._join(self.snapshot(), log)
        commit_index = self._load_commit()
        if commit_index > log.last_index:
            raise CorruptError(
                f"{path}: ends at entry {log.last_index}, but entry "
                f"{commit_index} was committed here; {_NEXT_STEP}"
            )
        return state_module.Durable(self._term, self._vote, log, commit_index)

    def _load_commit(self) -> int:
        path = self._folder / "commit"
        raw = path.read_bytes() if path.exists() else b""
        self._commit_file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        if len(raw) != _COMMIT.size:
            return 0
        index, checksum = _COMMIT.unpack(raw)
        return index if checksum == zlib.crc32(raw[:8]) else 0

    def save_commit(self, index: int) -> None:
        """Notes the last committed index, of entries that are synced.

        It is not synced itself: when it is lost, the leader tells it again.
        """
        raw = index.to_bytes(8, "big")
        if self._commit_file is None:
            return
        os.pwrite(self._commit_file, _COMMIT.pack(index, zlib.crc32(raw)), 0)

    def _join(
        self, snapshot: messages.Snapshot, log: entries_module.Entries
    ) -> entries_module.Entries:
        if log.base_index > snapshot.index:
            raise CorruptError(
                f"{self._folder}: the snapshot before entry "
                f"{log.base_index} is gone; {_NEXT_STEP}"
            )
        if log.term_at(snapshot.index) != snapshot.term:
            # A crash between the snapshot and the log that goes with it: the
            # old log ends before the snapshot, or is of another branch.
            return entries_module.Entries(
                snapshot, snapshot.index, snapshot.term
            )
        kept = log.slice(log.base_index + 1, log.last_index)
        return entries_module.Entries(
            snapshot, log.base_index, log.base_term, kept
        )

    def _take(
        self, log: entries_module.Entries, record: log_pb2.LogRecord
    ) -> entries_module.Entries:
        if record.HasField("vote"):
            self._term = record.vote.term
            self._vote = membership_module.VoterId(record.vote.vote)
        if record.HasField("base"):
            log = entries_module.Entries(
                base_index=record.base.index, base_term=record.base.term
            )
        for wire in record.entries:
            entry = codec.entry_from_wire(wire)
            if entry.index <= log.last_index:
                log.truncate_from(entry.index)
            if entry.index != log.last_index + 1:
                raise CorruptError(
                    f"{self._folder}/log: entry {entry.index} "
                    f"follows {log.last_index}"
                )
            log.append([entry])
        return log

    def _records(self, path: pathlib.Path) -> abc.Iterator[log_pb2.LogRecord]:
        raw = path.read_bytes()
        offset = 0
        while offset < len(raw):
            payload = _payload_at(raw, offset)
            if payload is None:
                self._check_tail(raw, offset, path)
                break
            yield log_pb2.LogRecord.FromString(payload)
            offset += _HEADER.size + len(payload)
        self._size_bytes = offset

    def _check_tail(self, raw: bytes, offset: int, path: pathlib.Path) -> None:
        later = raw.find(_MARK, offset + 1)
        while later >= 0:
            if _payload_at(raw, later) is not None:
                raise CorruptError(
                    f"{path}: the record at byte {offset} is damaged and a "
                    f"whole one follows at byte {later}; {_NEXT_STEP}"
                )
            later = raw.find(_MARK, later + 1)

    def save(self, batch: Batch) -> None:
        """Makes one of `batches` durable; returns once it is synced.

        A batch that failed may be saved again, any number of times.

        Raises:
            OSError: The disk refused it.
        """
        if isinstance(batch[0], messages.SnapshotWrite):
            self._save_snapshot(batch[0])
        else:
            self._append(batch)

    def _append(self, writes: Batch) -> None:
        frame = _frame(self._record(writes))
        # Always at the end of what is whole: after a failure a part of the
        # record may stand there already.
        self._file.seek(self._size_bytes)
        written_bytes = self._file.write(frame)
        if written_bytes != len(frame):
            # A disk that fills up takes a part and reports no error. Taken
            # for whole, the record would be acknowledged and then lost.
            raise OSError(
                errno.ENOSPC, f"{written_bytes} of {len(frame)} bytes taken"
            )
        self._sync(self._file.fileno())
        self._size_bytes += len(frame)

    def _record(
        self, writes: abc.Sequence[messages.Write]
    ) -> log_pb2.LogRecord:
        record = log_pb2.LogRecord()
        for write in writes:
            if isinstance(write, messages.VoteWrite):
                self._term, self._vote = write.term, write.vote
                record.vote.term, record.vote.vote = write.term, write.vote
            else:
                record.entries.extend(map(codec.entry_to_wire, write.entries))
        return record

    def _save_snapshot(self, write: messages.SnapshotWrite) -> None:
        snapshot = write.snapshot
        data = snapshot.data.read(0, snapshot.data.size_bytes)
        header = log_pb2.LogSnapshotHeader(
            index=snapshot.index,
            term=snapshot.term,
            membership=snapshot.membership.encode(),
            size_bytes=len(data),
            crc32=zlib.crc32(data),
        ).SerializeToString()
        start = _SNAPSHOT_HEADER.pack(_MARK, len(header))
        self._replace("snapshot", [start, header, data])
        # A crash here leaves the old log with the new snapshot; `load` then
        # finds the log's entries at and before the snapshot, and keeps them.
        self._rewrite_log(write)

    def _rewrite_log(self, write: messages.SnapshotWrite) -> None:
        record = log_pb2.LogRecord()
        record.vote.term, record.vote.vote = self._term, self._vote
        record.base.index = write.base_index
        record.base.term = write.base_term
        record.entries.extend(map(codec.entry_to_wire, write.entries))
        frame = _frame(record)
        self._file.close()
        self._replace("log", [frame])
        self._file = (self._folder / "log").open("r+b", buffering=0)
        self._file.seek(len(frame))
        self._size_bytes = self._rewritten_bytes = len(frame)

    def _replace(self, name: str, parts: abc.Iterable[bytes]) -> None:
        """Writes a file aside, syncs it, renames it and syncs the folder.

        Without the folder's sync a crash may bring the old file back.
        """
        aside = self._folder / f"{name}.new"
        with aside.open("wb") as file:
            file.writelines(parts)
            file.flush()
            self._sync(file.fileno())
        aside.replace(self._folder / name)
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    def snapshot(self) -> messages.Snapshot:
        """Returns the newest snapshot, its bytes still in the file.

        Raises:
            CorruptError: It is damaged.
        """
        path = self._folder / "snapshot"
        if not path.exists():
            return entries_module.NO_SNAPSHOT
        with path.open("rb") as file:
            start = file.read(_SNAPSHOT_HEADER.size)
            try:
                mark, length = _SNAPSHOT_HEADER.unpack(start)
                header = log_pb2.LogSnapshotHeader.FromString(file.read(length))
            except Exception:
                raise CorruptError(f"{path}: the header is damaged") from None
            data = file.read()
        whole = len(data) == header.size_bytes
        if mark != _MARK or not whole or zlib.crc32(data) != header.crc32:
            raise CorruptError(f"{path}: the checksum does not match")
        return messages.Snapshot(
            header.index,
            header.term,
            membership_module.Membership.decode(header.membership),
            FileData(path, _SNAPSHOT_HEADER.size + length, header.size_bytes),
        )

    def close(self) -> None:
        """Closes the files."""
        if self._file is not None:
            self._file.close()
        if self._commit_file is not None:
            os.close(self._commit_file)
            self._commit_file = None


def _frame(record: log_pb2.LogRecord) -> bytes:
    payload = record.SerializeToString()
    return _HEADER.pack(_MARK, len(payload), zlib.crc32(payload)) + payload


def _payload_at(raw: bytes, offset: int) -> bytes | None:
    if len(raw) - offset < _HEADER.size:
        return None
    mark, length, checksum = _HEADER.unpack_from(raw, offset)
    start = offset + _HEADER.size
    payload = raw[start : start + length]
    if mark != _MARK or len(payload) < length or not payload:
        return None
    return payload if zlib.crc32(payload) == checksum else None
