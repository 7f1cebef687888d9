"""A burst of long prompts on engines with cold caches, with a placer.

Prefill, not slots, is the bottleneck: while the shared prefixes are cold, the
burst needs more prefill than the engines have, and far less once they are warm.
Callers that are refused come back once, at the time that they are given.

``python -m benchmarks.overload_order`` prints a row per variant and class.
"""

import argparse
from collections import abc
import contextlib
import dataclasses
import math
import random
from unittest import mock

from benchmarks import driver
from benchmarks import fake_engine
from benchmarks import placer_driver
from benchmarks import scenarios
from benchmarks import stream_document
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import prefill_bound
from cardamombarrow.decisions.fleet import roster
from cardamombarrow.decisions.queueing import admission
from cardamombarrow.decisions.queueing import fairness
from cardamombarrow.decisions.queueing import prefill_forecast
from cardamombarrow.document import from_routes
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "BURST_S",
    "LONG",
    "MIDDLE",
    "SHORT",
    "Counts",
    "burst_counts",
    "run",
    "scenario",
]

ENTRIES = 8
ENGINES = 5
SLOTS = 16
DURATION_S = 14.0
BURST_S = (0.5, 8.0)
BURST_FACTOR = 2.6
WORKSPACES = 40

LONG = ids.ClassId("long")
MIDDLE = ids.ClassId("middle")
SHORT = ids.ClassId("short")

ENDPOINTS = tuple(
    ids.EndpointId(f"10.10.2.{n}:8000") for n in range(11, 11 + ENGINES)
)

ENGINE = fake_engine.EngineSettings(
    base_step_s=0.002,
    step_s_per_sequence=0.0002,
    prefill_s_per_token=1.0 / 49_600,
    prefill_chunk_tokens=2_048,
    batch=SLOTS,
    preempts=True,
    cache_tokens=484_358,
    fetch_share=0.12,
    report_lag_s=0.3,
)


@dataclasses.dataclass(frozen=True)
class _Kind(stream_document.Stream):
    """One stream of requests.

    Attributes:
        rate_per_s: Arrivals for the engines of this scenario.
        prefixes: Number of distinct shared prefixes.
    """

    rate_per_s: float
    prefixes: int


KINDS = (
    _Kind(LONG, 2, 13_300, 3_720, 120, 2.563, 10.253, 1.0, 7.53, 73),
    _Kind(MIDDLE, 1, 6_300, 2_890, 51, 0.845, 6.335, 0.4, 4.4, 20),
    _Kind(SHORT, 0, 350, 1_110, 171, 0.526, 12.628, 0.25, 4.44, 10),
)


def _document(policies: schema.Policies, slots: int) -> schema.Document:
    service = schema.Service(
        driver.SERVICE,
        schema.ServiceKind.ENGINE,
        slots_per_endpoint=slots,
        cache_token_bytes=327_680,
        cache_link_mbit_per_s=1_000_000.0,
        endpoints={driver.DOMAIN: ENDPOINTS},
    )
    return stream_document.build(KINDS, service, WORKSPACES, policies)


def _works(rng: random.Random, load: float) -> list[fake_engine.Work]:
    works = [work for kind in KINDS for work in _stream(rng, kind, load)]
    return sorted(works, key=lambda work: work.arrival_s)


def _stream(
    rng: random.Random, kind: _Kind, load: float
) -> abc.Iterator[fake_engine.Work]:
    now_s = 0.0
    number = 0
    while True:
        in_burst = BURST_S[0] <= now_s < BURST_S[1]
        factor = BURST_FACTOR if in_burst and kind.class_id == LONG else 1.0
        now_s += rng.expovariate(kind.rate_per_s * load * factor)
        if now_s >= DURATION_S:
            return
        prefix = f"{kind.class_id}-{rng.randrange(kind.prefixes)}"
        own = max(round(kind.own_tokens * rng.lognormvariate(-0.125, 0.5)), 50)
        answer = kind.answer_tokens * rng.lognormvariate(-0.18, 0.6)
        yield fake_engine.Work(
            class_id=kind.class_id,
            workspace=ids.WorkspaceId(f"w{rng.randrange(WORKSPACES)}"),
            arrival_s=now_s,
            prompt_tokens=kind.shared_tokens + own,
            answer_tokens=max(math.ceil(answer), 3),
            prefix_key=prefix,
            prefix_tokens=kind.shared_tokens,
            parts=(
                (prefix, kind.shared_tokens),
                (f"{kind.class_id}-own-{number}", own),
            ),
        )
        number += 1


def scenario(
    seed: int,
    overload: bool,
    load: float = 1.0,
    policies: schema.Policies = from_routes.POLICIES,
    slots: int = SLOTS,
    **fields: object,
) -> scenarios.Scenario:
    """Returns a scenario; equal seeds and loads give equal requests.

    Args:
        seed: Of the requests.
        overload: Whether the overload controls are enabled.
        load: Factor of the usual arrival rate.
        policies: The policies in force.
        slots: Concurrent requests of an engine.
        fields: Further fields of the scenario.
    """
    return scenarios.Scenario(
        _document(policies, slots),
        dict.fromkeys(ENDPOINTS, dataclasses.replace(ENGINE, batch=slots)),
        _works(random.Random(seed), load),
        DURATION_S,
        entry_weights=(1.0,) * ENTRIES,
        gossip_delay_s=1.5,
        drain_s=15.0,
        overload=overload,
        caller_tries=2,
        retry_share=1.0 / 3.0,
        **{"asked": True, **fields},
    )


