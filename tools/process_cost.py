"""CPU time and memory of a process, read from /proc (proc(5))."""

import dataclasses
import os
import pathlib
import time

__all__ = ["Cost", "cpu_s", "measure", "memory_bytes"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_UTIME, _STIME = 11, 12
"""Indexes of the times after the command name in /proc/<pid>/stat."""


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, user and system."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS_PER_S


def memory_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    row = next(
        line for line in status.splitlines() if line.startswith("VmRSS:")
    )
    return int(row.split()[1]) * 1024


@dataclasses.dataclass(frozen=True)
class Cost:
    """CPU use and memory of a process over an interval."""

    core_share: float
    memory_bytes: int


def measure(pids: list[int], seconds: float) -> list[Cost]:
    """Measures processes over an interval."""
    before = [cpu_s(pid) for pid in pids]
    start_s = time.monotonic()
    time.sleep(seconds)
    passed_s = time.monotonic() - start_s
    return [
        Cost((cpu_s(pid) - used_s) / passed_s, memory_bytes(pid))
        for pid, used_s in zip(pids, before, strict=True)
    ]
