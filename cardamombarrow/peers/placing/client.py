"""Client side of placement by the placer of a failure domain.

One task keeps a stream to the placer that `placing.ranking` selects. A question
that gets no answer in time, or whose stream is lost, goes back to the entry's
own dispatcher at once; nothing waits for a placer to come back.
"""

import asyncio
from collections import abc
import dataclasses
import math
import time

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import remote_placer
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.placing import codec as placing_codec
from cardamombarrow.peers.placing import link as placing_link
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.placing import messages as placing_messages
from cardamombarrow.placing import ranking as ranking_module
from cardamombarrow.resumption import core as resumption

__all__ = ["ANSWER_TIMEOUT_S", "ClientHooks", "PlacingClient"]

ANSWER_TIMEOUT_S = 0.05
"""Maximum wait for the first answer to a question. A round trip in the domain
and a decision take a fifth of it; the shortest target in use is ten times as
long."""

MAX_TIMEOUTS_IN_A_ROW = 3
"""Consecutive unanswered questions after which the client leaves a placer."""

CHECK_INTERVAL_S = 0.2
"""Time between two checks of which placer to use and whether it is silent."""

_Outcome = placing_messages.QuestionOutcome


@dataclasses.dataclass(frozen=True)
class ClientHooks:
    """Callbacks from the client to the entry.

    Attributes:
        members: Returns the addresses of the domain's live instances,
            including this one.
        runs: Returns the requests that run now.
        on_answer: Called with a decision, the instance that made it and the
            time since the question, in seconds. Returns whether the entry
            carries it out.
        fall_back: Decides a request locally; called with the reason.
        count: Counts the outcome of a question.
        pauses_left_s: Returns the remaining time of each endpoint's pause.
    """

    members: abc.Callable[[], dict[ids.InstanceId, str]]
    runs: abc.Callable[[], list[placing_messages.Run]]
    on_answer: abc.Callable[[placing_messages.Answer, str, float], bool]
    fall_back: abc.Callable[[ids.RequestId, str], None]
    count: abc.Callable[[placing_messages.QuestionOutcome], None]
    pauses_left_s: abc.Callable[[], dict[ids.EndpointId, float]] = dict


