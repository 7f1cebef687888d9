"""Server side of the placer: one long-lived stream for each entry.

A stream is read by one task and written by another. Answers are sent in
batches: with one message per answer, a burst costs more in framing than in
decisions.
"""

import asyncio
from collections import abc
import contextlib
import time

from grpclib import server

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import placer as placer_module
from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import codec as placing_codec
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_grpc
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.placing import messages as placing_messages
from cardamombarrow.resumption import core as resumption

__all__ = [
    "ENTRY_TIMEOUT_S",
    "KEEPALIVE_BUSY_S",
    "KEEPALIVE_IDLE_S",
    "PlacingService",
]

KEEPALIVE_BUSY_S = 0.2
"""Maximum time between two messages to an entry with open questions."""

KEEPALIVE_IDLE_S = 1.0
"""Maximum time between two messages to an entry without open questions."""

ENTRY_TIMEOUT_S = 10.0
"""An entry that sent nothing for this long is dropped; its running requests
count as load until then. A live entry sends a message at least every
`placing_link.KEEPALIVE_S`."""

LOADS_TIMEOUT_S = 3.0
"""The same for the placer of another domain, which sends a message at least
every `load_publisher.KEEPALIVE_S`. Its loads are outdated by then."""


ORIGINS_DELAY_S = 0.1
"""Maximum delay of the origins of streams, to send them in batches."""


