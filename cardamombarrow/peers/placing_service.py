"""The port side of the placer: one standing stream for each entry that asks.

A stream is read by one task and written by another. What is to be told is
gathered and goes out as one message: with one message for each answer, a burst
costs more in framing than in decisions.
"""

import asyncio
from collections import abc
import contextlib
import time

from grpclib import server

from cardamombarrow.decisions import messages
from cardamombarrow.entry import placer as placer_module
from cardamombarrow.kernel import ids
from cardamombarrow.peers import placing_codec
from cardamombarrow.peers import placing_grpc
from cardamombarrow.peers import placing_pb2
from cardamombarrow.placing import messages as placing_messages

__all__ = ["PULSE_BUSY_S", "PULSE_IDLE_S", "SILENT_S", "PlacingService"]

PULSE_BUSY_S = 0.2
"""Time between two messages to an entry that has requests here."""

PULSE_IDLE_S = 1.0
"""The same for one that has none."""

SILENT_S = 10.0
"""An entry of which nothing came for this long is dropped: it vanished without
a word, and what it had running counts as load until then. One that is alive
tells at least every `placing_link.PULSE_S`."""

NEWS_SILENT_S = 3.0
"""The same for another domain's placer, which tells at least every
`placing_teller.PULSE_S`: what it told is worth nothing by then."""


class _Out:
    """What waits to be sent on one stream."""

    def __init__(self):
        self._answers: list[
            placing_messages.Answer | placing_messages.Queued
        ] = []
        self._wake = asyncio.Event()

    def put(
        self, answer: placing_messages.Answer | placing_messages.Queued
    ) -> None:
        """Adds an answer."""
        self._answers.append(answer)
        self._wake.set()

    async def take(self, timeout_s: float) -> placing_pb2.PlacingReply:
        """Returns all there is; an empty message after `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), timeout_s)
        self._wake.clear()
        answers, self._answers = self._answers, []
        return placing_codec.answers_to_wire(answers)


class PlacingService(placing_grpc.PlacingBase):
    """Takes questions for the placer; lives on the loop."""

    def __init__(
        self,
        placer: placer_module.Placer,
        endpoints: abc.Callable[[], abc.Mapping[int, ids.EndpointId]],
    ):
        """Builds the service.

        Args:
            placer: Who decides.
            endpoints: Returns the known endpoints by their hashes.
        """
        self._placer = placer
        self._endpoints = endpoints
        self._tellers: dict[ids.InstanceId, server.Stream] = {}

    async def Place(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves one entry until it leaves or goes silent."""
        first = await stream.recv_message()
        if first is None:
            return
        out = _Out()
        owner = self._placer.join(
            ids.InstanceId(first.instance), first.epoch, out.put
        )
        if owner is None:
            return
        sender = asyncio.create_task(_send(stream, out, owner))
        try:
            with contextlib.suppress(TimeoutError):
                message = first
                while message is not None:
                    self._take(owner, message)
                    message = await asyncio.wait_for(
                        stream.recv_message(), SILENT_S
                    )
        finally:
            sender.cancel()
            self._placer.leave(owner)

    async def Tell(self, stream: server.Stream) -> None:  # noqa: N802
        """Takes the loads of another domain's placer until it goes silent."""
        instance = ids.InstanceId("")
        try:
            with contextlib.suppress(TimeoutError):
                while True:
                    news = await asyncio.wait_for(
                        stream.recv_message(), NEWS_SILENT_S
                    )
                    if news is None:
                        return
                    if not instance:
                        instance = ids.InstanceId(news.instance)
                        self._tellers[instance] = stream
                    self._placer.set_others(
                        instance,
                        placing_codec.loads_from_wire(
                            news, self._endpoints(), time.monotonic()
                        ),
                    )
                    await stream.send_message(placing_pb2.LoadPulse())
        finally:
            # A placer that is back over another stream has told anew what it
            # has; the end of the one before must not take that away.
            if self._tellers.get(instance) is stream:
                del self._tellers[instance]
                self._placer.forget_others(instance)

    def _take(
        self, owner: placer_module.Owner, message: placing_pb2.PlacingRequest
    ) -> None:
        now_s = time.monotonic()
        for event in message.events:
            self._take_event(owner, event, now_s)

    def _take_event(
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
                report = messages.LoadReport(
                    load.running, load.waiting, 0.0, False, now_s
                )
                self._placer.load_reported(
                    ids.EndpointId(load.endpoint), report
                )


async def _send(
    stream: server.Stream, out: _Out, owner: placer_module.Owner
) -> None:
    # The entry asks nothing before it has heard that somebody is here.
    await stream.send_message(placing_pb2.PlacingReply())
    while True:
        pulse_s = PULSE_BUSY_S if owner.tickets else PULSE_IDLE_S
        await stream.send_message(await out.take(pulse_s))
