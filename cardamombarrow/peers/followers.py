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

from cardamombarrow.kernel import ids
from cardamombarrow.peers import control_pb2

__all__ = ["Follower", "Followers"]

HEARTBEAT_S = 1.0
"""Time between two messages to a follower while nothing changes."""

FOLLOWER_TIMEOUT_S = 10.0
"""A link on which no report came for this long is given up."""

FOLLOWER_KEPT_S = 3_600.0
"""An instance that vanished without a goodbye is listed for this long: it
may be alive and cut off, with an old document in force."""


@dataclasses.dataclass(frozen=True)
class Follower:
    """An entry that follows a control process.

    Attributes:
        heard_s: Monotonic time of its last report.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    applied_revision: ids.Revision
    heard_s: float


class Followers:
    """All entries that were heard of; lives on the loop thread."""

    def __init__(self, has_quorum: abc.Callable[[], bool]):
        self._has_quorum = has_quorum
        self._document = control_pb2.DocumentMessage()
        self._changed = asyncio.Condition()
        self._table: dict[ids.InstanceId, Follower] = {}

    def document(self) -> control_pb2.DocumentMessage:
        """Returns the newest accepted document that is known here."""
        return control_pb2.DocumentMessage(
            revision=self._document.revision,
            text=self._document.text,
            has_quorum=self._has_quorum(),
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
        """Returns the table for another control process."""
        now_s = time.monotonic()
        return control_pb2.FollowersReply(
            rows=[
                control_pb2.FollowerRow(
                    instance=follower.instance,
                    domain=follower.domain,
                    applied_revision=follower.applied_revision,
                    heard_ago_s=now_s - follower.heard_s,
                )
                for follower in self.table().values()
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
                )
            )

    def _take(self, follower: Follower) -> None:
        known = self._table.get(follower.instance)
        if known is None or follower.heard_s > known.heard_s:
            self._table[follower.instance] = follower

    async def publish(self, revision: ids.Revision, text: str) -> None:
        """Sends an accepted document to every follower."""
        async with self._changed:
            if revision > self._document.revision:
                self._document = control_pb2.DocumentMessage(
                    revision=revision, text=text
                )
                self._changed.notify_all()

    async def serve(self, stream: server.Stream) -> None:
        """Takes reports and sends documents until the entry leaves."""
        sender = asyncio.create_task(self._send(stream))
        try:
            with contextlib.suppress(TimeoutError):
                await self._receive(stream)
        finally:
            sender.cancel()

    async def _receive(self, stream: server.Stream) -> None:
        while True:
            report = await asyncio.wait_for(
                stream.recv_message(), FOLLOWER_TIMEOUT_S
            )
            if report is None:
                return
            instance = ids.InstanceId(report.instance)
            if report.leaving:
                self._table.pop(instance, None)
                continue
            self._take(
                Follower(
                    instance,
                    ids.DomainId(report.domain),
                    ids.Revision(report.applied_revision),
                    time.monotonic(),
                )
            )

    async def _send(self, stream: server.Stream) -> None:
        sent = 0
        while True:
            message = self.document()
            if message.revision <= sent:
                message.text = ""
            await stream.send_message(message)
            sent = message.revision
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._newer_than(sent), HEARTBEAT_S)

    async def _newer_than(self, revision: int) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: self._document.revision > revision
            )
