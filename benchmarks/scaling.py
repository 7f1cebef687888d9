"""Compares ways to choose the number of endpoints over load patterns.

Runs the real decisions and orders in virtual time against a model of the load
and of a platform that starts, reclaims and refuses endpoints. Queues are
approximated in the same way for each scaler: the late share of the work grows
linearly from 0, where prefill takes half of the endpoints' time, to 1, where
it takes all of it.

    python -m benchmarks.scaling
"""

from collections import abc
import dataclasses
import math

from cardamombarrow.decisions.fleet import scaling
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.duties import order_planner
from cardamombarrow.kernel import ids

__all__ = ["PATTERNS", "SCALERS", "Result", "main", "simulate"]

STEP_S = 0.5
LENGTH_S = 60.0
LEAD_TIME_S = 12.0
BASE_LOAD = 4.8
"""Endpoints that prefill occupies at the base load."""

REGULAR = 5
"""Endpoints of the regular, more expensive kind in each domain at the start."""

OBSERVATION_DELAY_S = 2.0
"""Age of the demand and the endpoint list that a decision uses."""

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
    """Load and platform faults of a simulation.

    Attributes:
        factor: Factor of the base load, by time.
        reclaimed: Number of domains whose reclaimable endpoints are removed
            at `EVENT_S`.
        refusing: Number of domains that refuse new reclaimable endpoints for
            `REFUSING_S` from `EVENT_S` on; if negative, all always do.
        lost: Whether the first orders get no answer and take effect late.
    """

    factor: abc.Callable[[float], float] = lambda _: 1.0
    reclaimed: int = 0
    refusing: int = 0
    lost: bool = False


EVENT_S = 20.0
REFUSING_S = 8.0


def _burst(height: float) -> abc.Callable[[float], float]:
    return lambda now_s: height if EVENT_S <= now_s < EVENT_S + 6.0 else 1.0


PATTERNS = {
    "quiet": Pattern(),
    "wave": Pattern(lambda s: 1 + 0.27 * math.sin(2 * math.pi * s / 11)),
    "burst x1.7": Pattern(_burst(1.7)),
    "burst x4": Pattern(_burst(4.0)),
    "a domain reclaimed": Pattern(reclaimed=1),
    "a domain, none anywhere": Pattern(reclaimed=1, refusing=6),
    "all reclaimed, none anywhere": Pattern(reclaimed=6, refusing=6),
    "orders late": Pattern(lost=True),
    "none ever": Pattern(refusing=-6),
}

SCALERS: dict[str, type[scaling.Scaler]] = {
    "never orders": scaling.StaticScaler,
    "target utilisation": scaling.TargetUtilisation,
    "trend ahead": scaling.TrendExtrapolation,
}


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a simulation.

    Attributes:
        late_share: Part of the work that is late.
        price: Cost of the endpoints, in endpoint seconds at a price of 1.
        orders: Number of calls to the platform.
    """

    late_share: float
    price: float
    orders: int


class _Platform:
    def __init__(self, pattern: Pattern):
        self._pattern = pattern
        self.now_s = -LEAD_TIME_S
        self.counts = {(d, False): REGULAR for d in DOMAINS}
        self._due: list[tuple[float, tuple[ids.DomainId, bool], int]] = []

    def take(self, call: base.EndpointOrder) -> base.Outcome:
        key = call.domain, call.spot
        adds_endpoints = call.count > self.counts.get(key, 0)
        if adds_endpoints and call.spot and self._refuses_spot(call.domain):
            return base.Outcome.REFUSED
        delay_s = SERVICE.scaling.boot_s if adds_endpoints else 0.0
        if self._pattern.lost and self.now_s < -LEAD_TIME_S + 2.0:
            self._due.append((self.now_s + 6.0 + delay_s, key, call.count))
            return base.Outcome.UNKNOWN
        self._due.append((self.now_s + delay_s, key, call.count))
        return base.Outcome.TAKEN

    def _refuses_spot(self, domain: ids.DomainId) -> bool:
        if self._pattern.refusing < 0:
            return True
        refusing = DOMAINS[: self._pattern.refusing]
        return (
            domain in refusing and EVENT_S <= self.now_s < EVENT_S + REFUSING_S
        )

    def step(self) -> None:
        before_s, self.now_s = self.now_s, self.now_s + STEP_S
        for due in [d for d in self._due if d[0] <= self.now_s]:
            self._due.remove(due)
            self.counts[due[1]] = due[2]
        if before_s < EVENT_S <= self.now_s:
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
        settings = SERVICE.scaling
        return sum(
            count
            * settings.prices[domain]
            * (settings.spot_price if spot else 1.0)
            for (domain, spot), count in self.counts.items()
        )


def simulate(scaler_type: type[scaling.Scaler], pattern: Pattern) -> Result:
    """Simulates one pattern with one scaler."""
    platform, scaler, orders = (
        _Platform(pattern),
        scaler_type(),
        order_planner.OrderPlanner(),
    )
    observed: list[tuple[float, dict]] = []
    late = offered = price = 0.0
    calls = 0
    while platform.now_s < LENGTH_S:
        platform.step()
        now_s = platform.now_s
        load = BASE_LOAD * pattern.factor(now_s) if now_s >= 0 else 0.0
        ready = sum(f.spot + f.regular for f in platform.fleets().values())
        utilisation = load / ready if ready else 1.0
        late += load * min(max(2 * utilisation - 1, 0.0), 1.0) * STEP_S
        offered += load * STEP_S
        price += platform.price() * STEP_S
        observed.append((load, platform.fleets()))
        observation = observed[
            max(len(observed) - 1 - int(OBSERVATION_DELAY_S / STEP_S), 0)
        ]
        calls += _order(scaler_type, scaler, orders, platform, observation)
    return Result(late / offered, price, calls)


def _order(
    scaler_type: type[scaling.Scaler],
    scaler: scaling.Scaler,
    orders: order_planner.OrderPlanner,
    platform: _Platform,
    observed: tuple[float, dict[ids.DomainId, order_planner.Fleet]],
) -> int:
    load, fleets = observed
    if scaler_type is scaling.StaticScaler:
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
    """Prints late share, price and orders by pattern and scaler."""
    print("| pattern | " + " | ".join(SCALERS) + " |")
    print("| --- |" + " --- |" * len(SCALERS))
    for name, pattern in PATTERNS.items():
        cells = []
        for scaler_type in SCALERS.values():
            result = simulate(scaler_type, pattern)
            cells.append(
                f"{result.late_share:.3f}, {result.price:.0f}, {result.orders}"
            )
        print(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
