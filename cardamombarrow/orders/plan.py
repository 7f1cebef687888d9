"""Which order comes next: from what the document wants and what is loaded.

Load pattern: a rollout. The document names a new version; if every endpoint
of the service loaded it at once, none would serve meanwhile, and all would
queue at the weight store, whose rate is limited. So few endpoints of a
service load at a time, and all loads together keep to the store's rate.
Without this module a rollout takes a service down for as long as the store
needs for all its endpoints.
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
    "wanted",
]

LOADING_SHARE = 0.25
"""Part of a service's endpoints that load at once; at least one does.

A quarter away leaves room for the usual peak over mean; one of two or three
is more than a quarter, but a service of that size has no smaller step.
"""


class OrderKind(enum.Enum):
    """What an engine is told."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Order:
    """One order to one engine.

    Attributes:
        artifact: Model or version, as requests name it to the engine.
    """

    endpoint: ids.EndpointId
    kind: OrderKind
    artifact: str


@dataclasses.dataclass(frozen=True)
class Observed:
    """What an engine says it holds."""

    loaded: frozenset[str]
    loading: frozenset[str]


class LoadRate:
    """Spaces loads evenly, so that no minute has more than the store allows.

    Nothing is saved up while idle: a bucket that fills would let twice the
    limit through in the minute after a pause.
    """

    def __init__(self, loads_per_minute: float):
        self._interval_s = 60.0 / loads_per_minute
        self._next_s = 0.0

    def take(self, now_s: float) -> bool:
        """Takes one load, if the rate allows it."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s
        return True


def wanted(
    document: schema.Document, service: schema.Service
) -> frozenset[str]:
    """Returns what every endpoint of a service should hold.

    A version of weight 0 is loaded too and gets no traffic: an operator loads
    it first, sees that it is there, and then moves the weight.
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
    """Yields the orders that may be given now.

    Args:
        document: What is wanted.
        observed: What each engine holds; engines that did not answer are
            missing, and get no orders.
        rate: The weight store's limit; each load yielded takes from it.
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
    want = wanted(document, service)
    endpoints = [e for group in service.endpoints.values() for e in group]
    known = [e for e in endpoints if e in observed]
    loading = sum(1 for e in known if observed[e].loading)
    most = max(1, int(len(endpoints) * LOADING_SHARE))
    holders = collections.Counter(
        name for e in known for name in observed[e].loaded
    )
    for endpoint in known:
        state = observed[endpoint]
        missing = sorted(want - state.loaded - state.loading)
        if missing and not state.loading and loading < most:
            if not rate.take(now_s):
                return
            loading += 1
            yield Order(endpoint, OrderKind.LOAD, missing[0])
            continue
        if missing or state.loading:
            continue
        # Only an engine that has all that is wanted gives up the rest, so
        # that a rollout never leaves a service without any version.
        for name in sorted(state.loaded - want):
            if holders[name]:
                yield Order(endpoint, OrderKind.UNLOAD, name)
