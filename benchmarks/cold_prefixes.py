"""Load patterns with many requests for few long prefixes that are cold.

All engines are cold at the start. Later, half of the engines are replaced by
new ones in a release, and one crashes. Requests arrive at three times the
usual rate; prefixes have similar popularity (a skew of 0.3), except that one
gets a third of the requests of its class. A placer decides for all entries.
"""

from collections import abc
import dataclasses
import functools
import math
import random

from benchmarks import driver
from benchmarks import fake_engine
from benchmarks import many_entries
from benchmarks import placer_driver
from benchmarks import scenarios
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["ColdPrefixesDriver", "ColdScenario", "scenario"]

ENTRIES = 12
SLOTS = 16
DURATION_S = 16.0
RELEASE_S = 6.0
CRASH_S = 11.0
RATE_PER_ENGINE_S = 2.4
"""Arrivals per engine and second at the usual load."""

BURST = 2.7
PREFIXES = 40
SKEW = 0.3
HOT_SHARE = 1 / 3
WORKSPACES = 10

ENGINE = fake_engine.EngineSettings(
    base_step_s=0.002,
    step_s_per_sequence=0.0002,
    prefill_s_per_token=0.00002,
    prefill_chunk_tokens=2_048,
    batch=SLOTS,
    cache_tokens=484_358,
    fetch_share=0.12,
    report_lag_s=0.3,
)

LINK_MBIT_PER_S = 1_090_000.0
"""A prefix of 13,300 tokens is fetched in 32 ms."""

SHARED_TOKENS = {
    many_entries.DIGEST: 13_300,
    many_entries.SUMMARY: 6_300,
    many_entries.QUESTION: 350,
}
OWN_TOKENS = {
    many_entries.DIGEST: 3_720,
    many_entries.SUMMARY: 2_890,
    many_entries.QUESTION: 1_110,
}
WEIGHTS = {
    many_entries.DIGEST: 75.3,
    many_entries.SUMMARY: 44.0,
    many_entries.QUESTION: 44.4,
}


@dataclasses.dataclass
class ColdScenario(scenarios.Scenario):
    """One run with cold engines.

    Attributes:
        overload: Whether the overload controls are enabled.
        replaced: Endpoints that leave at `RELEASE_S`, and their successors.
        crashing: Endpoint that crashes at `CRASH_S`.
    """

    overload: bool = False
    replaced: tuple[tuple[ids.EndpointId, ids.EndpointId], ...] = ()
    crashing: ids.EndpointId | None = None


class ColdPrefixesDriver(placer_driver.PlacerDriver):
    """One run with a release and a crash.

    As in `entry.broker`, the placer decides at each first token.
    """

    def __init__(self, scenario: ColdScenario, seed: int):
        super().__init__(scenario, seed)
        self._cold = scenario
        self._leaving: set[ids.EndpointId] = set()
        self._at(0.0, self._hide_successors)
        for number, pair in enumerate(scenario.replaced):
            release_s = RELEASE_S + 0.5 * number
            self._at(release_s, functools.partial(self._replace, *pair))
        if scenario.crashing is not None:
            crashing = scenario.crashing
            self._at(CRASH_S, lambda: self._crash(crashing))

    @property
    def placer(self) -> core.Dispatcher | None:
        """The placer; tests read its state."""
        return self._placer

    def _new_placer(self) -> core.Dispatcher:
        scenario = self._scenario
        context = context_module.PolicyContext(
            scenario.document,
            ids.InstanceId("entry-0"),
            driver.DOMAIN,
            random.Random(self._seed * 1_000 - 1),
            overload=overload_module.OverloadControl(scenario.overload),
            whole_domain=True,
        )
        return core.Dispatcher(context, self._now_s)

    def _hide_successors(self) -> None:
        for _, successor in self._cold.replaced:
            self._set_leaving(successor, True)

    def _replace(
        self, endpoint: ids.EndpointId, successor: ids.EndpointId
    ) -> None:
        self._set_leaving(successor, False)
        self._set_leaving(endpoint, True)
        # An engine that is about to stop is no longer a source of fetches.
        leaving = self._engines[endpoint]
        for engine in self._engines.values():
            engine.fleet = tuple(e for e in engine.fleet if e is not leaving)

    def _set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        change = self._leaving.add if leaving else self._leaving.discard
        change(endpoint)
        for dispatcher in (*self.entries, self._placer):
            if dispatcher is not None:
                dispatcher.set_leaving(endpoint, leaving)
                dispatcher.refresh_shares(self._now_s)

    def _restart_placer(self) -> None:
        super()._restart_placer()
        for endpoint in list(self._leaving):
            self._set_leaving(endpoint, True)

    def _crash(self, endpoint: ids.EndpointId) -> None:
        was_stepping = self._engines[endpoint].stepping
        super()._crash(endpoint)
        # The end of the step that the crash has cut off is still to come.
        self._engines[endpoint].stepping = was_stepping

    def _first_token(self, flight: driver.Flight) -> None:
        super()._first_token(flight)
        if self._placer is not None:
            self._place_at_placer()


