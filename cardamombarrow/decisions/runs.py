"""The requests that run on endpoints, as far as this instance knows.

Each run holds a slot from its placement until `Runs.finish`. First tokens and
ends are passed on to the policies here.
"""

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import dispatcher_state
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import start_times
from cardamombarrow.kernel import ids

__all__ = ["Runs"]


class Runs(dispatcher_state.DispatcherState):
    """The requests on endpoints.

    Attributes:
        wasted_tokens: Relayed tokens of runs that did not complete.
    """

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        super().__init__(context, now_s)
        self._running: dict[ids.RequestId, messages.Running] = {}
        self._start_times = start_times.StartTimes()
        self.wasted_tokens = 0

    def runs(self) -> list[messages.Running]:
        """Returns the jobs that run on endpoints."""
        return list(self._running.values())

    def _run(
        self,
        job: messages.Job,
        state: endpoint_module.EndpointState,
        placed_s: float,
    ) -> messages.Running:
        job.attempts += 1
        job.first_token_s = None
        self._policies.retry.on_place(job, placed_s)
        running = messages.Running(job, state.endpoint, placed_s)
        self._start_times.record(self._context.document, job, placed_s)
        state.add(running)
        self._running[job.request_id] = running
        self._roster.capacities[state.service].placed(job, placed_s)
        if state.domain != self._context.domain:
            self._policies.spill.on_place(job, state, placed_s)
        return running

    def less_urgent_start_age_s(
        self, service: ids.ServiceId, class_id: ids.ClassId, now_s: float
    ) -> float | None:
        """Returns the time since a less urgent request was last placed.

        Returns:
            Seconds; None if none was placed, or the class is unknown.
        """
        return self._start_times.less_urgent_age_s(
            self._context.document, service, class_id, now_s
        )

    def add_remote_run(
        self,
        job: messages.Job,
        endpoint: ids.EndpointId,
        placed_s: float,
        has_first_token: bool,
        now_s: float,
    ) -> bool:
        """Records a request that another instance has placed.

        Returns:
            False if the endpoint is unknown or the request is already
            recorded.
        """
        state = self._roster.endpoints.get(endpoint)
        if state is None or job.request_id in self._running:
            return False
        self._waiting.enter(job)
        self._roster.rate_budget.spend(state, now_s)
        self._policies.choice.on_remote_placement(job, state, now_s)
        running = self._run(job, state, placed_s)
        if has_first_token:
            state.set_first_token(running, now_s)
        return True

    def first_token(self, request_id: ids.RequestId, now_s: float) -> None:
        """Records the first token of a running job."""
        running = self._running.get(request_id)
        if running is None or running.first_token_s is not None:
            return
        self._roster.changed.add(running.job.service)
        state = self._roster.endpoints[running.endpoint]
        state.set_first_token(running, now_s)
        running.job.first_token_s = now_s
        capacity = self._roster.capacities[state.service]
        capacity.first_token(now_s - running.placed_s)
        self._policies.limits.on_first_token(state, running, now_s)
        self._policies.choice.on_first_token(state, running, now_s)
        self._policies.quarantine.on_first_token(running.job, now_s)

    def progress(self, request_id: ids.RequestId, tokens: int) -> None:
        """Records how many tokens of a running job were relayed so far."""
        running = self._running.get(request_id)
        if running is not None:
            running.tokens = tokens

    def finish(
        self,
        request_id: ids.RequestId,
        outcome: messages.Outcome,
        now_s: float,
    ) -> int:
        """Releases the slot of a running job and notifies the policies.

        Returns:
            The tokens of the run.
        """
        running = self._running.pop(request_id)
        job = running.job
        done = outcome is messages.Outcome.DONE
        state = self._roster.endpoints[running.endpoint]
        state.remove(request_id)
        self._roster.capacities[job.service].ended(running, done, now_s)
        self._waiting.leave(job)
        self._roster.changed.add(job.service)
        self._policies.limits.on_finish(state, running, outcome, now_s)
        self._policies.choice.on_finish(state, running, outcome, now_s)
        self._policies.retry.on_finish(job, outcome)
        self._policies.quarantine.on_finish(job, outcome, now_s)
        self._policies.preemption.on_finish(running, outcome)
        if running.tokens:
            self._policies.queue.settle(job, running.tokens)
        if done:
            self._policies.estimate.learn(job, running.tokens)
            return running.tokens
        self.wasted_tokens += running.tokens
        if not outcome.says_nothing:
            job.tried = (*job.tried, running.endpoint)
        if outcome is messages.Outcome.WITHHELD:
            job.attempts -= 1
        job.received = job.received or not outcome.not_received
        job.may_have_run = job.may_have_run or not outcome.not_run
        job.runs += not outcome.not_run
        return running.tokens

    def crashed(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Handles the crash of an endpoint that ran these jobs."""
        self._policies.quarantine.on_crash(endpoint, suspects, now_s)
