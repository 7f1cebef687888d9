"""Queue with strict priority by tier, and a reserved share for each tier.

Load pattern: a burst of one tier. In order of arrival, a burst of long letters
is served before every later chat message; with strict priority alone, a burst
of chat keeps letters from running for as long as it lasts.

A higher tier always goes first, except that each lower tier with waiting jobs
is owed its `reserved_share` of the slots. Eight slots at a share of 0.1 are
0.8 of a slot, so the fraction is carried over: while higher tiers wait, the
credit of a lower tier grows by its reserved slot-seconds and shrinks by those
it uses. With credit above zero it gets the next free slot, one whole slot at a
time. Time rather than tokens is counted, because the length of an answer is
not known when it starts and tiers compete for slots.

Slots that a lower tier took while no higher tier waited are not charged beyond
its reserved ones; otherwise it would be in debt for minutes at the start of a
burst of a higher tier, and would starve. `preemption` frees such slots early.

A lower tier also leaves a few slots free if higher tiers have used slots
recently: with all slots taken by long answers, an urgent request would have to
wait until one of them ends, or have one preempted.

Without `HEADROOM_SHARE` the highest tier finds no free slot in a burst and
requests of others are preempted for it; with a larger share slots stay idle. It
is rounded down, so that an instance with fewer than ten slots reserves none.
Credit and debt are bounded to `CREDIT_S` and `DEBT_S` seconds of the reserved
slots: more credit would allow a burst of the low tier just when the high one
needs its slots; debt above a minute would leave windows in which the tier
completes nothing.
"""

import collections
from collections import abc
import math

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.decisions.queueing import fairness
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["TieredQueue"]

CREDIT_S = 10.0
DEBT_S = 60.0
HEADROOM_SHARE = 0.1
"""Maximum slots left free for higher tiers, as a share of all slots."""

HEADROOM_USE = 0.1
"""Mean recent slots of higher tiers above which slots are left free."""

MAX_HEAD_JOBS = 8
"""Maximum number of waiting jobs considered for preemption."""

MAX_SKIPPED = 4
"""Maximum jobs of a tier that are skipped because no free slot fits."""