class PlacingClient(remote_placer.RemotePlacer, loop_module.LoopPart):
    """Asks the placer; methods of `RemotePlacer` are thread-safe."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        instance: ids.InstanceId,
        secret: str,
        hooks: ClientHooks,
        origins: resumption.StreamOrigins,
    ):
        super().__init__(loop)
        self._origins = origins
        self._instance = instance
        self._secret = secret
        self._hooks = hooks
        self._order = ranking_module.PlacerRanking()
        self._link: placing_link.PlacingLink | None = None
        self._connecting: asyncio.Task[None] | None = None

    # -- methods for the entry, on any thread ---------------------------------

    def is_connected(self) -> bool:
        """Returns whether a placer is connected."""
        return self._link is not None

    def ask(self, job: messages.Job) -> None:
        """Requests a placement from the placer."""
        asked_s = time.monotonic()
        self._loop.call_soon(lambda: self._ask(job, asked_s))

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Withdraws a question."""
        self._loop.call_soon(lambda: self._withdraw(request_id))

    def run_started(self, run: placing_messages.Run) -> None:
        """Reports a request that this entry has placed by itself."""
        if self._link is not None:
            self._loop.call_soon(lambda: self._ran(run))

    def first_token_received(self, request_id: ids.RequestId) -> None:
        """Reports the first event of a request's answer."""
        if self._link is not None:
            self._loop.call_soon(lambda: self._began(request_id))

    def ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        """Reports that a request has ended at its endpoint."""
        if self._link is not None:
            self._loop.call_soon(
                lambda: self._ended(request_id, outcome, tokens)
            )

    def load_reported(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Reports the endpoint load that an answer contained."""
        if self._link is not None:
            self._loop.call_soon(lambda: self._loaded(endpoint, report))

    def pause_reported(self, endpoint: ids.EndpointId, pause_s: float) -> None:
        """Reports that an endpoint has asked this entry for a pause."""
        if self._link is not None:
            self._loop.call_soon(lambda: self._paused(endpoint, pause_s))

    # -- questions and events, on the loop ------------------------------------

    def _ask(self, job: messages.Job, asked_s: float) -> None:
        link = self._link
        if link is None:
            self._hooks.count(_Outcome.LOST)
            self._hooks.fall_back(job.request_id, "no placer is connected")
            return
        now_s = time.monotonic()
        left_s = max(asked_s + ANSWER_TIMEOUT_S - now_s, 0.0)
        timer = self._start_timer(link, job, left_s)
        link.questions[job.request_id] = placing_link.Question(
            job, asked_s, timer
        )
        link.send(urgent=True, question=placing_codec.job_to_wire(job, now_s))

    def _start_timer(
        self, link: placing_link.PlacingLink, job: messages.Job, left_s: float
    ) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(left_s, self._on_timeout, link, job.request_id)

    def _on_timeout(
        self, link: placing_link.PlacingLink, request_id: ids.RequestId
    ) -> None:
        if link.questions.pop(request_id, None) is None:
            return
        link.timeouts_in_a_row += 1
        self._hooks.count(_Outcome.LATE)
        link.send(withdrawn=request_id)
        self._hooks.fall_back(
            request_id, f"no answer in time from {link.instance}"
        )
        if link.timeouts_in_a_row >= MAX_TIMEOUTS_IN_A_ROW:
            link.close(f"{link.timeouts_in_a_row} questions in a row timed out")

    def _withdraw(self, request_id: ids.RequestId) -> None:
        link = self._link
        if link is None:
            return
        question = link.questions.pop(request_id, None)
        if question is not None:
            question.timer.cancel()
        link.reported.discard(request_id)
        link.send(withdrawn=request_id)

    def _ran(self, run: placing_messages.Run) -> None:
        link = self._link
        if link is not None and run.job.request_id not in link.reported:
            link.reported.add(run.job.request_id)
            link.send(run=placing_codec.run_to_wire(run, time.monotonic()))

    def _began(self, request_id: ids.RequestId) -> None:
        link = self._link
        if link is not None and request_id in link.reported:
            link.send(begun=request_id)

    def _ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        link = self._link
        if link is None or request_id not in link.reported:
            return
        link.reported.discard(request_id)
        link.send(
            ended=placing_pb2.RunEnd(
                request_id=request_id, outcome=outcome.value, tokens=tokens
            )
        )

    def _loaded(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        if self._link is not None:
            self._link.send(
                load=placing_pb2.EndpointLoad(
                    endpoint=endpoint,
                    running=report.running,
                    waiting=report.waiting,
                    work_time_percent=round(
                        100 * (report.work_time_factor or 0.0)
                    ),
                )
            )

    def _paused(self, endpoint: ids.EndpointId, pause_s: float) -> None:
        if self._link is not None:
            self._link.send(
                urgent=True,
                pause=placing_pb2.EndpointPause(
                    endpoint=endpoint, left_ms=math.ceil(pause_s * 1_000)
                ),
            )

    def _on_reply(
        self, link: placing_link.PlacingLink, reply: placing_pb2.PlacingReply
    ) -> None:
        if link.instance != self._instance:
            self._take_origins(link, reply)
        for answer in placing_codec.answers_from_wire(reply):
            link.timeouts_in_a_row = 0
            if isinstance(answer, placing_messages.Queued):
                self._on_waiting(link, answer.request_id)
            elif isinstance(answer.decision, messages.Preemption):
                self._hooks.on_answer(answer, link.instance, 0.0)
            else:
                self._on_decision(link, answer)

    def _take_origins(
        self, link: placing_link.PlacingLink, reply: placing_pb2.PlacingReply
    ) -> None:
        if reply.origins:
            self._origins.merge(
                origin_codec.origins_from_wire(
                    reply.origins, time.monotonic(), resumption.Source.DOMAIN
                )
            )
        if reply.origins_complete:
            self._origins.set_complete()
        if reply.wants_origins:
            link.send_all_origins()

    def _on_waiting(
        self, link: placing_link.PlacingLink, request_id: ids.RequestId
    ) -> None:
        question = link.questions.get(request_id)
        if question is None:
            return
        question.timer.cancel()
        # The placer refuses it at its deadline at the latest; this timer
        # covers a placer that does not answer.
        left_s = question.job.deadline_s - time.monotonic() + ANSWER_TIMEOUT_S
        question.timer = self._start_timer(link, question.job, max(left_s, 0.0))

    def _on_decision(
        self,
        link: placing_link.PlacingLink,
        answer: placing_messages.Answer,
    ) -> None:
        question = link.questions.pop(answer.request_id, None)
        if question is None:
            # The question was withdrawn while the answer was in transit.
            return
        question.timer.cancel()
        if isinstance(answer.decision, messages.Placement):
            link.reported.add(answer.request_id)
        elapsed_s = time.monotonic() - question.asked_s
        accepted = self._hooks.on_answer(answer, link.instance, elapsed_s)
        self._hooks.count(_Outcome.DECIDED if accepted else _Outcome.NOT_TAKEN)

    # -- choice of the placer --------------------------------------------------

    async def _run(self) -> None:
        while True:
            members = self._hooks.members()
            self._order.set_members(members)
            now_s = time.monotonic()
            if self._link is not None:
                self._link.send_new_origins()
                self._link.check_silence(now_s)
            first = self._order.first(now_s)
            if first is None or first not in members:
                if self._link is not None:
                    self._link.close("no placer is available", failed=False)
            elif self._must_connect(first):
                self._connecting = asyncio.create_task(
                    self._connect(first, members[first])
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _must_connect(self, first: ids.InstanceId) -> bool:
        if self._connecting is not None and not self._connecting.done():
            return False
        return self._link is None or first != self._link.instance

    async def _connect(self, instance: ids.InstanceId, address: str) -> None:
        """Opens a stream to another placer, then closes the previous one.

        In the other order, each attempt to reach a placer that does not answer
        would lose the working one.
        """
        link = placing_link.PlacingLink(
            instance,
            self._on_reply,
            self._on_closed,
            self._origins,
            # Entries that have left the placer may ask this one instead.
            resumption.Source.OWN
            if instance == self._instance
            else resumption.Source.ASKING,
        )
        hello = placing_pb2.PlacingRequest(
            instance=self._instance, epoch=time.time_ns()
        )
        if not await link.open(address, self._secret, hello):
            return
        self._order.answered(instance)
        before, self._link = self._link, link
        for run in self._hooks.runs():
            self._ran(run)
        for endpoint, left_s in self._hooks.pauses_left_s().items():
            self._paused(endpoint, left_s)
        logs.event("asks", placer=instance, runs=len(link.reported))
        if before is not None:
            before.close("replaced by another placer", failed=False)

    def _on_closed(self, link: placing_link.PlacingLink) -> None:
        """Decides the open questions of a link locally, at once."""
        if link is self._link:
            self._link = None
            logs.event(
                "placer link closed",
                placer=link.instance,
                reason=link.close_reason,
                questions=len(link.questions),
            )
        if link.failed:
            self._order.failed(link.instance, time.monotonic())
        for request_id, question in list(link.questions.items()):
            question.timer.cancel()
            del link.questions[request_id]
            self._hooks.count(_Outcome.LOST)
            self._hooks.fall_back(request_id, link.close_reason)
