"""An entry's way to the placer of its domain: the side that asks.

One task keeps a stream to the placer that `placing.ranking` selects. A question
that gets no answer in time, or whose stream is lost, goes back to the entry's
own dispatcher at once; nothing waits for a placer to come back.
"""

import asyncio
from collections import abc
import dataclasses
import time

from cardamombarrow.decisions import messages
from cardamombarrow.entry import remote_placer
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import placing_codec
from cardamombarrow.peers import placing_link
from cardamombarrow.peers import placing_pb2
from cardamombarrow.placing import messages as placing_messages
from cardamombarrow.placing import ranking as ranking_module

__all__ = ["ANSWER_S", "ClientHooks", "PlacingClient"]

ANSWER_S = 0.05
"""Longest wait for the first answer to a question. A round trip in the domain
and a decision take a fifth of it; the shortest target in use is ten times as
long."""

LATE_IN_A_ROW = 3
"""Questions without an answer in time after which a placer is left."""

LOOK_S = 0.2
"""Time between two looks at whom to ask and at whether it is silent."""

_Asked = placing_messages.QuestionOutcome


@dataclasses.dataclass(frozen=True)
class ClientHooks:
    """What the client asks of the entry and tells it.

    Attributes:
        members: Returns the addresses of the domain's live instances, this
            one included.
        runs: Returns what runs now.
        on_answer: Takes a decision, who made it and in what time; tells
            whether it is carried out.
        fall_back: Has a request decided here, and why.
        count: Counts what became of a question.
    """

    members: abc.Callable[[], dict[ids.InstanceId, str]]
    runs: abc.Callable[[], list[placing_messages.Run]]
    on_answer: abc.Callable[[placing_messages.Answer, str, float], bool]
    fall_back: abc.Callable[[ids.RequestId, str], None]
    count: abc.Callable[[placing_messages.QuestionOutcome], None]


