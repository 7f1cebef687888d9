"""The accepted document that this instance has in force."""

from collections import abc
import dataclasses
import threading

from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.entry import incoming
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["Applied", "InForce"]


@dataclasses.dataclass(frozen=True)
class Applied:
    """One revision, parsed."""

    revision: ids.Revision
    text: str
    document: schema.Document
    keys: incoming.KeyIndex


class InForce:
    """Holds the highest revision heard of; never goes back to a lower one.

    A control process that was cut off may still offer an old revision when it
    is reached again. Taking it would revert an accepted edit.
    """

    def __init__(self):
        self._applied: Applied | None = None
        self._first = threading.Event()
        self._lock = threading.Lock()
        self._listeners: list[abc.Callable[[Applied], None]] = []

    def add_listener(self, listener: abc.Callable[[Applied], None]) -> None:
        """Calls `listener` with each revision that comes into force."""
        self._listeners.append(listener)

    def offer(self, revision: ids.Revision, text: str) -> bool:
        """Takes an accepted document; returns whether it was newer."""
        with self._lock:
            if self._applied and revision <= self._applied.revision:
                return False
            document = parsing.parse(text)
            self._applied = Applied(
                revision, text, document, incoming.KeyIndex(document)
            )
            for listener in self._listeners:
                listener(self._applied)
        self._first.set()
        logs.event("document in force", revision=revision)
        return True

    def wait_first(self, timeout_s: float) -> bool:
        """Waits until any document is in force."""
        return self._first.wait(timeout_s)

    def current(self) -> Applied:
        """Returns what is in force; call only after `wait_first`."""
        assert self._applied is not None
        return self._applied

    @property
    def revision(self) -> ids.Revision:
        """The revision in force, 0 before the first."""
        return self._applied.revision if self._applied else ids.Revision(0)
