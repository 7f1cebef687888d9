"""Simulates endpoints with rate limits and several ways to divide a limit.

In virtual time, requests arrive at the delegates of several failure domains.
From `STATED_FROM_S` on, some endpoints state a limit in every answer. Run it
with ``python -m benchmarks.rate_limits``.
"""

import argparse
from collections import abc
import dataclasses
import heapq
import itertools
import random
import sys
from unittest import mock

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import rate_limits
from cardamombarrow.document import from_routes
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["GRACE_S", "WINDOW_S", "Load", "Simulation", "allowed_requests"]

ANSWER_S = 0.3
HOLD_S = 1.5
STATED_FROM_S = 8.0
END_S = 40.0
TARGET_S = 0.5
TICK_S = 0.05

WINDOW_S = 4.0
GRACE_S = 0.5
"""Time from an instance's first answer with a limit until it must comply."""

_SERVICE = ids.ServiceId("letters")
_SEEDS = (1, 2, 3)


def allowed_requests(limit_per_s: float) -> float:
    """Returns the requests that an endpoint may receive in `WINDOW_S`."""
    return 1.5 * limit_per_s * WINDOW_S + 5


@dataclasses.dataclass(frozen=True)
class Load:
    """Load of a simulation.

    Attributes:
        domains: Failure domains.
        engines: Endpoints without a limit, over all domains.
        limited: Endpoints that state a limit, over all domains.
        limit_per_s: The stated limit.
        rate_per_s: Requests per second, over all instances.
    """

    domains: int
    engines: int
    limit_per_s: float
    limited: int = 1
    rate_per_s: float = 15.0


def _document() -> schema.Document:
    classes = [
        schema.RequestClass(
            ids.ClassId("chat"), from_routes.tier_id(0), TARGET_S, 10.0
        )
    ]
    service = schema.Service(_SERVICE, schema.ServiceKind.ENGINE, 64)
    return from_routes.build(
        from_routes.ParsedRoutes(
            services=[service],
            routes=[],
            classes=classes,
            ranks={"chat": 0},
            workspaces=[],
            allow_anonymous=True,
            limits=schema.CallerLimits(),
        )
    )


class Simulation:
    """The delegates of several domains over one set of endpoints.

    Attributes:
        counted: By limited endpoint, the times of requests from instances that
            received its limit at least `GRACE_S` before.
        sent: Requests to limited endpoints after `STATED_FROM_S`.
        in_time: Requests whose first event came within the target.
        refused: Requests that were refused.
        offered: Requests that arrived.
    """

    def __init__(self, load: Load, seed: int):
        self._load = load
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()
        self._limited = [
            ids.EndpointId(f"10.0.0.{number}:80#limited")
            for number in range(load.limited)
        ]
        self._limit_received_s: dict[tuple[int, ids.EndpointId], float] = {}
        self.counted: dict[ids.EndpointId, list[float]] = {
            endpoint: [] for endpoint in self._limited
        }
        self.sent = 0
        self.in_time = 0
        self.refused = 0
        self.offered = 0
        self._arrived_s: dict[ids.RequestId, float] = {}
        self._rate_limits = [
            rate_limits.RateLimits() for _ in range(load.domains)
        ]
        self._dispatchers = [
            self._new_dispatcher(number, seed) for number in range(load.domains)
        ]

    def _endpoints(self) -> abc.Iterator[messages.KnownEndpoint]:
        domains = self._load.domains
        for number, endpoint in enumerate(self._limited):
            domain = f"domain-{number % domains}"
            yield messages.KnownEndpoint(endpoint, _SERVICE, domain, 64)
        for number in range(self._load.engines):
            yield messages.KnownEndpoint(
                f"10.0.1.{number}:80", _SERVICE, f"domain-{number % domains}", 4
            )

    def _new_dispatcher(self, number: int, seed: int) -> core.Dispatcher:
        context = context_module.PolicyContext(
            _document(),
            ids.InstanceId(f"entry-{number}"),
            ids.DomainId(f"domain-{number}"),
            random.Random(seed * 100 + number),
            rate_limits=self._rate_limits[number],
            whole_domain=True,
        )
        dispatcher = core.Dispatcher(context, 0.0)
        dispatcher.set_discovered(tuple(self._endpoints()), 0.0)
        return dispatcher

    def _at(self, event_s: float, event: abc.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (event_s, next(self._order), event))

    def run(self) -> "Simulation":
        """Runs the simulation to its end."""
        arrival_s = 0.0
        while True:
            arrival_s += self._rng.expovariate(self._load.rate_per_s)
            if arrival_s >= END_S:
                break
            self._at(arrival_s, self._arrive)
        for number in range(len(self._dispatchers)):
            self._at(0.0, lambda number=number: self._tick(number))
        while self._heap and self._heap[0][0] <= END_S:
            self._now_s, _, event = heapq.heappop(self._heap)
            event()
        return self

    def _tick(self, number: int) -> None:
        self._dispatchers[number].refresh_shares(self._now_s)
        self._place(number)
        self._at(self._now_s + TICK_S, lambda: self._tick(number))

    def _arrive(self) -> None:
        number = self._rng.randrange(len(self._dispatchers))
        job = messages.Job(
            request_id=ids.RequestId(f"r{next(self._order)}"),
            workspace=ids.WorkspaceId("one"),
            class_id=ids.ClassId("chat"),
            service=_SERVICE,
            model=ids.ModelId("m"),
            rank=0,
            arrived_s=self._now_s,
            target_first_token_s=TARGET_S,
            deadline_s=self._now_s + 10.0,
            prompt_tokens=500,
        )
        self._arrived_s[job.request_id] = self._now_s
        self.offered += 1
        if self._dispatchers[number].offer(job, self._now_s) is not None:
            self.refused += 1
        self._place(number)

    def _place(self, number: int) -> None:
        for decision in list(self._dispatchers[number].place(self._now_s)):
            if not isinstance(decision, messages.Placement):
                self.refused += 1
                continue
            if decision.endpoint in self.counted:
                self._count_sent(number, decision.endpoint)
            self._at(
                self._now_s + ANSWER_S,
                lambda decision=decision: self._answer(number, decision),
            )
            self._at(
                self._now_s + HOLD_S,
                lambda decision=decision: self._end(number, decision),
            )

    def _count_sent(self, number: int, endpoint: ids.EndpointId) -> None:
        self.sent += self._now_s >= STATED_FROM_S
        received_s = self._limit_received_s.get(
            (number, endpoint), float("inf")
        )
        if self._now_s >= received_s + GRACE_S:
            self.counted[endpoint].append(self._now_s)

    def _answer(self, number: int, decision: messages.Placement) -> None:
        dispatcher = self._dispatchers[number]
        dispatcher.first_token(decision.request_id, self._now_s)
        waited_s = self._now_s - self._arrived_s[decision.request_id]
        self.in_time += waited_s <= TARGET_S
        endpoint = decision.endpoint
        if endpoint in self.counted and self._now_s >= STATED_FROM_S:
            stated = messages.RateLimit(self._load.limit_per_s, self._now_s)
            if self._rate_limits[number].update(endpoint, stated):
                dispatcher.rate_limit_changed(endpoint)
            self._limit_received_s.setdefault((number, endpoint), self._now_s)

    def _end(self, number: int, decision: messages.Placement) -> None:
        outcome = messages.Outcome.DONE
        self._dispatchers[number].finish(
            decision.request_id, outcome, self._now_s
        )
        self._place(number)

    def max_in_window(self) -> int:
        """Returns the most counted requests of an endpoint in `WINDOW_S`."""
        return max(
            sum(begin_s <= each < begin_s + WINDOW_S for each in times)
            for times in self.counted.values()
            for begin_s in times or (0.0,)
        )


