"""The origins of single streams, on the disk of a control process.

Entries report the streams that they began while a service has several software
versions. After a restart of all processes no entry knows them, and the versions
that have open streams do not tell which of them began a stream.

Nothing waits for the disk, and each report goes only to the control process
that the entry follows: a stream that is in no file is refused.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import pathlib
import time

from cardamombarrow.kernel import durable_file
from cardamombarrow.kernel import framing
from cardamombarrow.kernel import logs
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.resumption import core as resumption

__all__ = ["MAX_STREAMS", "StreamOriginsFile", "StreamOriginsStore"]

MAX_STREAMS = 50_000
"""Most streams that are kept; the oldest ones go first."""

FLUSH_S = 0.25
"""Time in which reports are written and synced together."""

SWEEP_S = 5.0
"""Time between two removals of streams that have ended."""

MIN_REWRITE_BYTES = 1_000_000
"""Size below which the file is not rewritten without ended streams."""

_MAGIC = b"CbO1"
_SEVERAL = ""
"""Stands for the entry of a stream that entries have reported differently."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A report of an entry.

    Attributes:
        received_s: Local time from which on the times in it count.
        until_s: Local time until which one of its streams is kept.
        count: Number of its streams.
    """

    message: control_pb2.StreamOriginsReport
    received_s: float
    until_s: float
    count: int

    @classmethod
    def received(
        cls, message: control_pb2.StreamOriginsReport, now_s: float
    ) -> "_Report":
        """Returns a report that has just arrived."""
        left_s = max(
            (left_s for each in message.origins for left_s in each.left_s),
            default=0,
        )
        count = sum(len(each.streams) for each in message.origins)
        return cls(message, now_s, now_s + left_s, count)


@dataclasses.dataclass(slots=True)
class _Reported:
    """A stream, and which entry has reported it."""

    record: resumption.Record
    instance: str


class StreamOriginsFile:
    """Reads and writes reports; its methods block."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._size_bytes = 0
        self._rewritten_bytes = 0

    @property
    def is_large(self) -> bool:
        """Whether it should be rewritten."""
        most = max(MIN_REWRITE_BYTES, 2 * self._rewritten_bytes)
        return self._size_bytes > most

    def load(self) -> list[control_pb2.StreamOriginsReport]:
        """Returns the reports before the first damaged one."""
        try:
            raw = self._path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            logs.event("stream origins not read", "ERROR", detail=str(error))
            return []
        return [
            control_pb2.StreamOriginsReport.FromString(payload)
            for payload in framing.payloads(_MAGIC, raw)
        ]

    def append(self, reports: list[control_pb2.StreamOriginsReport]) -> None:
        """Appends reports and syncs the file.

        Raises:
            OSError: The write or sync failed; a part may have been written.
        """
        data = _frames(reports)
        durable_file.append(self._path, data)
        self._size_bytes += len(data)

    def replace(self, reports: list[control_pb2.StreamOriginsReport]) -> None:
        """Replaces all reports.

        Raises:
            OSError: The write or sync failed.
        """
        data = _frames(reports)
        durable_file.replace(self._path, [data])
        self._size_bytes = self._rewritten_bytes = len(data)


def _frames(reports: list[control_pb2.StreamOriginsReport]) -> bytes:
    return b"".join(
        framing.frame(_MAGIC, each.SerializeToString()) for each in reports
    )


class StreamOriginsStore:
    """The streams that were reported to a process; runs on the event loop."""

    def __init__(self, file: StreamOriginsFile, now_s: float):
        """Loads what the file has.

        Args:
            file: The file.
            now_s: The local time, from which on what is left of a stream's
                time counts.
        """
        self._file = file
        self._reports: collections.deque[_Report] = collections.deque()
        self._count = 0
        # Streams are seldom asked for: reports are indexed when one is.
        self._unindexed: collections.deque[_Report] = collections.deque()
        self._streams: dict[int, _Reported] = {}
        self._swept_s = now_s
        self._pending: list[control_pb2.StreamOriginsReport] = []
        self._writer: asyncio.Task[None] | None = None
        # What follows a record that was torn could not be read.
        self._is_rewrite_due = True
        self._is_failing = False
        for message in file.load():
            self._keep(message, now_s)

    def __len__(self) -> int:
        """Returns the number of streams that are kept."""
        return self._count

    def put(
        self,
        origins: abc.Sequence[placing_pb2.StreamOrigins],
        instance: str,
        now_s: float,
    ) -> None:
        """Keeps streams that an entry has reported.

        Args:
            origins: The streams, by what began them.
            instance: The entry.
            now_s: The local time.
        """
        if not origins:
            return
        message = control_pb2.StreamOriginsReport(
            instance=instance, origins=origins
        )
        self._keep(message, now_s)
        self._pending.append(message)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_pending())

    def find(
        self, streams: abc.Iterable[int], now_s: float
    ) -> list[placing_pb2.StreamOrigins]:
        """Returns those of some streams that are kept."""
        found = [self._indexed().get(key) for key in streams]
        records = [
            each.record
            for each in found
            if each is not None and each.record.until_s > now_s
        ]
        return origin_codec.origins_to_wire(records, now_s)

    def _keep(
        self, message: control_pb2.StreamOriginsReport, now_s: float
    ) -> None:
        report = _Report.received(message, now_s)
        self._reports.append(report)
        self._unindexed.append(report)
        self._count += report.count
        while self._count > MAX_STREAMS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        dropped = self._reports.popleft()
        self._count -= dropped.count
        if self._unindexed and self._unindexed[0] is dropped:
            self._unindexed.popleft()

    def _indexed(self) -> dict[int, _Reported]:
        """Returns the streams of all reports by key."""
        while self._unindexed:
            report = self._unindexed.popleft()
            for record in origin_codec.origins_from_wire(
                report.message.origins,
                report.received_s,
                resumption.Source.DOMAIN,
            ):
                self._merge_record(record, report.message.instance)
        while len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]
        return self._streams

    def _merge_record(self, record: resumption.Record, instance: str) -> None:
        if record.until_s is None:
            return
        known = self._streams.get(record.key)
        if known is not None:
            record.until_s = max(record.until_s, known.record.until_s)
            # Two streams with this key; what one entry says may change.
            if known.instance != instance and (
                known.instance == _SEVERAL
                or known.record.origin != record.origin
            ):
                record.origin, instance = None, _SEVERAL
        self._streams[record.key] = _Reported(record, instance)

    def _sweep(self, now_s: float) -> None:
        """Drops what has ended."""
        if now_s < self._swept_s + SWEEP_S:
            return
        self._swept_s = now_s
        while self._reports and self._reports[0].until_s <= now_s:
            self._drop_oldest()
        self._streams = {
            key: each
            for key, each in self._streams.items()
            if each.record.until_s > now_s
        }

    async def _write_pending(self) -> None:
        while self._pending:
            await asyncio.sleep(FLUSH_S)
            now_s = time.monotonic()
            self._sweep(now_s)
            pending, self._pending = self._pending, []
            try:
                if self._is_rewrite_due or self._file.is_large:
                    messages = [each.message for each in self._reports]
                    await asyncio.to_thread(self._file.replace, messages)
                else:
                    await asyncio.to_thread(self._file.append, pending)
            except OSError as error:
                self._is_rewrite_due = True
                if not self._is_failing:
                    logs.event(
                        "stream origins not stored", "ERROR", detail=str(error)
                    )
                self._is_failing = True
            else:
                self._is_rewrite_due = self._is_failing = False
