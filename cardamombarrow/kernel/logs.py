"""Logs: one JSON line per event, one line per decision.

`decision` writes the line that the brief asks for at each routing or
placement decision. Field names carry their unit.
"""

import datetime
import json
import sys
import typing

import loguru

__all__ = ["configure", "decision", "event"]

_LOGGER = loguru.logger


def configure(level: str, role: str, instance: str) -> None:
    """Sends log lines as JSON to standard error.

    Args:
        level: Least level that is written, such as ``INFO``.
        role: ``entry`` or ``control``; stands in every line.
        instance: This instance's id; stands in every line.
    """
    _LOGGER.remove()
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
        sys.stderr.write(json.dumps(line, default=str) + "\n")

    _LOGGER.add(write, level=level, format="{message}", catch=True)


def event(name: str, level: str = "INFO", **fields: typing.Any) -> None:
    """Writes one line about something that happened."""
    _LOGGER.bind(**fields).log(level, name)


def decision(name: str, **fields: typing.Any) -> None:
    """Writes one line about a routing or placement decision.

    Args:
        name: The decision, such as ``place`` or ``refuse``.
        **fields: What was weighed, what was chosen and why.
    """
    _LOGGER.bind(decision=name, **fields).log("INFO", "decision")
