"""Reading of chunked bodies."""

import io

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.kernel import chunked


def _read(raw: bytes) -> bytes:
    stream = io.BufferedReader(io.BytesIO(raw))
    return io.BufferedReader(chunked.ChunkedInput(stream)).read()


@hypothesis.given(strategies.lists(strategies.binary(min_size=1, max_size=300)))
def test_chunks_are_joined(chunks):
    raw = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
    assert _read(raw + b"0\r\n\r\n") == b"".join(chunks)


def test_extensions_and_trailers_are_left_out():
    raw = b"2;a=b\r\nxy\r\n0\r\nX-Trailer: z\r\n\r\n"
    assert _read(raw) == b"xy"


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"5\r\nab",
        b"2\r\nab\r\n",
        b"2\r\nabc\r\n0\r\n\r\n",
        b"0x2\r\nab\r\n0\r\n\r\n",
        b"+2\r\nab\r\n0\r\n\r\n",
        b"-2\r\nab\r\n0\r\n\r\n",
        b"2\nab\r\n0\r\n\r\n",
        b"2\r\nab\n0\r\n\r\n",
        b"2\r\nab\r\n0\r\n",
        b"2\r\nab\r\n0\r\nX: y\n\r\n",
        b"\r\n",
    ],
)
def test_a_malformed_body_is_rejected(raw):
    # The caller disconnects within a chunk, or announces a wrong size. An
    # endpoint must not receive the part that came as a complete body.
    with pytest.raises(OSError):
        _read(raw)
