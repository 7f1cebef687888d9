"""The accepted document that this instance has in force."""

from collections import abc
from concurrent import futures
import dataclasses
import threading
import time

from cardamombarrow.document import formats
from cardamombarrow.document import schema
from cardamombarrow.entry import incoming
from cardamombarrow.entry import routes as routes_module
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import control_pb2

__all__ = ["Applied", "InForce", "take_first"]

NO_QUORUM_WAIT_S = 3.0
"""How long a start waits for a control process with a quorum. A cut-off
domain has none, and then starts with the highest document it can find."""

ASK_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True)
class Applied:
    """One revision, parsed."""

    revision: ids.Revision
    text: str
    document: schema.Document
    keys: incoming.KeyIndex
    routes: routes_module.RouteIndex
    format: str = formats.SECTIONS


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

    def offer(
        self, revision: ids.Revision, text: str, format_name: str = ""
    ) -> bool:
        """Takes an accepted document; returns whether it was newer.

        Args:
            revision: Its number.
            text: What the operator wrote.
            format_name: The plug-in that reads it; empty is INI sections.
        """
        format_name = format_name or formats.SECTIONS
        with self._lock:
            if self._applied and revision <= self._applied.revision:
                return False
            document = formats.parse(format_name, text)
            keys = incoming.KeyIndex(document)
            routes = routes_module.RouteIndex(document)
            self._applied = Applied(
                revision, text, document, keys, routes, format_name
            )
            for listener in self._listeners:
                listener(self._applied)
        self._first.set()
        logs.event("document in force", revision=revision)
        return True

    def revision_and_text(self) -> tuple[ids.Revision, str]:
        """Returns what is in force as text; revision 0 before the first."""
        with self._lock:
            if self._applied is None:
                return ids.Revision(0), ""
            return self._applied.revision, self._applied.text

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


Ask = abc.Callable[[], list[futures.Future[control_pb2.DocumentMessage | None]]]


def take_first(documents: InForce, ask: Ask, timeout_s: float) -> bool:
    """Takes the highest revision that the sources have, before serving.

    A restarted instance remembers nothing. Taking whatever comes first could
    be the old document of a control process that is cut off; callers would
    see an accepted edit reverted. So all sources are asked, and while no
    control process with a quorum is among them, asked again for a while.

    Args:
        documents: Where the document is put.
        ask: Asks every source; a future is None where none answered.
        timeout_s: Longest wait.

    Returns:
        Whether any document is in force.
    """
    start_s = time.monotonic()
    while time.monotonic() - start_s < timeout_s:
        messages = [future.result() for future in ask()]
        found = [message for message in messages if message and message.text]
        certain = any(message.has_quorum for message in found)
        waited = time.monotonic() - start_s >= NO_QUORUM_WAIT_S
        if found and (certain or waited):
            best = max(found, key=lambda message: message.revision)
            documents.offer(ids.Revision(best.revision), best.text, best.format)
            return True
        time.sleep(ASK_PAUSE_S)
    return documents.revision > 0
