"""The log on disk: one data folder per member.

Files:

- ``identity``: name and random part of the member; created once per folder.
- ``log``: checksummed records, each written and synced as a whole.
- ``snapshot``: the newest snapshot; written to a temporary file, synced and
  renamed.
- ``commit``: the last index known to be committed, not synced. It allows a
  member that starts without contact to the others to rebuild its state.

A record consists of a four-byte magic number, its length, its CRC-32 and a
`LogRecord`. Each record is synced before the next one is written, so a crash
can only tear the last one; it was never acknowledged and is truncated. A
damaged record before an intact one cannot come from a crash: the disk has lost
acknowledged data, and the member refuses to start and vote without it.
"""

from collections import abc
import errno
import os
import pathlib
import secrets
import struct
import zlib

from cardamombarrow.kernel import durable_file
from cardamombarrow.kernel import framing
from cardamombarrow.log import codec
from cardamombarrow.log import entries as entries_module
from cardamombarrow.log import membership as membership_module
from cardamombarrow.log import messages
from cardamombarrow.log import state as state_module
from cardamombarrow.peers.log import log_pb2

__all__ = ["Batch", "CorruptError", "FileData", "Storage", "batches"]

_MAGIC = b"CbL1"
_SNAPSHOT_HEADER = struct.Struct(">4sI")
_COMMIT = struct.Struct(">QI")
_RECOVERY_HINT = (
    "move the folder away and start again: this process then joins as a "
    "learner and becomes a voter once it has caught up"
)


Batch = abc.Sequence[messages.Write]
"""Writes that become durable together: one snapshot, or consecutive others."""


def batches(writes: abc.Iterable[messages.Write]) -> abc.Iterator[Batch]:
    """Groups consecutive writes into batches for `Storage.save`."""
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
    """The data folder is damaged in a way that a crash cannot cause."""


