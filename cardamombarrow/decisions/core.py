"""The dispatcher: combines the policies, without I/O.

An arriving job passes quarantine -> admission -> queue; `place` then removes
jobs in the queue's order while slots are free, and picks an endpoint for each.
The entry wraps one dispatcher in a lock; benchmarks drive it in virtual time.

The inputs of the decisions are updated incrementally by each event
(`capacity`, the heap of times at which a waiting job must be checked, the
services with changes), so that no event iterates over all jobs.
"""

import math
import typing

from cardamombarrow.decisions import arrivals
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import roster
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["Dispatcher"]

MIN_CHECK_INTERVAL_S = 0.05
"""Minimum time between two checks of a waiting job."""


class Dispatcher(arrivals.Arrivals):
    """All decisions of one instance.

    Attributes:
        preemptions: Number of preempted requests.
    """

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        super().__init__(context, now_s)
        self._awaiting_remote: dict[ids.RequestId, messages.Job] = {}
        self._pending_cancellations: list[messages.Preemption] = []
        self.preemptions = 0

    def waiting_jobs(self) -> list[messages.Job]:
        """Returns the queued jobs."""
        return list(self._policies.queue.jobs())

    def has_queued_jobs(self) -> bool:
        """Returns whether jobs wait for a slot."""
        return len(self._waiting) > 0

    # -- placement by another instance ----------------------------------------

    def may_place_remotely(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether another instance may place a job.

        A call that does not stream is placed locally, unless an endpoint that
        could take it states a rate limit. A job that may have crashed an
        endpoint is also placed locally: it has to run alone, and only this
        instance records that.
        """
        reachable = self._roster.reachable(job.service)
        is_remote = job.streams or self._roster.rate_budget.has_limit(reachable)
        return is_remote and not self._policies.quarantine.must_run_alone(
            job, now_s
        )

    def await_remote_placement(
        self, job: messages.Job, now_s: float
    ) -> messages.Refusal | None:
        """Records an arriving job that another instance will place."""
        refusal = self._receive(job, now_s)
        if refusal is None:
            self._waiting.enter(job)
            self._awaiting_remote[job.request_id] = job
        return refusal

    def apply_remote_placement(
        self,
        request_id: ids.RequestId,
        placed: messages.Placement,
        now_s: float,
    ) -> bool:
        """Applies another instance's placement of a job.

        Returns:
            False if the endpoint takes no work as far as this instance knows;
            the job goes on awaiting a placement.
        """
        state = self._roster.endpoints.get(placed.endpoint)
        if state is None or state.leaving:
            return False
        if not self._awaiting_remote[request_id].may_run_on(state.software):
            return False
        if not self._context.restrictions.allows(placed.endpoint, now_s):
            return False
        job = self._awaiting_remote.pop(request_id)
        self._policies.choice.on_remote_placement(job, state, now_s)
        self._run(job, state, now_s)
        return True

    def queue_locally(self, request_id: ids.RequestId, now_s: float) -> bool:
        """Queues or refuses a job locally that awaited a remote placement."""
        job = self._awaiting_remote.pop(request_id, None)
        if job is None:
            return False
        refusal = self._check_endpoint(job)
        if refusal is None:
            backlog = self.backlog(job, now_s)
            reason = arrivals.blocked_reason(job, backlog)
            if reason is None:
                self._enqueue(job, backlog, now_s)
                return True
            refusal = self._refusal(
                job,
                errors.ErrorKind.OVERLOADED,
                errors.RefusalCheck.ENDPOINT_PAUSES,
                reason,
                backlog,
                now_s,
            )
        self._waiting.leave(job)
        self._pending_refusals.append(refusal)
        return True

    def drop_remote_placement(self, request_id: ids.RequestId) -> bool:
        """Removes a job that awaits a remote placement."""
        job = self._awaiting_remote.pop(request_id, None)
        if job is None:
            return False
        self._waiting.leave(job)
        return True

    # -- waiting and placing --------------------------------------------------

    def refuse_quarantined(self, now_s: float) -> list[ids.RequestId]:
        """Refuses the waiting jobs that are quarantined by now.

        Runs whose answers have not begun are cancelled before they crash their
        endpoints, too. `place` yields the refusals and cancellations.

        Returns:
            The requests among them that awaited a remote placement.
        """
        awaiting_remote = []
        waiting = [
            *self._policies.queue.jobs(),
            *self._waiting.delayed(),
            *self._awaiting_remote.values(),
        ]
        for job in waiting:
            refusal = self._check_quarantine(job, now_s)
            if refusal is None:
                continue
            if job.request_id in self._awaiting_remote:
                awaiting_remote.append(job.request_id)
            self.withdraw(job.request_id)
            self._pending_refusals.append(refusal)
        self._cancel_quarantined(now_s)
        return awaiting_remote

    def _cancel_quarantined(self, now_s: float) -> None:
        if self._context.whole_domain:
            # The instances that sent these requests cancel them.
            return
        for running in self._running.values():
            if running.first_token_s is not None or running.preempted:
                continue
            refusal = self._check_quarantine(running.job, now_s)
            if refusal is None:
                continue
            self._pending_cancellations.append(
                self._cancel(running, requeue=False, reason=refusal.detail)
            )

    def _cancel(
        self, running: messages.Running, *, requeue: bool, reason: str
    ) -> messages.Preemption:
        """Marks a run as preempted, and returns what its entry is told.

        A preempted request holds its slot until it has ended.
        """
        running.preempted = True
        self._roster.capacities[running.job.service].preempting += 1
        return messages.Preemption(
            request_id=running.job.request_id,
            endpoint=running.endpoint,
            wasted_tokens=running.tokens,
            requeue=requeue,
            reason=reason,
        )

    def withdraw(self, request_id: ids.RequestId) -> bool:
        """Removes a waiting job whose caller has disconnected."""
        if self.drop_remote_placement(request_id):
            return True
        job = self._policies.queue.remove(request_id)
        self._prefill.remove(request_id, placed=False)
        if job is None:
            job = self._waiting.remove_delayed(request_id)
        if job is None:
            return False
        self._waiting.leave(job)
        return True

    def next_s(self) -> float | None:
        """Returns when `place` has to be called without another event.

        Returns:
            The time, or None while nothing waits.
        """
        times = [self._waiting.next_s()]
        if len(self._waiting):
            times.append(self._roster.rate_budget.next_s())
        return min((each for each in times if each is not None), default=None)

    def place(self, now_s: float) -> typing.Iterator[messages.Decision]:
        """Yields every decision that is due now."""
        for job in self._waiting.due_delayed(now_s):
            self._enqueue(job, self.backlog(job, now_s), now_s)
        yield from self._give_up(now_s)
        for job in self._waiting.due_service_checks(now_s):
            self._roster.changed.add(job.service)
        self._roster.changed.update(self._roster.rate_budget.due(now_s))
        free_slots = roster.FreeSlots(self._roster, self.backlog, now_s)
        while True:
            job = self._policies.queue.take(free_slots, now_s)
            if job is None:
                break
            yield self._place(job, free_slots.last(job), now_s)
        for service in sorted(self._roster.changed):
            yield from self._preempt(service, now_s)
        self._roster.changed.clear()
        while self._pending_refusals:
            yield self._pending_refusals.pop()
        while self._pending_cancellations:
            yield self._pending_cancellations.pop()

    def _give_up(self, now_s: float) -> typing.Iterator[messages.Refusal]:
        admission = self._policies.admission
        for job in self._waiting.due_checks(now_s):
            backlog = self.backlog(job, now_s)
            reason = admission.give_up(job, backlog, now_s)
            if reason is None and (
                backlog.pause_wait_s > 0.0 or math.isinf(backlog.limit_wait_s)
            ):
                reason = arrivals.blocked_reason(job, backlog)
            gone = self._check_endpoint(job)
            if reason is None and gone is not None:
                reason = gone.detail
            if reason is None:
                next_check_s = admission.next_check_s(job, backlog, now_s)
                self._waiting.schedule_check(
                    job, max(next_check_s, now_s + MIN_CHECK_INTERVAL_S)
                )
                continue
            self._policies.queue.remove(job.request_id)
            self._prefill.remove(job.request_id, placed=False)
            self._waiting.leave(job)
            yield self._refusal(
                job,
                errors.ErrorKind.QUEUE_TIMEOUT,
                errors.RefusalCheck.WAITING,
                reason,
                backlog,
                now_s,
            )

    def _preempt(
        self, service: ids.ServiceId, now_s: float
    ) -> typing.Iterator[messages.Preemption]:
        """Preempts requests of lower tiers for waiting ones that are late.

        A preempted request holds its slot until it has ended; counting these
        prevents several preemptions for one waiting job.
        """
        capacity = self._roster.capacities[service]
        head_jobs = self._policies.queue.head_jobs(service)
        for number, job in enumerate(head_jobs):
            if number < capacity.preempting:
                continue
            victim = self._policies.preemption.victim(
                job,
                self._roster.available(
                    roster.with_required_software(job, capacity.local), now_s
                ),
                now_s,
            )
            if victim is None:
                return
            requeue = victim.first_token_s is None
            if requeue and not self.reserve_retry(victim.job, now_s):
                return
            self.preemptions += 1
            yield self._cancel(
                victim,
                requeue=requeue,
                reason=f"preempted by {job.request_id} of rank {job.rank}",
            )

    def _place(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Placement:
        self._waiting.remove_queued(job)
        self._prefill.remove(job.request_id, placed=True)
        choice = self._policies.choice
        state, reason = choice.choose(job, candidates, now_s)
        if self._context.overload.orders_by_prefill:
            ahead_s = choice.prefill_ahead_s(job, state, now_s)
            late = ", late" if self._roster.lateness.is_late(job, now_s) else ""
            reason = f"{reason}, {ahead_s:.3f} s of prefill ahead{late}"
        fetch = choice.fetch(job, state, now_s)
        self._roster.rate_budget.spend(state, now_s)
        self._run(job, state, now_s)
        limit = self.rate_limit(state.endpoint)
        return messages.Placement(
            request_id=job.request_id,
            endpoint=state.endpoint,
            wait_s=now_s - job.arrived_s,
            candidates=tuple(candidate.endpoint for candidate in candidates),
            reason=reason,
            report_age_s=None
            if state.report is None
            else now_s - state.report.measured_at_s,
            fetch=fetch,
            limit_per_s=limit and limit.per_s,
            limit_age_s=limit and now_s - limit.received_s,
            paused=tuple(self._roster.paused(job.service, now_s)),
            speed=choice.speed(state, now_s),
        )

    def retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
        remote: bool = False,
    ) -> bool:
        """Queues a failed job again, if a retry is allowed and useful.

        Args:
            job: The job.
            outcome: How its last run ended.
            now_s: The time.
            remote: If the retry needs no delay, have another instance place the
                job instead of queueing it; see `awaits_remote_placement`.
        """
        if self._policies.quarantine.refuse(job, now_s) is not None:
            return False
        if self._check_endpoint(job) is not None:
            return False
        if (
            not remote
            and arrivals.blocked_reason(job, self.backlog(job, now_s))
            is not None
        ):
            return False
        if not self._policies.retry.may_retry(job, outcome, now_s):
            return False
        self._waiting.enter(job)
        delay_s = self._policies.retry.delay_s(job, outcome)
        if delay_s > 0.0:
            self._waiting.delay(job, now_s + delay_s)
        elif remote:
            self._awaiting_remote[job.request_id] = job
        else:
            self._enqueue(job, self.backlog(job, now_s), now_s)
        return True

    def reserve_retry(self, job: messages.Job, now_s: float) -> bool:
        """Takes the retry of a run that is to be preempted, if there is one."""
        return self._policies.retry.reserve(job, now_s)

    def may_forward(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether another instance may run a failed job.

        Takes a retry from the bound if an endpoint may have received it.
        """
        if not job.received:
            return True
        outcome = (
            messages.Outcome.FAILED
            if job.may_have_run
            else messages.Outcome.REFUSED_BY_ENDPOINT
        )
        allowed = self._policies.retry.may_retry(job, outcome, now_s)
        if allowed:
            self._policies.retry.on_place(job, now_s)
        return allowed

    def retry_use(
        self, job: messages.Job, now_s: float
    ) -> messages.RetryUse | None:
        """Returns what is used of the bound on retries of a job's service."""
        return self._policies.retry.use(job, now_s)

    def blocked_for_s(self, job: messages.Job, now_s: float) -> float | None:
        """Returns when a job that all endpoints delay too long should return.

        Returns:
            Seconds from now; None if the job could be placed in time.
        """
        refusal = self._check_endpoint(job)
        if refusal is not None:
            return refusal.retry_after_s
        backlog = self.backlog(job, now_s)
        if arrivals.blocked_reason(job, backlog) is None:
            return None
        return self._policies.retry.retry_after_s(backlog)

    def known_backlog(
        self, job: messages.Job, now_s: float
    ) -> messages.Backlog | None:
        """Returns the work ahead of a job; None if no endpoint serves it.

        Jobs that another instance is to place are not in the queue; they are
        expected to wait for the next free slot.
        """
        if self._check_endpoint(job) is not None:
            return None
        return self.backlog(job, now_s)

    def awaits_remote_placement(self, request_id: ids.RequestId) -> bool:
        """Returns whether a job awaits a remote placement."""
        return request_id in self._awaiting_remote

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a running job could be moved to another endpoint."""
        others = [
            state
            for state in self._roster.capacities[job.service].local
            if state.endpoint not in job.tried
            and job.may_run_on(state.software)
            and job.request_id not in state.running
            and self.rate_limit(state.endpoint) is None
            and self._context.restrictions.allows(state.endpoint, now_s)
        ]
        return bool(others) and self._policies.retry.may_redo(job, now_s)
