"""The load patterns; each builds a scenario from a random generator."""

from collections import abc
import dataclasses
import math
import random

from benchmarks import driver
from benchmarks import fake_engine
from benchmarks import scenarios
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["PATTERNS", "Pattern", "with_own_policies"]

CHAT = ids.ClassId("family-chat")
DESK = ids.ClassId("records-summary")
LETTER = ids.ClassId("memorial-letter")

ENDPOINTS = tuple(ids.EndpointId(f"10.10.1.{n}:8000") for n in range(11, 15))
SLOTS = 8
DURATION_S = 60.0
WORKSPACES = 10

TOKEN_BYTES = 35_136
LINK_MBIT_PER_S = 100_000.0
"""Size of a token's cache entry and rate of the link between engines.

Fetching a token takes 3 us, prefilling it 100 us.
"""


@dataclasses.dataclass(frozen=True)
class _Shape:
    """Rate and size of the requests of a class.

    Attributes:
        rate_per_s: Arrivals at a load of one, over all entries.
        spread: Sigma of the lognormal length of an answer.
    """

    rate_per_s: float
    prompt_tokens: int
    answer_tokens: int
    spread: float


SHAPES = {
    CHAT: _Shape(6.0, 300, 60, 0.5),
    DESK: _Shape(2.0, 1_500, 150, 0.6),
    LETTER: _Shape(1.0, 800, 500, 0.7),
}
"""At a load of one these use about 0.8 of the four engines' time."""


Build = abc.Callable[[random.Random, schema.Policies], scenarios.Scenario]


def _classes() -> dict[ids.ClassId, schema.RequestClass]:
    rows = (
        (CHAT, "family", 0.92, 15.0),
        (DESK, "arranger", 5.0, 60.0),
        (LETTER, "letters", 30.0, 120.0),
    )
    return {
        name: schema.RequestClass(
            name,
            ids.TierId(tier),
            first_s,
            total_s,
            expected_tokens=SHAPES[name].answer_tokens,
        )
        for name, tier, first_s, total_s in rows
    }


def _document(
    policies: schema.Policies, link_mbit_per_s: float
) -> schema.Document:
    tiers = {
        ids.TierId(name): schema.Tier(ids.TierId(name), rank)
        for rank, name in enumerate(("family", "arranger", "letters"))
    }
    classes = _classes()
    workspaces = {
        ids.WorkspaceId(f"w{n}"): schema.Workspace(
            ids.WorkspaceId(f"w{n}"), (), tuple(classes)
        )
        for n in range(WORKSPACES)
    }
    service = schema.Service(
        driver.SERVICE,
        schema.ServiceKind.ENGINE,
        slots_per_endpoint=SLOTS,
        cache_token_bytes=TOKEN_BYTES,
        cache_link_mbit_per_s=link_mbit_per_s,
        endpoints={driver.DOMAIN: ENDPOINTS},
    )
    model = schema.Model(ids.ModelId("trail-7b"), driver.SERVICE)
    return schema.Document(
        tiers,
        classes,
        workspaces,
        {service.service: service},
        {model.model: model},
        {},
        policies,
    )


def _arrivals(
    rng: random.Random,
    class_id: ids.ClassId,
    load: float,
    from_s: float = 0.0,
    until_s: float = DURATION_S,
) -> abc.Iterator[fake_engine.Work]:
    shape = SHAPES[class_id]
    now_s = from_s
    while load:
        now_s += rng.expovariate(shape.rate_per_s * load)
        if now_s >= until_s:
            return
        mu = math.log(shape.answer_tokens) - shape.spread**2 / 2
        yield fake_engine.Work(
            class_id=class_id,
            workspace=ids.WorkspaceId(f"w{rng.randrange(WORKSPACES)}"),
            arrival_s=now_s,
            prompt_tokens=round(shape.prompt_tokens * rng.uniform(0.5, 1.5)),
            answer_tokens=max(1, round(rng.lognormvariate(mu, shape.spread))),
            prefix_key=f"p{rng.randrange(1 << 30)}",
        )


def _mixed(
    rng: random.Random, chat: float, desk: float, letter: float
) -> list[fake_engine.Work]:
    return [
        *_arrivals(rng, CHAT, chat),
        *_arrivals(rng, DESK, desk),
        *_arrivals(rng, LETTER, letter),
    ]


