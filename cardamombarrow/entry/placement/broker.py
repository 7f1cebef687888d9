"""Thread-safe front end of the dispatcher; request threads wait on its futures.

Each request's thread submits a job and waits on a future. Whenever a job
arrives, a slot is released or a timer is due, the broker runs the dispatcher
and resolves the futures of the jobs that were decided on.

While the domain's placer is reachable, it decides instead of the local
dispatcher. The local dispatcher records those decisions, so that it can take
over as soon as an answer fails to arrive.
"""

from concurrent import futures
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker_quarantine
from cardamombarrow.entry.placement import decision_lines
from cardamombarrow.entry.placement import ticket as ticket_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.placing import messages as placing_messages

__all__ = ["Broker"]

_FINAL_REFUSALS = frozenset(
    (
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.QUEUE_TIMEOUT,
        errors.ErrorKind.QUARANTINED,
    )
)
"""Refusals of the placer that are passed on to the caller. Other kinds describe
the state of the placer, so the request is decided locally instead."""


class Broker(broker_quarantine.QuarantineBroker):
    """A dispatcher shared by the request threads of an entry."""

    def submit(self, job: messages.Job) -> ticket_module.Ticket:
        """Submits a job that has arrived.

        Raises:
            errors.RefusedError: The job is refused immediately.
        """
        ticket = ticket_module.Ticket(job, futures.Future())
        lines: list[decision_lines.DecisionLine] = []
        with self._lock:
            now_s = self._clock.now_s()
            use_placer = self._use_placer(job, now_s)
            if not use_placer:
                self._refresh_shares(now_s)
            offer = (
                self._dispatcher.await_remote_placement
                if use_placer
                else self._dispatcher.offer
            )
            refusal = offer(job, now_s)
            if refusal is None:
                self._tickets[job.request_id] = ticket
                if use_placer:
                    self._remote_placer.ask(job)
                else:
                    lines = self._run_due()
                    self._wake_if_earlier()
        if refusal is not None:
            decision_lines.write([decision_lines.DecisionLine(job, refusal)])
            raise ticket_module.JobRefusedError(job, refusal)
        decision_lines.write(lines)
        return ticket

    def _use_placer(self, job: messages.Job, now_s: float) -> bool:
        return (
            self._remote_placer.is_connected()
            and self._dispatcher.may_place_remotely(job, now_s)
        )

    def resubmit(
        self, ticket: ticket_module.Ticket, outcome: messages.Outcome
    ) -> ticket_module.Ticket | None:
        """Queues a failed job again.

        Returns:
            The ticket of the new attempt; None if no retry is allowed.
        """
        job = ticket.job
        new_ticket = ticket_module.Ticket(job, futures.Future())
        with self._lock:
            now_s = self._clock.now_s()
            use_placer = self._use_placer(job, now_s)
            self._refresh_shares(now_s)
            allowed = self._dispatcher.retry(job, outcome, now_s, use_placer)
            use = self._dispatcher.retry_use(job, now_s)
            retry_line = decision_lines.RetryLine(
                job, outcome, allowed, job.attempts, use
            )
            lines = []
            if allowed:
                self._tickets[job.request_id] = new_ticket
                if self._dispatcher.awaits_remote_placement(job.request_id):
                    self._remote_placer.ask(job)
                lines = self._run_due()
                self._wake_if_earlier()
        decision_lines.write_retry(retry_line)
        decision_lines.write(lines)
        return new_ticket if allowed else None

    def may_forward(self, job: messages.Job) -> bool:
        """Returns whether another instance may run a failed job."""
        with self._lock:
            now_s = self._clock.now_s()
            allowed = self._dispatcher.may_forward(job, now_s)
            use = self._dispatcher.retry_use(job, now_s)
        if job.received:
            decision_lines.write_retry(
                decision_lines.RetryLine(
                    job, messages.Outcome.FAILED, allowed, job.attempts, use
                )
            )
        return allowed

    def blocked_for_s(self, job: messages.Job) -> float | None:
        """Returns when a failed job should return if no endpoint takes it now.

        Returns:
            Seconds from now; None if an endpoint would take it.
        """
        with self._lock:
            return self._dispatcher.blocked_for_s(job, self._clock.now_s())

    def backlog(self, job: messages.Job) -> messages.Backlog | None:
        """Returns the work ahead of a job; None if no endpoint serves it."""
        with self._lock:
            return self._dispatcher.known_backlog(job, self._clock.now_s())

    def less_urgent_start_age_s(
        self, service: ids.ServiceId, class_id: ids.ClassId
    ) -> float | None:
        """Returns the time since a less urgent request was last placed."""
        with self._lock:
            return self._dispatcher.less_urgent_start_age_s(
                service, class_id, self._clock.now_s()
            )

    def may_redo(self, job: messages.Job) -> bool:
        """Returns whether a running job could be sent elsewhere now."""
        with self._lock:
            return self._dispatcher.may_redo(job, self._clock.now_s())

    def withdraw(
        self, ticket: ticket_module.Ticket
    ) -> messages.WaitState | None:
        """Withdraws a job whose caller left while waiting for a placement.

        The caller may leave at the moment the job is placed. Decisions are
        carried out under the lock, so the job is either still waiting or its
        future is resolved. A placed job is finished here; otherwise its slot
        would stay taken until a restart.

        Returns:
            The state in which it waited; None if it did not wait any more.
        """
        lines: list[decision_lines.DecisionLine] = []
        wait = None
        with self._lock:
            request_id = ticket.job.request_id
            if not ticket.placed.done():
                wait = self._dispatcher.wait_state(
                    ticket.job, self._clock.now_s()
                )
            if self._dispatcher.awaits_remote_placement(request_id):
                self._remote_placer.withdraw(request_id)
            if self._dispatcher.withdraw(request_id):
                del self._tickets[request_id]
            elif not ticket.placed.exception(timeout=0):
                lines = self._finish(request_id, messages.Outcome.CALLER_GONE)
        decision_lines.write(lines)
        return wait

    def first_token(self, request_id: ids.RequestId) -> None:
        """Records that a request's first token has arrived."""
        with self._lock:
            self._dispatcher.first_token(request_id, self._clock.now_s())
            self._remote_placer.first_token_received(request_id)
            lines = self._run_due()
            self._wake_if_earlier()
            reports = self._take_suspects()
        self._share_suspects(reports)
        decision_lines.write(lines)

    def progress(self, request_id: ids.RequestId, tokens: int) -> None:
        """Records how many tokens have been relayed so far."""
        self._dispatcher.progress(request_id, tokens)

    def finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> None:
        """Releases the slot of a placed job."""
        with self._lock:
            lines = self._finish(request_id, outcome)
            reports = self._take_suspects()
        decision_lines.write(lines)
        self._share_suspects(reports)

    def _finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> list[decision_lines.DecisionLine]:
        self._tickets.pop(request_id, None)
        tokens = self._dispatcher.finish(
            request_id, outcome, self._clock.now_s()
        )
        self._remote_placer.ended(request_id, outcome, tokens)
        return self._run_due()

    # -- decisions of the placer ----------------------------------------------

    def on_answer(
        self, answer: placing_messages.Answer, placer: str, asked_s: float
    ) -> bool:
        """Applies the placer's decision on a request.

        Args:
            answer: The decision.
            placer: Id of the instance that decided.
            asked_s: Time since the question was sent, in seconds.

        Returns:
            False if the decision is not applied and the request is decided
            locally.
        """
        decision = answer.decision
        lines = []
        with self._lock:
            ticket = self._tickets.get(answer.request_id)
            if isinstance(decision, messages.Preemption):
                if ticket is not None and self._may_preempt(ticket, decision):
                    ticket.preempt(decision)
                return True
            if ticket is None or not self._dispatcher.awaits_remote_placement(
                answer.request_id
            ):
                return True
            if isinstance(decision, messages.Placement):
                decision = self._with_rate_limit(decision)
                applied = self._adopt(ticket, answer, decision)
            else:
                applied = decision.kind in _FINAL_REFUSALS
                if applied:
                    self._dispatcher.drop_remote_placement(answer.request_id)
                    del self._tickets[answer.request_id]
                    ticket.refuse(decision)
            if applied:
                lines = [
                    decision_lines.DecisionLine(
                        ticket.job,
                        decision,
                        ticket.job.attempts,
                        placer,
                        asked_s,
                    )
                ]
        if applied:
            decision_lines.write(lines)
        else:
            self._remote_placer.withdraw(answer.request_id)
            self.fall_back(answer.request_id, _not_applied(decision))
        return applied

    def _may_preempt(
        self, ticket: ticket_module.Ticket, decision: messages.Preemption
    ) -> bool:
        """Returns whether a preempted run can be sent again, or has begun."""
        if not decision.requeue:
            return True
        now_s = self._clock.now_s()
        return self._dispatcher.reserve_retry(ticket.job, now_s)

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
        """Adds the rate limit known to this entry, for the log."""
        limit = self._dispatcher.rate_limit(placement.endpoint)
        if limit is None:
            return placement
        return dataclasses.replace(
            placement,
            limit_per_s=limit.per_s,
            limit_age_s=self._clock.now_s() - limit.received_s,
        )

    def fall_back(self, request_id: ids.RequestId, reason: str) -> None:
        """Decides locally on a request on which the placer has not decided."""
        with self._lock:
            now_s = self._clock.now_s()
            self._refresh_shares(now_s)
            if not self._dispatcher.queue_locally(request_id, now_s):
                return
            lines = self._run_due()
            self._wake_if_earlier()
        logs.decision("local decision", request_id=request_id, reason=reason)
        decision_lines.write(lines)

    def runs(self) -> list[placing_messages.Run]:
        """Returns the running streams, to be reported to a new placer."""
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
        """Returns the load on endpoints from decisions made here."""
        with self._lock:
            return self._dispatcher.own_loads(self._clock.now_s())

    def set_peer_loads(
        self,
        instance: ids.InstanceId,
        loads: dict[ids.EndpointId, messages.PeerLoad],
    ) -> None:
        """Sets the load that another domain's placer has on endpoints."""
        with self._lock:
            self._dispatcher.set_peer_loads(instance, loads)
            lines = self._run_due()
        decision_lines.write(lines)

    def remove_peer_loads(self, instance: ids.InstanceId) -> None:
        """Drops the load of a placer that no longer reports."""
        with self._lock:
            self._dispatcher.remove_peer_loads(instance)
            lines = self._run_due()
        decision_lines.write(lines)

    def add_remote_run(self, run: placing_messages.Run) -> bool:
        """Adds a request that an entry of the domain placed by itself.

        Returns:
            False if its endpoint is not known.
        """
        with self._lock:
            return self._dispatcher.add_remote_run(
                run.job,
                run.endpoint,
                run.placed_s,
                run.begun,
                self._clock.now_s(),
            )

    def _run_due(self) -> list[decision_lines.DecisionLine]:
        """Carries out the decisions that are due; returns what to log."""
        lines = []
        for decision in self._dispatcher.place(self._clock.now_s()):
            ticket = self._tickets[decision.request_id]
            lines.append(
                decision_lines.DecisionLine(
                    ticket.job, decision, ticket.job.attempts
                )
            )
            if isinstance(decision, messages.Placement):
                self._report_run(ticket.job, decision)
                ticket.placed.set_result(decision)
            elif isinstance(decision, messages.Refusal):
                del self._tickets[decision.request_id]
                ticket.refuse(decision)
            else:
                ticket.preempt(decision)
        return lines

    def _report_run(
        self, job: messages.Job, placement: messages.Placement
    ) -> None:
        if job.streams:
            now_s = self._clock.now_s()
            run = placing_messages.Run(job, placement.endpoint, now_s)
            self._remote_placer.run_started(run)


def _not_applied(decision: messages.Decision) -> str:
    if isinstance(decision, messages.Placement):
        return f"{decision.endpoint} takes no request of this entry"
    return f"the placer could not decide: {decision.detail}"