class _ServiceQueue:
    """The queued jobs of one service."""

    def __init__(self, now_s: float):
        self.tiers: dict[int, fairness.FairQueue] = {}
        self.counts: dict[int, collections.Counter[ids.ClassId]] = {}
        self._credit_s: collections.Counter[int] = collections.Counter()
        self._held: dict[int, int] = {}
        self._contended: tuple[int, ...] = ()
        self._seen_s = now_s

    def tier(self, rank: int) -> fairness.FairQueue:
        """Returns the queue of a tier, creating it if needed."""
        if rank not in self.tiers:
            self.tiers[rank] = fairness.FairQueue()
            self.tiers = dict(sorted(self.tiers.items()))
            self.counts[rank] = collections.Counter()
            self.counts = dict(sorted(self.counts.items()))
        return self.tiers[rank]

    def waiting(self) -> list[int]:
        """Returns the ranks with jobs, the highest tier first."""
        return [rank for rank, tier in self.tiers.items() if tier.entries]

    def take(
        self,
        free_slots: base.FreeSlots,
        capacity: capacity_module.Capacity,
        shares: dict[int, float],
        now_s: float,
    ) -> messages.Job | None:
        """Removes and returns the next job that has a free slot, or None."""
        waiting = self.waiting()
        if not waiting and not self._contended:
            self._seen_s = now_s
            return None
        slots = capacity.reservable_slots
        reserved = {rank: share * slots for rank, share in shares.items()}
        self._accrue_credits(reserved, now_s)
        orders_late = free_slots.orders_late_jobs(capacity.service)
        for rank in waiting:
            self.tiers[rank].set_lateness(
                free_slots.is_late if orders_late else None
            )
        taken = self._take_by_priority(
            waiting, free_slots, capacity, reserved, now_s
        )
        for rank in waiting:
            # The time of these slots has passed for any later call.
            self.tiers[rank].set_lateness(None)
        self._save_contention(capacity.held, taken)
        return taken

    def _take_by_priority(
        self,
        waiting: list[int],
        free_slots: base.FreeSlots,
        capacity: capacity_module.Capacity,
        reserved: dict[int, float],
        now_s: float,
    ) -> messages.Job | None:
        owed = self._owed_tiers(waiting, reserved, capacity.held)
        for rank in [*owed, *(r for r in waiting if r not in owed)]:
            if rank not in owed and _is_headroom(capacity, rank, now_s):
                break
            job = self._take_from(rank, free_slots, capacity)
            if job is not None:
                return job
        return None

    def _take_from(
        self,
        rank: int,
        free_slots: base.FreeSlots,
        capacity: capacity_module.Capacity,
    ) -> messages.Job | None:
        tier = self.tiers[rank]
        job = tier.peek()
        if job is None:
            return None
        if free_slots.candidates(job):
            return self._pop(tier)
        if not capacity.has_free():
            return None
        tier.skip_turn()
        return self._take_past_blocked(tier, free_slots)

    def _take_past_blocked(
        self, tier: fairness.FairQueue, free_slots: base.FreeSlots
    ) -> messages.Job | None:
        """Returns the first job behind those that fit no free slot, or None.

        A job that may only run alone waits for an empty endpoint. Without
        this all jobs behind it would wait although slots are free.
        """
        skipped = []
        found = None
        while len(skipped) < MAX_SKIPPED and len(tier):
            job = tier.peek()
            if job is None:
                break
            if free_slots.candidates(job):
                found = self._pop(tier)
                break
            skipped.append(tier.hide())
        for entry in skipped:
            if entry is not None:
                tier.restore(entry)
        return found

    def _pop(self, tier: fairness.FairQueue) -> messages.Job:
        job = tier.pop()
        assert job is not None
        self.counts[job.rank][job.class_id] -= 1
        return job

    # -- reserved shares ---------------------------------------------------

    def _owed_tiers(
        self,
        waiting: list[int],
        reserved: dict[int, float],
        held: abc.Mapping[int, int],
    ) -> list[int]:
        """Returns the lower tiers that are owed a slot, most credit first."""
        lower = waiting[1:]
        allowed = math.ceil(sum(reserved.get(rank, 0.0) for rank in lower))
        if sum(held.get(rank, 0) for rank in lower) >= allowed:
            return []
        owed = [
            rank
            for rank in lower
            if self._credit_s[rank] > 0.0
            and held.get(rank, 0) < math.ceil(reserved.get(rank, 0.0))
        ]
        return sorted(owed, key=lambda rank: -self._credit_s[rank])

    def _save_contention(
        self, held: abc.Mapping[int, int], taken: messages.Job | None
    ) -> None:
        """Saves the state from which credits accrue until the next call."""
        self._contended = tuple(self.waiting()[1:])
        self._held = {rank: held.get(rank, 0) for rank in self._contended}
        if taken is not None and taken.rank in self._held:
            self._held[taken.rank] += 1

    def _accrue_credits(self, reserved: dict[int, float], now_s: float) -> None:
        """Accrues credits over the time since the last call."""
        elapsed_s = now_s - self._seen_s
        self._seen_s = now_s
        for rank in self._contended:
            slots = reserved.get(rank, 0.0)
            used = min(self._held.get(rank, 0), math.ceil(slots))
            credit_s = self._credit_s[rank] + (slots - used) * elapsed_s
            credit_s = min(credit_s, slots * CREDIT_S)
            self._credit_s[rank] = max(credit_s, -slots * DEBT_S)


def _is_headroom(
    capacity: capacity_module.Capacity, rank: int, now_s: float
) -> bool:
    """Returns whether the free slots are reserved for higher tiers."""
    headroom = math.floor(capacity.slots * HEADROOM_SHARE)
    if not headroom or capacity.mean_use_above(rank, now_s) < HEADROOM_USE:
        return False
    return capacity.free() <= headroom


