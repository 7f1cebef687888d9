"""Counts the messages with documents that a control process sends."""

import collections
from collections import abc
import contextlib
import dataclasses
import enum

from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec

__all__ = ["DocumentSends", "SendCounts", "Way"]


class Way(enum.Enum):
    """How a document reaches an entry."""

    FOLLOW = "follow"
    CONFIRM = "confirm"
    QUERY = "query"


@dataclasses.dataclass(frozen=True)
class SendCounts:
    """What was sent in one way.

    Attributes:
        messages: Messages with a document, whole or as changes.
        size_bytes: Their size.
    """

    messages: int
    size_bytes: int


class DocumentSends:
    """Documents that were sent, and those that are being sent."""

    def __init__(self):
        self._messages: collections.Counter[Way] = collections.Counter()
        self._size_bytes: collections.Counter[Way] = collections.Counter()
        self._pending_bytes = 0

    @contextlib.contextmanager
    def sending(
        self, way: Way, message: control_pb2.DocumentMessage
    ) -> abc.Iterator[None]:
        """Counts a message while it is sent, if it has a document."""
        if not document_codec.has_text(message) and not message.changes:
            yield
            return
        size_bytes = message.ByteSize()
        self._messages[way] += 1
        self._size_bytes[way] += size_bytes
        self._pending_bytes += size_bytes
        try:
            yield
        finally:
            self._pending_bytes -= size_bytes

    @property
    def pending_bytes(self) -> int:
        """Size of the documents that are being sent."""
        return self._pending_bytes

    def counts(self) -> dict[Way, SendCounts]:
        """Returns what was sent in each way."""
        return {
            way: SendCounts(self._messages[way], self._size_bytes[way])
            for way in Way
        }