def _document(endpoints: abc.Sequence[ids.EndpointId]) -> schema.Document:
    document = many_entries.document()
    service = dataclasses.replace(
        document.services[driver.SERVICE],
        slots_per_endpoint=SLOTS,
        cache_link_mbit_per_s=LINK_MBIT_PER_S,
        endpoints={driver.DOMAIN: tuple(endpoints)},
    )
    return dataclasses.replace(document, services={driver.SERVICE: service})


def _works(rng: random.Random, rate_per_s: float) -> list[fake_engine.Work]:
    works = []
    now_s = 0.0
    popularity = [1 / (rank + 1) ** SKEW for rank in range(PREFIXES)]
    classes = list(WEIGHTS)
    while (now_s := now_s + rng.expovariate(rate_per_s)) < DURATION_S:
        class_id = rng.choices(classes, list(WEIGHTS.values()))[0]
        group = 0
        if rng.random() >= HOT_SHARE:
            group = rng.choices(range(PREFIXES), popularity)[0]
        shared = SHARED_TOKENS[class_id]
        own = round(OWN_TOKENS[class_id] * rng.lognormvariate(-0.125, 0.5))
        prefix = f"{class_id}-{group}"
        works.append(
            fake_engine.Work(
                class_id=class_id,
                workspace=ids.WorkspaceId(f"w{rng.randrange(WORKSPACES)}"),
                arrival_s=now_s,
                prompt_tokens=shared + own,
                answer_tokens=math.ceil(80 * rng.lognormvariate(-0.18, 0.6)),
                prefix_key=prefix,
                prefix_tokens=shared,
                parts=((prefix, shared), (f"own-{len(works)}", own)),
            )
        )
    return works


def scenario(
    seed: int, engines: int = 10, overload: bool = True, **fields: object
) -> ColdScenario:
    """Returns a scenario.

    Args:
        seed: Seed of the requests; the same requests for the same seed.
        engines: Number of engines in service, 6 to 13.
        overload: Whether the overload controls are enabled.
        fields: Further fields of the scenario.
    """
    names = [
        ids.EndpointId(f"10.10.1.{number}:8000")
        for number in range(engines + engines // 2)
    ]
    replaced = tuple(zip(names, names[engines:], strict=False))
    rate_per_s = RATE_PER_ENGINE_S * BURST * engines
    return ColdScenario(
        _document(names),
        dict.fromkeys(names, ENGINE),
        _works(random.Random(seed), rate_per_s),
        DURATION_S,
        entry_weights=(1.0,) * ENTRIES,
        gossip_delay_s=1.5,
        drain_s=12.0,
        asked=True,
        overload=overload,
        replaced=replaced,
        crashing=names[engines - 1],
        **fields,
    )
