"""An entry's standing link to the control processes.

One task per entry keeps a stream to one control process: reports of the
applied revision go up, accepted documents come down. When the link breaks or
goes silent, the next control process is tried.
"""

import asyncio
from collections import abc
from concurrent import futures
import random

from grpclib import client
from grpclib import exceptions

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_grpc
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module

__all__ = ["ControlClient"]

RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 2.0

_LINK_ERRORS = (OSError, exceptions.GRPCError, exceptions.StreamTerminatedError)


class ControlClient(lifecycle.Part):
    """Follows documents and hands in commands."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        controls: tuple[str, ...],
        secret: str,
        report: abc.Callable[[], control_pb2.AppliedReport],
        on_document: abc.Callable[[ids.Revision, str], object],
        report_interval_s: float,
    ):
        self._loop = loop
        self._addresses = list(controls)
        random.shuffle(self._addresses)
        self._metadata = secret_module.metadata(secret)
        self._report = report
        self._on_document = on_document
        self._report_interval_s = report_interval_s
        self._channels: dict[str, client.Channel] = {}
        self._task: futures.Future[None] | None = None

    def start(self) -> None:
        """Starts following."""
        self._task = self._loop.call(self._follow_forever())

    def stop(self) -> None:
        """Stops following."""
        self._task.cancel()
        self._loop.call(self._close()).result(timeout=5)

    async def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()

    def _stub(self, address: str) -> control_grpc.ControlStub:
        if address not in self._channels:
            host, _, port = address.rpartition(":")
            self._channels[address] = client.Channel(host, int(port))
        return control_grpc.ControlStub(self._channels[address])

    async def _follow_forever(self) -> None:
        pause_s = RECONNECT_MIN_S
        while True:
            address = self._addresses[0]
            try:
                await self._follow(address)
                pause_s = RECONNECT_MIN_S
            except (*_LINK_ERRORS, TimeoutError) as error:
                logs.event(
                    "control link lost",
                    "WARNING",
                    address=address,
                    detail=repr(error),
                )
            self._addresses.append(self._addresses.pop(0))
            await asyncio.sleep(random.uniform(RECONNECT_MIN_S, pause_s))
            pause_s = min(pause_s * 2, RECONNECT_MAX_S)

    async def _follow(self, address: str) -> None:
        stub = self._stub(address)
        async with stub.Follow.open(metadata=self._metadata) as stream:
            await stream.send_message(self._report())
            reader = asyncio.create_task(self._read(stream))
            try:
                while not reader.done():
                    await asyncio.wait(
                        [reader], timeout=self._report_interval_s
                    )
                    await stream.send_message(self._report())
                await reader
            finally:
                reader.cancel()

    async def _read(self, stream: client.Stream) -> None:
        async for message in stream:
            self._on_document(ids.Revision(message.revision), message.text)

    def propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> futures.Future[control_pb2.Reply]:
        """Hands a command to the log by way of any control process."""
        return self._loop.call(self._propose(command, timeout_s))

    async def _propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> control_pb2.Reply:
        error: Exception | None = None
        for address in list(self._addresses):
            try:
                return await self._stub(address).Propose(
                    command, timeout=timeout_s, metadata=self._metadata
                )
            except (*_LINK_ERRORS, TimeoutError) as failure:
                error = failure
        return codec.failure_to_wire(
            errors.UnavailableError(
                errors.ErrorKind.NO_QUORUM, f"no control answered: {error!r}"
            )
        )
