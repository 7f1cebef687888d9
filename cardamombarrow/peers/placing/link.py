"""A long-lived stream from an entry to the placer of its domain."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import time

from grpclib import client

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_grpc
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.peers.placing import service as placing_service
from cardamombarrow.resumption import core as resumption

__all__ = ["KEEPALIVE_S", "PlacingLink", "Question"]

OPEN_TIMEOUT_S = 1.0
"""Maximum wait for the first message of a new stream."""

BUSY_TIMEOUT_S = 3 * placing_service.KEEPALIVE_BUSY_S
"""Silence after which a link with open questions is closed."""

IDLE_TIMEOUT_S = 4 * placing_service.KEEPALIVE_IDLE_S

BATCH_DELAY_S = 0.02
"""Maximum delay of events other than questions, to send them in batches."""

KEEPALIVE_S = 2.0
"""Time after which an idle link sends an empty message."""

OnReply = abc.Callable[["PlacingLink", placing_pb2.PlacingReply], None]


@dataclasses.dataclass
class Question:
    """A request that the placer has not decided yet.

    Attributes:
        job: The request.
        asked_s: Monotonic time at which the question was sent.
        timer: Fires when the entry decides by itself.
    """

    job: messages.Job
    asked_s: float
    timer: asyncio.TimerHandle


class PlacingLink:
    """One stream and its open questions; runs on the loop.

    Attributes:
        questions: Requests that were sent to the placer and not decided yet.
        reported: Running requests that the placer knows.
        timeouts_in_a_row: Consecutive questions that timed out.
        close_reason: Why the link was closed; empty while it is open.
        failed: Whether it was closed because the placer failed.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        on_reply: OnReply,
        on_closed: abc.Callable[["PlacingLink"], None],
        origins: resumption.StreamOrigins,
        farthest: resumption.Source,
    ):
        self.instance = instance
        self.questions: dict[ids.RequestId, Question] = {}
        self.reported: set[ids.RequestId] = set()
        self.timeouts_in_a_row = 0
        self.close_reason = ""
        self.failed = False
        self._on_reply = on_reply
        self._on_closed = on_closed
        self._origins = origins
        self._origins_number = 0
        self._usual_farthest = self._farthest = farthest
        self._ready = asyncio.Event()
        self._received_s = time.monotonic()
        self._next = placing_pb2.PlacingRequest()
        self._wake = asyncio.Event()
        self._batch_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(
        self, address: str, secret: str, hello: placing_pb2.PlacingRequest
    ) -> bool:
        """Opens the stream; returns whether the placer has answered."""
        self._task = asyncio.create_task(self._run(address, secret, hello))
        ready = asyncio.create_task(self._ready.wait())
        await asyncio.wait(
            (self._task, ready),
            timeout=OPEN_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ready.cancel()
        if not self._ready.is_set():
            self.close("no first message")
        return not self.close_reason

    def close(self, reason: str, *, failed: bool = True) -> None:
        """Closes the link."""
        if self.close_reason:
            return
        self.close_reason = reason
        self.failed = failed
        if self._task is not None:
            self._task.cancel()
        self._on_closed(self)

    def check_silence(self, now_s: float) -> None:
        """Closes the link if nothing was received for too long.

        An instance that froze or was cut off closes no connection; the open
        questions would wait until their deadline.
        """
        limit_s = BUSY_TIMEOUT_S if self.questions else IDLE_TIMEOUT_S
        if now_s - self._received_s > limit_s:
            self.close("silent")

    def send_all_origins(self) -> None:
        """Sends the origins of all known streams, also of other entries."""
        self._origins_number = 0
        self._farthest = resumption.Source.OTHER_DOMAIN
        self._wake.set()

    def send_new_origins(self) -> None:
        """Sends the origins of streams that are not sent yet, if any.

        Usually they go along with other events; only a service that gets a
        second version makes older ones new.
        """
        new, number = self._origins.since(self._origins_number, self._farthest)
        if new:
            self._wake.set()
        else:
            self._origins_number = number

    def _add_origins(self, message: placing_pb2.PlacingRequest) -> None:
        records, self._origins_number = self._origins.since(
            self._origins_number, self._farthest
        )
        if self._farthest is not self._usual_farthest:
            self._farthest = self._usual_farthest
            message.origins_complete = self._origins.is_complete
        message.origins.extend(
            origin_codec.origins_to_wire(records, time.monotonic())
        )

    def send(self, *, urgent: bool = False, **event: object) -> None:
        """Sends an event, at once if urgent, else with the next batch."""
        self._next.events.append(placing_pb2.PlacingEvent(**event))
        if urgent:
            self._wake.set()
        elif self._batch_timer is None:
            loop = asyncio.get_running_loop()
            self._batch_timer = loop.call_later(BATCH_DELAY_S, self._wake.set)

    async def _run(
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
            self.close(reason)

    async def _exchange(self, stream: client.Stream) -> None:
        sender = asyncio.create_task(self._send_all(stream))
        try:
            while (reply := await stream.recv_message()) is not None:
                self._received_s = time.monotonic()
                self._ready.set()
                self._on_reply(self, reply)
        finally:
            sender.cancel()

    async def _send_all(self, stream: client.Stream) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(KEEPALIVE_S):
                    await self._wake.wait()
            self._wake.clear()
            if self._batch_timer is not None:
                self._batch_timer.cancel()
                self._batch_timer = None
            message, self._next = self._next, placing_pb2.PlacingRequest()
            self._add_origins(message)
            try:
                await stream.send_message(message)
            except control_client.LINK_ERRORS as error:
                self.close(repr(error))
                return
