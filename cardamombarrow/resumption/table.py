"""The streams that an instance knows, each until its caller's limit."""

import collections
from collections import abc
import dataclasses
import enum
import heapq

from cardamombarrow.kernel import ids
from cardamombarrow.resumption import open_streams

__all__ = ["MAX_STREAMS", "Record", "Source", "StreamTable"]

MAX_STREAMS = 50_000
"""Most streams that are kept, in some 12 MB; the oldest ones go first."""

_COMPACTION_SLACK = 1_000


class Source(enum.IntEnum):
    """Who began a stream, the nearest first.

    `ASKING` are entries that ask this one as their placer.
    """

    OWN = 0
    ASKING = 1
    DOMAIN = 2
    OTHER_DOMAIN = 3


@dataclasses.dataclass(slots=True)
class Record:
    """The origin of one stream.

    Attributes:
        key: See `stream_key`.
        origin: None if two streams with this key have different ones.
        begun_s: Local time of its first event.
        source: Who began it.
        until_s: Local time until which its caller may resume it; None if not
            known.
        endpoint: What wrote it; None if another entry began it.
        number: Increases with each change of any record.
    """

    key: int
    origin: open_streams.Origin | None
    begun_s: float
    source: Source
    until_s: float | None = None
    endpoint: ids.EndpointId | None = None
    number: int = 0


class StreamTable:
    """Records of streams in the order of their changes.

    Attributes:
        number: The number of the last change.
    """

    def __init__(self):
        self.number = 0
        self._records: dict[int, Record] = {}
        self._log: collections.deque[tuple[int, int]] = collections.deque()
        self._ends: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: int) -> Record | None:
        """Returns the record of a stream, if there is one."""
        return self._records.get(key)

    def values(self) -> list[Record]:
        """Returns all records."""
        return list(self._records.values())

    def add(self, record: Record) -> None:
        """Adds a new record."""
        self._records[record.key] = record
        self.append(record)
        self._push_end(record)

    def append(self, record: Record) -> None:
        """Gives a record that has changed a new number."""
        self.number += 1
        record.number = self.number
        self._log.append((self.number, record.key))

    def set_conflicting(self, record: Record) -> None:
        """Records that a stream's origin can't be told."""
        record.origin = None
        self.append(record)

    def extend(self, record: Record, until_s: float) -> None:
        """Keeps a record longer."""
        record.until_s = until_s
        self.append(record)
        self._push_end(record)

    def _push_end(self, record: Record) -> None:
        heapq.heappush(self._ends, (record.until_s, record.key))

    def drop_ended(self, now_s: float) -> None:
        """Drops records that have ended, and the oldest above the bound."""
        while self._ends and self._ends[0][0] <= now_s:
            _, key = heapq.heappop(self._ends)
            record = self._records.get(key)
            if record is not None and record.until_s <= now_s:
                del self._records[key]
        while len(self._records) > MAX_STREAMS:
            number, key = self._log.popleft()
            if self._is_newest(number, key):
                del self._records[key]
        self._compact()

    def _is_newest(self, number: int, key: int) -> bool:
        record = self._records.get(key)
        return record is not None and record.number == number

    def _compact(self) -> None:
        """Bounds what is left of records that were dropped or renumbered."""
        most = 2 * len(self._records) + _COMPACTION_SLACK
        if len(self._log) > most:
            self._log = collections.deque(
                each for each in self._log if self._is_newest(*each)
            )
        if len(self._ends) > most:
            self._ends = [
                (record.until_s, key) for key, record in self._records.items()
            ]
            heapq.heapify(self._ends)

    def since(self, number: int) -> abc.Iterator[Record]:
        """Yields the records that have changed after a number."""
        for position, key in reversed(self._log):
            if position <= number:
                return
            if self._is_newest(position, key):
                yield self._records[key]
