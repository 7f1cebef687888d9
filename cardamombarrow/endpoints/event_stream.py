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
"""Maximum size of an incomplete event that is buffered, for each of up to some
hundred streams. Faulty endpoints may send without the end of an event."""

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
_NO_EVENT = re.compile(rb"(?:[\r\n]|:[^\r\n]*[\r\n])*")
_OVERLAP_BYTES = 3
"""An event's end has up to 4 bytes, which may arrive separately."""


class OversizedEventError(Exception):
    """An event is over `MAX_EVENT_BYTES`."""


def has_event(data: bytes) -> bool:
    """Returns whether a part of a stream is more than comments."""
    return _NO_EVENT.fullmatch(data) is None


class EventSplitter:
    """Separates complete events from the beginning of the next one.

    Attributes:
        partial: Received bytes after the last complete event.
    """

    def __init__(self):
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes up to the end of the last complete event.

        Args:
            data: The next bytes of the stream.

        Raises:
            OversizedEventError: Too many bytes came without the end of an
                event.
        """
        searched_bytes = max(len(self.partial) - _OVERLAP_BYTES, 0)
        data = self.partial + data
        end = 0
        if data.endswith(b"\n\n"):
            end = len(data)
        else:
            for found in _EVENT_END.finditer(data, searched_bytes):
                end = found.end()
        self.partial = data[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise OversizedEventError
        return data[:end]

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun and has not ended.

        Empty lines and comments between events are not part of one.
        """
        return has_event(self.partial)
