"""The dispatcher behind a lock: threads wait here for a place.

Each request's thread hands in a job and waits on a future. Whenever a job
arrives, a slot is released, or something that waits is due, the decisions are
carried out by resolving the futures of the jobs that they concern.

Where the placer of the domain can be asked, it decides in place of the own
dispatcher, which is told what was decided: it takes over the moment when no
answer comes.
"""

from concurrent import futures
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.entry import decision_lines
from cardamombarrow.entry import knowing
from cardamombarrow.entry import ticket as ticket_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.placing import messages as placing_messages

__all__ = ["Broker"]

_HONOURED = frozenset(
    (
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.QUEUE_TIMEOUT,
        errors.ErrorKind.QUARANTINED,
    )
)
"""Refusals of the placer that are passed on to the caller. Any other one tells
what the placer lacks, which this entry may have."""


class Broker(knowing.KnowingBroker):
    """One dispatcher, shared by the threads of an entry."""

    def submit(self, job: messages.Job) -> ticket_module.Ticket:
        """Hands in an arriving job.

        Raises:
            errors.RefusedError: It is refused at once.
        """
        ticket = ticket_module.Ticket(job, futures.Future())
        lines: list[decision_lines.Line] = []
        with self._lock:
            now_s = self._clock.now_s()
            asks = self._asks(job, now_s)
            offer = (
                self._dispatcher.await_remote_placement
                if asks
                else self._dispatcher.offer
            )
            refusal = offer(job, now_s)
            if refusal is None:
                self._tickets[job.request_id] = ticket
                if asks:
                    self._asking.ask(job)
                else:
                    lines = self._run_due()
                    self._wake_if_earlier()
        if refusal is not None:
            decision_lines.write([decision_lines.Line(job, refusal)])
            raise _refused(job, refusal)
        decision_lines.write(lines)
        return ticket

    def _asks(self, job: messages.Job, now_s: float) -> bool:
        return self._asking.takes() and self._dispatcher.may_place_remotely(
            job, now_s
        )

    def resubmit(
        self, ticket: ticket_module.Ticket, outcome: messages.Outcome
    ) -> ticket_module.Ticket | None:
        """Queues a failed job again; None where that is not allowed."""
        job = ticket.job
        again = ticket_module.Ticket(job, futures.Future())
        with self._lock:
            now_s = self._clock.now_s()
            asks = self._asks(job, now_s)
            if not self._dispatcher.retry(job, outcome, now_s, asks):
                return None
            self._tickets[job.request_id] = again
            attempts = job.attempts
            if self._dispatcher.awaits_remote_placement(job.request_id):
                self._asking.ask(job)
            lines = self._run_due()
            self._wake_if_earlier()
        logs.decision(
            "retry",
            request_id=job.request_id,
            outcome=outcome.value,
            attempts=attempts,
            tried=job.tried,
        )
        decision_lines.write(lines)
        return again

    def may_redo(self, job: messages.Job) -> bool:
        """Tells whether a running job could be sent elsewhere now."""
        with self._lock:
            return self._dispatcher.may_redo(job, self._clock.now_s())

    def withdraw(self, ticket: ticket_module.Ticket) -> None:
        """Takes a job back whose caller left before it saw its place.

        The caller may leave at the moment when the job is placed. Decisions
        are carried out under the lock, so the job either waits still, or its
        future tells what became of it; a placed one is finished here, because
        nobody else will: its slot would be lost until a restart.
        """
        lines: list[decision_lines.Line] = []
        with self._lock:
            request_id = ticket.job.request_id
            if self._dispatcher.awaits_remote_placement(request_id):
                self._asking.withdraw(request_id)
            if self._dispatcher.withdraw(request_id):
                del self._tickets[request_id]
            elif not ticket.placed.exception(timeout=0):
                lines = self._finish(request_id, messages.Outcome.CALLER_GONE)
        decision_lines.write(lines)

    def first_token(self, request_id: ids.RequestId) -> None:
        """Tells that the first token came."""
        with self._lock:
            self._dispatcher.first_token(request_id, self._clock.now_s())
            self._asking.began(request_id)
            lines = self._run_due()
        decision_lines.write(lines)

    def progress(self, request_id: ids.RequestId, tokens: int) -> None:
        """Tells how many tokens were relayed so far."""
        self._dispatcher.progress(request_id, tokens)

    def finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> None:
        """Releases the slot of a placed job."""
        with self._lock:
            lines = self._finish(request_id, outcome)
        decision_lines.write(lines)

    def _finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> list[decision_lines.Line]:
        self._tickets.pop(request_id, None)
        tokens = self._dispatcher.finish(
            request_id, outcome, self._clock.now_s()
        )
        self._asking.ended(request_id, outcome, tokens)
        return self._run_due()

    # -- decisions of the placer ----------------------------------------------

    def on_answer(
        self, answer: placing_messages.Answer, placer: str, asked_s: float
    ) -> bool:
        """Takes the placer's decision on a request that was asked about.

        Args:
            answer: The decision.
            placer: Who made it.
            asked_s: How long ago it was asked for.

        Returns:
            False where the request is decided on here all the same.
        """
        decision = answer.decision
        lines = []
        with self._lock:
            ticket = self._tickets.get(answer.request_id)
            if isinstance(decision, messages.Preemption):
                if ticket is not None:
                    ticket.preempt(decision)
                return True
            if ticket is None or not self._dispatcher.awaits_remote_placement(
                answer.request_id
            ):
                return True
            if isinstance(decision, messages.Placement):
                decision = self._with_rate_limit(decision)
                taken = self._adopt(ticket, answer, decision)
            else:
                taken = decision.kind in _HONOURED
                if taken:
                    self._dispatcher.drop_remote_placement(answer.request_id)
                    del self._tickets[answer.request_id]
                    ticket.placed.set_exception(_refused(ticket.job, decision))
            if taken:
                lines = [
                    decision_lines.Line(
                        ticket.job,
                        decision,
                        ticket.job.attempts,
                        placer,
                        asked_s,
                    )
                ]
        if taken:
            decision_lines.write(lines)
        else:
            self._asking.withdraw(answer.request_id)
            self.fall_back(answer.request_id, _not_taken(decision))
        return taken

    def _adopt(
        self,
        ticket: ticket_module.Ticket,
        answer: placing_messages.Answer,
        placement: messages.Placement,
    ) -> bool:
        job = ticket.job
        job.unread_tokens = answer.unread_tokens
        job.expected_tokens = answer.expected_tokens
        adopted = self._dispatcher.apply_remote_placement(
            job.request_id, placement, self._clock.now_s()
        )
        if adopted:
            ticket.placed.set_result(placement)
        return adopted

    def _with_rate_limit(
        self, placement: messages.Placement
    ) -> messages.Placement:
        """Adds the limit that this entry knows of, for the log."""
        limit = self._dispatcher.rate_limit(placement.endpoint)
        if limit is None:
            return placement
        return dataclasses.replace(
            placement,
            limit_per_s=limit.per_s,
            limit_age_s=self._clock.now_s() - limit.received_s,
        )

    def fall_back(self, request_id: ids.RequestId, reason: str) -> None:
        """Decides here on a request on which the placer has not decided."""
        with self._lock:
            now_s = self._clock.now_s()
            if not self._dispatcher.queue_locally(request_id, now_s):
                return
            lines = self._run_due()
            self._wake_if_earlier()
        logs.decision("decide here", request_id=request_id, reason=reason)
        decision_lines.write(lines)

    def runs(self) -> list[placing_messages.Run]:
        """Returns the streams that run now, to be told to a new placer."""
        with self._lock:
            return [
                placing_messages.Run(
                    running.job,
                    running.endpoint,
                    running.placed_s,
                    running.first_token_s is not None,
                )
                for running in self._dispatcher.runs()
                if running.job.streams
            ]

    def own_loads(self) -> dict[ids.EndpointId, messages.PeerLoad]:
        """Returns what runs on endpoints by decisions made here."""
        with self._lock:
            return self._dispatcher.own_loads(self._clock.now_s())

    def set_others(
        self,
        instance: ids.InstanceId,
        loads: dict[ids.EndpointId, messages.PeerLoad],
    ) -> None:
        """Takes what another domain's placer has on endpoints."""
        with self._lock:
            self._dispatcher.set_others(instance, loads)
            lines = self._run_due()
        decision_lines.write(lines)

    def forget_others(self, instance: ids.InstanceId) -> None:
        """Drops what a placer told that is heard of no longer."""
        with self._lock:
            self._dispatcher.forget_others(instance)
            lines = self._run_due()
        decision_lines.write(lines)

    def add_remote_run(self, run: placing_messages.Run) -> bool:
        """Learns of a request that an entry of the domain has sent itself."""
        with self._lock:
            return self._dispatcher.add_remote_run(
                run.job,
                run.endpoint,
                run.placed_s,
                run.begun,
                self._clock.now_s(),
            )

    def _run_due(self) -> list[decision_lines.Line]:
        """Carries out the decisions that are due; returns what to log."""
        lines = []
        for decision in self._dispatcher.place(self._clock.now_s()):
            ticket = self._tickets[decision.request_id]
            lines.append(
                decision_lines.Line(ticket.job, decision, ticket.job.attempts)
            )
            if isinstance(decision, messages.Placement):
                self._tell_run(ticket.job, decision)
                ticket.placed.set_result(decision)
            elif isinstance(decision, messages.Refusal):
                del self._tickets[decision.request_id]
                ticket.placed.set_exception(_refused(ticket.job, decision))
            else:
                ticket.preempt(decision)
        return lines

    def _tell_run(
        self, job: messages.Job, placement: messages.Placement
    ) -> None:
        if job.streams:
            now_s = self._clock.now_s()
            run = placing_messages.Run(job, placement.endpoint, now_s)
            self._asking.ran(run)


def _not_taken(decision: messages.Decision) -> str:
    if isinstance(decision, messages.Placement):
        return f"{decision.endpoint} takes no work by what is known here"
    return f"the placer can't decide: {decision.detail}"


def _refused(
    job: messages.Job, refusal: messages.Refusal
) -> errors.RefusedError:
    # A job that was placed before and is given up while it waits for another
    # run may have run: only the first wait can end in "not run".
    return errors.RefusedError(
        refusal.kind,
        refusal.detail,
        retry_after_s=refusal.retry_after_s,
        not_run=not job.may_have_run,
    )
