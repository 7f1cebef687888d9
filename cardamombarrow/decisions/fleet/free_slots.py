"""The slots that are free at one time, and which jobs may take them."""

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

    def _accepts(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        must_run_alone: bool,
    ) -> bool:
        now_s = self._now_s
        running = state.running
        # Counting what a job can't preempt is only needed on a full endpoint.
        if state.share <= state.total_running and (
            state.share <= self._unavailable_slots(job, state)
        ):
            return False
        if not (
            self._policies.choice.available(job, state, now_s)
            and self._roster.rate_budget.may_send(state, now_s)
            and self._context.rejection_limits.has_room(state, now_s)
        ):
            return False
        if must_run_alone:
            return not running
        if len(running) != 1:
            return True
        only = next(iter(running.values())).job
        return not self._policies.quarantine.must_run_alone(only, now_s)

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
