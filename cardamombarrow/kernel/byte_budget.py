"""A bound on the memory that large buffers take together."""

import bisect
import itertools
import threading

__all__ = ["ByteBudget"]


class ByteBudget:
    """Hands out bytes up to a limit, to the most urgent first; thread-safe.

    A buffer over the limit fits while there is no other one.

    Attributes:
        limit_bytes: The limit.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self._changed = threading.Condition()
        self._used_bytes = 0
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int]] = []

    @property
    def used_bytes(self) -> int:
        """The bytes that are reserved."""
        return self._used_bytes

    def reserve(self, size_bytes: int, rank: int, timeout_s: float) -> bool:
        """Waits until a buffer fits, and reserves its bytes.

        Args:
            size_bytes: Size of the buffer.
            rank: Urgency; lower ranks get bytes first.
            timeout_s: Longest wait.

        Returns:
            Whether the bytes are reserved; they must be released then.
        """
        with self._changed:
            place = rank, next(self._numbers)
            bisect.insort(self._waiting, place)
            is_reserved = self._changed.wait_for(
                lambda: self._waiting[0] == place and self._fits(size_bytes),
                timeout_s,
            )
            self._waiting.remove(place)
            if is_reserved:
                self._used_bytes += size_bytes
            self._changed.notify_all()
            return is_reserved

    def _fits(self, size_bytes: int) -> bool:
        used_bytes = self._used_bytes
        return not used_bytes or used_bytes + size_bytes <= self.limit_bytes

    def release(self, size_bytes: int) -> None:
        """Returns bytes that were reserved."""
        with self._changed:
            self._used_bytes -= size_bytes
            self._changed.notify_all()
