"""A bound on what all incomplete messages of a process hold together.

A limit for each connection is not enough: a faulty endpoint sends to all of
its callers, and what several hundred connections hold can end the process.
"""

import threading

__all__ = ["ENDPOINT_BYTES", "HeldBuffer", "HeldBytes"]

LIMIT_BYTES = 4_194_304
"""Most bytes of incomplete answers, a few in a hundred of a small instance's
memory: they take a multiple of it while they are read."""

SMALL_BYTES = 8_192
"""Buffers up to this are not counted; nearly all heads and events are
smaller."""


class HeldBytes:
    """Counts the bytes of all buffers; thread-safe.

    A buffer may be as large as what is left after it ("dynamic threshold",
    A. Choudhury and E. Hahne, IEEE/ACM Transactions on Networking, 1998). So
    the largest ones are refused first, and those of sound endpoints still fit.
    """

    def __init__(
        self, limit_bytes: int = LIMIT_BYTES, small_bytes: int = SMALL_BYTES
    ):
        self._limit_bytes = limit_bytes
        self._small_bytes = small_bytes
        self._lock = threading.Lock()
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """The bytes that are counted."""
        return self._used_bytes

    def buffer(self) -> "HeldBuffer":
        """Returns an empty buffer."""
        return HeldBuffer(self)

    def resize(self, old_bytes: int, new_bytes: int) -> int | None:
        """Changes the counted size of a buffer.

        Args:
            old_bytes: The size that was counted.
            new_bytes: The buffer's size.

        Returns:
            The size that is counted now; None if the buffer may not grow.
        """
        counted_bytes = new_bytes if new_bytes > self._small_bytes else 0
        if counted_bytes == old_bytes:
            return old_bytes
        with self._lock:
            used_bytes = self._used_bytes - old_bytes + counted_bytes
            left_bytes = self._limit_bytes - used_bytes
            if counted_bytes > old_bytes and counted_bytes > left_bytes:
                return None
            self._used_bytes = used_bytes
            return counted_bytes


class HeldBuffer:
    """The counted size of one buffer; used by one thread."""

    def __init__(self, held: HeldBytes):
        self._held = held
        self._counted_bytes = 0

    def resize(self, size_bytes: int) -> bool:
        """Sets the size; returns False if the buffer may not grow to it."""
        counted_bytes = self._held.resize(self._counted_bytes, size_bytes)
        if counted_bytes is None:
            return False
        self._counted_bytes = counted_bytes
        return True

    def release(self) -> None:
        """Sets the size to 0."""
        self.resize(0)


ENDPOINT_BYTES = HeldBytes()
"""What this process holds of incomplete heads, events and failure answers."""
