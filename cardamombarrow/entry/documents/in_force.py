"""The accepted document that this instance has in force."""

from collections import abc
from concurrent import futures
import dataclasses
import threading
import time

from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.document import schema
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.frontend import routes as routes_module
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec

__all__ = ["AppliedDocument", "DocumentInForce", "fetch_first"]

NO_QUORUM_WAIT_S = 3.0
"""How long a start waits for a control process with a quorum. A domain that is
cut off has none and then starts with the highest revision it can find."""

QUERY_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True)
class AppliedDocument:
    """One parsed revision of the document."""

    accepted: machine.AcceptedDocument
    document: schema.Document
    keys: incoming.KeyIndex
    routes: routes_module.RouteIndex

    @property
    def revision(self) -> ids.Revision:
        """Its number."""
        return self.accepted.revision


class DocumentInForce:
    """Holds the highest revision received; never reverts to a lower one.

    A control process that was cut off may still offer an old revision when it
    is reached again. Applying it would revert an accepted edit.
    """

    def __init__(self):
        self._applied: AppliedDocument | None = None
        self._first = threading.Event()
        self._lock = threading.Lock()
        self._listeners: list[abc.Callable[[AppliedDocument], None]] = []

    def add_listener(
        self, listener: abc.Callable[[AppliedDocument], None]
    ) -> None:
        """Calls `listener` with each revision that is put into force."""
        self._listeners.append(listener)

    def offer(
        self, revision: ids.Revision, text: str, format_name: str = ""
    ) -> bool:
        """Puts an accepted document into force if it is newer.

        Args:
            revision: Its number.
            text: Its text as written by the operator.
            format_name: The plug-in that parses it; empty for INI sections.

        Returns:
            Whether it was newer.
        """
        format_name = format_name or formats.SECTIONS
        with self._lock:
            if self._applied and revision <= self._applied.revision:
                return False
            document = formats.parse(format_name, text)
            keys = incoming.KeyIndex(document)
            routes = routes_module.RouteIndex(document)
            accepted = machine.AcceptedDocument(revision, text, format_name)
            self._applied = AppliedDocument(accepted, document, keys, routes)
            for listener in self._listeners:
                listener(self._applied)
        self._first.set()
        logs.event("document in force", revision=revision)
        return True

    def revision_and_text(self) -> tuple[ids.Revision, str]:
        """Returns the revision in force and its text; 0 and "" before any."""
        with self._lock:
            if self._applied is None:
                return ids.Revision(0), ""
            return self._applied.revision, self._applied.accepted.text

    def wait_first(self, timeout_s: float) -> bool:
        """Waits until a document is in force; returns whether there is one."""
        return self._first.wait(timeout_s)

    def current(self) -> AppliedDocument:
        """Returns the document in force; call only after `wait_first`."""
        assert self._applied is not None
        return self._applied

    @property
    def revision(self) -> ids.Revision:
        """The revision in force; 0 before the first one."""
        return self._applied.revision if self._applied else ids.Revision(0)


QuerySources = abc.Callable[
    [], list[futures.Future[control_pb2.DocumentMessage | None]]
]


def fetch_first(
    documents: DocumentInForce, query: QuerySources, timeout_s: float
) -> bool:
    """Puts the highest revision that the sources have into force at the start.

    A restarted instance has no document. The first one to arrive could be an
    old revision of a control process that is cut off, which would revert an
    accepted edit. So all sources are queried, and while no control process
    with a quorum answers, queried again for up to `NO_QUORUM_WAIT_S`.

    Args:
        documents: Where the document is put into force.
        query: Queries all sources; a result of None means no answer.
        timeout_s: Longest wait, in seconds.

    Returns:
        Whether any document is in force.
    """
    start_s = time.monotonic()
    while time.monotonic() - start_s < timeout_s:
        messages = [future.result() for future in query()]
        found = [
            message
            for message in messages
            if message and document_codec.has_text(message)
        ]
        certain = any(message.has_quorum for message in found)
        waited = time.monotonic() - start_s >= NO_QUORUM_WAIT_S
        if found and (certain or waited):
            best = max(found, key=lambda message: message.revision)
            text = document_codec.text_from_wire(best)
            documents.offer(ids.Revision(best.revision), text, best.format)
            return True
        time.sleep(QUERY_INTERVAL_S)
    return documents.revision > 0