@registry.plugin("queue", "tiered")
class TieredQueue(base.Queue):
    """Strict priority by tier with reserved shares; fair within a tier."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._services: dict[ids.ServiceId, _ServiceQueue] = {}
        self._jobs: dict[ids.RequestId, messages.Job] = {}
        self._shares = self._read_shares(context.document)

    def configure(self, document: schema.Document) -> None:
        """Applies the shares and weights of a newer document."""
        super().configure(document)
        self._shares = self._read_shares(document)

    @staticmethod
    def _read_shares(document: schema.Document) -> dict[int, float]:
        return {
            tier.rank: tier.reserved_share for tier in document.tiers.values()
        }

    def push(self, job: messages.Job, now_s: float) -> None:
        """Adds a job."""
        queue = self._services.get(job.service)
        if queue is None:
            queue = self._services[job.service] = _ServiceQueue(now_s)
        workspace = self.document.workspaces.get(job.workspace)
        weight = workspace.weight if workspace else 1.0
        queue.tier(job.rank).push(job, weight)
        queue.counts[job.rank][job.class_id] += 1
        self._jobs[job.request_id] = job

    def remove(self, request_id: ids.RequestId) -> messages.Job | None:
        """Removes a job without serving it."""
        job = self._jobs.pop(request_id, None)
        if job is not None:
            queue = self._services[job.service]
            queue.tiers[job.rank].remove(request_id)
            queue.counts[job.rank][job.class_id] -= 1
        return job

    def take(
        self, free_slots: base.FreeSlots, now_s: float
    ) -> messages.Job | None:
        """Removes the next job; considers only services with changes."""
        services = free_slots.services()
        for service in self._services if services is None else services:
            queue = self._services.get(service)
            if queue is None:
                continue
            capacity = free_slots.capacity(service)
            job = queue.take(free_slots, capacity, self._shares, now_s)
            if job is not None:
                del self._jobs[job.request_id]
                return job
        return None

    def jobs(self) -> abc.Iterable[messages.Job]:
        """Iterates in order of arrival."""
        return self._jobs.values()

    def jobs_ahead(self, job: messages.Job) -> int:
        """Counts higher tiers' jobs and those before it in its own."""
        queue = self._services.get(job.service)
        if queue is None:
            return 0
        ahead = sum(
            len(tier) for rank, tier in queue.tiers.items() if rank < job.rank
        )
        tier = queue.tiers.get(job.rank)
        return ahead + (tier.position(job) if tier else 0)

    def work_ahead_s(
        self, job: messages.Job, capacity: capacity_module.Capacity
    ) -> float:
        """Returns the slot-seconds of higher tiers and of earlier jobs."""
        queue = self._services.get(job.service)
        if queue is None:
            return 0.0
        ahead_s = 0.0
        for rank, counts in queue.counts.items():
            if rank > job.rank:
                break
            tier_s = sum(
                count * capacity.hold_s(class_id)
                for class_id, count in counts.items()
            )
            if rank == job.rank:
                tier = queue.tiers[rank]
                tier_s *= tier.position(job) / max(len(tier), 1)
            ahead_s += tier_s
        return ahead_s

    def tier_waiting(self, job: messages.Job) -> int:
        """Counts the other queued jobs of a job's tier and service."""
        queue = self._services.get(job.service)
        tier = queue.tiers.get(job.rank) if queue else None
        return len(tier) - (job.request_id in tier) if tier else 0

    def lower_waiting(self, job: messages.Job) -> int:
        """Counts the queued jobs of lower tiers than a job's."""
        queue = self._services.get(job.service)
        if queue is None:
            return 0
        return sum(
            len(tier) for rank, tier in queue.tiers.items() if rank > job.rank
        )

    def share_ahead(self, job: messages.Job, is_late: bool) -> float:
        """Returns the share of the jobs of a job's tier that precede it."""
        queue = self._services.get(job.service)
        tier = queue.tiers.get(job.rank) if queue else None
        return tier.share_ahead(job, is_late) if tier else 0.0

    def oldest_wait_s(self, job: messages.Job, now_s: float) -> float:
        """Returns how long the next job of the same tier has waited."""
        queue = self._services.get(job.service)
        tier = queue.tiers.get(job.rank) if queue else None
        head = tier.peek() if tier else None
        return now_s - head.arrived_s if head else 0.0

    def waiting_ranks(self, service: ids.ServiceId) -> abc.Iterable[int]:
        """Returns the ranks with queued jobs."""
        queue = self._services.get(service)
        return queue.waiting() if queue else ()

    def head_jobs(self, service: ids.ServiceId) -> abc.Iterable[messages.Job]:
        """Returns the first jobs of the highest waiting tier."""
        queue = self._services.get(service)
        waiting = queue.waiting() if queue else []
        if not waiting:
            return ()
        return queue.tiers[waiting[0]].heads(MAX_HEAD_JOBS)

    def evict(self, job: messages.Job) -> messages.Job | None:
        """Removes the last job of the largest workspace of the lowest tier."""
        lowest = None
        for queue in self._services.values():
            ranks = queue.waiting()
            if ranks and ranks[-1] > max(job.rank, lowest or -1):
                lowest, found = ranks[-1], queue
        if lowest is None:
            return None
        last = found.tiers[lowest].longest()
        return self.remove(last.request_id) if last else None

    def settle(self, job: messages.Job, tokens: int) -> None:
        """Charges a workspace for the error of the length estimate."""
        queue = self._services.get(job.service)
        if queue is not None and job.rank in queue.tiers:
            queue.tiers[job.rank].settle(job, tokens)

    def __len__(self) -> int:
        """Counts the queued jobs."""
        return len(self._jobs)
