"""Load patterns of engines whose speeds differ, for good or for seconds.

The requests are those of `many_entries`, at a rate that fits the engines. The
engines take 1, 1.3 or 2.5 times the usual time; some of them become slower for
seconds and report it as their work time.

``python -m benchmarks.uneven_engines`` compares what the speed of an endpoint
may be taken from.
"""

import argparse
from collections import abc
import dataclasses
import enum
import math
import random

from benchmarks import driver
from benchmarks import fake_engine
from benchmarks import many_entries
from benchmarks import patterns
from benchmarks import placer_driver
from benchmarks import results
from benchmarks import scenarios
from cardamombarrow.decisions import core
from cardamombarrow.decisions.choosing import endpoint_speed
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "PATTERNS",
    "SpeedDriver",
    "SpeedSource",
    "main",
    "scenario",
]

ENGINES = 9
ENTRIES = 8
SPEED_FACTORS = (1.0, 1.3, 2.5)
SLOWDOWN = 4.0
SLOW_S = 6.0
"""Length of a slow period."""

LOAD = 0.9
"""Arrival rate as a factor of that of `many_entries` per unit of speed, outside
and inside the burst."""

BURST = 1.6


class SpeedSource(enum.Enum):
    """What the speed of an endpoint is taken from."""

    SERVICE = "service time only"
    LEARNED = "learned factor"
    REPORT = "report as given"
    WEIGHTED = "report weighted by age and accuracy"


class _ServiceOnly(endpoint_speed.EndpointSpeeds):
    def factor(self, endpoint: ids.EndpointId, now_s: float) -> float:
        return 1.0


class _LearnedOnly(endpoint_speed.EndpointSpeeds):
    def report(self, endpoint, service, work_time_factor, now_s) -> None:
        pass


class _ReportAsGiven(endpoint_speed.EndpointSpeeds):
    def factor(self, endpoint: ids.EndpointId, now_s: float) -> float:
        return math.exp(self.predict(endpoint, now_s).report)


_SPEEDS = {
    SpeedSource.SERVICE: _ServiceOnly,
    SpeedSource.LEARNED: _LearnedOnly,
    SpeedSource.REPORT: _ReportAsGiven,
    SpeedSource.WEIGHTED: endpoint_speed.EndpointSpeeds,
}


class SpeedDriver(placer_driver.PlacerDriver):
    """A driver whose dispatchers take speeds from one source."""

    def __init__(
        self, scenario: scenarios.Scenario, seed: int, source: SpeedSource
    ):
        self._source = source
        super().__init__(scenario, seed)
        for entry in self.entries:
            self._set_source(entry)

    def _new_placer(self) -> core.Dispatcher:
        placer = super()._new_placer()
        self._set_source(placer)
        return placer

    def _set_source(self, dispatcher: core.Dispatcher) -> None:
        dispatcher._policies.choice._prefill.speeds = _SPEEDS[self._source]()


def _engine_settings(
    number: int, slow_engines: int, work_time: fake_engine.WorkTime
) -> fake_engine.EngineSettings:
    """Returns the settings of one engine.

    Args:
        number: Number of the engine; its speed follows from it.
        slow_engines: Engines from number 0 on that become slow, one after the
            other.
        work_time: What it reports.
    """
    settings = dataclasses.replace(
        many_entries.ENGINE,
        speed_factor=SPEED_FACTORS[number % len(SPEED_FACTORS)],
        work_time=work_time,
    )
    if number >= slow_engines:
        return settings
    slow_from_s = 8.0 + number * SLOW_S
    return dataclasses.replace(
        settings,
        slow_from_s=slow_from_s,
        slow_until_s=slow_from_s + SLOW_S,
        slowdown=SLOWDOWN,
    )


def scenario(
    rng: random.Random,
    engines: int = ENGINES,
    slow_engines: int = 4,
    work_time: fake_engine.WorkTime = fake_engine.WorkTime.TRUE,
    load: float = LOAD,
    burst: float = BURST,
    false_work_times: abc.Mapping[int, float] | None = None,
    **fields: object,
) -> scenarios.Scenario:
    """Returns a scenario with engines of different speeds.

    Args:
        rng: Generates the requests.
        engines: Number of engines, at most as many as in `many_entries`.
        slow_engines: Engines that become slow for `SLOW_S`.
        work_time: What the engines report.
        load: Arrival rate per unit of speed, relative to `many_entries`.
        burst: Further factor during `many_entries.BURST_S`.
        false_work_times: Work time that engines report all the time, by
            number, although it is false.
        fields: Further fields of the scenario.
    """
    endpoints = many_entries.ENDPOINTS[:engines]
    settings = {
        endpoint: _engine_settings(number, slow_engines, work_time)
        for number, endpoint in enumerate(endpoints)
    }
    for number, false_work_time in (false_work_times or {}).items():
        endpoint = endpoints[number]
        settings[endpoint] = _with_false_work_time(
            settings[endpoint], false_work_time
        )
    speed = sum(1.0 / each.speed_factor for each in settings.values())
    base = many_entries.scenario(
        rng,
        load * speed / len(many_entries.ENDPOINTS),
        burst,
        ENTRIES,
        **fields,
    )
    document = _with_endpoints(base.document, endpoints)
    return dataclasses.replace(base, document=document, engines=settings)


def _with_false_work_time(
    settings: fake_engine.EngineSettings, false_work_time: float
) -> fake_engine.EngineSettings:
    return dataclasses.replace(
        settings,
        work_time=fake_engine.WorkTime.FALSE,
        false_work_time=false_work_time,
    )


def _with_endpoints(
    document: schema.Document, endpoints: tuple[ids.EndpointId, ...]
) -> schema.Document:
    service = dataclasses.replace(
        document.services[driver.SERVICE],
        endpoints={driver.DOMAIN: endpoints},
    )
    return dataclasses.replace(document, services={driver.SERVICE: service})


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        patterns.with_own_policies("uneven-engines", scenario, asked=True),
        patterns.with_own_policies(
            "uneven-engines-lost",
            scenario,
            asked=True,
            placer_lost_from_s=12.0,
            placer_lost_until_s=20.0,
        ),
    )
}


def _result(
    source: SpeedSource | None, seed: int, options: argparse.Namespace
) -> results.Result:
    """Runs a seed; without a source the part is off."""
    work_time = fake_engine.WorkTime.TRUE
    if source is None:
        work_time = fake_engine.WorkTime.NONE
    compared = scenario(
        random.Random(seed),
        options.engines,
        work_time=work_time,
        load=options.load,
        burst=options.burst,
        asked=True,
        learns_speeds=source is not None,
    )
    if source is None:
        return placer_driver.PlacerDriver(compared, seed).run()
    return SpeedDriver(compared, seed, source).run()


def main() -> None:
    """Prints the share of first events in time by source and class."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--engines", type=int, default=ENGINES)
    parser.add_argument("--load", type=float, default=LOAD)
    parser.add_argument("--burst", type=float, default=BURST)
    options = parser.parse_args()
    for source in (None, *SpeedSource):
        runs = [_result(source, seed, options) for seed in range(options.seeds)]
        name = "off" if source is None else source.value
        for class_id in runs[0].classes:
            rows = [run.classes[class_id] for run in runs]
            in_time = sum(row.attained for row in rows)
            share = in_time / sum(row.offered for row in rows)
            worst_s = max(row.worst_wait_s for row in rows)
            print(f"| {name} | {class_id} | {share:.3f} | {worst_s:.1f} s |")


if __name__ == "__main__":
    main()
