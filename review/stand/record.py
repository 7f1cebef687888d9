"""What a case has sent, seen and concluded, for `record.txt`."""

import collections
from collections import abc
import os
import pathlib
import signal
import sys
import threading
import time
import traceback

from review.stand import callers
from review.stand import servers

__all__ = ["BROKEN", "FAILED", "HELD", "Record", "play", "trouble"]

HELD, BROKEN, FAILED = 0, 1, 2


def trouble() -> bool:
    """Returns whether the case brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of a record, with the time since the start; thread-safe."""

    def __init__(self, case: str):
        """Builds a record that is written into the folder of a script."""
        self._path = pathlib.Path(case).resolve().parent / "record.txt"
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[tuple[float, str]] = []
        self.note(f"TROUBLE={int(trouble())}")

    def note(self, text: str, at_s: float | None = None) -> None:
        """Adds a line; without a time it is now."""
        at_s = time.monotonic() if at_s is None else at_s
        with self._lock:
            self._lines.append((at_s, text))
        if at_s > time.monotonic() - 0.1:
            print(f"{at_s - self._started_s:8.3f} s  {text}", flush=True)

    def answers(self, title: str, found: list[callers.Answer]) -> None:
        """Adds a line for each attempt and a count of the statuses."""
        statuses = collections.Counter(each.status for each in found)
        self.note(f"{title}: {len(found)} attempts, by status {dict(statuses)}")
        for each in found:
            end = "whole" if each.complete else "not whole"
            line = f"  {each.attempt} {each.status} {end} {each.note}"
            with self._lock:
                self._lines.append((each.sent_s, line.rstrip()))

    def runs(self, found: abc.Iterable[servers.Run]) -> None:
        """Adds a line for each request that a server got."""
        with self._lock:
            for each in found:
                did = "runs" if each.executed else "rejects"
                after = each.headers.get("last-event-id", "")
                after = f" after event {after}" if after else ""
                line = (
                    f"  server {each.server} ({each.version}) {did} "
                    f"{each.attempt} {each.method} {each.target}{after}"
                )
                self._lines.append((each.at_s, line))

    def end(self, result: int, text: str) -> int:
        """Notes how the case has ended; returns the exit code."""
        verdict = {HELD: "held", BROKEN: "BROKEN", FAILED: "could not run"}
        self.note(f"{verdict[result]}: {text}")
        return result

    def write(self) -> None:
        """Writes the lines in order of time."""
        with self._lock:
            lines = sorted(self._lines, key=lambda each: each[0])
            self._path.write_text(
                "".join(
                    f"{at_s - self._started_s:8.3f} s  {line}\n"
                    for at_s, line in lines
                )
            )


Case = abc.Callable[[Record, list[servers.Run]], int]


def play(script: str, case: Case) -> int:
    """Plays a case and writes its record; returns the exit code.

    Args:
        script: Path of the script, whose folder gets the record.
        case: Plays the case; called with the record and the list into which
            the servers enter the requests that they get.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        # The processes that were started end with the case.
        signal.signal(number, lambda *_: sys.exit(FAILED))
    record = Record(script)
    log: list[servers.Run] = []
    result = FAILED
    try:
        result = case(record, log)
    except Exception:
        record.end(FAILED, traceback.format_exc())
    finally:
        record.runs(log)
        record.write()
    return result
