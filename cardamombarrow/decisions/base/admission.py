"""The base class of admission policies."""

import abc

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy

__all__ = ["Admission"]

UNBOUNDED = 1 << 30
"""Maximum number of waiting requests that stands for no bound."""


class Admission(policy.Policy):
    """Decides whether a job may wait or is refused."""

    @abc.abstractmethod
    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why an arriving job is refused, or None if it may wait."""

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Returns why a waiting job is given up, or None if it may wait."""
        return "deadline passed" if now_s >= job.deadline_s else None

    def next_check_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns when `give_up` has to be called next for a job."""
        return job.deadline_s

    def max_waiting(self) -> int:
        """Returns the maximum number of requests waiting in an instance."""
        return UNBOUNDED