def _scenario(
    policies: schema.Policies,
    works: list[fake_engine.Work],
    faults: dict[int, dict[str, float]] | None = None,
    link_mbit_per_s: float = 0.0,
    **more: object,
) -> scenarios.Scenario:
    engines = {
        endpoint: fake_engine.EngineSettings(**(faults or {}).get(number, {}))
        for number, endpoint in enumerate(ENDPOINTS)
    }
    document = _document(policies, link_mbit_per_s)
    return scenarios.Scenario(document, engines, works, DURATION_S, **more)


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load pattern.

    Attributes:
        slots: Policy slots that are compared with their baselines.
    """

    name: str
    slots: tuple[str, ...]
    build: Build


def with_own_policies(
    name: str,
    scenario: abc.Callable[..., scenarios.Scenario],
    **fields: object,
) -> Pattern:
    """Returns a pattern whose scenario sets the policies, with its fields."""
    return Pattern(name, (), lambda rng, _: scenario(rng, **fields))


def _low_burst(rng, policies):
    works = _mixed(rng, 0.5, 0.5, 0.5)
    works += _arrivals(rng, LETTER, 6.0, 10.0, 40.0)
    return _scenario(policies, works)


def _high_burst(rng, policies):
    works = _mixed(rng, 0.5, 0.5, 0.5)
    works += _arrivals(rng, CHAT, 4.0, 10.0, 40.0)
    return _scenario(policies, works)


def _hot_workspace(rng, policies):
    works = _mixed(rng, 0.4, 0.4, 0.4)
    hot_works = [
        *_arrivals(rng, CHAT, 2.5, 10.0, 40.0),
        *_arrivals(rng, DESK, 2.5, 10.0, 40.0),
    ]
    for work in hot_works:
        work.workspace = ids.WorkspaceId("w0")
    return _scenario(policies, works + hot_works)


def _hot_prefix(rng, policies):
    works = _mixed(rng, 0.8, 1.4, 0.6)
    for work in works:
        if work.class_id == DESK:
            group = int(rng.paretovariate(1.0)) % 16
            work.prefix_key = f"shared-{group}"
            work.prefix_tokens = 2_000
            work.prompt_tokens += 2_000
    return _scenario(policies, works)


def _many_prefixes(rng, policies):
    """Twelve shared prefixes, as many as the four caches hold together."""
    works = _mixed(rng, 0.6, 1.0, 0.5)
    for work in works:
        if work.class_id == DESK:
            work.prefix_key = f"shared-{rng.randrange(12)}"
            work.prefix_tokens = 2_000
            work.prompt_tokens += 2_000
    return _scenario(policies, works)


def _shared_prefixes(*, can_fetch: bool, engine_fails: bool = False) -> Build:
    """Bursts of requests with eight shared prefixes, sent as prompt parts.

    One engine's cache holds three of them, all caches together all eight.

    Args:
        can_fetch: Whether engines can fetch a prefix from each other.
        engine_fails: Whether one engine fails in the middle of the burst.
    """

    def build(rng, policies):
        works = _mixed(rng, 0.4, 0.4, 0.2)
        works += _arrivals(rng, DESK, 2.5, 10.0, 40.0)
        for number, work in enumerate(works):
            if work.class_id == DESK:
                part = (f"shared-{rng.randrange(8)}", 2_000)
                work.prefix_key, work.prefix_tokens = part
                work.parts = (part, (f"own-{number}", work.prompt_tokens))
                work.prompt_tokens += work.prefix_tokens
        faults = None
        if engine_fails:
            # The engine fails every request in the middle of the burst.
            faults = {0: {"fail_from_s": 20.0, "fail_until_s": 30.0}}
        if policies.choice == schema.Policies().choice:
            policies = dataclasses.replace(policies, choice="first-event")
        link = LINK_MBIT_PER_S if can_fetch else 0.0
        return _scenario(policies, works, faults, link, gossip_delay_s=1.5)

    return build


def _slow_endpoint(rng, policies):
    faults = {0: {"slow_from_s": 0.0, "slowdown": 4.0}}
    return _scenario(policies, _mixed(rng, 0.6, 0.6, 0.6), faults)


def _overstated_slots(rng, policies):
    """Two of four engines have memory for half of the documented slots."""
    small = {"knee": 4, "over_knee_step_s": 0.015}
    works = _mixed(rng, 0.8, 0.8, 0.8)
    return _scenario(policies, works, {0: small, 1: small})


def _memory_short(rng, policies):
    """All engines have memory for half of the documented slots."""
    small = {"knee": 4, "over_knee_step_s": 0.03}
    works = _mixed(rng, 0.5, 0.5, 0.5)
    return _scenario(policies, works, dict.fromkeys(range(4), small))


def _small_batches(rng, policies):
    """All engines run four requests at a time and queue the others."""
    small = {"batch": 4}
    works = _mixed(rng, 0.6, 0.6, 0.6)
    return _scenario(policies, works, dict.fromkeys(range(4), small))


def _straggler(rng, policies):
    faults = {0: {"slow_from_s": 15.0, "slowdown": 10.0, "report_lag_s": 5.0}}
    return _scenario(policies, _mixed(rng, 0.6, 0.6, 0.6), faults)


def _long_among_short(rng, policies):
    works = _mixed(rng, 1.0, 0.5, 0.8)
    for work in works:
        if work.class_id == DESK and rng.random() < 0.15:
            work.answer_tokens = 1_500
    return _scenario(policies, works)


def _overload(load: float) -> Build:
    def build(rng, policies):
        return _scenario(policies, _mixed(rng, 0.5, load * 1.2, load * 1.2))

    return build


def _retry_storm(rng, policies):
    works = _mixed(rng, 0.6, 0.6, 0.4)
    works += _arrivals(rng, DESK, 25.0, 10.0, 14.0)
    return _scenario(policies, works)


def _entries(cut: bool) -> Build:
    def build(rng, policies):
        works = _mixed(rng, 0.9, 0.9, 0.9)
        more = {"cut_from_s": 20.0} if cut else {}
        return _scenario(
            policies,
            works,
            entry_weights=(6.0, 2.0, 1.0, 1.0),
            gossip_delay_s=3.0,
            **more,
        )

    return build


def _crash(rng, policies):
    works = _mixed(rng, 0.6, 0.6, 0.6)
    crashing = list(_arrivals(rng, DESK, 1.0, 10.0, 20.0))[:2]
    for work in crashing:
        work.crashes = True
    return _scenario(policies, works + crashing)


def _fail_fast(rng, policies):
    faults = {0: {"fail_from_s": 10.0, "fail_until_s": 40.0}}
    return _scenario(policies, _mixed(rng, 0.6, 0.6, 0.6), faults)


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("burst-low", ("queue", "admission"), _low_burst),
        Pattern("burst-high", ("queue", "admission"), _high_burst),
        Pattern("hot-workspace", ("queue",), _hot_workspace),
        Pattern("hot-prefix", ("choice",), _hot_prefix),
        Pattern("many-prefixes", ("choice",), _many_prefixes),
        Pattern(
            "beginnings-read", ("choice",), _shared_prefixes(can_fetch=False)
        ),
        Pattern(
            "beginnings-fetched", ("choice",), _shared_prefixes(can_fetch=True)
        ),
        Pattern(
            "beginnings-lost-read",
            ("choice",),
            _shared_prefixes(can_fetch=False, engine_fails=True),
        ),
        Pattern(
            "beginnings-lost-fetched",
            ("choice",),
            _shared_prefixes(can_fetch=True, engine_fails=True),
        ),
        Pattern("slow-endpoint", ("choice", "limits"), _slow_endpoint),
        Pattern("overstated-slots", ("limits",), _overstated_slots),
        Pattern("memory-short", ("limits",), _memory_short),
        Pattern("small-batches", ("limits",), _small_batches),
        Pattern("straggler", ("choice", "limits"), _straggler),
        Pattern("long-among-short", ("queue", "estimate"), _long_among_short),
        Pattern("overload-2x", ("queue", "admission"), _overload(2.0)),
        Pattern("overload-5x", ("queue", "admission"), _overload(5.0)),
        Pattern("retry-storm", ("retry", "admission"), _retry_storm),
        Pattern("entries-late", ("shares",), _entries(cut=False)),
        Pattern("entries-cut", ("shares",), _entries(cut=True)),
        Pattern("crashing-request", ("quarantine",), _crash),
        Pattern("fail-fast", ("choice", "retry"), _fail_fast),
    )
}
