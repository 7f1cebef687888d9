"""Ways to decide on the number of endpoints, over patterns of work.

Virtual time: the decisions and orders are the real ones; the platform, with
its starts, reclaims and refusals, and the work are models. Work is late in the
measure in which reading takes more than half of the endpoints' time, and all
of it where it takes all: a stand-in for queues, the same for every way.

    python -m benchmarks.scaling
"""

from collections import abc
import dataclasses
import math

from cardamombarrow.decisions import scaling
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.duties import order_planner
from cardamombarrow.kernel import ids

__all__ = ["PATTERNS", "WAYS", "Result", "main", "play"]

STEP_S = 0.5
LENGTH_S = 60.0
LEAD_S = 12.0
CALM = 4.8
"""Endpoints kept busy by reading, in calm."""

REGULAR = 5
"""Endpoints of the dearer kind in each domain at the start."""

KNOWN_AFTER_S = 2.0
"""Age of what is known of demand and of the list."""

DOMAINS = [ids.DomainId(name) for name in "abcdef"]
SERVICE = schema.Service(
    ids.ServiceId("writer"),
    schema.ServiceKind.ENGINE,
    slots_per_endpoint=64,
    scaling=schema.Scaling(
        1, 10, 4.0, 0.22, dict(zip(DOMAINS, (0.85, 1.1, 1.2, 0.85, 1.0, 1.2)))
    ),
)


@dataclasses.dataclass(frozen=True)
class Pattern:
    """What happens in a play.

    Attributes:
        factor: Times the calm load, by time.
        reclaimed: Domains whose reclaimable endpoints go at `AT_S`.
        dry: Domains in which no more are to be had for `DRY_S` from then.
        lost: Whether the first orders get no answer and are carried out late.
    """

    factor: abc.Callable[[float], float] = lambda _: 1.0
    reclaimed: int = 0
    dry: int = 0
    lost: bool = False


AT_S = 20.0
DRY_S = 8.0


def _burst(height: float) -> abc.Callable[[float], float]:
    return lambda now_s: height if AT_S <= now_s < AT_S + 6.0 else 1.0


PATTERNS = {
    "quiet": Pattern(),
    "wave": Pattern(lambda s: 1 + 0.27 * math.sin(2 * math.pi * s / 11)),
    "burst x1.7": Pattern(_burst(1.7)),
    "burst x4": Pattern(_burst(4.0)),
    "a domain reclaimed": Pattern(reclaimed=1),
    "a domain, none anywhere": Pattern(reclaimed=1, dry=6),
    "all reclaimed, none anywhere": Pattern(reclaimed=6, dry=6),
    "orders late": Pattern(lost=True),
    "none ever": Pattern(dry=-6),
}

WAYS: dict[str, type[scaling.Scaler]] = {
    "never orders": scaling.StaticScaler,
    "target utilisation": scaling.TargetUtilisation,
    "trend ahead": scaling.TrendExtrapolation,
}


@dataclasses.dataclass(frozen=True)
class Result:
    """What a play came to.

    Attributes:
        late_share: Part of the work that is late.
        price: What the endpoints cost, in seconds of one of price 1.
        orders: Calls made.
    """

    late_share: float
    price: float
    orders: int


class _Platform:
    def __init__(self, pattern: Pattern):
        self._pattern = pattern
        self.now_s = -LEAD_S
        self.counts = {(d, False): REGULAR for d in DOMAINS}
        self._due: list[tuple[float, tuple[ids.DomainId, bool], int]] = []

    def take(self, call: base.EndpointOrder) -> base.Outcome:
        key = call.domain, call.spot
        more = call.count > self.counts.get(key, 0)
        if more and call.spot and self._is_dry(call.domain):
            return base.Outcome.REFUSED
        late_s = SERVICE.scaling.boot_s if more else 0.0
        if self._pattern.lost and self.now_s < -LEAD_S + 2.0:
            self._due.append((self.now_s + 6.0 + late_s, key, call.count))
            return base.Outcome.UNKNOWN
        self._due.append((self.now_s + late_s, key, call.count))
        return base.Outcome.TAKEN

    def _is_dry(self, domain: ids.DomainId) -> bool:
        if self._pattern.dry < 0:
            return True
        dry = DOMAINS[: self._pattern.dry]
        return domain in dry and AT_S <= self.now_s < AT_S + DRY_S

    def step(self) -> None:
        before_s, self.now_s = self.now_s, self.now_s + STEP_S
        for due in [d for d in self._due if d[0] <= self.now_s]:
            self._due.remove(due)
            self.counts[due[1]] = due[2]
        if before_s < AT_S <= self.now_s:
            for domain in DOMAINS[: self._pattern.reclaimed]:
                self.counts[domain, True] = 0

    def fleets(self) -> dict[ids.DomainId, order_planner.Fleet]:
        return {
            domain: order_planner.Fleet(
                self.counts.get((domain, True), 0),
                self.counts.get((domain, False), 0),
            )
            for domain in DOMAINS
        }

    def price(self) -> float:
        found = SERVICE.scaling
        return sum(
            count * found.prices[domain] * (found.spot_price if spot else 1.0)
            for (domain, spot), count in self.counts.items()
        )


def play(way: type[scaling.Scaler], pattern: Pattern) -> Result:
    """Plays one pattern with one way."""
    platform, scaler, orders = (
        _Platform(pattern),
        way(),
        order_planner.OrderPlanner(),
    )
    known: list[tuple[float, dict]] = []
    late = asked = price = 0.0
    calls = 0
    while platform.now_s < LENGTH_S:
        platform.step()
        now_s = platform.now_s
        load = CALM * pattern.factor(now_s) if now_s >= 0 else 0.0
        ready = sum(f.spot + f.regular for f in platform.fleets().values())
        used = load / ready if ready else 1.0
        late += load * min(max(2 * used - 1, 0.0), 1.0) * STEP_S
        asked += load * STEP_S
        price += platform.price() * STEP_S
        known.append((load, platform.fleets()))
        then = known[max(len(known) - 1 - int(KNOWN_AFTER_S / STEP_S), 0)]
        calls += _order(way, scaler, orders, platform, then)
    return Result(late / asked, price, calls)


def _order(
    way: type[scaling.Scaler],
    scaler: scaling.Scaler,
    orders: order_planner.OrderPlanner,
    platform: _Platform,
    known: tuple[float, dict[ids.DomainId, order_planner.Fleet]],
) -> int:
    load, fleets = known
    if way is scaling.StaticScaler:
        return 0
    share = scaling.DomainDemand(load / len(DOMAINS), 0.0)
    present = {d: max(f.spot, f.regular) for d, f in fleets.items()}
    demand = dict.fromkeys(DOMAINS, share) if load else {}
    wanted = scaler.wanted(SERVICE, demand, present, platform.now_s)
    calls = 0
    for order in orders.due_orders(SERVICE, wanted, fleets, platform.now_s):
        outcome = platform.take(order.call)
        orders.record(order, outcome, platform.now_s)
        calls += 1
    return calls


def main() -> None:
    """Prints a table: late share, price and orders by pattern and way."""
    print("| pattern | " + " | ".join(WAYS) + " |")
    print("| --- |" + " --- |" * len(WAYS))
    for name, pattern in PATTERNS.items():
        cells = []
        for way in WAYS.values():
            found = play(way, pattern)
            cells.append(
                f"{found.late_share:.3f}, {found.price:.0f}, {found.orders}"
            )
        print(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
