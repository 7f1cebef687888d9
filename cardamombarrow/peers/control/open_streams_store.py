"""The open streams of a control process on its disk.

What a control process acknowledges is on its disk before, so that it still has
it after a restart, of all processes at the same moment, too. The whole table is
one small file: a group is written anew only when its end moves beyond what the
file has, which reaches `MARGIN_S` ahead.

Times are stored as what is left of them at the write, and count from the load:
a clock that jumps, and the time without power, make a group end later, never
earlier.
"""

import asyncio
from collections import abc
import dataclasses
import pathlib
import time

from cardamombarrow.kernel import durable_file
from cardamombarrow.kernel import framing
from cardamombarrow.kernel import logs
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.resumption import open_streams

__all__ = ["OpenStreamsFile", "OpenStreamsStore", "StoredStreams"]

MARGIN_S = 30.0
"""How far beyond the end of a group the file reaches."""

RETRY_S = 0.2
"""Pause after a write that failed."""

_MAGIC = b"CbS1"


@dataclasses.dataclass(frozen=True)
class StoredStreams:
    """What the file has.

    Attributes:
        items: Groups, and the local time until which they are open.
        are_all: Whether the process had all that it ever acknowledged.
    """

    items: tuple[open_streams.GroupEnd, ...] = ()
    are_all: bool = False


class OpenStreamsFile:
    """Reads and writes the file; its methods block."""

    def __init__(self, path: pathlib.Path):
        self._path = path

    def load(self, now_s: float) -> StoredStreams:
        """Returns what the file has; nothing if there is none, or a part."""
        try:
            raw = self._path.read_bytes()
        except FileNotFoundError:
            return StoredStreams()
        except OSError as error:
            logs.event("open streams not read", "ERROR", detail=str(error))
            return StoredStreams()
        payload = framing.payload_at(_MAGIC, raw, 0)
        if payload is None:
            logs.event("open streams damaged", "ERROR", file=self._path.name)
            return StoredStreams()
        table = control_pb2.OpenStreamsTable.FromString(payload)
        items = open_streams_codec.open_streams_from_wire(
            table.open_streams, now_s
        )
        return StoredStreams(tuple(items), table.knows_open_streams)

    def save(self, stored: StoredStreams, now_s: float) -> None:
        """Replaces the file; returns once it is synced.

        Raises:
            OSError: The write or sync failed.
        """
        payload = control_pb2.OpenStreamsTable(
            open_streams=open_streams_codec.open_streams_to_wire(
                stored.items, now_s
            ),
            knows_open_streams=stored.are_all,
        ).SerializeToString()
        durable_file.replace(self._path, [framing.frame(_MAGIC, payload)])


class OpenStreamsStore:
    """Writes a table to the file when it has to; runs on the event loop."""

    def __init__(
        self,
        file: OpenStreamsFile,
        current: abc.Callable[[float], StoredStreams],
    ):
        """Builds a store; it writes nothing by itself.

        Args:
            file: The file.
            current: Returns the table at a local time.
        """
        self._file = file
        self._current = current
        self._until_s: dict[open_streams.StreamGroup, float] = {}
        self._is_failing = False
        self._written = asyncio.Condition()
        self._writer: asyncio.Task[None] | None = None
        self._is_wanted = False

    def _covers(self, items: abc.Iterable[open_streams.GroupEnd]) -> bool:
        return all(
            until_s <= self._until_s.get(group, 0.0) for group, until_s in items
        )

    async def store(
        self, items: abc.Sequence[open_streams.GroupEnd], timeout_s: float
    ) -> bool:
        """Makes groups durable that the table has.

        Args:
            items: The groups, and the local time until which they are open.
            timeout_s: Longest wait for the disk.

        Returns:
            Whether they are.
        """
        if self._covers(items):
            return True
        self.write_soon()
        try:
            async with asyncio.timeout(timeout_s), self._written:
                await self._written.wait_for(lambda: self._covers(items))
        except TimeoutError:
            return False
        return True

    def write_soon(self) -> None:
        """Has the table written, after a write that is under way."""
        self._is_wanted = True
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_wanted())

    async def _write_wanted(self) -> None:
        while self._is_wanted:
            self._is_wanted = False
            now_s = time.monotonic()
            current = self._current(now_s)
            ahead = StoredStreams(
                tuple(
                    (group, until_s + MARGIN_S)
                    for group, until_s in current.items
                ),
                current.are_all,
            )
            try:
                await asyncio.to_thread(self._file.save, ahead, now_s)
            except OSError as error:
                self._log_failure(str(error))
                self._is_wanted = True
                await asyncio.sleep(RETRY_S)
                continue
            self._is_failing = False
            async with self._written:
                self._until_s = dict(ahead.items)
                self._written.notify_all()

    def _log_failure(self, detail: str) -> None:
        """Logs the first failure in a row."""
        if not self._is_failing:
            logs.event("open streams not stored", "ERROR", detail=detail)
        self._is_failing = True
