"""Reads a chunked body and rejects malformed chunks.

A reader that accepted a short or malformed chunk would forward a body that
differs from the one sent (RFC 9112, section 7.1).
"""

import io
import re
import typing

__all__ = ["ChunkedInput"]

LINE_BYTES = 256
TRAILER_BYTES = 8_192

_SIZE = re.compile(rb"(?P<size>[0-9A-Fa-f]{1,12})(?:[ \t]*;[\t -~]*)?\r\n")


class ChunkedInput(io.RawIOBase):
    """The content of the chunks as a stream.

    Reading raises OSError if the body is malformed or ends early.
    """

    def __init__(self, stream: typing.BinaryIO):
        self._stream = stream
        self._left_bytes = 0
        self._ended = False

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Reads from one chunk at a time."""
        if not self._left_bytes and not self._ended:
            self._next_chunk()
        if self._ended:
            return 0
        view = memoryview(buffer)[: self._left_bytes]
        size = self._stream.readinto1(view)
        if not size:
            raise OSError("a chunk ended early")
        self._left_bytes -= size
        if not self._left_bytes and self._stream.read(2) != b"\r\n":
            raise OSError("a chunk does not end at its announced size")
        return size

    def _next_chunk(self) -> None:
        match = _SIZE.fullmatch(self._stream.readline(LINE_BYTES))
        if match is None:
            raise OSError("the size of a chunk is malformed")
        self._left_bytes = int(match["size"], 16)
        if not self._left_bytes:
            self._skip_trailer()
            self._ended = True

    def _skip_trailer(self) -> None:
        left_bytes = TRAILER_BYTES
        while (line := self._stream.readline(left_bytes)) != b"\r\n":
            left_bytes -= len(line)
            if not line.endswith(b"\r\n") or left_bytes <= 0:
                raise OSError("the trailer is malformed or too long")