_Split = abc.Callable[..., rate_limits.RateShare]


def _divide(home_share: float, domains: int) -> _Split:
    """Returns a split that gives the rest evenly to the other domains."""

    def delegate_share(limit_per_s, endpoint, home, own):
        other_share = (1.0 - home_share) / (domains - 1)
        share = home_share if own == home else other_share
        per_s = rate_limits.USED_SHARE * limit_per_s * share
        return rate_limits.RateShare(max(per_s, rate_limits.PROBES_PER_S))

    return delegate_share


def _splits(load: Load) -> dict[str, _Split]:
    """Returns ways to divide a limit, by name."""
    return {
        "none": lambda *_: rate_limits.RateShare(1_000.0),
        "home domain only (kept)": rate_limits.delegate_part,
        "half to the home domain": _divide(0.5, load.domains),
        "even over domains": _divide(1.0 / load.domains, load.domains),
    }


def _row(name: str, load: Load, delegate_share: _Split) -> str:
    with mock.patch.object(rate_limits, "delegate_part", delegate_share):
        simulations = [Simulation(load, seed).run() for seed in _SEEDS]
    max_counted = max(simulation.max_in_window() for simulation in simulations)
    offered = sum(simulation.offered for simulation in simulations)
    in_time = sum(simulation.in_time for simulation in simulations) / offered
    refused = sum(simulation.refused for simulation in simulations) / offered
    stated = load.limit_per_s * load.limited * (END_S - STATED_FROM_S)
    used = (
        sum(simulation.sent for simulation in simulations)
        / stated
        / len(simulations)
    )
    return (
        f"| {name} | {load.domains} | {load.limited} "
        f"| {max_counted} of {allowed_requests(load.limit_per_s):.0f} "
        f"| {used:.2f} | {in_time:.3f} | {refused:.3f} |"
    )


def main() -> None:
    """Prints a table that compares the ways to divide a limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit-per-s", type=float, default=1.0)
    limit_per_s = parser.parse_args().limit_per_s
    lines = [
        "| split | domains | limited | max in 4 s | used | in time | refused |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for domains in (3, 6):
        for engines, limited in ((2 * domains, 1), (0, 4 * domains)):
            rate_per_s = engines * 2.5 + 0.9 * limit_per_s * limited
            load = Load(domains, engines, limit_per_s, limited, rate_per_s)
            splits = _splits(load).items()
            lines += [
                _row(name, load, delegate_share)
                for name, delegate_share in splits
            ]
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
