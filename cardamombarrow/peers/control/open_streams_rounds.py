"""An entry's round trips to the control processes about open streams.

A round trip has the control processes store which versions began this entry's
streams, and asks for those of all entries. All who arrive during one share the
next, which begins when the current one has ended or has lasted for `OVERLAP_S`:
the number of messages does not grow with that of streams.
"""

import asyncio
from concurrent import futures
import dataclasses
import threading

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.resumption import core as resumption
from cardamombarrow.resumption import open_streams
from cardamombarrow.resumption import rounds

__all__ = ["TIMEOUT_S", "Answers", "OpenStreamsRounds"]

TIMEOUT_S = 1.0
"""Longest round trip. A control process that restarts relies on it: what it had
stored is acknowledged by others within this time, or by nobody."""

OVERLAP_S = 0.1
"""Time after which the next round trip begins although the current one has not
ended: above one without faults."""

ORIGINS_WAIT_S = 0.2
"""Longest wait for further answers if origins are asked for, as each is known
to a single control process. It may be the one that is down."""

INTERVAL_S = 0.01
"""Shortest time between the beginnings of two round trips."""

RETRY_S = 0.025
"""The same after one that reached no majority."""


@dataclasses.dataclass
class Answers:
    """The answers to one round trip so far.

    Attributes:
        control_count: Number of control processes, as far as known.
        stored: Those that have the request's streams on their disks.
        knowing: Those that know all open streams.
        known: What they know.
        origins: Origins of the streams that were asked for.
    """

    control_count: int
    stored: set[str] = dataclasses.field(default_factory=set)
    knowing: set[str] = dataclasses.field(default_factory=set)
    known: list[open_streams.GroupEnd] = dataclasses.field(default_factory=list)
    origins: list[resumption.Record] = dataclasses.field(default_factory=list)

    def add(self, reply: control_pb2.OpenStreamsReply, now_s: float) -> None:
        """Adds a reply."""
        self.control_count = max(self.control_count, reply.control_count)
        if not reply.is_unstored:
            self.stored.add(reply.instance)
        if reply.knows_open_streams and reply.has_quorum:
            self.knowing.add(reply.instance)
        self.known += open_streams_codec.open_streams_from_wire(
            reply.open_streams, now_s
        )
        self.origins += origin_codec.origins_from_wire(
            reply.stream_origins, now_s, resumption.Source.OTHER_DOMAIN
        )

    def result(self, *, wants_all: bool) -> rounds.RoundResult:
        """Returns what the answers show so far.

        Args:
            wants_all: Whether all open streams were asked for.
        """
        if wants_all and self._is_majority(self.knowing):
            return rounds.RoundResult.ALL_KNOWN
        if self.is_stored:
            return rounds.RoundResult.STORED
        return rounds.RoundResult.NO_MAJORITY

    @property
    def is_stored(self) -> bool:
        """Whether a majority has stored the request's streams."""
        return self._is_majority(self.stored)

    def _is_majority(self, controls: set[str]) -> bool:
        return len(controls) > self.control_count // 2


class OpenStreamsRounds:
    """Makes round trips to the control processes and applies the answers."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        control: control_client.ControlClient,
        instance: ids.InstanceId,
        origins: resumption.StreamOrigins,
        time_source: clock.Clock,
    ):
        """Builds it; nothing runs until `begin`.

        Args:
            loop: The loop on which the round trips run.
            control: The links to the control processes.
            instance: This entry.
            origins: What is stored, and gets the answers.
            time_source: The clock of `origins`.
        """
        self._loop = loop
        self._control = control
        self._instance = instance
        self._origins = origins
        self._clock = time_source
        self._lock = threading.Lock()
        self._next: rounds.Round | None = None
        self._wants_all = False
        self._streams: set[int] = set()
        self._running: asyncio.Task | None = None
        self._earliest_s = 0.0
        self._late: set[asyncio.Task] = set()

    def begin(self, wants_all: bool, stream: int | None = None) -> rounds.Round:
        """Joins the next round trip, from any thread.

        Args:
            wants_all: Whether all open streams are asked for.
            stream: A stream whose origin is asked for; None for none.
        """
        with self._lock:
            self._wants_all = self._wants_all or wants_all
            if stream is not None:
                self._streams.add(stream)
            if self._next is None:
                self._next = futures.Future()
                self._loop.call(self._round())
            return self._next

    async def _round(self) -> None:
        loop = asyncio.get_running_loop()
        if self._running is not None:
            await asyncio.wait([self._running], timeout=OVERLAP_S)
        await asyncio.sleep(max(self._earliest_s - loop.time(), 0.0))
        self._running = asyncio.current_task()
        self._earliest_s = loop.time() + INTERVAL_S
        with self._lock:
            # What arrives from here on is not covered by this round trip.
            current, self._next = self._next, None
            wants_all, self._wants_all = self._wants_all, False
            streams, self._streams = self._streams, set()
        answers = Answers(0)
        try:
            await self._ask_all(answers, streams, wants_all=wants_all)
        finally:
            result = answers.result(wants_all=wants_all)
            # All at once: control processes may have been told different ones.
            self._origins.merge(answers.origins)
            self._origins.end_round(current, result, answers.known)
        if result is rounds.RoundResult.NO_MAJORITY:
            self._earliest_s = loop.time() + RETRY_S

    async def _ask_all(
        self, answers: Answers, streams: set[int], *, wants_all: bool
    ) -> None:
        """Asks all control processes until the answers suffice, or a timeout.

        Args:
            answers: Gets the answers.
            streams: Streams whose origins are asked for.
            wants_all: Whether all open streams are asked for.
        """
        loop = asyncio.get_running_loop()
        stored = self._origins.unacknowledged()
        request = control_pb2.OpenStreamsRequest(
            instance=self._instance,
            open_streams=open_streams_codec.open_streams_to_wire(
                stored, self._clock.now_s()
            ),
            wants_all=wants_all,
            streams=streams,
        )
        begin_s = loop.time()
        end_s = begin_s + TIMEOUT_S
        addresses = self._control.addresses()
        answers.control_count = len(addresses)
        pending = {
            asyncio.create_task(
                self._control.open_streams(request, address, TIMEOUT_S)
            )
            for address in addresses
        }
        is_stored = False
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=max(end_s - loop.time(), 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # A process that was stopped meanwhile is late, too.
            if not done or loop.time() >= end_s:
                break
            for task in done:
                if (reply := task.result()) is not None:
                    answers.add(reply, self._clock.now_s())
            result = answers.result(wants_all=wants_all)
            if not is_stored and answers.is_stored:
                is_stored = True
                self._origins.acknowledge(stored)
            if result is rounds.RoundResult.ALL_KNOWN or (
                is_stored and not wants_all
            ):
                if not streams:
                    break
                end_s = min(end_s, begin_s + ORIGINS_WAIT_S)
        self._leave(pending)

    def _leave(self, pending: set[asyncio.Task]) -> None:
        """Lets requests end whose answers are not needed any more.

        The other control processes store what they bring.
        """
        self._late |= pending
        for task in pending:
            task.add_done_callback(self._late.discard)