@dataclasses.dataclass
class Counts:
    """Requests of one class that arrived in the burst.

    Attributes:
        offered: All requests.
        in_time: First token within the target, counted from the first send.
        late: First token after the target.
        refused: The last answer was a refusal.
        failed: Neither a first token nor a refusal.
        longest_s: Longest time from the first send to the first token or the
            last refusal.
        longest_send_s: The same from the last send.
        lowest_in_time_share: Lowest share in time among the seconds of the
            burst.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    longest_s: float = 0.0
    longest_send_s: float = 0.0
    lowest_in_time_share: float = 1.0


def burst_counts(
    works: abc.Iterable[fake_engine.Work],
) -> dict[ids.ClassId, Counts]:
    """Returns the counts by class of the requests sent in the burst."""
    counts = {each.class_id: Counts() for each in KINDS}
    seconds: dict[tuple[ids.ClassId, int], list[bool]] = {}
    for work in works:
        if not BURST_S[0] <= work.arrival_s < BURST_S[1]:
            continue
        _count(counts[work.class_id], work)
        second = int(work.arrival_s - BURST_S[0])
        key = (work.class_id, second)
        seconds.setdefault(key, []).append(work.in_time)
    for (class_id, _), in_time in seconds.items():
        share = sum(in_time) / len(in_time)
        row = counts[class_id]
        row.lowest_in_time_share = min(row.lowest_in_time_share, share)
    return counts


def _count(row: Counts, work: fake_engine.Work) -> None:
    row.offered += 1
    row.in_time += work.in_time
    row.late += work.answered_s is not None and not work.in_time
    row.refused += work.refused_s is not None
    row.failed += work.answered_s is None and work.refused_s is None
    ended_s = work.answered_s if work.refused_s is None else work.refused_s
    if ended_s is not None:
        row.longest_s = max(row.longest_s, ended_s - work.arrival_s)
        row.longest_send_s = max(row.longest_send_s, ended_s - work.sent_s)


def run(
    seed: int, overload: bool, **fields: object
) -> dict[ids.ClassId, Counts]:
    """Runs the scenario and returns the counts of the burst by class."""
    built = scenario(seed, overload, **fields)
    placer_driver.make(built, seed).run()
    return burst_counts(built.works)


_NO_ORDER = (roster.Roster, "orders_late_jobs", lambda self, service: False)
_NO_FORECAST = (
    prefill_forecast.PrefillForecast,
    "wait_s",
    lambda self, job, now_s: 0.0,
)
_OLD_ADMISSION = (
    core.Dispatcher,
    "_with_prefill",
    lambda self, job, backlog, now_s: backlog,
)


def _refuse_all(
    self: admission.PredictedWaitAdmission,
    job: messages.Job,
    backlog: messages.Backlog,
    now_s: float,
) -> str | None:
    """Refuses by the predicted wait whether or not a job can be in time."""
    backlog = dataclasses.replace(backlog, is_late=True)
    return _REFUSE(self, job, backlog, now_s)


_REFUSE = admission.PredictedWaitAdmission.refuse
_REFUSE_ALL = (admission.PredictedWaitAdmission, "refuse", _refuse_all)
_NO_TURNS = (fairness, "IN_TIME_PER_LATE", math.inf)


def _bound(bound_s: float) -> tuple[object, str, object]:
    return (prefill_bound, "BOUND_S", bound_s)


VARIANTS = {
    "number of prompts": (False, ()),
    "bound in seconds": (True, (_NO_ORDER, _OLD_ADMISSION)),
    "late jobs behind": (True, (_OLD_ADMISSION,)),
    "with admission": (True, ()),
    "with admission, no turns of late jobs": (True, (_NO_TURNS,)),
    "with admission, late jobs not behind": (True, (_NO_ORDER,)),
    "with admission, without the prefill ahead": (True, (_NO_FORECAST,)),
    "with admission, all arrivals by the wait": (True, (_REFUSE_ALL,)),
    "with admission, bound 0 s": (True, (_bound(1e-9),)),
    "with admission, bound 0.05 s": (True, (_bound(0.05),)),
    "with admission, bound 0.3 s": (True, (_bound(0.3),)),
    "with admission, bound 0.6 s": (True, (_bound(0.6),)),
}
"""Whether the overload controls are enabled, and what is replaced, by name."""

_COLUMNS = ("offered", "in_time", "late", "refused", "failed")


def _run_variant(
    name: str, seeds: int, load: float, slots: int
) -> list[dict[ids.ClassId, Counts]]:
    overload, replaced = VARIANTS[name]
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in replaced:
            stack.enter_context(mock.patch.object(owner, attribute, value))
        return [
            run(seed, overload, load=load, slots=slots) for seed in range(seeds)
        ]


def main() -> None:
    """Prints a row per variant and class, summed over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--slots", type=int, default=SLOTS)
    options = parser.parse_args()
    print(
        "| variant | class | offered | in time | late | refused | failed "
        "| longest s | lowest share in time in a second |"
    )
    print("|---" * 9 + "|")
    for name in VARIANTS:
        runs = _run_variant(name, options.seeds, options.load, options.slots)
        for kind in KINDS:
            rows = [each[kind.class_id] for each in runs]
            cells = " | ".join(
                str(sum(getattr(row, column) for row in rows))
                for column in _COLUMNS
            )
            longest_s = max(row.longest_s for row in rows)
            lowest = min(row.lowest_in_time_share for row in rows)
            print(
                f"| {name} | {kind.class_id} | {cells} "
                f"| {longest_s:.2f} | {lowest:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
