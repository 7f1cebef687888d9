"""A control process's side of the standing links to entries.

Reports of the applied revision come up, accepted documents go down. Both
sides send at a fixed interval even when nothing changed, and each gives a
link up on which it hears nothing: a link that has gone silent breaks no
connection, so an entry on it would keep an old document unnoticed.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import time

from grpclib import server

from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.document import text as text_module
from cardamombarrow.kernel import ids
from cardamombarrow.peers import control_pb2

__all__ = ["Follower", "Followers"]

HEARTBEAT_S = 1.0
"""Time between two messages to a follower while nothing changes."""

FOLLOWER_TIMEOUT_S = 10.0
"""A link on which no report came for this long is given up."""

TEXTS_KEPT = 4
"""Texts remembered to send only what changed. Edits come 41 s apart at the
target size, so a follower is rarely further behind; one that is gets the whole
text. Four texts are 2.1 MB there."""

FOLLOWER_KEPT_S = 3_600.0
"""An instance that vanished without a goodbye is listed for this long: it
may be alive and cut off, with an old document in force."""


@dataclasses.dataclass(frozen=True)
class Follower:
    """An entry that follows a control process.

    Attributes:
        heard_s: Monotonic time of its last report.
        address: Where other entries reach it.
        places: Whether it places the requests of its domain.
        direct: Whether it told this process itself.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    applied_revision: ids.Revision
    heard_s: float
    address: str = ""
    places: bool = False
    direct: bool = False


class Followers:
    """All entries that were heard of; lives on the loop thread."""

    def __init__(
        self,
        has_quorum: abc.Callable[[], bool],
        domain: ids.DomainId = ids.DomainId(""),
    ):
        self._has_quorum = has_quorum
        self._domain = domain
        self._document = control_pb2.DocumentMessage()
        self._texts: dict[int, str] = {}
        self._changes: dict[int, dict[str, str] | None] = {}
        self._changed = asyncio.Condition()
        self._table: dict[ids.InstanceId, Follower] = {}

    def document(self) -> control_pb2.DocumentMessage:
        """Returns the newest accepted document that is known here."""
        return control_pb2.DocumentMessage(
            revision=self._document.revision,
            text=self._document.text,
            format=self._document.format,
            has_quorum=self._has_quorum(),
            domain=self._domain,
        )

    def table(self) -> dict[ids.InstanceId, Follower]:
        """Returns the entries heard of here or by other control processes."""
        oldest_s = time.monotonic() - FOLLOWER_KEPT_S
        return {
            instance: follower
            for instance, follower in list(self._table.items())
            if follower.heard_s >= oldest_s
        }

    def rows(self) -> control_pb2.FollowersReply:
        """Returns what another control process may not know.

        Each asks each other one, so those that others hear are left out. Those
        that nobody hears any more are told by all: the process that heard them
        last may be gone.
        """
        now_s = time.monotonic()
        return control_pb2.FollowersReply(
            rows=[
                control_pb2.FollowerRow(
                    instance=follower.instance,
                    domain=follower.domain,
                    applied_revision=follower.applied_revision,
                    heard_ago_s=now_s - follower.heard_s,
                    address=follower.address,
                    places=follower.places,
                )
                for follower in self.table().values()
                if follower.direct
                or now_s - follower.heard_s > FOLLOWER_TIMEOUT_S
            ]
        )

    def merge(self, reply: control_pb2.FollowersReply) -> None:
        """Takes what another control process heard later than this one."""
        now_s = time.monotonic()
        for row in reply.rows:
            self._take(
                Follower(
                    ids.InstanceId(row.instance),
                    ids.DomainId(row.domain),
                    ids.Revision(row.applied_revision),
                    now_s - row.heard_ago_s,
                    row.address,
                    row.places,
                )
            )

    def _take(self, follower: Follower) -> None:
        known = self._table.get(follower.instance)
        if known is None or follower.heard_s > known.heard_s:
            self._table[follower.instance] = follower

    def count_heard(self) -> int:
        """Counts the entries of all domains that were heard of late."""
        oldest_s = time.monotonic() - FOLLOWER_TIMEOUT_S
        return sum(f.heard_s >= oldest_s for f in self._table.values())

    def addresses(self, domain: ids.DomainId, most: int) -> list[str]:
        """Returns addresses of entries of a domain, the last heard first."""
        followers = sorted(
            (
                follower
                for follower in self.table().values()
                if follower.domain == domain and follower.address
            ),
            key=lambda follower: -follower.heard_s,
        )
        return [follower.address for follower in followers[:most]]

    def placers(self, domain: ids.DomainId) -> list[str]:
        """Returns addresses of entries that place for other domains."""
        oldest_s = time.monotonic() - FOLLOWER_TIMEOUT_S
        return sorted(
            follower.address
            for follower in self._table.values()
            if follower.places
            and follower.domain != domain
            and follower.heard_s >= oldest_s
        )

    async def publish(self, accepted: machine.Accepted) -> None:
        """Sends an accepted document to every follower."""
        revision = accepted.revision
        async with self._changed:
            if revision > self._document.revision:
                self._document = control_pb2.DocumentMessage(
                    revision=revision,
                    text=accepted.text,
                    format=accepted.format,
                )
                if formats.is_sectioned(accepted.format):
                    self._texts[revision] = accepted.text
                for old in sorted(self._texts)[:-TEXTS_KEPT]:
                    del self._texts[old]
                self._changes.clear()
                self._changed.notify_all()

    def newer(self, applied: int) -> control_pb2.DocumentMessage:
        """Returns what a follower lacks: nothing, changes, or the text."""
        message = self.document()
        if message.revision <= applied:
            message.text = ""
            return message
        if applied not in self._changes:
            base = self._texts.get(applied)
            newest = self._texts.get(message.revision)
            self._changes[applied] = (
                text_module.changes(base, newest) if base and newest else None
            )
        changes = self._changes[applied]
        if changes:
            message.text = ""
            message.base_revision = applied
            message.changes.update(changes)
        return message

    async def serve(self, stream: server.Stream) -> None:
        """Takes reports and sends documents until the entry leaves."""
        with contextlib.suppress(TimeoutError):
            report = await self._receive(stream)
            if report is None:
                return
            # An entry that comes back mostly has the newest document: only
            # its first report tells what it lacks.
            sender = asyncio.create_task(
                self._send(stream, report.applied_revision)
            )
            try:
                while report is not None:
                    report = await self._receive(stream)
            finally:
                sender.cancel()

    async def _receive(
        self, stream: server.Stream
    ) -> control_pb2.AppliedReport | None:
        report = await asyncio.wait_for(
            stream.recv_message(), FOLLOWER_TIMEOUT_S
        )
        if report is None:
            return None
        instance = ids.InstanceId(report.instance)
        if report.leaving:
            self._table.pop(instance, None)
        else:
            self._take(
                Follower(
                    instance,
                    ids.DomainId(report.domain),
                    ids.Revision(report.applied_revision),
                    time.monotonic(),
                    report.address,
                    report.places,
                    direct=True,
                )
            )
        return report

    async def _send(self, stream: server.Stream, applied: int) -> None:
        while True:
            message = self.newer(applied)
            await stream.send_message(message)
            applied = max(applied, message.revision)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._newer_than(applied), HEARTBEAT_S)

    async def _newer_than(self, revision: int) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: self._document.revision > revision
            )
