"""Prediction of the wait of a job from the work ahead and the slots.

Load pattern: tiers with very different answer lengths in one queue. A wait
predicted from the length of the queue alone would count fifty letters ahead of
a chat message that overtakes them all, and would assign to a letter the whole
capacity that chat is using.

The wait of a job is the work ahead of it divided by the slots available to its
tier: all slots, less those that higher tiers used recently, less those that
lower tiers with waiting jobs are owed, and never less than its own reserved
share. While every slot is taken, the mean time until the next one is free is
added, or the time between two slots of its own tier if that is longer.
"""

import math

from cardamombarrow.decisions import messages
from cardamombarrow.decisions import policies as policies_module
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Forecast"]

MIN_SLOTS = 0.05
"""Slots assumed for a tier without a reserved share."""


class _ReturningJobs:
    """Refused jobs of a tier that will return, less those served since."""

    def __init__(self):
        self.jobs = 0.0
        self.seen_s = 0.0
        self.drain_per_s = 0.0

    def update(self, now_s: float) -> float:
        """Returns the number of jobs that are still to return."""
        elapsed_s = max(now_s - self.seen_s, 0.0)
        self.seen_s = now_s
        self.jobs = max(self.jobs - elapsed_s * self.drain_per_s, 0.0)
        return self.jobs


class Forecast:
    """Predicts waits from the queue and the slots of one instance."""

    def __init__(self, policies: policies_module.Policies):
        self._policies = policies
        self._returning: dict[tuple[ids.ServiceId, int], _ReturningJobs] = {}

    def backlog(
        self,
        job: messages.Job,
        capacity: capacity_module.Capacity,
        limit_wait_s: float,
        pause_wait_s: float,
        now_s: float,
    ) -> messages.Backlog:
        """Returns the work ahead of a job.

        Args:
            job: The job.
            capacity: This instance's slots of its service.
            limit_wait_s: Delay of the job by rate limits of endpoints.
            pause_wait_s: Delay of the job by pauses of endpoints.
            now_s: The time.
        """
        queue = self._policies.queue
        slots = self._usable_slots(job, capacity, now_s)
        hold_s = capacity.hold_s(job.class_id)
        jobs_ahead = queue.jobs_ahead(job)
        wait_s = self._wait_s(job, capacity, jobs_ahead, slots)
        returning_jobs = self._returning_jobs(job, capacity, slots, now_s)
        return messages.Backlog(
            jobs_ahead=jobs_ahead,
            slots=capacity.slots,
            service_s=hold_s,
            predicted_wait_s=max(wait_s, limit_wait_s, pause_wait_s),
            limit_wait_s=limit_wait_s,
            pause_wait_s=pause_wait_s,
            first_token_s=capacity.first_token_s,
            tier_waiting=queue.tier_waiting(job),
            oldest_wait_s=queue.oldest_wait_s(job, now_s),
            returning_s=returning_jobs * hold_s / slots,
            lower_over_reserve=self._lower_over_reserve(job, capacity),
        )

    def _wait_s(
        self,
        job: messages.Job,
        capacity: capacity_module.Capacity,
        jobs_ahead: int,
        slots: float,
    ) -> float:
        """Returns the wait that follows from the queue and the slots."""
        free = capacity.free()
        wait_s = 0.0
        if jobs_ahead >= free:
            wait_s = self._policies.queue.work_ahead_s(job, capacity) / slots
        if not free:
            next_s = capacity.mean_hold_s() / max(capacity.slots, 1)
            wait_s += max(next_s, capacity.hold_s(job.class_id) / slots)
        return wait_s

    def _returning_jobs(
        self,
        job: messages.Job,
        capacity: capacity_module.Capacity,
        slots: float,
        now_s: float,
    ) -> float:
        """Returns the number of refused jobs of a job's tier to return."""
        returning = self._returning.setdefault(
            (job.service, job.rank), _ReturningJobs()
        )
        jobs = returning.update(now_s)
        # While the tier's slots are full no returning job is served: counting
        # them as served would make the next retry-after times too short.
        spare = max(slots - capacity.mean_use_of(job.rank, now_s), 0.0)
        hold_s = capacity.hold_s(job.class_id)
        returning.drain_per_s = spare / max(hold_s, 1e-3)
        return jobs

    def record_refusal(self, job: messages.Job, now_s: float) -> None:
        """Records a refused job, which is expected to return."""
        returning = self._returning.setdefault(
            (job.service, job.rank), _ReturningJobs()
        )
        returning.update(now_s)
        returning.jobs += 1.0

    def _tiers(self) -> list[schema.Tier]:
        return list(self._policies.queue.document.tiers.values())

    def _usable_slots(
        self,
        job: messages.Job,
        capacity: capacity_module.Capacity,
        now_s: float,
    ) -> float:
        slots = float(max(capacity.slots, 1))
        waiting = self._policies.queue.waiting_ranks(job.service)
        lower = 0.0
        own = MIN_SLOTS
        for tier in self._tiers():
            reserved = capacity.reserved_slots(tier)
            if tier.rank == job.rank:
                own = max(own, reserved)
            elif tier.rank > job.rank and tier.rank in waiting:
                lower += reserved
        available = slots - lower - capacity.mean_use_above(job.rank, now_s)
        return max(own, available)

    def _lower_over_reserve(
        self, job: messages.Job, capacity: capacity_module.Capacity
    ) -> bool:
        return any(
            capacity.held[tier.rank] > math.ceil(capacity.reserved_slots(tier))
            for tier in self._tiers()
            if tier.rank > job.rank
        )
