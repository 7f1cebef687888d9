"""Applies committed entries to the state machine, each proposal once."""

import collections
from collections import abc
import struct

from cardamombarrow.log import base
from cardamombarrow.log import messages

__all__ = ["Replica"]

_MAX_SEEN_IDS = 4_096
"""Maximum number of recorded proposal ids: half a minute of retries at 130
claims per second."""

_HEADER = struct.Struct(">QI")


class Replica:
    """The state machine and the ids of the proposals applied last.

    A proposal that was sent again may be in the log twice. All members skip
    the second entry alike, because the recorded ids depend only on the log.

    Attributes:
        applied_index: Index of the last entry applied.
    """

    def __init__(self, machine: base.StateMachine):
        self._machine = machine
        self.applied_index = 0
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def apply(
        self, entries: abc.Iterable[messages.Entry]
    ) -> abc.Iterator[tuple[messages.Entry, bytes]]:
        """Applies entries in order and yields each one's answer."""
        for entry in entries:
            if entry.index != self.applied_index + 1:
                raise AssertionError(
                    f"entry {entry.index} after {self.applied_index}"
                )
            self.applied_index = entry.index
            if self._is_new(entry):
                yield entry, self._answer(entry)

    def _is_new(self, entry: messages.Entry) -> bool:
        if not entry.proposal:
            return False
        if entry.proposal in self._seen:
            return False
        self._seen[entry.proposal] = None
        while len(self._seen) > _MAX_SEEN_IDS:
            self._seen.popitem(last=False)
        return True

    def _answer(self, entry: messages.Entry) -> bytes:
        if entry.kind is messages.EntryKind.COMMAND:
            return self._machine.apply(entry.index, entry.data)
        if entry.kind is messages.EntryKind.BARRIER:
            return entry.data
        return b""

    def snapshot(self) -> bytes:
        """Returns the state after `applied_index`."""
        seen = struct.pack(f">{len(self._seen)}Q", *self._seen)
        header = _HEADER.pack(self.applied_index, len(self._seen))
        return header + seen + self._machine.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot."""
        self.applied_index, count = _HEADER.unpack_from(snapshot)
        end = _HEADER.size + 8 * count
        seen = struct.unpack_from(f">{count}Q", snapshot, _HEADER.size)
        self._seen = collections.OrderedDict.fromkeys(seen)
        self._machine.restore(snapshot[end:])