class _AnswerQueue:
    """Answers that wait to be sent on one stream."""

    def __init__(self):
        self._answers: list[
            placing_messages.Answer | placing_messages.Queued
        ] = []
        self._origins: list[placing_pb2.StreamOrigins] = []
        self._wake = asyncio.Event()

    def put_origins(self, origins: list[placing_pb2.StreamOrigins]) -> None:
        """Adds origins of streams."""
        self._origins += origins
        self._wake.set()

    def put(
        self, answer: placing_messages.Answer | placing_messages.Queued
    ) -> None:
        """Adds an answer."""
        self._answers.append(answer)
        self._wake.set()

    async def take(self, timeout_s: float) -> placing_pb2.PlacingReply:
        """Returns all queued answers; an empty message after `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        self._wake.clear()
        answers, self._answers = self._answers, []
        origins, self._origins = self._origins, []
        reply = placing_codec.answers_to_wire(answers)
        reply.origins.extend(origins)
        return reply


class PlacingService(placing_grpc.PlacingBase):
    """Passes questions and loads to the placer; runs on the loop."""

    def __init__(
        self,
        placer: placer_module.Placer,
        endpoints: abc.Callable[[], abc.Mapping[int, ids.EndpointId]],
        origins: resumption.StreamOrigins,
    ):
        """Creates the service.

        Args:
            placer: Decides the placements.
            endpoints: Returns the known endpoints by their hashes.
            origins: The origins of streams that this instance knows.
        """
        self._placer = placer
        self._endpoints = endpoints
        self._origins = origins
        self._origins_number = 0
        self._origins_timer: asyncio.TimerHandle | None = None
        self._queues: set[_AnswerQueue] = set()
        self._load_streams: dict[ids.InstanceId, server.Stream] = {}

    async def Place(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves one entry until it leaves or times out."""
        first = await stream.recv_message()
        if first is None:
            return
        queue = _AnswerQueue()
        owner = self._placer.join(
            ids.InstanceId(first.instance), first.epoch, queue.put
        )
        if owner is None:
            return
        self._queues.add(queue)
        sender = asyncio.create_task(self._send_answers(stream, queue, owner))
        try:
            with contextlib.suppress(TimeoutError):
                message = first
                while message is not None:
                    self._merge_origins(
                        message.origins, resumption.Source.ASKING
                    )
                    if message.origins_complete:
                        self._origins.set_complete()
                    self._apply_events(owner, message)
                    async with asyncio.timeout(ENTRY_TIMEOUT_S):
                        message = await stream.recv_message()
        finally:
            sender.cancel()
            self._queues.discard(queue)
            self._placer.leave(owner)

    def _merge_origins(
        self,
        groups: abc.Sequence[placing_pb2.StreamOrigins],
        nearest: resumption.Source,
    ) -> None:
        if not groups:
            return
        self._origins.merge(
            origin_codec.origins_from_wire(groups, time.monotonic(), nearest)
        )
        if self._origins_timer is None:
            self._origins_timer = asyncio.get_running_loop().call_later(
                ORIGINS_DELAY_S, self._pass_on_origins
            )

    def _pass_on_origins(self) -> None:
        """Sends new origins to all entries; they are encoded only once."""
        self._origins_timer = None
        origins, self._origins_number = self._origins_since(
            self._origins_number
        )
        for queue in self._queues if origins else ():
            queue.put_origins(origins)

    def _origins_since(
        self, number: int
    ) -> tuple[list[placing_pb2.StreamOrigins], int]:
        records, number = self._origins.since(
            number, resumption.Source.OTHER_DOMAIN
        )
        now_s = time.monotonic()
        return origin_codec.origins_to_wire(records, now_s), number

    async def _send_answers(
        self,
        stream: server.Stream,
        queue: _AnswerQueue,
        owner: placer_module.Owner,
    ) -> None:
        # The entry sends no questions before the first message from here.
        known, _ = self._origins_since(0)
        reply = placing_pb2.PlacingReply(
            origins=known, wants_origins=not self._origins.is_complete
        )
        while True:
            reply.origins_complete = self._origins.is_complete
            await stream.send_message(reply)
            reply = await queue.take(
                KEEPALIVE_BUSY_S if owner.tickets else KEEPALIVE_IDLE_S
            )

    async def Tell(self, stream: server.Stream) -> None:  # noqa: N802
        """Receives the loads of another domain's placer until it times out."""
        instance = ids.InstanceId("")
        try:
            with contextlib.suppress(TimeoutError):
                while True:
                    async with asyncio.timeout(LOADS_TIMEOUT_S):
                        news = await stream.recv_message()
                    if news is None:
                        return
                    if not instance:
                        instance = ids.InstanceId(news.instance)
                        self._load_streams[instance] = stream
                    self._placer.set_peer_loads(
                        instance,
                        placing_codec.loads_from_wire(
                            news, self._endpoints(), time.monotonic()
                        ),
                    )
                    self._merge_origins(
                        news.origins, resumption.Source.OTHER_DOMAIN
                    )
                    await stream.send_message(placing_pb2.LoadPulse())
        finally:
            # A placer that reconnected has sent its loads again over the new
            # stream; the end of the old stream must not remove them.
            if self._load_streams.get(instance) is stream:
                del self._load_streams[instance]
                self._placer.remove_peer_loads(instance)

    def _apply_events(
        self, owner: placer_module.Owner, message: placing_pb2.PlacingRequest
    ) -> None:
        now_s = time.monotonic()
        for event in message.events:
            self._apply_event(owner, event, now_s)

    def _apply_event(
        self,
        owner: placer_module.Owner,
        event: placing_pb2.PlacingEvent,
        now_s: float,
    ) -> None:
        match event.WhichOneof("kind"):
            case "question":
                job = placing_codec.job_from_wire(event.question, now_s)
                self._placer.handle_question(owner, job)
            case "run":
                run = placing_codec.run_from_wire(event.run, now_s)
                self._placer.run(owner, run)
            case "begun":
                self._placer.first_token_received(
                    owner, ids.RequestId(event.begun)
                )
            case "ended":
                end = event.ended
                outcome = placing_codec.outcome_from_wire(end.outcome)
                request_id = ids.RequestId(end.request_id)
                self._placer.ended(owner, request_id, outcome, end.tokens)
            case "withdrawn":
                self._placer.withdrawn(owner, ids.RequestId(event.withdrawn))
            case "load":
                load = event.load
                percent = load.work_time_percent
                report = messages.LoadReport(
                    load.running,
                    load.waiting,
                    0.0,
                    False,
                    now_s,
                    percent / 100 if percent else None,
                )
                self._placer.load_reported(
                    ids.EndpointId(load.endpoint), report
                )
            case "pause":
                self._placer.pause_reported(
                    owner,
                    ids.EndpointId(event.pause.endpoint),
                    event.pause.left_ms / 1_000,
                )
