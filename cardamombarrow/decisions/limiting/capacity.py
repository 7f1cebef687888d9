"""Slots of one service that one instance may use, and their holders.

Updated on each placement and each end, so that no decision has to iterate over
all endpoints, running requests or waiting jobs: with 58 endpoints and hundreds
of requests that would cost more than the decision itself.
"""

import collections
import math

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Capacity", "reserved_slots"]

HOLD_TIME_WEIGHT = 0.05
"""Weight of one finished job in the mean time that its class holds a slot.

It averages over about twenty jobs: at a few requests per second the mean
follows a change of load within seconds, and one long answer moves it by 1/20.
"""

FIRST_TOKEN_WEIGHT = 0.1
"""Weight of one request in the mean time to first token."""

INITIAL_FIRST_TOKEN_S = 0.2
"""Initial time to first token."""

INITIAL_TOKEN_S = 0.026
"""Initial time per token: the promised rate."""

USE_TIME_CONSTANT_S = 5.0
"""Time constant of the mean number of slots that a tier holds."""


def reserved_slots(tier: schema.Tier, slots: int) -> float:
    """Returns a tier's reserved share of slots; it may be fractional."""
    return tier.reserved_share * slots


class Capacity:
    """Slots of one service.

    Attributes:
        local: Endpoints of the own domain that accept new requests.
        remote: Endpoints of other domains that accept new requests.
        slots: Slots of the local endpoints that this instance may use.
        reservable_slots: Those in the own failure domain. Reserved shares are
            parts of these: instances of all domains may use the same slots,
            and each would reserve a part of them.
        held: Local and remote slots held, by rank of the tier.
        held_by_class: The same by class.
        preempting: Preempted requests that have not ended yet.
    """

    def __init__(
        self, service: ids.ServiceId, domain: ids.DomainId, now_s: float
    ):
        self.service = service
        self._domain = domain
        self.local: list[endpoint_module.EndpointState] = []
        self.remote: list[endpoint_module.EndpointState] = []
        self.slots = 0
        self.reservable_slots = 0
        self.held: collections.Counter[int] = collections.Counter()
        self.preempting = 0
        self._hold_s: dict[ids.ClassId, float] = {}
        self.held_by_class: collections.Counter[ids.ClassId] = (
            collections.Counter()
        )
        self._initial_hold_s: dict[ids.ClassId, float] = {}
        self._first_token_s = INITIAL_FIRST_TOKEN_S
        self._mean_use: dict[int, float] = {}
        self._mean_use_at_s = now_s

    def set_endpoints(
        self,
        local: list[endpoint_module.EndpointState],
        remote: list[endpoint_module.EndpointState],
    ) -> None:
        """Replaces the endpoints that accept new requests."""
        self.local = local
        self.remote = remote
        self.count()

    def count(self) -> None:
        """Recomputes the slots after a change of the shares."""
        self.slots = sum(state.share for state in self.local)
        self.reservable_slots = sum(
            state.share for state in self.local if state.domain == self._domain
        )

    def set_initial_hold_times(
        self, classes: dict[ids.ClassId, schema.RequestClass]
    ) -> None:
        """Sets initial hold times from the document's expected tokens."""
        self._initial_hold_s = {
            name: item.expected_tokens * INITIAL_TOKEN_S
            for name, item in classes.items()
        }

    @property
    def held_total(self) -> int:
        """Slots held by all tiers."""
        return self.held.total()

    def has_free(self) -> bool:
        """Returns whether any local endpoint has a free slot."""
        return any(s.share > len(s.running) for s in self.local)

    def free(self) -> int:
        """Counts the free slots of the local endpoints."""
        return sum(max(s.share - len(s.running), 0) for s in self.local)

    def reserved_slots(self, tier: schema.Tier) -> float:
        """Returns a tier's reserved part of `reservable_slots`."""
        return reserved_slots(tier, self.reservable_slots)

    def placed(self, job: messages.Job, now_s: float) -> None:
        """Records that a job takes a slot."""
        self._update_use(now_s)
        self.held[job.rank] += 1
        self.held_by_class[job.class_id] += 1

    def first_token(self, waited_s: float) -> None:
        """Records the time from a placement to its first token."""
        self._first_token_s += FIRST_TOKEN_WEIGHT * (
            waited_s - self._first_token_s
        )

    def ended(
        self, running: messages.Running, done: bool, now_s: float
    ) -> None:
        """Records that a job releases its slot."""
        self._update_use(now_s)
        job = running.job
        self.held[job.rank] -= 1
        self.held_by_class[job.class_id] -= 1
        if running.preempted:
            self.preempting -= 1
        if done:
            held_s = now_s - running.placed_s
            mean_s = self.hold_s(job.class_id)
            self._hold_s[job.class_id] = mean_s + HOLD_TIME_WEIGHT * (
                held_s - mean_s
            )

    def hold_s(self, class_id: ids.ClassId) -> float:
        """Returns the mean time that a job of a class holds a slot."""
        known_s = self._hold_s.get(class_id)
        if known_s is not None:
            return known_s
        return self._initial_hold_s.get(class_id, 1.0)

    def mean_hold_s(self) -> float:
        """Returns the mean hold time of the running jobs."""
        total = 0
        sum_s = 0.0
        for class_id, count in self.held_by_class.items():
            total += count
            sum_s += count * self.hold_s(class_id)
        if total:
            return sum_s / total
        known_s = self._hold_s or self._initial_hold_s
        return sum(known_s.values()) / max(len(known_s), 1)

    @property
    def first_token_s(self) -> float:
        """Mean time from placement to the first token."""
        return self._first_token_s

    def mean_use_above(self, rank: int, now_s: float) -> float:
        """Returns the recent mean of slots that higher tiers hold."""
        self._update_use(now_s)
        return sum(use for other, use in self._mean_use.items() if other < rank)

    def mean_use_of(self, rank: int, now_s: float) -> float:
        """Returns the recent mean of slots that a tier holds."""
        self._update_use(now_s)
        return self._mean_use.get(rank, 0.0)

    def _update_use(self, now_s: float) -> None:
        elapsed_s = now_s - self._mean_use_at_s
        if elapsed_s <= 0.0:
            return
        weight = 1.0 - math.exp(-elapsed_s / USE_TIME_CONSTANT_S)
        for rank, count in self.held.items():
            mean = self._mean_use.get(rank, 0.0)
            self._mean_use[rank] = mean + weight * (count - mean)
        self._mean_use_at_s = now_s
