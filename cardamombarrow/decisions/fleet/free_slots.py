"""The slots that are free at one time, and which jobs may take them."""

import collections
from collections import abc

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import policies as policies_module
from cardamombarrow.decisions.fleet import roster
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.kernel import ids

__all__ = ["BacklogFunction", "FreeSlots"]

BacklogFunction = abc.Callable[[messages.Job, float], messages.Backlog]


class FreeSlots(base.FreeSlots):
    """The dispatcher's free slots at one time."""

    def __init__(
        self,
        context: context_module.PolicyContext,
        policies: policies_module.Policies,
        endpoints: roster.Roster,
        backlog: BacklogFunction,
        now_s: float,
    ):
        self._context = context
        self._policies = policies
        self._roster = endpoints
        self._backlog = backlog
        self._now_s = now_s
        self._last_job: messages.Job | None = None
        self._last_candidates: list[endpoint_module.EndpointState] = []

    def candidates(
        self, job: messages.Job
    ) -> list[endpoint_module.EndpointState]:
        """Returns the endpoints with a slot that the job may take."""
        self._last_candidates = self._find(job)
        self._last_job = job
        return self._last_candidates

    def last(self, job: messages.Job) -> list[endpoint_module.EndpointState]:
        """Returns the candidates of a job, cached if it was the last one."""
        return (
            self._last_candidates
            if self._last_job is job
            else self.candidates(job)
        )

    def is_late(self, job: messages.Job) -> bool:
        """Returns whether a job can no longer meet its target."""
        return self._roster.lateness.is_late(job, self._now_s)

    def orders_late_jobs(self, service: ids.ServiceId) -> bool:
        """Returns whether late jobs of a service go behind the others."""
        return self._roster.orders_late_jobs(service)

    def services(self) -> list[ids.ServiceId]:
        """Returns the services with changes."""
        return list(self._roster.changed)

    def capacity(self, service: ids.ServiceId) -> capacity_module.Capacity:
        """Returns this instance's slots of a service."""
        return self._roster.capacities[service]

    def _find(self, job: messages.Job) -> list[endpoint_module.EndpointState]:
        """Returns the endpoints with a slot that a job may take now.

        Endpoints of other domains are considered only if no local endpoint
        that the job has not failed on has a slot.
        """
        now_s = self._now_s
        capacity = self._roster.capacities[job.service]
        must_run_alone = self._policies.quarantine.must_run_alone(job, now_s)
        available = self._roster.available(
            self._roster.with_required_software(job, capacity.local), now_s
        )
        considered = self._policies.choice.prepare(job, available, now_s)
        local = [s for s in considered if self._accepts(job, s, must_run_alone)]
        untried = [s for s in local if s.endpoint not in job.tried]
        if untried or not capacity.remote:
            return untried or local
        ahead = self._backlog(job, now_s)
        remote = [
            state
            for state in self._roster.available(
                self._roster.with_required_software(job, capacity.remote), now_s
            )
            if self._accepts(job, state, must_run_alone)
            and self._policies.spill.allow(job, state, ahead, now_s)
        ]
        return (
            [s for s in remote if s.endpoint not in job.tried]
            or local
            or remote
        )

    def wait_causes(
        self, job: messages.Job
    ) -> abc.Mapping[messages.WaitCause, int]:
        """Counts the endpoints of a job by the cause for which it waits."""
        now_s = self._now_s
        capacity = self._roster.capacities.get(job.service)
        if capacity is None:
            return {}
        must_run_alone = self._policies.quarantine.must_run_alone(job, now_s)
        considered = self._policies.choice.prepare(
            job, self._roster.available(capacity.local, now_s), now_s
        )
        causes: collections.Counter[messages.WaitCause] = collections.Counter()
        for state in (*capacity.local, *capacity.remote):
            cause = messages.WaitCause.TURN
            if not job.may_run_on(state.software):
                cause = messages.WaitCause.SOFTWARE
            elif not self._roster.available([state], now_s):
                cause = messages.WaitCause.PAUSE
            elif state in capacity.remote and not self._policies.spill.allow(
                job, state, self._backlog(job, now_s), now_s
            ):
                cause = messages.WaitCause.OTHER_DOMAIN
            elif state in capacity.local and state not in considered:
                cause = messages.WaitCause.PREFILL
            else:
                cause = self._block(job, state, must_run_alone) or cause
            causes[cause] += 1
        return causes

    def _accepts(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        must_run_alone: bool,
    ) -> bool:
        return self._block(job, state, must_run_alone) is None

    def _block(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        must_run_alone: bool,
    ) -> messages.WaitCause | None:
        """Returns why an endpoint does not accept a job now, or None."""
        # Counting what a job can't preempt is only needed on a full endpoint.
        if state.share <= state.total_running and (
            state.share <= self._unavailable_slots(job, state)
        ):
            return messages.WaitCause.SLOT
        if not self._policies.choice.available(job, state, self._now_s):
            return (
                messages.WaitCause.PROBATION
                if self._policies.choice.is_on_probation(state)
                else messages.WaitCause.PREFILL
            )
        if not self._roster.rate_budget.may_send(state, self._now_s):
            return messages.WaitCause.RATE_LIMIT
        if not self._context.rejection_limits.has_room(state, self._now_s):
            return messages.WaitCause.REJECTION_LIMIT
        if self._has_companion(state, must_run_alone):
            return messages.WaitCause.RUNS_ALONE
        return None

    def _has_companion(
        self, state: endpoint_module.EndpointState, must_run_alone: bool
    ) -> bool:
        """Returns whether a job would run beside one, and may not."""
        running = state.running
        if must_run_alone:
            return bool(running)
        if len(running) != 1:
            return False
        only = next(iter(running.values())).job
        return self._policies.quarantine.must_run_alone(only, self._now_s)

    def _unavailable_slots(
        self, job: messages.Job, state: endpoint_module.EndpointState
    ) -> int:
        """Returns the number of slots that a job can't take.

        An engine preempts a less urgent request for a stream, so an urgent one
        need not wait until a long answer has ended. An instance that does not
        place for its whole domain knows only its own requests.
        """
        if self._policies.choice.engine_preempts and job.streams:
            document = self._context.document
            return state.count_not_preemptible(
                document.last_equal_rank(job.rank)
            )
        return state.total_running
