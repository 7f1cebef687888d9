"""Arriving jobs: what is refused at once, and what waits.

A job passes quarantine -> admission -> queue. `Arrivals.backlog` is the work
ahead of a job, from which admission predicts its wait.
"""

from collections import abc
import dataclasses
import math

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import runs
from cardamombarrow.decisions.queueing import forecast
from cardamombarrow.decisions.queueing import prefill_forecast
from cardamombarrow.kernel import errors

__all__ = ["DEFAULT_RETRY_AFTER_S", "Arrivals", "blocked_reason"]

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-after of refusals that are not due to load."""


class Arrivals(runs.Runs):
    """Admits jobs to the queue, or refuses them."""

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        super().__init__(context, now_s)
        self._forecast = forecast.Forecast(self._policies)
        self._prefill = prefill_forecast.PrefillForecast(
            self._roster.prefill_tokens_per_s,
            self._share_ahead,
        )
        self._pending_refusals: list[messages.Refusal] = []

    def offer(self, job: messages.Job, now_s: float) -> messages.Refusal | None:
        """Queues an arriving job, or refuses it at once."""
        refusal = self._receive(job, now_s)
        if refusal is None:
            backlog = self.backlog(job, now_s)
            refusal = self._refuse(job, backlog, now_s)
        if refusal is None:
            self._waiting.enter(job)
            self._enqueue(job, backlog, now_s)
        return refusal

    def _receive(
        self, job: messages.Job, now_s: float
    ) -> messages.Refusal | None:
        """Records an arriving job; refuses one that must not run at all."""
        job.expected_tokens = self._policies.estimate.expected_tokens(job)
        self._policies.retry.on_arrival(job, now_s)
        refusal = self._check_endpoint(job)
        if refusal is not None:
            return refusal
        refusal = self._check_quarantine(job, now_s)
        return refusal or self._check_workspace_limit(job)

    def _check_quarantine(
        self, job: messages.Job, now_s: float
    ) -> messages.Refusal | None:
        reason = self._policies.quarantine.refuse(job, now_s)
        if reason is None:
            return None
        return messages.Refusal(
            job.request_id,
            errors.ErrorKind.QUARANTINED,
            reason,
            self._policies.quarantine.retry_after_s(job, now_s),
            check=errors.RefusalCheck.QUARANTINE,
        )

    def _check_endpoint(self, job: messages.Job) -> messages.Refusal | None:
        capacity = self._roster.capacities.get(job.service)
        groups = () if capacity is None else (capacity.local, capacity.remote)
        if any(
            self._roster.may_run(job, state)
            for group in groups
            for state in group
        ):
            return None
        reason = f"no endpoint serves {job.service}"
        if any(groups):
            reason = f"{reason} with software {job.required_software!r}"
        return messages.Refusal(
            job.request_id,
            errors.ErrorKind.NO_ENDPOINT,
            reason,
            DEFAULT_RETRY_AFTER_S,
            check=errors.RefusalCheck.ENDPOINTS,
        )

    def _check_workspace_limit(
        self, job: messages.Job
    ) -> messages.Refusal | None:
        if self._context.whole_domain:
            # The limit is per instance; the sending one has checked it.
            return None
        workspace = self._context.document.workspaces.get(job.workspace)
        most = workspace.max_in_flight if workspace else 0
        if not most or self._waiting.in_flight[job.workspace] < most:
            return None
        return messages.Refusal(
            job.request_id,
            errors.ErrorKind.WORKSPACE_LIMIT,
            f"workspace {job.workspace} is at its limit of "
            f"{most} concurrent requests",
            DEFAULT_RETRY_AFTER_S,
            check=errors.RefusalCheck.WORKSPACE_LIMIT,
        )

    def _refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> messages.Refusal | None:
        check = errors.RefusalCheck.ENDPOINT_PAUSES
        reason = blocked_reason(job, backlog)
        if reason is None:
            check = errors.RefusalCheck.ADMISSION
            reason = self._policies.admission.refuse(job, backlog, now_s)
        bound = self._policies.admission.max_waiting()
        if reason is None and len(self._waiting) >= bound:
            check = errors.RefusalCheck.QUEUE_LENGTH
            reason = self._make_room(job, now_s)
        if reason is None:
            return None
        kind = errors.ErrorKind.OVERLOADED
        return self._refusal(job, kind, check, reason, backlog, now_s)

    def _make_room(self, job: messages.Job, now_s: float) -> str | None:
        """Evicts a waiting job of a lower tier, or returns why it cannot.

        Each waiting request holds a thread of the entry. Without the bound a
        burst would take all threads, and a request of a higher tier would not
        even be read; without the eviction the bound itself would refuse that
        request in favour of a lower tier.
        """
        evicted = self._policies.queue.evict(job)
        if evicted is None:
            return f"{len(self._waiting)} requests are already waiting"
        self._prefill.remove(evicted.request_id, placed=False)
        self._waiting.leave(evicted)
        self._pending_refusals.append(
            self._refusal(
                evicted,
                errors.ErrorKind.OVERLOADED,
                errors.RefusalCheck.EVICTION,
                f"evicted from the queue by a request of tier rank {job.rank}",
                self.backlog(evicted, now_s),
                now_s,
            )
        )
        return None

    def _enqueue(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> None:
        self._policies.queue.push(job, now_s)
        if self._context.overload.orders_by_prefill:
            uncached = self._policies.choice.uncached_tokens(job, now_s)
            self._prefill.add(job, uncached)
        self._waiting.add_queued(job)
        self._roster.changed.add(job.service)
        next_check_s = self._policies.admission.next_check_s(
            job, backlog, now_s
        )
        self._waiting.schedule_check(job, next_check_s)
        preemption_check_s = self._policies.preemption.preemption_check_s(job)
        if preemption_check_s is not None:
            self._waiting.schedule_service_check(job, preemption_check_s)
        recheck_after_s = self._policies.choice.recheck_after_s(job)
        if recheck_after_s is not None:
            self._waiting.schedule_service_check(job, now_s + recheck_after_s)

    def _refusal(
        self,
        job: messages.Job,
        kind: errors.ErrorKind,
        check: errors.RefusalCheck,
        reason: str,
        backlog: messages.Backlog,
        now_s: float,
    ) -> messages.Refusal:
        retry_after_s = self._policies.retry.retry_after_s(backlog)
        self._forecast.record_refusal(job, now_s)
        return messages.Refusal(
            job.request_id,
            kind,
            reason,
            retry_after_s,
            self._count_less_urgent(job),
            check,
            self.less_urgent_start_age_s(job.service, job.class_id, now_s),
        )

    def _count_less_urgent(self, job: messages.Job) -> int:
        """Counts the running jobs of a job's service of lower tiers."""
        document = self._context.document
        if job.class_id not in document.classes:
            return 0
        rank = document.tier_of(job.class_id).rank
        held = self._roster.capacities[job.service].held_by_class
        return sum(
            count
            for class_id, count in held.items()
            if class_id in document.classes
            and document.tier_of(class_id).rank > rank
        )

    def backlog(self, job: messages.Job, now_s: float) -> messages.Backlog:
        """Returns the work ahead of a job in its own domain."""
        ahead = self._policies.queue.jobs_ahead(job)
        reachable = self._roster.reachable(job.service)
        available = self._roster.available(reachable, now_s)
        backlog = self._forecast.backlog(
            job,
            self._roster.capacities[job.service],
            self._roster.rate_budget.wait_s(available, ahead, now_s),
            self._roster.pause_wait_s(reachable, now_s),
            now_s,
        )
        probe_wait_s = self._probe_wait_s(job, available, now_s)
        if probe_wait_s:
            backlog = dataclasses.replace(backlog, probe_wait_s=probe_wait_s)
        if not job.prompt_tokens:
            # Slots limit calls without a prompt, as without the controls.
            return backlog
        if not self._context.overload.orders_by_prefill:
            return backlog
        return self._with_prefill(job, backlog, now_s)

    def _probe_wait_s(
        self,
        job: messages.Job,
        states: abc.Iterable[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the time until an endpoint may get a job as a probe.

        It is 0 if one may get it in any case, or none serves it.
        """
        wait_s = math.inf
        for state in states:
            if job.may_run_on(state.software):
                wait_s = min(
                    wait_s,
                    self._policies.choice.probe_wait_s(job, state, now_s),
                )
                if not wait_s:
                    break
        return 0.0 if math.isinf(wait_s) else wait_s

    def _share_ahead(self, job: messages.Job, now_s: float) -> float:
        is_late = self._roster.lateness.is_late(job, now_s)
        return self._policies.queue.share_ahead(job, is_late)

    def _with_prefill(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> messages.Backlog:
        """Adds what the overload controls predict."""
        prefill_wait_s = self._prefill.wait_s(job, now_s)
        return dataclasses.replace(
            backlog,
            predicted_wait_s=max(backlog.predicted_wait_s, prefill_wait_s),
            prefill_wait_s=prefill_wait_s,
            lower_waiting=self._policies.queue.lower_waiting(job) > 1,
            is_late=self._roster.lateness.is_late(job, now_s),
        )


def blocked_reason(job: messages.Job, backlog: messages.Backlog) -> str | None:
    """Returns the reason if endpoints delay a job too long, or None."""
    if backlog.pause_wait_s > job.target_first_token_s:
        return (
            "all endpoints have asked for a pause of "
            f"{backlog.pause_wait_s:.2f} s more"
        )
    wait_s = backlog.limit_wait_s
    if wait_s <= job.target_first_token_s:
        return None
    if math.isinf(wait_s):
        return "the rate limits of all endpoints are used by another instance"
    return f"rate limits of all endpoints delay it by {wait_s:.2f} s"
