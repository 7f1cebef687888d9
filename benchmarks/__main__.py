"""``python -m benchmarks``: a table per load pattern.

Each table compares the default policies with the baseline policies.
"""

import argparse
from collections import abc
import dataclasses
import random
import time

from benchmarks import many_entries
from benchmarks import patterns
from benchmarks import placer_driver
from benchmarks import results
from benchmarks import uneven_engines
from cardamombarrow.document import schema

__all__ = ["BASELINE", "main", "run"]

BASELINE = schema.Policies(
    queue="fifo",
    admission="bounded",
    limits="fixed",
    choice="round-robin",
    shares="static",
    retry="immediate",
    quarantine="none",
    spill="never",
    preemption="never",
    estimate="mean",
)

_ALL_PATTERNS = {
    **patterns.PATTERNS,
    **many_entries.PATTERNS,
    **uneven_engines.PATTERNS,
}

_HEADER = (
    "| policies | class | offered | completed | in time | bound | refusals "
    "| worst wait s | min in 10 s | goodput | bound | wasted |"
)


def run(
    pattern: patterns.Pattern, policies: schema.Policies, seeds: int
) -> results.Result:
    """Runs a pattern with several seeds and returns the mean."""
    return results.merge(
        [
            placer_driver.make(
                pattern.build(random.Random(seed), policies), seed
            ).run()
            for seed in range(seeds)
        ]
    )


def _variants(
    pattern: patterns.Pattern, compared: schema.Policies, every_slot: bool
) -> abc.Iterator[tuple[str, schema.Policies]]:
    yield "ours", compared
    yield "all baselines", BASELINE
    slots = [field.name for field in dataclasses.fields(schema.Policies)]
    for slot in slots if every_slot else pattern.slots:
        name = getattr(BASELINE, slot)
        if getattr(compared, slot) != name:
            changed = dataclasses.replace(compared, **{slot: name})
            yield f"{slot}={name}", changed


def _rows(name: str, result: results.Result) -> abc.Iterator[str]:
    for class_id, row in result.classes.items():
        windows = [row.windows[n] for n in range(1, 6)]
        yield (
            f"| {name} | {class_id} | {row.offered:.0f} | {row.completed:.0f} "
            f"| {row.attainment_share:.3f} | {row.best_share:.3f} "
            f"| {row.refusals:.0f} | {row.worst_wait_s:.1f} | {min(windows)} "
            f"| {result.goodput_share:.3f} | {result.best_goodput_share:.3f} "
            f"| {result.wasted_share:.3f} |"
        )


def _summary(name: str, result: results.Result) -> str:
    return (
        f"{name}: crashes {result.crashes:.1f}, harmless requests failed "
        f"{result.harmless_failed:.1f} and quarantined "
        f"{result.harmless_quarantined:.1f}, prompt tokens from cache "
        f"{result.cached_share:.3f} and fetched {result.fetched_share:.3f}, "
        f"max over an endpoint's limit "
        f"{result.most_over_limit:.0f}"
    )


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*", metavar="pattern")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="SLOT=NAME",
        help="replace a default policy in the compared set",
    )
    parser.add_argument(
        "--every-slot",
        action="store_true",
        help="compare the baseline of every slot, not only the pattern's",
    )
    options = parser.parse_args()
    unknown = set(options.patterns) - set(_ALL_PATTERNS)
    if unknown:
        known = ", ".join(_ALL_PATTERNS)
        parser.error(f"unknown: {', '.join(unknown)}; known: {known}")
    chosen = dict(item.split("=", 1) for item in options.set)
    compared = dataclasses.replace(schema.Policies(), **chosen)
    for name in options.patterns or _ALL_PATTERNS:
        _print(_ALL_PATTERNS[name], compared, options)


def _print(
    pattern: patterns.Pattern,
    compared: schema.Policies,
    options: argparse.Namespace,
) -> None:
    started_s = time.monotonic()
    print(f"\n### {pattern.name} ({options.seeds} seeds)\n")
    print(_HEADER)
    print("|---" * 12 + "|")
    summaries = []
    for name, policies in _variants(pattern, compared, options.every_slot):
        result = run(pattern, policies, options.seeds)
        for row in _rows(name, result):
            print(row)
        summaries.append(_summary(name, result))
    print()
    for line in summaries:
        print(f"- {line}")
    print(f"\n({time.monotonic() - started_s:.1f} s)")


if __name__ == "__main__":
    main()
