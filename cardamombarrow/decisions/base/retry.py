"""The base class of retry policies."""

import abc

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["Retry"]


class Retry(policy.Policy):
    """Decides on retries, and when refused callers should come back."""

    @abc.abstractmethod
    def may_retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
    ) -> bool:
        """Returns whether a request that failed undelivered is retried."""

    @abc.abstractmethod
    def retry_after_s(self, backlog: messages.Backlog) -> float:
        """Returns when a refused caller should come back."""

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns the delay before a retry."""
        return 0.0

    def on_finish(self, job: messages.Job, outcome: messages.Outcome) -> None:
        """Handles the end of a request."""

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a run that is cancelled now could be retried."""
        return False

    def on_place(self, job: messages.Job, now_s: float) -> None:
        """Handles the placement of a request."""

    def reserve(self, job: messages.Job, now_s: float) -> bool:
        """Takes the retry of a run that is to be preempted, if there is one."""
        return True

    def use(self, job: messages.Job, now_s: float) -> messages.RetryUse | None:
        """Returns what is used of the bound on retries of a job's service."""
        return None

    def on_arrival(self, job: messages.Job, now_s: float) -> None:
        """Handles the arrival of a request."""
