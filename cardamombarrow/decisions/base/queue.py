"""The base class of queues."""

import abc
from collections import abc as collections_abc

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import free_slots as free_slots_module
from cardamombarrow.decisions.base import policy
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.kernel import ids

__all__ = ["Queue"]


class Queue(policy.Policy):
    """Selects the job to serve next."""

    @abc.abstractmethod
    def push(self, job: messages.Job, now_s: float) -> None:
        """Adds a job."""

    @abc.abstractmethod
    def remove(self, request_id: ids.RequestId) -> messages.Job | None:
        """Removes a job without serving it."""

    @abc.abstractmethod
    def take(
        self, free_slots: free_slots_module.FreeSlots, now_s: float
    ) -> messages.Job | None:
        """Removes and returns the next job that has a free slot, or None."""

    @abc.abstractmethod
    def jobs(self) -> collections_abc.Iterable[messages.Job]:
        """Iterates over all queued jobs."""

    @abc.abstractmethod
    def jobs_ahead(self, job: messages.Job) -> int:
        """Counts queued jobs of the same service served before a job."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Counts all queued jobs."""

    def work_ahead_s(
        self, job: messages.Job, capacity: capacity_module.Capacity
    ) -> float:
        """Returns the slot-seconds of the queued jobs before a job."""
        return self.jobs_ahead(job) * capacity.mean_hold_s()

    def tier_waiting(self, job: messages.Job) -> int:
        """Counts the other queued jobs of a job's tier and service."""
        return self.jobs_ahead(job)

    def lower_waiting(self, job: messages.Job) -> int:
        """Counts the queued jobs of lower tiers than a job's."""
        return 0

    def share_ahead(self, job: messages.Job, is_late: bool) -> float:
        """Returns the share of the jobs of a job's tier that precede it.

        Args:
            job: The job, which need not be queued.
            is_late: Whether it can no longer meet its target.
        """
        return 1.0

    def oldest_wait_s(self, job: messages.Job, now_s: float) -> float:
        """Returns how long the next job of the same tier has waited."""
        return 0.0

    def waiting_ranks(
        self, service: ids.ServiceId
    ) -> collections_abc.Iterable[int]:
        """Returns the ranks with queued jobs, if the queue has tiers."""
        return ()

    def head_jobs(
        self, service: ids.ServiceId
    ) -> collections_abc.Iterable[messages.Job]:
        """Returns the first jobs of the highest waiting tier, in order.

        A queue without tiers returns none: nothing is preempted for its jobs.
        """
        return ()

    def evict(self, job: messages.Job) -> messages.Job | None:
        """Removes and returns a job of a lower tier to make space for a job."""
        return None

    def settle(self, job: messages.Job, tokens: int) -> None:
        """Accounts for the actual length of a served job."""
