"""Load patterns in virtual time: the endpoint side, by what callers get.

Each pattern is run with the document's default policies, and again with the
baseline in the place of the policy that answers it: the second run shows that
the pattern does harm and that the check notices it.
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


def _ours(slot: str) -> schema.Policies:
    """The defaults; for the limits ours, with plain policies around.

    They are not the default, and preemption and admission hide much of what
    they do.
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
    return dataclasses.replace(_ours(slot), **{slot: baseline})


def _chat(result: results.Result) -> results.ClassResult:
    return result.classes[patterns.CHAT]


def _many_prefixes(result: results.Result) -> bool:
    # Twelve long prompts are shared by many requests; each engine's cache
    # holds three. Read anew by every engine, they hold up whoever is behind.
    return result.cached_share > 0.2


def _slow_endpoint(result: results.Result) -> bool:
    # One engine is four times slower from the start. Callers who are sent
    # there in turn wait many seconds for a first word.
    return _chat(result).worst_wait_s < 5.0


def _straggler(result: results.Result) -> bool:
    # An engine turns ten times slower and its report shows it five seconds
    # late. A family's answer that is sent there misses its target.
    return _chat(result).attainment_share > 0.985


def _fail_fast(result: results.Result) -> bool:
    # An engine refuses everything within milliseconds and so looks idle.
    # Requests are lost that others would have answered.
    rows = result.classes.values()
    return all(row.completed == row.offered for row in rows)


def _memory_short(result: results.Result) -> bool:
    # Every engine holds half of what the document says. Filled up they
    # compute evicted work again, and letters break off at their deadline.
    letters = result.classes[patterns.LETTER]
    return letters.attainment_share > 0.85 and result.wasted_share < 0.03


def _entries_late(result: results.Result) -> bool:
    # Six of ten callers come to one of four entries, and what the entries
    # hear of each other is three seconds old. The busy one queues beside
    # idle slots of the others.
    return _chat(result).attainment_share > 0.99 and result.most_over_limit <= 2


def _entries_cut(result: results.Result) -> bool:
    # The same, and from a moment on the entries hear nothing of each other.
    # Taking each other for gone they would overrun every engine.
    desk = result.classes[patterns.DESK]
    return desk.attainment_share > 0.88 and result.most_over_limit <= 2


def _crashing_request(result: results.Result) -> bool:
    # Two requests end the process of each engine that runs them, and are
    # sent again through any entry, with innocent requests beside them.
    innocents_kept = not result.innocents_quarantined
    return result.crashes <= 6 and innocents_kept


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
def test_pattern_is_answered(name, slot, holds):
    assert holds(_run(name, _ours(slot)))


@pytest.mark.parametrize(("name", "slot", "holds"), CASES)
def test_pattern_does_harm_without_the_module(name, slot, holds):
    assert not holds(_run(name, _with_baseline(slot)))
