"""How the instances of a domain split an endpoint's slots, without a leader.

Load pattern answered: the balancer sends most callers to one entry, so that
entry queues while the slots of the others lie idle. Without this module each
entry has limit / n and the domain works at the pace of its busiest entry.

Every instance works out the split of all instances from the demand that they
gossip, and takes its own part. Views that agree give parts that add up to the
limit exactly. Half of the limit is split evenly, so that an instance whose
demand is not heard yet can always start; the other half goes by demand. For a
peer that has not been heard of late an even part is set aside, because that
is what it takes when it hears nobody: cut off from each other, all have
limit / n, and the limit is kept.

With late views the parts can add up to more. The excess is bounded by the
half that goes by demand. Work above a part that shrank is not cut: it drains.
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

FRESH_S = 4.0
"""A peer not heard for this long has an even part set aside.

Gossip is due each second, so some rounds may be lost.
"""

EVEN_PART = 0.5
"""Part of the limit that does not depend on demand."""

LEAST_DEMAND = 4.0
"""Requests that every instance is reckoned to have besides its own.

With few requests the counts swing from second to second; at 1 the split swung
with them and a running answer gave way while other instances had free slots
(pattern fail-fast, seed 2).
"""

OWN_HOLD_S = 1.0
"""Time for which one's own demand is held, as the others hear it."""

SMOOTHING_S = 15.0
"""Time constant of an instance's mean demand.

Each slot that moves while an endpoint is full is lost to the instance that
gives it up before the other can use it: unsmoothed, a family's question waited
for a slot that a lower tier had just made free for it.
"""

EVEN_RATIO = 1.3
"""Up to this ratio of the largest demand to the mean the split is even.

A balancer that spreads callers evenly still leaves such differences from
second to second; following them moves slots and gains nothing.
"""

CIRCLES_KEPT = 1_024
"""Orders of instances that are remembered: one for each near endpoint, and
some while members come and go."""

_POINTS = 1 << 32


@dataclasses.dataclass(slots=True)
class _Mean:
    """An instance's mean demand by service."""

    demand: dict[ids.ServiceId, float]
    seen_at_s: float

    def take(self, heard: messages.PeerDemand) -> None:
        """Moves towards a demand that was heard since."""
        past_s = heard.seen_at_s - self.seen_at_s
        if past_s <= 0.0:
            return
        part = 1.0 - math.exp(-past_s / SMOOTHING_S)
        for service in {*self.demand, *heard.demand_tokens_per_s}:
            value = heard.demand_tokens_per_s.get(service, 0.0)
            old = self.demand.get(service, 0.0)
            self.demand[service] = old + part * (value - old)
        self.seen_at_s = heard.seen_at_s


@registry.plugin("shares", "demand")
class DemandShares(base.Shares):
    """Half evenly, half by gossiped demand."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._own: messages.PeerDemand | None = None
        self._means: dict[ids.InstanceId, _Mean] = {}
        self._known: dict[tuple[ids.EndpointId, int, int], int] = {}

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
        if self._own is None or now_s - self._own.seen_at_s >= OWN_HOLD_S:
            self._own = own
            self._known.clear()
        key = (state.endpoint, limit, len(peers))
        if key not in self._known:
            self._known[key] = self._work_out(state, limit, peers, now_s)
        return self._known[key]

    def _work_out(
        self,
        state: endpoint_module.EndpointState,
        limit: int,
        peers: abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        """Works out a split; done at each look it would cost 12% of a core.

        That was seen with 58 endpoints, 36 instances and 20 looks a second.
        """
        service = state.service
        own = self._own
        weights = {self.context.instance: self._weight(own, service)}
        for peer in peers:
            fresh = now_s - peer.seen_at_s <= FRESH_S
            weight = self._weight(peer, service) if fresh else None
            weights[peer.instance] = weight
        whole = _whole(limit, weights, state.endpoint)
        return whole[self.context.instance]

    def _weight(
        self, demand: messages.PeerDemand, service: ids.ServiceId
    ) -> float:
        mean = self._means.get(demand.instance)
        if mean is None:
            mean = _Mean(dict(demand.demand_tokens_per_s), demand.seen_at_s)
            self._means[demand.instance] = mean
        mean.take(demand)
        return LEAST_DEMAND + mean.demand.get(service, 0.0)


def split(
    limit: int, weights: dict[ids.InstanceId, float | None]
) -> dict[ids.InstanceId, float]:
    """Returns every instance's part, not rounded; they add up to `limit`.

    Args:
        limit: Slots of the endpoint.
        weights: Demand by instance; None where it is not known.
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


def _whole(
    limit: int,
    weights: dict[ids.InstanceId, float | None],
    endpoint: ids.EndpointId,
) -> dict[ids.InstanceId, int]:
    """Rounds parts to whole slots that add up to `limit`.

    Instances stand in a circle in an order that differs by endpoint, and each
    slot goes to the instance in whose stretch its mark falls. So an instance
    with a part under one slot has a whole slot on some endpoints. With fewer
    slots than instances the marks turn whenever any demand changes; without
    that the same instances would stay without a slot for good.
    """
    parts = split(limit, weights)
    order = _circle(endpoint, tuple(parts))
    mark = _hash(endpoint, "mark") / _POINTS
    if limit < len(parts):
        view = ",".join(f"{name}:{weights[name]}" for name in order)
        mark = _hash(endpoint, view) / _POINTS
    whole = {}
    reached = 0.0
    for name in order:
        begin = math.ceil(reached - mark - 1e-9)
        reached += parts[name]
        whole[name] = math.ceil(reached - mark - 1e-9) - begin
    return whole


@functools.lru_cache(maxsize=CIRCLES_KEPT)
def _circle(
    endpoint: ids.EndpointId, names: tuple[ids.InstanceId, ...]
) -> tuple[ids.InstanceId, ...]:
    """Returns the instances in an endpoint's own order.

    It changes only with the members; sorted anew each second it took half of
    the time of a look at the shares.
    """
    return tuple(sorted(names, key=lambda name: _hash(endpoint, name)))


def _hash(endpoint: ids.EndpointId, name: str) -> int:
    mixed = zlib.crc32(f"{endpoint}/{name}".encode())
    mixed = ((mixed ^ (mixed >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    mixed = ((mixed ^ (mixed >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
