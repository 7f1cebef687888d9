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
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec

__all__ = [
    "AppliedDocument",
    "ApplyDocument",
    "DocumentInForce",
    "fetch_first",
    "offer_message",
]

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


ApplyDocument = abc.Callable[[AppliedDocument], None]


class DocumentInForce:
    """Holds the highest revision received; never reverts to a lower one.

    A control process that was cut off may still offer an old revision when it
    is reached again. Applying it would revert an accepted edit.

    A revision comes into force once every part of the process has applied it.
    If one can't, all of them go on with the revision before.
    """

    def __init__(self):
        self._applied: AppliedDocument | None = None
        self._changed = threading.Condition()
        self._parts: list[ApplyDocument] = []
        self._listeners: list[ApplyDocument] = []

    def add_listener(self, listener: ApplyDocument) -> None:
        """Calls `listener` with each revision once it is in force.

        Args:
            listener: Raises nothing.
        """
        self._listeners.append(listener)

    def add_part(self, apply: ApplyDocument) -> None:
        """Has a part apply the revision in force, and each later one.

        Waits for a later one while the part can't apply the one in force; call
        only after `wait_first`.
        """
        with self._changed:
            while not _try_apply(apply, self.current()):
                self._changed.wait()
            self._parts.append(apply)

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

        Raises:
            errors.ConfigError: It is invalid, or a part can't apply it.
        """
        format_name = format_name or formats.SECTIONS
        with self._changed:
            if self._applied and revision <= self._applied.revision:
                return False
            document = formats.parse(format_name, text)
            keys = incoming.KeyIndex(document)
            routes = routes_module.RouteIndex(document)
            accepted = machine.AcceptedDocument(revision, text, format_name)
            applied = AppliedDocument(accepted, document, keys, routes)
            self._apply_to_parts(applied)
            self._applied = applied
            for listener in self._listeners:
                listener(applied)
            self._changed.notify_all()
        logs.event("document in force", revision=revision)
        return True

    def _apply_to_parts(self, applied: AppliedDocument) -> None:
        for number, apply in enumerate(self._parts, 1):
            if _try_apply(apply, applied):
                continue
            for reached in self._parts[:number]:
                _try_apply(reached, self.current())
            raise errors.ConfigError(
                [f"revision {applied.revision} can't be applied"]
            )

    def revision_and_text(self) -> tuple[ids.Revision, str]:
        """Returns the revision in force and its text; 0 and "" before any."""
        applied = self._applied
        if applied is None:
            return ids.Revision(0), ""
        return applied.revision, applied.accepted.text

    def wait_first(self, timeout_s: float) -> bool:
        """Waits until a document is in force; returns whether there is one."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._applied is not None, timeout_s
            )

    def current(self) -> AppliedDocument:
        """Returns the document in force; call only after `wait_first`."""
        assert self._applied is not None
        return self._applied

    @property
    def revision(self) -> ids.Revision:
        """The revision in force; 0 before the first one."""
        return self._applied.revision if self._applied else ids.Revision(0)


def _try_apply(apply: ApplyDocument, applied: AppliedDocument) -> bool:
    """Has a part apply a document; returns whether it did."""
    try:
        apply(applied)
    except Exception as error:
        logs.event(
            "document not applied",
            "ERROR",
            revision=applied.revision,
            detail=repr(error),
        )
        return False
    return True


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
            offer_message(documents, best)
            if documents.revision:
                return True
        time.sleep(QUERY_INTERVAL_S)
    return documents.revision > 0


def offer_message(
    documents: DocumentInForce, message: control_pb2.DocumentMessage
) -> bool:
    """Puts a received document into force if it is newer and can be applied.

    Returns:
        Whether it came into force.
    """
    try:
        text = document_codec.text_from_wire(message)
        return documents.offer(
            ids.Revision(message.revision), text, message.format
        )
    except (errors.RouterError, ValueError) as error:
        logs.event("document not taken", "ERROR", detail=str(error))
        return False
