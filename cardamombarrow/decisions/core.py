"""The dispatcher: combines the policies, without I/O.

An arriving job passes quarantine -> admission -> queue; `place` then removes
jobs in the queue's order while slots are free, and picks an endpoint for each.
The entry wraps one dispatcher in a lock; benchmarks drive it in virtual time.

Its base classes hold the other parts, each in a module of its own:
`dispatcher_state` the inputs, `runs` the requests on endpoints, `arrivals` the
checks of an arriving job, `remote_placements` the jobs that another instance
places, `retries` what happens to a failed one.

The inputs of the decisions are updated incrementally by each event
(`capacity`, the heap of times at which a waiting job must be checked, the
services with changes), so that no event iterates over all jobs.
"""

from collections import abc
import dataclasses
import math
import typing

from cardamombarrow.decisions import arrivals
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import retries
from cardamombarrow.decisions.fleet import free_slots as free_slots_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["Dispatcher"]

MIN_CHECK_INTERVAL_S = 0.05
"""Minimum time between two checks of a waiting job."""


class Dispatcher(retries.Retries):
    """All decisions of one instance.

    Attributes:
        preemptions: Number of preempted requests.
    """

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        super().__init__(context, now_s)
        self._pending_cancellations: list[messages.Preemption] = []
        self.preemptions = 0

    def waiting_jobs(self) -> list[messages.Job]:
        """Returns the queued jobs."""
        return list(self._policies.queue.jobs())

    def has_queued_jobs(self) -> bool:
        """Returns whether jobs wait for a slot."""
        return len(self._waiting) > 0

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
        free_slots = self._free_slots(now_s)
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

    def _free_slots(self, now_s: float) -> free_slots_module.FreeSlots:
        return free_slots_module.FreeSlots(
            self._context, self._policies, self._roster, self.backlog, now_s
        )

    def wait_state(self, job: messages.Job, now_s: float) -> messages.WaitState:
        """Returns the state in which a job waits."""
        causes: abc.Mapping[messages.WaitCause, int] = {}
        jobs_ahead = 0
        if self.awaits_remote_placement(job.request_id):
            stage = messages.WaitStage.PLACER
        elif self._waiting.is_delayed(job.request_id):
            stage = messages.WaitStage.RETRY_DELAY
        else:
            stage = messages.WaitStage.QUEUE
            causes = self._free_slots(now_s).wait_causes(job)
            jobs_ahead = self._policies.queue.jobs_ahead(job)
        return messages.WaitState(stage, causes, jobs_ahead, len(self._waiting))

    def _give_up(self, now_s: float) -> typing.Iterator[messages.Refusal]:
        admission = self._policies.admission
        for job in self._waiting.due_checks(now_s):
            backlog = self.backlog(job, now_s)
            reason = self._give_up_reason(job, backlog, now_s)
            if reason is None:
                next_check_s = admission.next_check_s(job, backlog, now_s)
                self._waiting.schedule_check(
                    job, max(next_check_s, now_s + MIN_CHECK_INTERVAL_S)
                )
                continue
            wait = self.wait_state(job, now_s)
            self._policies.queue.remove(job.request_id)
            self._prefill.remove(job.request_id, placed=False)
            self._waiting.leave(job)
            refusal = self._refusal(
                job,
                errors.ErrorKind.QUEUE_TIMEOUT,
                errors.RefusalCheck.WAITING,
                reason,
                backlog,
                now_s,
            )
            yield dataclasses.replace(refusal, wait=wait)

    def _give_up_reason(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why a waiting job is given up, or None if it may wait."""
        reason = self._policies.admission.give_up(job, backlog, now_s)
        if reason is None and (
            backlog.pause_wait_s > 0.0 or math.isinf(backlog.limit_wait_s)
        ):
            reason = arrivals.blocked_reason(job, backlog)
        if reason is not None:
            return reason
        refusal = self._check_endpoint(job)
        return None if refusal is None else refusal.detail

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
                    self._roster.with_required_software(job, capacity.local),
                    now_s,
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
