"""Texts as they cross from one control process to others.

A document of many routes repeats the same names over and over. Unpacked, each
edition went to every other control process whole, from the one that was asked
to the leader and from there to each follower; between regions that costs more
than all other messages of a control process together.
"""

import zlib

__all__ = ["MOST_BYTES", "pack", "unpack"]

MOST_BYTES = 64_000_000
"""Most bytes of a text; far above what an operator may hand in."""


def pack(text: str) -> bytes:
    """Returns a text packed (zlib, RFC 1950)."""
    return zlib.compress(text.encode())


def unpack(packed: bytes, most_bytes: int | None = None) -> str:
    """Returns a packed text.

    Args:
        packed: What `pack` gave.
        most_bytes: Longest text, `MOST_BYTES` where it is not told; 0 is
            without bound.

    Raises:
        ValueError: It is no packed text, is cut short or is too long.
    """
    unpacker = zlib.decompressobj()
    if most_bytes is None:
        most_bytes = MOST_BYTES
    try:
        data = unpacker.decompress(packed, most_bytes)
    except zlib.error as error:
        raise ValueError(f"no packed text: {error}") from None
    if not unpacker.eof:
        raise ValueError("a packed text is cut short or too long")
    return data.decode()
