"""Which orders of endpoints are sent, from what is wanted and what is there.

Load pattern: all reclaimable endpoints of a domain go at once, within seconds,
and for a while no others are to be had. Those are so much cheaper that they
are asked for first; what they don't fill, the other kind fills. An endpoint is
given up only once its replacement serves.

Orders are numbers, not changes, so that one which is sent twice does no harm.
An old one that is carried out after a newer one does: see `Order.contradicts`.
"""

import collections
from collections import abc
import dataclasses
import typing

from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.kernel import ids

__all__ = ["Fleet", "Order", "Ordering", "count_endpoints"]

SPOT_RETRY_S = 8.0
"""Time until reclaimable endpoints are asked for again after a refusal."""

INVALID_RETRY_S = 60.0
"""Time until an order is sent again that makes no sense to the platform."""

SEEN_AFTER_S = 4.0
"""Time beside that of a start within which an order shows in the list."""

RETRY_S = 1.0
"""Time until an order without a clear answer is sent again."""

SWAP_STEP = 2
"""Places of a domain kept free of the dearer kind, and endpoints of it given up
at a time where there is no room for the cheaper kind beside them."""

LATE_S = 60.0
"""How long a call without an answer may still be carried out."""

_PAUSES_S = {
    base.Outcome.REFUSED: SPOT_RETRY_S,
    base.Outcome.INVALID: INVALID_RETRY_S,
    base.Outcome.UNAVAILABLE: RETRY_S,
    base.Outcome.UNKNOWN: RETRY_S,
}


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Endpoints of one service in one failure domain that take work."""

    spot: int = 0
    regular: int = 0


@dataclasses.dataclass(frozen=True)
class Order:
    """A call that is due.

    Attributes:
        contradicts: Whether an earlier call that says something else may
            still be carried out: this one needs a newer fencing token.
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


_Subject = tuple[ids.ServiceId, ids.DomainId, bool]


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


class Ordering:
    """What one holder has ordered since it holds."""

    def __init__(self):
        self._sent: dict[_Subject, _Sent] = {}

    def due(
        self,
        service: schema.Service,
        wanted: abc.Mapping[ids.DomainId, int],
        fleets: abc.Mapping[ids.DomainId, Fleet],
        now_s: float,
    ) -> abc.Iterator[Order]:
        """Yields the orders to send now.

        Args:
            service: What is ordered.
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
        """Returns how many of the dearer kind there shall be."""
        scaling = service.scaling
        if not scaling.spot_price:
            return min(count, scaling.most)
        coming = fleet.spot
        sent = self._sent.get((service.service, domain, True))
        taken = sent is not None and sent.outcome is base.Outcome.TAKEN
        boot_s = scaling.boot_s + SEEN_AFTER_S
        if taken and now_s - sent.sent_s <= boot_s:
            coming = max(coming, sent.count)
        room = min(scaling.most - coming, scaling.most - SWAP_STEP)
        grown = max(min(count - coming, room), 0)
        kept = count - fleet.spot
        if taken and count > scaling.most - fleet.regular:
            # Without room the cheaper kind could never come back.
            kept -= SWAP_STEP
        return min(max(fleet.regular, grown), max(kept, 0))

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
        past_s = now_s - sent.sent_s
        is_late = now_s - sent.unanswered_s <= LATE_S
        if sent.outcome is base.Outcome.TAKEN:
            boot_s = service.scaling.boot_s + SEEN_AFTER_S
            is_lost = count != seen and past_s > boot_s and not sent.repeated
            if count != sent.count:
                yield Order(call, contradicts=is_late)
            elif is_lost:
                # It may have been undone by a call that was carried out late.
                yield Order(call, contradicts=True)
        elif past_s >= _PAUSES_S[sent.outcome] and count != seen:
            yield Order(call, contradicts=is_late and count != sent.count)

    def view(self) -> list[dict[str, typing.Any]]:
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
    def awaits(self) -> bool:
        """Whether an order was taken and is not seen carried out yet."""
        return any(
            sent.outcome is base.Outcome.TAKEN and sent.count != sent.seen
            for sent in self._sent.values()
        )

    def record(self, order: Order, outcome: base.Outcome, now_s: float) -> None:
        """Notes what became of an order."""
        call = order.call
        subject = call.service, call.domain, call.spot
        before = self._sent.get(subject)
        # Under a newer token an earlier call is refused when it comes late.
        unanswered_s = float("-inf")
        if outcome is base.Outcome.UNKNOWN:
            unanswered_s = now_s
        elif before is not None and not order.contradicts:
            unanswered_s = before.unanswered_s
        repeated = (
            before is not None
            and before.outcome is base.Outcome.TAKEN
            and before.count == call.count
        )
        self._sent[subject] = _Sent(
            call.count, now_s, outcome, unanswered_s, repeated
        )
