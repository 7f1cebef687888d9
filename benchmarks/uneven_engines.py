"""Load patterns of engines whose speeds differ, for good or for seconds.

The requests are those of `many_entries`, at a rate that fits the engines. The
engines take 1, 1.3 or 2.5 times the usual time; some of them become slower for
seconds and report it as their work time.
"""

from collections import abc
import dataclasses
import enum
import math
import random

from benchmarks import driver
from benchmarks import fake_engine
from benchmarks import many_entries
from benchmarks import patterns
from benchmarks import scenarios
from cardamombarrow.decisions import core
from cardamombarrow.decisions.choosing import endpoint_speed
from cardamombarrow.kernel import ids

__all__ = [
    "PATTERNS",
    "SpeedSource",
    "engine_settings",
    "scenario",
    "set_speed_source",
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


def set_speed_source(dispatcher: core.Dispatcher, source: SpeedSource) -> None:
    """Replaces what a dispatcher's choice takes the speeds from."""
    dispatcher._policies.choice._speeds = _SPEEDS[source]()


def engine_settings(
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
        endpoint: engine_settings(number, slow_engines, work_time)
        for number, endpoint in enumerate(endpoints)
    }
    for number, false_work_time in (false_work_times or {}).items():
        settings[endpoints[number]] = dataclasses.replace(
            settings[endpoints[number]],
            work_time=fake_engine.WorkTime.FALSE,
            false_work_time=false_work_time,
        )
    speed = sum(1.0 / each.speed_factor for each in settings.values())
    base = many_entries.scenario(
        rng,
        load * speed / len(many_entries.ENDPOINTS),
        burst,
        ENTRIES,
        **fields,
    )
    service = dataclasses.replace(
        base.document.services[driver.SERVICE],
        endpoints={driver.DOMAIN: endpoints},
    )
    document = dataclasses.replace(
        base.document, services={driver.SERVICE: service}
    )
    return dataclasses.replace(base, document=document, engines=settings)


def _pattern(name: str, **fields: object) -> patterns.Pattern:
    def build(rng, policies):
        return scenario(rng, **fields)

    return patterns.Pattern(name, (), build)


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        _pattern("uneven-engines", asked=True),
        _pattern(
            "uneven-engines-lost",
            asked=True,
            placer_lost_from_s=12.0,
            placer_lost_until_s=20.0,
        ),
    )
}
