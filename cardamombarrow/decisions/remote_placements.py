"""Jobs that another instance places.

Where one instance places for the whole failure domain, a job waits there and
not here. It is placed locally if no answer arrives in time.
"""

from cardamombarrow.decisions import arrivals
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["RemotePlacements"]


class RemotePlacements(arrivals.Arrivals):
    """The jobs that await a placement by another instance."""

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        super().__init__(context, now_s)
        self._awaiting_remote: dict[ids.RequestId, messages.Job] = {}

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
        if not self._roster.may_run(self._awaiting_remote[request_id], state):
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

    def awaits_remote_placement(self, request_id: ids.RequestId) -> bool:
        """Returns whether a job awaits a remote placement."""
        return request_id in self._awaiting_remote