class PlacingClient(remote_placer.RemotePlacer, loop_module.LoopPart):
    """Asks the placer; methods of `RemotePlacer` are thread-safe."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        instance: ids.InstanceId,
        secret: str,
        hooks: ClientHooks,
    ):
        super().__init__(loop)
        self._instance = instance
        self._secret = secret
        self._hooks = hooks
        self._order = ranking_module.PlacerRanking()
        self._link: placing_link.PlacingLink | None = None
        self._moving: asyncio.Task[None] | None = None

    # -- what the entry calls, from any thread --------------------------------

    def is_connected(self) -> bool:
        """Tells whether a question would reach a placer now."""
        return self._link is not None

    def ask(self, job: messages.Job) -> None:
        """Asks where a request goes."""
        asked_s = time.monotonic()
        self._loop.soon(lambda: self._ask(job, asked_s))

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Takes a question back."""
        self._loop.soon(lambda: self._withdraw(request_id))

    def run_started(self, run: placing_messages.Run) -> None:
        """Tells of a request that this entry has sent by its own decision."""
        if self._link is not None:
            self._loop.soon(lambda: self._ran(run))

    def first_token_received(self, request_id: ids.RequestId) -> None:
        """Tells that a request's first event came."""
        if self._link is not None:
            self._loop.soon(lambda: self._began(request_id))

    def ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        """Tells that a request has left its endpoint."""
        if self._link is not None:
            self._loop.soon(lambda: self._ended(request_id, outcome, tokens))

    def load_reported(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Tells what an answer said of its endpoint's load."""
        if self._link is not None:
            self._loop.soon(lambda: self._loaded(endpoint, report))

    # -- questions and events, on the loop ------------------------------------

    def _ask(self, job: messages.Job, asked_s: float) -> None:
        link = self._link
        if link is None:
            self._hooks.count(_Asked.LOST)
            self._hooks.fall_back(job.request_id, "nobody is asked any longer")
            return
        now_s = time.monotonic()
        left_s = max(asked_s + ANSWER_S - now_s, 0.0)
        timer = self._timer(link, job, left_s)
        link.questions[job.request_id] = placing_link.Question(
            job, asked_s, timer
        )
        link.send(urgent=True, question=placing_codec.job_to_wire(job, now_s))

    def _timer(
        self, link: placing_link.PlacingLink, job: messages.Job, left_s: float
    ) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(left_s, self._late, link, job.request_id)

    def _late(
        self, link: placing_link.PlacingLink, request_id: ids.RequestId
    ) -> None:
        if link.questions.pop(request_id, None) is None:
            return
        link.late += 1
        self._hooks.count(_Asked.LATE)
        link.send(withdrawn=request_id)
        self._hooks.fall_back(request_id, f"no answer of {link.instance}")
        if link.late >= LATE_IN_A_ROW:
            link.lose(f"{link.late} questions without an answer in time")

    def _withdraw(self, request_id: ids.RequestId) -> None:
        link = self._link
        if link is None:
            return
        question = link.questions.pop(request_id, None)
        if question is not None:
            question.timer.cancel()
        link.told.discard(request_id)
        link.send(withdrawn=request_id)

    def _ran(self, run: placing_messages.Run) -> None:
        link = self._link
        if link is not None and run.job.request_id not in link.told:
            link.told.add(run.job.request_id)
            link.send(run=placing_codec.run_to_wire(run, time.monotonic()))

    def _began(self, request_id: ids.RequestId) -> None:
        link = self._link
        if link is not None and request_id in link.told:
            link.send(begun=request_id)

    def _ended(
        self, request_id: ids.RequestId, outcome: messages.Outcome, tokens: int
    ) -> None:
        link = self._link
        if link is None or request_id not in link.told:
            return
        link.told.discard(request_id)
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
                )
            )

    def _on_reply(
        self, link: placing_link.PlacingLink, reply: placing_pb2.PlacingReply
    ) -> None:
        for answer in placing_codec.answers_from_wire(reply):
            link.late = 0
            if isinstance(answer, placing_messages.Queued):
                self._waits(link, answer.request_id)
            elif isinstance(answer.decision, messages.Preemption):
                self._hooks.on_answer(answer, link.instance, 0.0)
            else:
                self._decided(link, answer)

    def _waits(
        self, link: placing_link.PlacingLink, request_id: ids.RequestId
    ) -> None:
        question = link.questions.get(request_id)
        if question is None:
            return
        question.timer.cancel()
        # It is given up there at its deadline at the latest; should nobody
        # tell, the entry does it.
        left_s = question.job.deadline_s - time.monotonic() + ANSWER_S
        question.timer = self._timer(link, question.job, max(left_s, 0.0))

    def _decided(
        self,
        link: placing_link.PlacingLink,
        answer: placing_messages.Answer,
    ) -> None:
        question = link.questions.pop(answer.request_id, None)
        if question is None:
            # It was taken back while the answer was on its way.
            return
        question.timer.cancel()
        if isinstance(answer.decision, messages.Placement):
            link.told.add(answer.request_id)
        asked_s = time.monotonic() - question.asked_s
        taken = self._hooks.on_answer(answer, link.instance, asked_s)
        self._hooks.count(_Asked.DECIDED if taken else _Asked.NOT_TAKEN)

    # -- whom to ask ----------------------------------------------------------

    async def _run(self) -> None:
        while True:
            members = self._hooks.members()
            self._order.set_members(members)
            now_s = time.monotonic()
            if self._link is not None:
                self._link.look(now_s)
            first = self._order.first(now_s)
            if first is None or first not in members:
                if self._link is not None:
                    self._link.lose("nobody is to be asked", failed=False)
            elif self._is_other(first):
                self._moving = asyncio.create_task(
                    self._move(first, members[first])
                )
            await asyncio.sleep(LOOK_S)

    def _is_other(self, first: ids.InstanceId) -> bool:
        if self._moving is not None and not self._moving.done():
            return False
        return self._link is None or first != self._link.instance

    async def _move(self, instance: ids.InstanceId, address: str) -> None:
        """Opens a stream to another placer, then leaves the one before.

        Left first, each look at a placer that does not answer would cost the
        one that does.
        """
        link = placing_link.PlacingLink(instance, self._on_reply, self._on_lost)
        hello = placing_pb2.PlacingRequest(
            instance=self._instance, epoch=time.time_ns()
        )
        if not await link.open(address, self._secret, hello):
            return
        self._order.answered(instance)
        before, self._link = self._link, link
        for run in self._hooks.runs():
            self._ran(run)
        logs.event("asks", placer=instance, runs=len(link.told))
        if before is not None:
            before.lose("another placer is asked", failed=False)

    def _on_lost(self, link: placing_link.PlacingLink) -> None:
        """Has what is open on a link decided here, at once."""
        if link is self._link:
            self._link = None
            logs.event(
                "asks no more",
                placer=link.instance,
                reason=link.lost_reason,
                questions=len(link.questions),
            )
        if link.failed:
            self._order.failed(link.instance, time.monotonic())
        for request_id, question in list(link.questions.items()):
            question.timer.cancel()
            del link.questions[request_id]
            self._hooks.count(_Asked.LOST)
            self._hooks.fall_back(request_id, link.lost_reason)
