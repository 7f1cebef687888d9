"""Leaderless split of an endpoint's slots among a domain's instances.

Load pattern: the balancer sends most callers to one entry, so that this entry
queues while the slots of the others are idle. Without this module each entry
has limit / n, and the throughput of the domain is that of its busiest entry.

Every instance computes the split for all instances from the gossiped demand
and takes its own part. Consistent views give parts that add up to the limit
exactly. Half of the limit is split evenly, so that an instance whose demand
is not known yet can always start; the other half is split by demand. For a
peer without recent gossip an even part is reserved, because it uses an even
part itself if it receives no gossip: when all are partitioned, each has
limit / n, and the limit holds.

With stale views the parts can add up to more. The excess is bounded by the
half that is split by demand. Requests above a part that shrank are not
cancelled; they finish.
"""

from collections import abc
import dataclasses
import functools
import math
import zlib

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["DemandShares"]

MAX_DEMAND_AGE_S = 4.0
"""Age of a peer's demand from which an even part is reserved for the peer.

Gossip is sent each second, so this tolerates some lost rounds.
"""

EVEN_PART = 0.5
"""Share of the limit that does not depend on demand."""

BASE_DEMAND = 4.0
"""Requests added to the demand of every instance.

With few requests the counts vary from second to second; at 1 the split varied
with them, and a running answer was preempted while other instances had free
slots (pattern fail-fast, seed 2).
"""

OWN_DEMAND_HOLD_S = 1.0
"""Refresh interval of this instance's own demand, as for its peers."""

SMOOTHING_S = 15.0
"""Time constant of an instance's mean demand.

A slot that moves while an endpoint is full is lost to the old instance before
the new one can use it: without smoothing, a family's question waited for a
slot that a preempted request of a lower tier had just freed.
"""

EVEN_RATIO = 1.3
"""Ratio of the largest demand to the mean up to which the split is even.

With a balancer that spreads callers evenly, demands still differ this much
from second to second; following them moves slots without a benefit.
"""

RING_CACHE_SIZE = 1_024
"""Cached orders of instances: one for each endpoint of the domain, and some
more while members change."""

_POINTS = 1 << 32


@dataclasses.dataclass(slots=True)
class _MeanDemand:
    """An instance's mean demand by service."""

    demand: dict[ids.ServiceId, float]
    seen_at_s: float

    def update(self, newer: messages.PeerDemand) -> None:
        """Moves the mean towards a newer demand."""
        elapsed_s = newer.seen_at_s - self.seen_at_s
        if elapsed_s <= 0.0:
            return
        part = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        for service in {*self.demand, *newer.demand_tokens_per_s}:
            value = newer.demand_tokens_per_s.get(service, 0.0)
            old = self.demand.get(service, 0.0)
            self.demand[service] = old + part * (value - old)
        self.seen_at_s = newer.seen_at_s


@registry.plugin("shares", "demand")
class DemandShares(base.Shares):
    """Splits half evenly and half by gossiped demand."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._own: messages.PeerDemand | None = None
        self._means: dict[ids.InstanceId, _MeanDemand] = {}
        self._cache: dict[tuple[ids.EndpointId, int, int], int] = {}

    def share(
        self,
        state: endpoint_module.EndpointState,
        limit: int,
        own: messages.PeerDemand,
        peers: abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        """Returns this instance's whole slots out of `limit`."""
        if not peers:
            return limit
        if (
            self._own is None
            or now_s - self._own.seen_at_s >= OWN_DEMAND_HOLD_S
        ):
            self._own = own
            self._cache.clear()
        key = (state.endpoint, limit, len(peers))
        if key not in self._cache:
            self._cache[key] = self._compute(state, limit, peers, now_s)
        return self._cache[key]

    def _compute(
        self,
        state: endpoint_module.EndpointState,
        limit: int,
        peers: abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        """Computes a split.

        The result is cached: computed on each call it took 12% of a core with
        58 endpoints, 36 instances and 20 calls per second.
        """
        service = state.service
        own = self._own
        weights = {self.context.instance: self._weight(own, service)}
        for peer in peers:
            fresh = now_s - peer.seen_at_s <= MAX_DEMAND_AGE_S
            weight = self._weight(peer, service) if fresh else None
            weights[peer.instance] = weight
        whole = _round_to_slots(limit, weights, state.endpoint)
        return whole[self.context.instance]

    def _weight(
        self, demand: messages.PeerDemand, service: ids.ServiceId
    ) -> float:
        mean = self._means.get(demand.instance)
        if mean is None:
            mean = _MeanDemand(
                dict(demand.demand_tokens_per_s), demand.seen_at_s
            )
            self._means[demand.instance] = mean
        mean.update(demand)
        return BASE_DEMAND + mean.demand.get(service, 0.0)


def split(
    limit: int, weights: dict[ids.InstanceId, float | None]
) -> dict[ids.InstanceId, float]:
    """Returns every instance's part, not rounded; they add up to `limit`.

    Args:
        limit: Slots of the endpoint.
        weights: Demand by instance; None if it is not known.
    """
    even = limit / len(weights)
    known = {name: w for name, w in weights.items() if w is not None}
    total = sum(known.values())
    if max(known.values(), default=0.0) * len(known) <= EVEN_RATIO * total:
        return dict.fromkeys(weights, even)
    by_demand = even * len(known) * (1.0 - EVEN_PART)
    return {
        name: even
        if weight is None
        else even * EVEN_PART + by_demand * weight / total
        for name, weight in weights.items()
    }


def _round_to_slots(
    limit: int,
    weights: dict[ids.InstanceId, float | None],
    endpoint: ids.EndpointId,
) -> dict[ids.InstanceId, int]:
    """Rounds parts to whole slots that add up to `limit`.

    Instances are placed on a ring in an order that differs by endpoint, and
    each slot goes to the instance whose arc contains its point. An instance
    with a part below one slot thus has a whole slot on some endpoints. With
    fewer slots than instances the points are rotated whenever any demand
    changes; otherwise the same instances would never get a slot.
    """
    parts = split(limit, weights)
    order = _ring_order(endpoint, tuple(parts))
    offset = _hash(endpoint, "mark") / _POINTS
    if limit < len(parts):
        demands = ",".join(f"{name}:{weights[name]}" for name in order)
        offset = _hash(endpoint, demands) / _POINTS
    whole = {}
    position = 0.0
    for name in order:
        first = math.ceil(position - offset - 1e-9)
        position += parts[name]
        whole[name] = math.ceil(position - offset - 1e-9) - first
    return whole


@functools.lru_cache(maxsize=RING_CACHE_SIZE)
def _ring_order(
    endpoint: ids.EndpointId, names: tuple[ids.InstanceId, ...]
) -> tuple[ids.InstanceId, ...]:
    """Returns the instances in the ring order of an endpoint.

    It is cached because it changes only with the members; sorting each second
    took half of the time to compute the shares.
    """
    return tuple(sorted(names, key=lambda name: _hash(endpoint, name)))


def _hash(endpoint: ids.EndpointId, name: str) -> int:
    mixed = zlib.crc32(f"{endpoint}/{name}".encode())
    mixed = ((mixed ^ (mixed >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    mixed = ((mixed ^ (mixed >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
