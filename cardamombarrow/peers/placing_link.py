"""A standing stream from an entry to the instance that places for it."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import time

from grpclib import client

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.peers import control_client
from cardamombarrow.peers import placing_grpc
from cardamombarrow.peers import placing_pb2
from cardamombarrow.peers import placing_service
from cardamombarrow.peers import secret as secret_module

__all__ = ["PULSE_S", "PlacingLink", "Question"]

OPEN_S = 1.0
"""Longest wait for a new stream's first message."""

SILENT_BUSY_S = 3 * placing_service.PULSE_BUSY_S
"""Silence after which a link with open questions is of no use."""

SILENT_IDLE_S = 4 * placing_service.PULSE_IDLE_S

GATHER_S = 0.02
"""Time for which events other than questions are gathered."""

PULSE_S = 2.0
"""Time after which the placer is told that this entry is there."""

OnReply = abc.Callable[["PlacingLink", placing_pb2.PlacingReply], None]


@dataclasses.dataclass
class Question:
    """A request on which the placer has not decided yet.

    Attributes:
        asked_s: When it was asked.
        timer: Goes off when the entry decides by itself.
    """

    job: messages.Job
    asked_s: float
    timer: asyncio.TimerHandle


class PlacingLink:
    """One stream and what is open on it; lives on the loop.

    Attributes:
        questions: Requests that were asked about and not placed yet.
        told: Requests that run and of which the placer knows.
        late: Questions in a row that had no answer in time.
        lost_reason: Why it is of no use any longer; empty while it is.
        failed: Whether that tells against the placer.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        on_reply: OnReply,
        on_lost: abc.Callable[["PlacingLink"], None],
    ):
        self.instance = instance
        self.questions: dict[ids.RequestId, Question] = {}
        self.told: set[ids.RequestId] = set()
        self.late = 0
        self.lost_reason = ""
        self.failed = False
        self._on_reply = on_reply
        self._on_lost = on_lost
        self._ready = asyncio.Event()
        self._heard_s = time.monotonic()
        self._next = placing_pb2.PlacingRequest()
        self._wake = asyncio.Event()
        self._gathering: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(
        self, address: str, secret: str, hello: placing_pb2.PlacingRequest
    ) -> bool:
        """Opens the stream; tells whether the placer has said anything."""
        self._task = asyncio.create_task(self._talk(address, secret, hello))
        ready = asyncio.create_task(self._ready.wait())
        await asyncio.wait(
            (self._task, ready),
            timeout=OPEN_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ready.cancel()
        if not self._ready.is_set():
            self.lose("no first message")
        return not self.lost_reason

    def lose(self, reason: str, *, failed: bool = True) -> None:
        """Ends the link."""
        if self.lost_reason:
            return
        self.lost_reason = reason
        self.failed = failed
        if self._task is not None:
            self._task.cancel()
        self._on_lost(self)

    def look(self, now_s: float) -> None:
        """Ends the link if it has gone silent.

        An instance that froze or was cut off breaks no connection: its
        requests would wait until their deadline.
        """
        limit_s = SILENT_BUSY_S if self.questions else SILENT_IDLE_S
        if now_s - self._heard_s > limit_s:
            self.lose("silent")

    def send(self, *, urgent: bool = False, **event: object) -> None:
        """Sends an event, at once or with what comes in the next moment."""
        self._next.events.append(placing_pb2.PlacingEvent(**event))
        if urgent:
            self._wake.set()
        elif self._gathering is None:
            loop = asyncio.get_running_loop()
            self._gathering = loop.call_later(GATHER_S, self._wake.set)

    async def _talk(
        self, address: str, secret: str, hello: placing_pb2.PlacingRequest
    ) -> None:
        channel = secret_module.channel(address, secret)
        stub = placing_grpc.PlacingStub(channel)
        reason = "the stream ended"
        try:
            async with stub.Place.open() as stream:
                await stream.send_message(hello)
                await self._exchange(stream)
        except control_client.LINK_ERRORS as error:
            reason = repr(error)
        finally:
            channel.close()
            self.lose(reason)

    async def _exchange(self, stream: client.Stream) -> None:
        sender = asyncio.create_task(self._send_all(stream))
        try:
            while (reply := await stream.recv_message()) is not None:
                self._heard_s = time.monotonic()
                self._ready.set()
                self._on_reply(self, reply)
        finally:
            sender.cancel()

    async def _send_all(self, stream: client.Stream) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), PULSE_S)
            self._wake.clear()
            if self._gathering is not None:
                self._gathering.cancel()
                self._gathering = None
            message, self._next = self._next, placing_pb2.PlacingRequest()
            try:
                await stream.send_message(message)
            except control_client.LINK_ERRORS as error:
                self.lose(repr(error))
                return
