"""Splits a stream of server-sent events into complete events.

Source: HTML standard, section 9.2.6, "Interpreting an event stream". Lines end
with CR LF, LF or CR, and an empty line ends an event.
"""

import re

__all__ = [
    "MAX_EVENT_BYTES",
    "EventSplitter",
    "OversizedEventError",
    "has_event",
]

MAX_EVENT_BYTES = 262_144
"""Maximum size of an event, with the comments and empty lines before it. Faulty
endpoints may send without the end of an event, or without an event."""

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
_EVENT_LINE = re.compile(rb"(?:\A|[\r\n])[^\r\n:]")
_DATA_LINE = re.compile(rb"(?:\A|[\r\n])data[:\r\n]")
_OVERLAP_BYTES = 3
"""An event's end has up to 4 bytes, which may arrive separately."""

_DATA_OVERLAP_BYTES = 5
"""The same for the beginning of a line with data."""


class OversizedEventError(Exception):
    """Over `MAX_EVENT_BYTES` came without an event."""


def has_event(data: bytes) -> bool:
    """Returns whether complete lines hold an event.

    What has no data, such as a comment, is none, and clients ignore it.
    """
    # The search by bytes alone is faster by far where there is none.
    return b"data" in data and _DATA_LINE.search(data) is not None


class EventSplitter:
    """Separates complete events from the beginning of the next one.

    Attributes:
        progressed: Whether the bytes that were fed last hold a part of an
            event.
    """

    def __init__(self):
        self.progressed = False
        self._partial = bytearray()
        self._has_data = False
        self._idle_bytes = 0

    @property
    def partial(self) -> bytes:
        """Received bytes after the last complete event."""
        return bytes(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Size of `partial`."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes up to the end of the last complete event.

        Args:
            data: The next bytes of the stream.

        Raises:
            OversizedEventError: Too many bytes came without the end of an
                event.
        """
        before_bytes = len(self._partial)
        self._partial += data
        complete = self._take_complete(max(before_bytes - _OVERLAP_BYTES, 0))
        if complete:
            before_bytes = 0
            self._has_data = False
        if complete and has_event(complete):
            self.progressed = True
            self._idle_bytes = 0
        else:
            self.progressed = False
            self._idle_bytes += len(complete)
        self._find_data(max(before_bytes - _DATA_OVERLAP_BYTES, 0))
        self.progressed = self.progressed or self._has_data
        if self._idle_bytes + len(self._partial) > MAX_EVENT_BYTES:
            raise OversizedEventError
        return complete

    def _take_complete(self, searched_bytes: int) -> bytes:
        end = 0
        for empty_line in (b"\n\n", b"\r\n\r\n"):
            begin = self._partial.rfind(empty_line, searched_bytes)
            if begin >= 0:
                end = max(end, begin + len(empty_line))
        searched_bytes = max(searched_bytes, end)
        for found in _EVENT_END.finditer(self._partial, searched_bytes):
            end = found.end()
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        return complete

    def _find_data(self, searched_bytes: int) -> None:
        """Looks for data in the part of the incomplete event that is new."""
        if not self._has_data:
            found = _DATA_LINE.search(self._partial, searched_bytes)
            self._has_data = found is not None

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun and has not ended.

        Empty lines and comments between events are not part of one.
        """
        if not self._partial:
            return False
        if not self._partial.endswith((b"\r", b"\n")):
            return True
        return _EVENT_LINE.search(self._partial) is not None
