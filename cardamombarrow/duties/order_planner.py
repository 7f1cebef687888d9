"""Plans endpoint orders from the wanted and the listed endpoints.

Load pattern: the platform reclaims all spot endpoints of a domain within
seconds, and has no new ones for some time. They are so much cheaper that they
are ordered first, and regular endpoints cover the rest. An endpoint is
released only once its replacement serves.

An order states a total, so that sending it twice does no harm. An old order
that is carried out after a newer one does: see `Order.contradicts`.
"""

import collections
from collections import abc
import dataclasses
import typing

from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.kernel import ids

__all__ = ["Fleet", "Order", "OrderPlanner", "count_endpoints"]

REFUSED_RETRY_S = 8.0
"""Time until a refused order, usually for spot endpoints, is sent again."""

INVALID_RETRY_S = 60.0
"""Time until an order that the platform found invalid is sent again."""

LISTING_DELAY_S = 4.0
"""Time after the boot time within which an order shows in the list."""

UNCLEAR_RETRY_S = 1.0
"""Time until an order without a definite answer is sent again."""

REPLACEMENT_STEP = 2
"""Endpoints below the maximum at which regular orders stop, and regular ones
released at a time if the maximum leaves no room for spot endpoints."""

MAX_CALL_DELAY_S = 60.0
"""Time in which a call without an answer may still be carried out."""

_RETRY_AFTER_S = {
    base.Outcome.REFUSED: REFUSED_RETRY_S,
    base.Outcome.INVALID: INVALID_RETRY_S,
    base.Outcome.UNAVAILABLE: UNCLEAR_RETRY_S,
    base.Outcome.UNKNOWN: UNCLEAR_RETRY_S,
}


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Live endpoints of one service in one failure domain."""

    spot: int = 0
    regular: int = 0


@dataclasses.dataclass(frozen=True)
class Order:
    """A call that is due.

    Attributes:
        contradicts: Whether an earlier call with another number may still be
            carried out, so that this one needs a newer fencing token.
    """

    call: base.EndpointOrder
    contradicts: bool


@dataclasses.dataclass
class _Sent:
    count: int
    sent_s: float
    outcome: base.Outcome
    unanswered_s: float
    repeated: bool = False
    seen: int | None = None


_OrderKey = tuple[ids.ServiceId, ids.DomainId, bool]


def count_endpoints(
    items: abc.Iterable[discovery.ListedEndpoint], service: ids.ServiceId
) -> dict[ids.DomainId, Fleet]:
    """Counts the endpoints of a service in a list, by failure domain."""
    counts: dict[ids.DomainId, collections.Counter[bool]] = {}
    for item in items:
        if item.service != service:
            continue
        if item.state is not discovery.ListedState.LIVE:
            continue
        counts.setdefault(item.domain, collections.Counter())[item.spot] += 1
    return {
        domain: Fleet(spot=count[True], regular=count[False])
        for domain, count in counts.items()
    }


class OrderPlanner:
    """Plans and records the orders of one holder since it took the duties."""

    def __init__(self):
        self._sent: dict[_OrderKey, _Sent] = {}

    def due_orders(
        self,
        service: schema.Service,
        wanted: abc.Mapping[ids.DomainId, int],
        fleets: abc.Mapping[ids.DomainId, Fleet],
        now_s: float,
    ) -> abc.Iterator[Order]:
        """Yields the orders to send now.

        Args:
            service: The service to order for.
            wanted: Endpoints of both kinds together, by failure domain.
            fleets: Endpoints that are listed, by failure domain.
            now_s: Monotonic time.
        """
        assert service.scaling is not None
        for domain, count in sorted(wanted.items()):
            fleet = fleets.get(domain, Fleet())
            spot = 0
            if service.scaling.spot_price:
                room = service.scaling.most - fleet.regular
                spot = max(min(count, room), 0)
                yield from self._order(
                    service, domain, True, spot, fleet, now_s
                )
            regular = self._regular(service, domain, count, fleet, now_s)
            yield from self._order(
                service, domain, False, regular, fleet, now_s
            )

    def _regular(
        self,
        service: schema.Service,
        domain: ids.DomainId,
        count: int,
        fleet: Fleet,
        now_s: float,
    ) -> int:
        """Returns the number of regular endpoints to order."""
        scaling = service.scaling
        if not scaling.spot_price:
            return min(count, scaling.most)
        expected_spot = fleet.spot
        sent = self._sent.get((service.service, domain, True))
        taken = sent is not None and sent.outcome is base.Outcome.TAKEN
        boot_s = scaling.boot_s + LISTING_DELAY_S
        if taken and now_s - sent.sent_s <= boot_s:
            expected_spot = max(expected_spot, sent.count)
        room = min(
            scaling.most - expected_spot, scaling.most - REPLACEMENT_STEP
        )
        missing = max(min(count - expected_spot, room), 0)
        replaceable = count - fleet.spot
        if taken and count > scaling.most - fleet.regular:
            # At the maximum, spot endpoints could otherwise never return.
            replaceable -= REPLACEMENT_STEP
        return min(max(fleet.regular, missing), max(replaceable, 0))

    def _order(
        self,
        service: schema.Service,
        domain: ids.DomainId,
        spot: bool,
        count: int,
        fleet: Fleet,
        now_s: float,
    ) -> abc.Iterator[Order]:
        seen = fleet.spot if spot else fleet.regular
        sent = self._sent.get((service.service, domain, spot))
        call = base.EndpointOrder(service.service, domain, spot, count)
        if sent is None:
            if count != seen:
                yield Order(call, contradicts=False)
            return
        sent.seen = seen
        if count == seen:
            sent.repeated = False
        age_s = now_s - sent.sent_s
        may_be_delayed = now_s - sent.unanswered_s <= MAX_CALL_DELAY_S
        if sent.outcome is base.Outcome.TAKEN:
            boot_s = service.scaling.boot_s + LISTING_DELAY_S
            was_undone = count != seen and age_s > boot_s and not sent.repeated
            if count != sent.count:
                yield Order(call, contradicts=may_be_delayed)
            elif was_undone:
                # A call that was carried out late may have undone it.
                yield Order(call, contradicts=True)
        elif age_s >= _RETRY_AFTER_S[sent.outcome] and count != seen:
            yield Order(
                call, contradicts=may_be_delayed and count != sent.count
            )

    def last_orders(self) -> list[dict[str, typing.Any]]:
        """Returns the last order of each kind, as plain JSON values."""
        return [
            {
                "service": service,
                "domain": domain,
                "spot": spot,
                "count": sent.count,
                "outcome": sent.outcome.value,
            }
            for (service, domain, spot), sent in sorted(self._sent.items())
        ]

    @property
    def has_pending_orders(self) -> bool:
        """Whether a taken order does not show in the list yet."""
        return any(
            sent.outcome is base.Outcome.TAKEN and sent.count != sent.seen
            for sent in self._sent.values()
        )

    def record(self, order: Order, outcome: base.Outcome, now_s: float) -> None:
        """Records the outcome of an order."""
        call = order.call
        key = call.service, call.domain, call.spot
        previous = self._sent.get(key)
        # With a newer token, earlier calls are refused if they arrive late.
        unanswered_s = float("-inf")
        if outcome is base.Outcome.UNKNOWN:
            unanswered_s = now_s
        elif previous is not None and not order.contradicts:
            unanswered_s = previous.unanswered_s
        repeated = (
            previous is not None
            and previous.outcome is base.Outcome.TAKEN
            and previous.count == call.count
        )
        self._sent[key] = _Sent(
            call.count, now_s, outcome, unanswered_s, repeated
        )
