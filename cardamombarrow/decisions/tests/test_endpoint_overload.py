"""Endpoint load patterns in virtual time, judged by the callers' results.

Each pattern runs with the document's default policies, and again with the
baseline of the policy under test. The second run shows that the pattern does
harm and that the check detects it.
"""

import dataclasses
import functools

import pytest

from benchmarks import __main__ as benchmarks
from benchmarks import patterns
from benchmarks import results
from cardamombarrow.document import schema

SEEDS = 3


@functools.cache
def _run(name: str, policies: schema.Policies) -> results.Result:
    return benchmarks.run(patterns.PATTERNS[name], policies, SEEDS)


def _tested_policies(slot: str) -> schema.Policies:
    """Returns the default policies, except for the slot `limits`.

    There it returns the baseline with the gradient limits, which are not the
    default. Preemption and admission would hide most of their effect.
    """
    if slot != "limits":
        return schema.Policies()
    return dataclasses.replace(
        benchmarks.BASELINE,
        queue="tiered",
        choice="two-candidates",
        limits="gradient",
    )


def _with_baseline(slot: str) -> schema.Policies:
    baseline = getattr(benchmarks.BASELINE, slot)
    return dataclasses.replace(_tested_policies(slot), **{slot: baseline})


def _chat(result: results.Result) -> results.ClassResult:
    return result.classes[patterns.CHAT]


def _many_prefixes(result: results.Result) -> bool:
    # Many requests share twelve long prompts; each engine's cache holds three.
    # If every engine prefills all of them, the requests behind are delayed.
    return result.cached_share > 0.2


def _slow_endpoint(result: results.Result) -> bool:
    # One engine is four times slower from the start. Requests sent there round
    # robin wait many seconds for a first token.
    return _chat(result).worst_wait_s < 5.0


def _straggler(result: results.Result) -> bool:
    # An engine turns ten times slower and its report shows it five seconds
    # late. Requests sent there miss their target.
    return _chat(result).attainment_share > 0.985


def _fail_fast(result: results.Result) -> bool:
    # An engine refuses all requests within milliseconds and so looks idle.
    # Requests that other engines could have answered are lost.
    rows = result.classes.values()
    return all(row.completed == row.offered for row in rows)


def _memory_short(result: results.Result) -> bool:
    # Every engine's memory holds half of what the document says. Filled up,
    # they recompute evicted requests, and letters end at their deadline.
    letters = result.classes[patterns.LETTER]
    return letters.attainment_share > 0.85 and result.wasted_share < 0.03


def _entries_late(result: results.Result) -> bool:
    # Six of ten requests arrive at one of four entries, and the entries'
    # information on each other is three seconds old. The busy one queues
    # requests while the others have free slots.
    return _chat(result).attainment_share > 0.99 and result.most_over_limit <= 2


def _entries_cut(result: results.Result) -> bool:
    # As in `_entries_late`, until the entries are partitioned. If each assumed
    # that the others were gone, they would overload every engine.
    desk = result.classes[patterns.DESK]
    return desk.attainment_share > 0.88 and result.most_over_limit <= 2


def _crashing_request(result: results.Result) -> bool:
    # Two requests crash each engine that runs them, and are retried through
    # any entry, next to innocent requests.
    none_quarantined = not result.harmless_quarantined
    return result.crashes <= 6 and none_quarantined


CASES = [
    ("many-prefixes", "choice", _many_prefixes),
    ("slow-endpoint", "choice", _slow_endpoint),
    ("straggler", "choice", _straggler),
    ("fail-fast", "choice", _fail_fast),
    ("entries-late", "shares", _entries_late),
    ("entries-cut", "shares", _entries_cut),
    ("crashing-request", "quarantine", _crashing_request),
    ("memory-short", "limits", _memory_short),
]


@pytest.mark.parametrize(("name", "slot", "holds"), CASES)
def test_pattern_is_handled(name, slot, holds):
    assert holds(_run(name, _tested_policies(slot)))


@pytest.mark.parametrize(("name", "slot", "holds"), CASES)
def test_pattern_does_harm_with_the_baseline(name, slot, holds):
    assert not holds(_run(name, _with_baseline(slot)))
