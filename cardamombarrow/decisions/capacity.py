"""What one instance may use of one service, and who holds it.

Kept up to date by each placement and each end, so that no decision has to
look at every endpoint, every request that runs or every job that waits: with
58 endpoints and hundreds of requests that would cost more than the decision.
"""

import collections
import math

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Capacity", "reserved_slots"]

HOLD_WEIGHT = 0.05
"""Weight of one finished job in the mean time that its class holds a slot.

Twenty jobs: at a handful of requests a second the mean follows a change of
load within some seconds, and one long answer moves it by a twentieth.
"""

FIRST_TOKEN_WEIGHT = 0.1
"""Weight of one first token in the mean time to it."""

FIRST_TOKEN_GUESS_S = 0.2
"""Time to the first token before any was seen."""

TOKEN_GUESS_S = 0.026
"""Time per token before any answer was seen: the pace that is promised."""

USE_WINDOW_S = 5.0
"""Time constant of the mean number of slots that a tier holds."""


def reserved_slots(tier: schema.Tier, slots: int) -> float:
    """Returns a tier's reserved part of some slots; need not be whole."""
    return tier.reserved_share * slots


class Capacity:
    """Slots of one service.

    Attributes:
        local: Endpoints of the own domain that take work.
        remote: Endpoints of other domains that take work.
        slots: Slots of the local endpoints that this instance may use.
        held: Local and remote slots held by each tier's rank.
        preempting: Requests that were told to give way and still run.
    """

    def __init__(self, service: ids.ServiceId, now_s: float):
        self.service = service
        self.local: list[endpoint_module.EndpointState] = []
        self.remote: list[endpoint_module.EndpointState] = []
        self.slots = 0
        self.held: collections.Counter[int] = collections.Counter()
        self.preempting = 0
        self._hold_s: dict[ids.ClassId, float] = {}
        self._held_by_class: collections.Counter[ids.ClassId] = (
            collections.Counter()
        )
        self._guess_s: dict[ids.ClassId, float] = {}
        self._first_token_s = FIRST_TOKEN_GUESS_S
        self._use: dict[int, float] = {}
        self._use_at_s = now_s

    def set_endpoints(
        self,
        local: list[endpoint_module.EndpointState],
        remote: list[endpoint_module.EndpointState],
    ) -> None:
        """Replaces the endpoints that take work."""
        self.local = local
        self.remote = remote
        self.count()

    def count(self) -> None:
        """Adds up the slots again after a change of the shares."""
        self.slots = sum(state.share for state in self.local)

    def guess(self, classes: dict[ids.ClassId, schema.RequestClass]) -> None:
        """Takes the document's lengths for classes not seen so far."""
        self._guess_s = {
            name: item.expected_tokens * TOKEN_GUESS_S
            for name, item in classes.items()
        }

    @property
    def held_total(self) -> int:
        """Slots held by all tiers."""
        return self.held.total()

    def has_free(self) -> bool:
        """Tells whether any local endpoint has a free slot."""
        return any(s.share > len(s.running) for s in self.local)

    def free(self) -> int:
        """Counts the free slots of the local endpoints."""
        return sum(max(s.share - len(s.running), 0) for s in self.local)

    def placed(self, job: messages.Job, now_s: float) -> None:
        """Learns that a job took a slot."""
        self._average(now_s)
        self.held[job.rank] += 1
        self._held_by_class[job.class_id] += 1

    def first_token(self, waited_s: float) -> None:
        """Learns the time from a placement to its first token."""
        self._first_token_s += FIRST_TOKEN_WEIGHT * (
            waited_s - self._first_token_s
        )

    def ended(
        self, running: messages.Running, done: bool, now_s: float
    ) -> None:
        """Learns that a job gave its slot back."""
        self._average(now_s)
        job = running.job
        self.held[job.rank] -= 1
        self._held_by_class[job.class_id] -= 1
        if running.preempted:
            self.preempting -= 1
        if done:
            held_s = now_s - running.placed_s
            mean_s = self.hold_s(job.class_id)
            self._hold_s[job.class_id] = mean_s + HOLD_WEIGHT * (
                held_s - mean_s
            )

    def hold_s(self, class_id: ids.ClassId) -> float:
        """Returns the mean time that a job of a class holds a slot."""
        known_s = self._hold_s.get(class_id)
        if known_s is not None:
            return known_s
        return self._guess_s.get(class_id, 1.0)

    def mean_hold_s(self) -> float:
        """Returns the mean time over the jobs that run now."""
        total = 0
        sum_s = 0.0
        for class_id, count in self._held_by_class.items():
            total += count
            sum_s += count * self.hold_s(class_id)
        if total:
            return sum_s / total
        known_s = self._hold_s or self._guess_s
        return sum(known_s.values()) / max(len(known_s), 1)

    @property
    def first_token_s(self) -> float:
        """Mean time from placement to the first token."""
        return self._first_token_s

    def use_above(self, rank: int, now_s: float) -> float:
        """Returns the mean slots that higher tiers held of late."""
        self._average(now_s)
        return sum(use for other, use in self._use.items() if other < rank)

    def use_of(self, rank: int, now_s: float) -> float:
        """Returns the mean slots that a tier held of late."""
        self._average(now_s)
        return self._use.get(rank, 0.0)

    def _average(self, now_s: float) -> None:
        past_s = now_s - self._use_at_s
        if past_s <= 0.0:
            return
        part = 1.0 - math.exp(-past_s / USE_WINDOW_S)
        for rank, count in self.held.items():
            mean = self._use.get(rank, 0.0)
            self._use[rank] = mean + part * (count - mean)
        self._use_at_s = now_s
