"""The control process's side of `control.proto`."""

import asyncio

from grpclib import server

from cardamombarrow.kernel import errors
from cardamombarrow.log import base
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_grpc
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import followers as followers_module

__all__ = ["ControlService"]

PROPOSE_TIMEOUT_S = 3.0


class ControlService(control_grpc.ControlBase):
    """Serves entries; lives on the loop thread.

    Attributes:
        followers: The entries that follow, and the document they get.
    """

    def __init__(self, log: base.Log):
        self._log = log
        self.followers = followers_module.Followers(
            lambda: log.status().has_quorum
        )

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
        """Serves an entry's standing link."""
        await self.followers.serve(stream)

    async def Document(self, stream: server.Stream) -> None:  # noqa: N802
        """Answers with the newest accepted document."""
        await stream.recv_message()
        await stream.send_message(self.followers.document())

    async def Followers(self, stream: server.Stream) -> None:  # noqa: N802
        """Answers with the entries heard of."""
        await stream.recv_message()
        await stream.send_message(self.followers.rows())
