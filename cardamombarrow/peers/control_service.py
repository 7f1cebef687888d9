"""The control process's side of `control.proto`."""

import asyncio
import dataclasses
import time

from grpclib import server

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.log import base
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_grpc
from cardamombarrow.peers import control_pb2

__all__ = ["ControlService", "Follower"]

PROPOSE_TIMEOUT_S = 3.0


@dataclasses.dataclass
class Follower:
    """An entry that follows this control process.

    Attributes:
        heard_s: Monotonic time of its last report.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    applied_revision: ids.Revision
    heard_s: float


class ControlService(control_grpc.ControlBase):
    """Serves entries; lives on the loop thread."""

    def __init__(self, log: base.Log):
        self._log = log
        self._document = control_pb2.DocumentMessage()
        self._changed = asyncio.Condition()
        self.followers: dict[ids.InstanceId, Follower] = {}

    async def publish(self, revision: ids.Revision, text: str) -> None:
        """Sends an accepted document to every follower."""
        async with self._changed:
            if revision > self._document.revision:
                self._document = control_pb2.DocumentMessage(
                    revision=revision, text=text
                )
                self._changed.notify_all()

    async def Propose(self, stream: server.Stream) -> None:  # noqa: N802
        """Hands a command to the log."""
        command = await stream.recv_message()
        try:
            answer = await asyncio.wait_for(
                asyncio.wrap_future(
                    self._log.propose(command.SerializeToString())
                ),
                PROPOSE_TIMEOUT_S,
            )
            reply = control_pb2.Reply.FromString(answer)
        except TimeoutError:
            reply = codec.failure_to_wire(
                errors.UnavailableError(
                    errors.ErrorKind.NO_QUORUM, "not committed in time"
                )
            )
        except errors.RouterError as error:
            reply = codec.failure_to_wire(error)
        await stream.send_message(reply)

    async def Follow(self, stream: server.Stream) -> None:  # noqa: N802
        """Takes reports and sends documents until the entry leaves."""
        sender = asyncio.create_task(self._send_documents(stream))
        instance = None
        try:
            async for report in stream:
                instance = ids.InstanceId(report.instance)
                self.followers[instance] = Follower(
                    instance,
                    ids.DomainId(report.domain),
                    ids.Revision(report.applied_revision),
                    time.monotonic(),
                )
        finally:
            sender.cancel()
            if instance is not None:
                self.followers.pop(instance, None)

    async def _send_documents(self, stream: server.Stream) -> None:
        sent = 0
        while True:
            async with self._changed:
                while self._document.revision <= sent:
                    await self._changed.wait()
                document = self._document
            await stream.send_message(document)
            sent = document.revision
