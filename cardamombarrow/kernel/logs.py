"""Logs: one JSON line per event, one line per decision.

`decision` writes one line for each routing or placement decision. Field names
contain their unit.
"""

import atexit
import contextlib
import datetime
import json
import queue
import sys
import threading
import time
import typing

import loguru

__all__ = ["configure", "decision", "event"]

MAX_QUEUED_LINES = 10_000
"""Most lines that wait to be written, to limit memory."""

GATHER_S = 0.02
"""Time for which lines are gathered before they are written together."""

CLOSE_TIMEOUT_S = 2.0

_LOGGER = loguru.logger


class _LineWriter:
    """Writes lines from its own thread, all that are ready in one write.

    Requests write log lines while they hold locks. A write releases the
    interpreter lock; under load, reacquiring it took longer than the write and
    delayed everything that waited for the request's locks.
    """

    def __init__(self, stream: typing.TextIO):
        self._stream = stream
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._run, name="logs", daemon=True
        )
        self._thread.start()
        atexit.register(self._close)

    def write(self, line: str) -> None:
        """Queues a line, or drops it if too many are queued.

        If the reader of the log has stopped, a request that waited for it
        would be answered late or never.
        """
        if self._lines.qsize() >= MAX_QUEUED_LINES:
            self._dropped += 1
        else:
            self._lines.put(line)

    def _run(self) -> None:
        ended = False
        while not ended:
            ready = [self._lines.get()]
            # A line then wakes this thread only if none was written lately.
            time.sleep(GATHER_S)
            while not self._lines.empty():
                ready.append(self._lines.get())
            ended = None in ready
            dropped, self._dropped = self._dropped, 0
            if dropped:
                ready.append(f'{{"event": "lines dropped", "n": {dropped}}}\n')
            # The reader of the log may have exited; requests continue.
            with contextlib.suppress(OSError, ValueError):
                self._stream.write("".join(line for line in ready if line))
                self._stream.flush()

    def _close(self) -> None:
        self._lines.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)


def configure(level: str, role: str, instance: str) -> None:
    """Sends log lines as JSON to standard output.

    Args:
        level: Lowest level that is written, such as ``INFO``.
        role: ``entry`` or ``control``; a field of every line.
        instance: This instance's id; a field of every line.
    """
    _LOGGER.remove()
    lines = _LineWriter(sys.stdout)
    base = {"role": role, "instance": instance}

    def write(message: typing.Any) -> None:
        record = message.record
        moment = record["time"].astimezone(datetime.UTC)
        line = {
            "time": moment.isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            **base,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        lines.write(json.dumps(line, default=str) + "\n")

    _LOGGER.add(write, level=level, format="{message}", catch=True)


def event(name: str, level: str = "INFO", /, **fields: typing.Any) -> None:
    """Logs one event."""
    _LOGGER.bind(**fields).log(level, name)


def decision(name: str, /, **fields: typing.Any) -> None:
    """Logs one routing or placement decision.

    Args:
        name: The decision, such as ``place`` or ``refuse``.
        **fields: The alternatives, the choice and its reason.
    """
    _LOGGER.bind(decision=name, **fields).log("INFO", "decision")
