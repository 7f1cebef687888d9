"""Applies a changed settings file while the process runs.

The file is read every `POLL_INTERVAL_S` seconds, and at once after SIGHUP, as
not every change comes with a signal. A file that can't be read, or that has
mistakes, changes nothing.
"""

from collections import abc
import dataclasses
import pathlib
import threading
import typing

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import settings

__all__ = ["Reloader", "changed_keys"]

POLL_INTERVAL_S = 2.0

_T = typing.TypeVar("_T")


def changed_keys(old: typing.Any, new: typing.Any) -> set[str]:
    """Returns the keys that differ between two settings of one role.

    Returns:
        Names as ``section.key``.
    """
    keys = set()
    for part in dataclasses.fields(old):
        before, after = getattr(old, part.name), getattr(new, part.name)
        keys |= {
            f"{part.name}.{field.name}"
            for field in dataclasses.fields(before)
            if getattr(before, field.name) != getattr(after, field.name)
        }
    return keys


class Reloader(lifecycle.Part, typing.Generic[_T]):
    """Reloads one settings file when it changes."""

    def __init__(
        self,
        path: pathlib.Path,
        current: _T,
        appliers: dict[str, abc.Callable[[_T], None]],
    ):
        """Builds the part.

        Args:
            path: The settings file.
            current: The settings in force.
            appliers: Functions that apply a changed key, by ``section.key``;
                other keys need a restart.
        """
        self._path = path
        self._current = current
        self._appliers = appliers
        self._text = self._read()
        self._requested = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="reload", daemon=True
        )

    def start(self) -> None:
        """Starts the thread that checks the file."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stopped = True
        self._requested.set()
        self._thread.join()

    def request_reload(self) -> None:
        """Requests a reload at once; safe in a signal handler."""
        self._requested.set()

    def _run(self) -> None:
        while True:
            by_request = self._requested.wait(POLL_INTERVAL_S)
            self._requested.clear()
            if self._stopped:
                return
            try:
                self._reload(by_request)
            except Exception as error:
                logs.event("reload failed", "ERROR", detail=repr(error))

    def _read(self) -> str | None:
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError):
            return None

    def _reload(self, by_request: bool) -> None:
        text = self._read()
        if text is None or (text == self._text and not by_request):
            return
        self._text = text
        try:
            new = settings.parse(type(self._current), text, str(self._path))
        except errors.ConfigError as error:
            logs.event("reload refused", "ERROR", mistakes=error.mistakes)
            return
        keys = changed_keys(self._current, new)
        applied = sorted(keys & set(self._appliers))
        for key in applied:
            self._appliers[key](new)
        self._current = new
        logs.event(
            "reload",
            signal=by_request,
            applied=applied,
            needs_restart=sorted(keys - set(self._appliers)),
        )