class FileData(messages.SnapshotData):
    """A snapshot's bytes in a file, read on demand.

    The file stays open, so it is readable after a newer one has replaced it.
    """

    def __init__(self, path: pathlib.Path, start: int, size_bytes: int):
        self._file = path.open("rb")
        self._start = start
        self._size_bytes = size_bytes

    @property
    def size_bytes(self) -> int:
        """Total length."""
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
        """Opens a folder, or creates it.

        Raises:
            CorruptError: The folder belongs to another name.
        """
        self._folder = folder
        self._sync = sync
        folder.mkdir(parents=True, exist_ok=True)
        self.is_new = not (folder / "identity").exists()
        if not self.is_new and not (folder / "log").exists():
            raise CorruptError(f"{folder}: the log is gone; {_RECOVERY_HINT}")
        self.identity = self._load_identity(name)
        self._term, self._vote = 0, membership_module.NO_MEMBER
        self._file = None
        self._commit_file: int | None = None
        self._size_bytes = 0
        self._rewritten_bytes = 0

    @property
    def bytes_since_rewrite(self) -> int:
        """Bytes appended to the log file since it was last rewritten."""
        return self._size_bytes - self._rewritten_bytes

    def _load_identity(self, name: str) -> membership_module.VoterId:
        if self.is_new:
            # The log is created first, because an identity without a log
            # means that the log is lost.
            self._replace_file("log", [])
            voter = f"{name}.{secrets.token_hex(4)}"
            self._replace_file("identity", [voter.encode()])
        stored_id = (self._folder / "identity").read_text()
        voter = membership_module.VoterId(stored_id)
        if membership_module.name_of(voter) != name:
            raise CorruptError(
                f"{self._folder}: belongs to {stored_id}, not to {name}"
            )
        return voter

    def load(self) -> state_module.DurableState:
        """Reads the persisted state.

        Raises:
            CorruptError: Synced data is damaged.
        """
        path = self._folder / "log"
        log = entries_module.Entries()
        for record in self._records(path):
            log = self._apply_record(log, record)
        self._file = path.open("r+b", buffering=0)
        self._file.truncate(self._size_bytes)
        self._file.seek(self._size_bytes)
        self._sync(self._file.fileno())
        self._rewritten_bytes = self._size_bytes
        log = self._combine(self.snapshot(), log)
        commit_index = self._load_commit()
        if commit_index > log.last_index:
            raise CorruptError(
                f"{path}: ends at entry {log.last_index}, but entry "
                f"{commit_index} was committed here; {_RECOVERY_HINT}"
            )
        return state_module.DurableState(
            self._term, self._vote, log, commit_index
        )

    def _load_commit(self) -> int:
        path = self._folder / "commit"
        raw = path.read_bytes() if path.exists() else b""
        self._commit_file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        if len(raw) != _COMMIT.size:
            return 0
        index, checksum = _COMMIT.unpack(raw)
        return index if checksum == zlib.crc32(raw[:8]) else 0

    def save_commit(self, index: int) -> None:
        """Saves the last committed index, of entries that are synced.

        The index itself is not synced, since the leader sends it again if it
        is lost.
        """
        raw = index.to_bytes(8, "big")
        if self._commit_file is None:
            return
        os.pwrite(self._commit_file, _COMMIT.pack(index, zlib.crc32(raw)), 0)

    def _combine(
        self, snapshot: messages.Snapshot, log: entries_module.Entries
    ) -> entries_module.Entries:
        if log.base_index > snapshot.index:
            raise CorruptError(
                f"{self._folder}: the snapshot before entry "
                f"{log.base_index} is gone; {_RECOVERY_HINT}"
            )
        if log.term_at(snapshot.index) != snapshot.term:
            # After a crash between the writes of snapshot and log, the old
            # log ends before the snapshot or diverges from it.
            return entries_module.Entries(
                snapshot, snapshot.index, snapshot.term
            )
        retained = log.slice(log.base_index + 1, log.last_index)
        return entries_module.Entries(
            snapshot, log.base_index, log.base_term, retained
        )

    def _apply_record(
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
            payload = framing.payload_at(_MAGIC, raw, offset)
            if payload is None:
                self._check_tail(raw, offset, path)
                break
            yield log_pb2.LogRecord.FromString(payload)
            offset += framing.HEADER_BYTES + len(payload)
        self._size_bytes = offset

    def _check_tail(self, raw: bytes, offset: int, path: pathlib.Path) -> None:
        later = raw.find(_MAGIC, offset + 1)
        while later >= 0:
            if framing.payload_at(_MAGIC, raw, later) is not None:
                raise CorruptError(
                    f"{path}: the record at byte {offset} is damaged and an "
                    f"intact one follows at byte {later}; {_RECOVERY_HINT}"
                )
            later = raw.find(_MAGIC, later + 1)

    def save(self, batch: Batch) -> None:
        """Makes one of `batches` durable; returns once it is synced.

        A batch that failed may be saved again, any number of times.

        Raises:
            OSError: The write or sync failed.
        """
        if isinstance(batch[0], messages.SnapshotWrite):
            self._save_snapshot(batch[0])
        else:
            self._append(batch)

    def _append(self, writes: Batch) -> None:
        frame = framing.frame(_MAGIC, self._record(writes).SerializeToString())
        # The end of the last complete record; a failed write may have left
        # a partial one there.
        self._file.seek(self._size_bytes)
        written_bytes = self._file.write(frame)
        if written_bytes != len(frame):
            # A disk that fills up may write a part without an error. The
            # record would be acknowledged and lost at the next start.
            raise OSError(
                errno.ENOSPC, f"{written_bytes} of {len(frame)} bytes written"
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
        start = _SNAPSHOT_HEADER.pack(_MAGIC, len(header))
        self._replace_file("snapshot", [start, header, data])
        # A crash here leaves the old log with the new snapshot. `load` accepts
        # entries in the log up to and including the snapshot's index.
        self._rewrite_log(write)

    def _rewrite_log(self, write: messages.SnapshotWrite) -> None:
        record = log_pb2.LogRecord()
        record.vote.term, record.vote.vote = self._term, self._vote
        record.base.index = write.base_index
        record.base.term = write.base_term
        record.entries.extend(map(codec.entry_to_wire, write.entries))
        frame = framing.frame(_MAGIC, record.SerializeToString())
        self._file.close()
        self._replace_file("log", [frame])
        self._file = (self._folder / "log").open("r+b", buffering=0)
        self._file.seek(len(frame))
        self._size_bytes = self._rewritten_bytes = len(frame)

    def _replace_file(self, name: str, parts: abc.Iterable[bytes]) -> None:
        durable_file.replace(self._folder / name, parts, self._sync)

    def snapshot(self) -> messages.Snapshot:
        """Returns the newest snapshot, with its bytes in the file.

        Raises:
            CorruptError: It is damaged.
        """
        path = self._folder / "snapshot"
        if not path.exists():
            return entries_module.NO_SNAPSHOT
        with path.open("rb") as file:
            start = file.read(_SNAPSHOT_HEADER.size)
            try:
                magic, length = _SNAPSHOT_HEADER.unpack(start)
                header = log_pb2.LogSnapshotHeader.FromString(file.read(length))
            except Exception:
                raise CorruptError(f"{path}: the header is damaged") from None
            data = file.read()
        is_complete = len(data) == header.size_bytes
        if (
            magic != _MAGIC
            or not is_complete
            or zlib.crc32(data) != header.crc32
        ):
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
