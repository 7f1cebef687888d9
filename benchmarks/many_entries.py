"""Load patterns of one domain with many entries and few engines.

An entry sends a request to the same engine about once in ten seconds, so that
its own requests tell it almost nothing about an engine's load. Prompts share
long prefixes and differ in length by a multiple; an engine prefills one after
the other.
"""

from collections import abc
import dataclasses
import math
import random

from benchmarks import driver
from benchmarks import fake_engine
from benchmarks import patterns
from benchmarks import scenarios
from benchmarks import stream_document
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["DIGEST", "PATTERNS", "QUESTION", "SUMMARY", "scenario"]

ENTRIES = 32
SLOTS = 12
DURATION_S = 40.0
BURST_S = (10.0, 18.0)
RATE_PER_S = 26.4
SHARED_PREFIXES = 30
WORKSPACES = 10

DIGEST = ids.ClassId("digest")
SUMMARY = ids.ClassId("summary")
QUESTION = ids.ClassId("question")

ENDPOINTS = tuple(ids.EndpointId(f"10.10.1.{n}:8000") for n in range(11, 24))

ENGINE = fake_engine.EngineSettings(
    base_step_s=0.002,
    step_s_per_sequence=0.0002,
    prefill_s_per_token=0.00002,
    prefill_chunk_tokens=2_048,
    batch=SLOTS,
    cache_tokens=300_000,
    report_lag_s=0.3,
)


@dataclasses.dataclass(frozen=True)
class _Kind(stream_document.Stream):
    """One kind of request.

    Attributes:
        weight: Relative rate of arrivals.
    """

    weight: float


KINDS = (
    _Kind(DIGEST, 2, 13_300, 3_720, 120, 2.06, 12.4, 0.6, weight=64.0),
    _Kind(SUMMARY, 1, 6_300, 2_890, 51, 0.845, 6.3, 0.25, weight=50.0),
    _Kind(QUESTION, 0, 350, 1_110, 171, 0.526, 12.6, 0.15, weight=45.0),
)


def _document() -> schema.Document:
    service = schema.Service(
        driver.SERVICE,
        schema.ServiceKind.ENGINE,
        slots_per_endpoint=SLOTS,
        cache_token_bytes=327_680,
        cache_link_mbit_per_s=320_000.0,
        endpoints={driver.DOMAIN: ENDPOINTS},
    )
    return stream_document.build(KINDS, service, WORKSPACES)


def _works(
    rng: random.Random, load: float, burst: float
) -> abc.Iterator[fake_engine.Work]:
    now_s = 0.0
    number = 0
    while True:
        in_burst = BURST_S[0] <= now_s < BURST_S[1]
        now_s += rng.expovariate(RATE_PER_S * load * (burst if in_burst else 1))
        if now_s >= DURATION_S:
            return
        kind = rng.choices(KINDS, [each.weight for each in KINDS])[0]
        group = int(rng.paretovariate(1.0)) % SHARED_PREFIXES
        shared = round(kind.shared_tokens * (0.5 + group * 7 % 10 / 10))
        own = max(round(kind.own_tokens * rng.lognormvariate(-0.5, 1.0)), 50)
        answer = kind.answer_tokens * rng.lognormvariate(-0.18, 0.6)
        prefix = f"{kind.class_id}-{group}"
        yield fake_engine.Work(
            class_id=kind.class_id,
            workspace=ids.WorkspaceId(f"w{rng.randrange(WORKSPACES)}"),
            arrival_s=now_s,
            prompt_tokens=shared + own,
            answer_tokens=max(math.ceil(answer), 3),
            prefix_key=prefix,
            prefix_tokens=shared,
            parts=((prefix, shared), (f"own-{number}", own)),
        )
        number += 1


def scenario(
    rng: random.Random,
    load: float = 1.0,
    burst: float = 4.0,
    entries: int = ENTRIES,
    **fields: object,
) -> scenarios.Scenario:
    """Returns a scenario with a burst.

    Args:
        rng: Generates the requests.
        load: Factor of the usual arrival rate.
        burst: Further factor during `BURST_S`.
        entries: Number of entries.
        fields: Further fields of the scenario.
    """
    return scenarios.Scenario(
        _document(),
        dict.fromkeys(ENDPOINTS, ENGINE),
        list(_works(rng, load, burst)),
        DURATION_S,
        entry_weights=(1.0,) * entries,
        gossip_delay_s=1.5,
        drain_s=15.0,
        **fields,
    )


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        patterns.with_own_policies("many-entries", scenario),
        patterns.with_own_policies("many-entries-asked", scenario, asked=True),
        patterns.with_own_policies(
            "many-entries-asked-lost",
            scenario,
            asked=True,
            placer_lost_from_s=12.0,
            placer_lost_until_s=20.0,
        ),
    )
}
