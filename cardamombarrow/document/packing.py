"""Compression of texts that are sent between instances.

A document with many routes repeats the same names. Each edition is sent from
the control process that received it to the leader, from there to all others,
and to every entry. Uncompressed, it takes more traffic between regions than all
other messages of a control process together, occupies the link of an entry for
seconds, and each copy that waits for a slow link takes memory of its sender.
"""

import zlib

__all__ = ["MAX_TEXT_BYTES", "pack", "unpack"]

MAX_TEXT_BYTES = 64_000_000
"""Maximum size of a text; far above the limit for a submitted document."""


def pack(text: str) -> bytes:
    """Compresses a text (zlib, RFC 1950)."""
    return zlib.compress(text.encode())


def unpack(packed: bytes, max_bytes: int | None = None) -> str:
    """Decompresses a text.

    Args:
        packed: A result of `pack`.
        max_bytes: Maximum size of the text; `MAX_TEXT_BYTES` by default, 0 for
            no limit.

    Raises:
        ValueError: The data is not a packed text, is truncated or too long.
    """
    unpacker = zlib.decompressobj()
    if max_bytes is None:
        max_bytes = MAX_TEXT_BYTES
    try:
        data = unpacker.decompress(packed, max_bytes)
    except zlib.error as error:
        raise ValueError(f"not a packed text: {error}") from None
    if not unpacker.eof:
        raise ValueError("the packed text is truncated or too long")
    return data.decode()
