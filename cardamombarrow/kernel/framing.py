"""Checksummed records in a file: magic number, length, CRC-32, payload."""

from collections import abc
import struct
import zlib

__all__ = ["HEADER_BYTES", "frame", "payload_at", "payloads"]

_HEADER = struct.Struct(">4sII")

HEADER_BYTES = _HEADER.size


def frame(magic: bytes, payload: bytes) -> bytes:
    """Returns a record.

    Args:
        magic: Four bytes that tell the kind of file.
        payload: Its content.
    """
    return _HEADER.pack(magic, len(payload), zlib.crc32(payload)) + payload


def payload_at(magic: bytes, raw: bytes, offset: int) -> bytes | None:
    """Returns the content of the record at an offset; None if it is damaged."""
    if len(raw) - offset < HEADER_BYTES:
        return None
    found, length, checksum = _HEADER.unpack_from(raw, offset)
    start = offset + HEADER_BYTES
    payload = raw[start : start + length]
    if found != magic or len(payload) < length or not payload:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def payloads(magic: bytes, raw: bytes) -> abc.Iterator[bytes]:
    """Yields the contents of all records before the first damaged one."""
    offset = 0
    while (payload := payload_at(magic, raw, offset)) is not None:
        yield payload
        offset += HEADER_BYTES + len(payload)
