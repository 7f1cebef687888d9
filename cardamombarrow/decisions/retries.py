"""Retries of failed jobs, and whether another instance may run them."""

from cardamombarrow.decisions import arrivals
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import remote_placements

__all__ = ["Retries"]


class Retries(remote_placements.RemotePlacements):
    """Decides whether and where a failed job runs again."""

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

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a running job could be moved to another endpoint."""
        others = [
            state
            for state in self._roster.capacities[job.service].local
            if state.endpoint not in job.tried
            and self._roster.may_run(job, state)
            and job.request_id not in state.running
            and self.rate_limit(state.endpoint) is None
            and self._context.restrictions.allows(state.endpoint, now_s)
        ]
        return bool(others) and self._policies.retry.may_redo(job, now_s)

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
