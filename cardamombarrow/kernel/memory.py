"""Resident memory of this process.

A process that exceeds its memory limit is killed without a word. `MemoryWatch`
therefore logs, while the memory grows, what the process holds.
"""

from collections import abc
import ctypes
import os
import pathlib
import threading

from cardamombarrow.kernel import background
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["MemoryWatch", "resident_bytes", "return_large_buffers"]

CHECK_INTERVAL_S = 0.25
STEP_BYTES = 16_000_000
"""Growth above the highest logged value at which the next line is written."""

MAPPED_BYTES = 262_144
"""Smallest buffer that is mapped by itself."""

ARENAS = 2
"""Most arenas of the allocator. Each keeps freed buffers that others can't use,
and threads that hold the interpreter's lock rarely wait for one."""

_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident set size; 0 where the system does not tell it.

    Source: ``/proc/self/statm``, proc(5).
    """
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def return_large_buffers() -> None:
    """Has the allocator return large buffers to the system when freed.

    glibc stops doing so for buffers up to the largest one that was freed, and
    keeps them in an arena for each of many threads instead.

    Source: mallopt(3), ``M_MMAP_THRESHOLD`` and ``M_ARENA_MAX``.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)
        mallopt(_M_ARENA_MAX, ARENAS)


class MemoryWatch(lifecycle.Part):
    """Thread that logs the growth of the resident memory."""

    def __init__(self, held: abc.Callable[[], dict[str, int]]):
        """Builds the watch.

        Args:
            held: Returns sizes of what the process holds, by field name.
        """
        self._held = held
        self._logged_bytes = 0
        self._stop = threading.Event()
        self._thread = background.supervised_thread(self._run, "memory")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(CHECK_INTERVAL_S):
            self.check()

    def check(self) -> None:
        """Writes a line if the memory has grown by `STEP_BYTES`."""
        current_bytes = resident_bytes()
        if current_bytes < self._logged_bytes + STEP_BYTES:
            return
        self._logged_bytes = current_bytes
        logs.event("memory grew", resident_bytes=current_bytes, **self._held())
