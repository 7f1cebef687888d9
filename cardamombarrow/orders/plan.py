"""Plans orders from the document and the models that engines have loaded.

Load pattern: a rollout. The document names a new version; if every endpoint
of the service loaded it at once, none would serve meanwhile, and all would
queue at the weight store, whose rate is limited. So few endpoints of a
service load at a time, and all loads together stay within the store's rate.
Otherwise a rollout would take a service down until the store has served all
its endpoints.
"""

import collections
from collections import abc
import dataclasses
import enum

from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "LoadRate",
    "Observed",
    "Order",
    "OrderKind",
    "next_orders",
    "wanted_artifacts",
]

LOADING_SHARE = 0.25
"""Part of a service's endpoints that load at once; at least one.

The remaining three quarters can serve the usual peak over the mean. One of two
or three endpoints is more than a quarter, but no smaller step exists.
"""


class OrderKind(enum.Enum):
    """Kind of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Order:
    """One order to one engine.

    Attributes:
        artifact: Model or version, by the name that requests use.
    """

    endpoint: ids.EndpointId
    kind: OrderKind
    artifact: str


@dataclasses.dataclass(frozen=True)
class Observed:
    """Models and versions that an engine reports, by state."""

    loaded: frozenset[str]
    loading: frozenset[str]


class LoadRate:
    """Spaces loads evenly, so that no minute exceeds the store's limit.

    Unused capacity does not accumulate: a token bucket would allow twice the
    limit in the minute after a pause.
    """

    def __init__(self, loads_per_minute: float):
        self._interval_s = 60.0 / loads_per_minute
        self._next_s = 0.0

    def take(self, now_s: float) -> bool:
        """Returns whether a load may start now, and counts it."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s
        return True


def wanted_artifacts(
    document: schema.Document, service: schema.Service
) -> frozenset[str]:
    """Returns the models and versions that a service's endpoints should load.

    They include versions of weight 0, which get no traffic: an operator first
    loads a version, checks that it is loaded, and then gives it a weight.
    """
    names: set[str] = set()
    for model in document.models.values():
        if model.service == service.service:
            names.update(model.versions or [model.model])
    return frozenset(names)


def next_orders(
    document: schema.Document,
    observed: abc.Mapping[ids.EndpointId, Observed],
    rate: LoadRate,
    now_s: float,
) -> abc.Iterator[Order]:
    """Yields the orders that may be sent now.

    Args:
        document: The document in force.
        observed: What each engine has loaded; engines that did not answer are
            missing, and get no orders.
        rate: The weight store's limit; each yielded load counts against it.
        now_s: Monotonic time.
    """
    for service in document.services.values():
        if service.orders is not schema.Orders.NONE:
            yield from _service_orders(document, service, observed, rate, now_s)


def _service_orders(
    document: schema.Document,
    service: schema.Service,
    observed: abc.Mapping[ids.EndpointId, Observed],
    rate: LoadRate,
    now_s: float,
) -> abc.Iterator[Order]:
    want = wanted_artifacts(document, service)
    endpoints = [e for group in service.endpoints.values() for e in group]
    reachable = [e for e in endpoints if e in observed]
    loading = sum(1 for e in reachable if observed[e].loading)
    max_loading = max(1, int(len(endpoints) * LOADING_SHARE))
    holders = collections.Counter(
        name for e in reachable for name in observed[e].loaded
    )
    for endpoint in reachable:
        state = observed[endpoint]
        missing = sorted(want - state.loaded - state.loading)
        if missing and not state.loading and loading < max_loading:
            if not rate.take(now_s):
                return
            loading += 1
            yield Order(endpoint, OrderKind.LOAD, missing[0])
            continue
        if missing or state.loading:
            continue
        # Only an engine that has loaded everything wanted unloads the rest, so
        # that a rollout never leaves a service without any version.
        for name in sorted(state.loaded - want):
            if holders[name]:
                yield Order(endpoint, OrderKind.UNLOAD, name)
