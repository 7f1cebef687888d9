"""Tests of the queue-side policies on load patterns in virtual time.

An oracle checks every refusal and every preemption. Each pattern is run with
the document's default policies, and again with the policy under test replaced
by its baseline: the second run shows that the pattern is harmful and that the
check detects it.
"""

import collections
from collections import abc
import dataclasses
import functools
import math
import random
import statistics

import pytest

from benchmarks import __main__ as benchmarks
from benchmarks import driver
from benchmarks import patterns
from benchmarks import results
from benchmarks import scenarios
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

SEEDS = (0, 1, 2)
WINDOW_S = 20.0
"""Longer than the longest usual answer: a letter takes 10 s."""

HOT = ids.WorkspaceId("w0")


@dataclasses.dataclass
class Watch:
    """Observations of the oracle in the runs of one pattern.

    Attributes:
        broken: Descriptions of rule violations.
        admitted: First tokens by class and whether the workspace is the hot
            one.
        kept: First tokens of these within the target, from the last sending.
        returns: By class: times of refusals, and their retry-after times.
        ends_s: By class: times at which answers completed.
        tokens: Tokens by class and whether the workspace is the hot one.
    """

    broken: list[str] = dataclasses.field(default_factory=list)
    admitted: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    kept: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    returns: dict[ids.ClassId, list[tuple[float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    ends_s: dict[ids.ClassId, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    tokens: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def on_time_share(self, class_id: ids.ClassId, hot: bool = False) -> float:
        """Returns the share of admitted requests with a first token in time."""
        key = (class_id, hot)
        return self.kept[key] / max(self.admitted[key], 1)


class _WatchedDriver(driver.Driver):
    """A driver that checks rules at each event."""

    def __init__(self, scenario: scenarios.Scenario, seed: int, watch: Watch):
        super().__init__(scenario, seed)
        self._watch = watch
        self._ran: set[ids.RequestId] = set()
        self._refused_ids: set[ids.RequestId] = set()
        self._tiers = scenario.document.tiers.values()

    def _over_reserve(self, entry: int, rank: int) -> list[schema.Tier]:
        """Returns the lower tiers that use more than their share."""
        held = collections.Counter(
            flight.job.rank
            for flight in self._flights.values()
            if flight.entry == entry and flight.endpoint is not None
        )
        slots = sum(s.share for s in self._entries[entry].endpoints())
        return [
            tier
            for tier in self._tiers
            if tier.rank > rank
            and held[tier.rank] > math.ceil(tier.reserved_share * slots)
        ]

    def _refused(self, flight, refusal: messages.Refusal) -> None:
        job = flight.job
        if refusal.kind is not errors.ErrorKind.QUARANTINED:
            for tier in self._over_reserve(flight.entry, job.rank):
                self._violation(
                    f"{job.class_id} refused ({refusal.detail}) while "
                    f"{tier.tier} uses more than its share"
                )
        if job.request_id in self._ran and not job.may_have_run:
            self._violation(f"{job.request_id} was refused but has run")
        if self._now_s > job.deadline_s + driver.TICK_S:
            self._violation(f"{job.request_id} was refused after its deadline")
        if refusal.retry_after_s is None or refusal.retry_after_s <= 0.0:
            self._violation(
                f"{job.request_id} was refused without a retry-after time"
            )
        else:
            retry_after = (self._now_s, refusal.retry_after_s)
            self._watch.returns[job.class_id].append(retry_after)
        self._refused_ids.add(job.request_id)
        super()._refused(flight, refusal)

    def _deliver(self, flight) -> None:
        super()._deliver(flight)
        self._ran.add(flight.job.request_id)
        if flight.job.request_id in self._refused_ids:
            self._violation(f"{flight.job.request_id} ran after its refusal")

    def _preempt(self, flight) -> None:
        if flight.endpoint is not None:
            rank = flight.job.rank
            over = self._over_reserve(flight.entry, rank - 1)
            if rank not in [tier.rank for tier in over]:
                self._violation(f"rank {rank} was preempted within its share")
            waiting = self._entries[flight.entry].waiting_jobs()
            if all(job.rank >= rank for job in waiting):
                self._violation(
                    f"rank {rank} was preempted without a higher tier waiting"
                )
        super()._preempt(flight)

    def _first_token(self, flight) -> None:
        super()._first_token(flight)
        job = flight.job
        key = (job.class_id, job.workspace == HOT)
        self._watch.admitted[key] += 1
        waited_s = self._now_s - job.arrived_s
        self._watch.kept[key] += waited_s <= job.target_first_token_s

    def _done(self, flight) -> None:
        super()._done(flight)
        class_id = flight.job.class_id
        self._watch.ends_s[class_id].append(self._now_s)
        self._watch.tokens[class_id, flight.job.workspace == HOT] += (
            flight.tokens
        )

    def _violation(self, rule: str) -> None:
        self._watch.broken.append(f"at {self._now_s:.2f} s: {rule}")


Build = abc.Callable[[random.Random, schema.Policies], scenarios.Scenario]


def _long_answers_of_one(rng, policies):
    works = patterns._mixed(rng, 0.5, 6.0, 0.5)
    for work in works:
        if work.class_id == patterns.DESK and work.workspace == HOT:
            work.answer_tokens *= 6
    return patterns._scenario(policies, works)


BUILDS: dict[str, Build] = {
    name: pattern.build for name, pattern in patterns.PATTERNS.items()
}
BUILDS["long-answers-of-one"] = _long_answers_of_one


@functools.cache
def _run(
    name: str, policies: schema.Policies
) -> tuple[results.Result, list[Watch]]:
    runs, watches = [], []
    for seed in SEEDS:
        scenario = BUILDS[name](random.Random(seed), policies)
        watch = Watch()
        runs.append(_WatchedDriver(scenario, seed, watch).run())
        watches.append(watch)
    return results.merge(runs), watches


def _with_baseline(slot: str) -> schema.Policies:
    baseline = getattr(benchmarks.BASELINE, slot)
    return dataclasses.replace(schema.Policies(), **{slot: baseline})


def _chat_share(result: results.Result) -> float:
    return result.classes[patterns.CHAT].attainment_share


def _low_burst(result, watches) -> bool:
    # Letters arrive at twelve times their usual rate for half a minute. A
    # family's question would wait for all of them, or for one to end.
    return _chat_share(result) >= 0.99 and result.wasted_share < 0.02


def _high_burst(result, watches) -> bool:
    # Chat alone exceeds the capacity of all engines. Admitted requests must be
    # served in time; if all are admitted, all are late.
    return all(w.on_time_share(patterns.CHAT) > 0.85 for w in watches)


def _high_burst_returns(result, watches) -> bool:
    # Callers refused with a fixed retry-after time return as one wave and are
    # refused again until they give up.
    return result.classes[patterns.CHAT].completed > (
        0.95 * result.classes[patterns.CHAT].offered
    )


def _hot_workspace(result, watches) -> bool:
    # One workspace sends several times its share in two classes. Only its own
    # requests may be late.
    return all(w.on_time_share(patterns.CHAT) > 0.95 for w in watches)


def _long_answers(result, watches) -> bool:
    # One workspace's answers are six times as long as usual in their class,
    # which is not known in advance. Its tokens must not crowd out the other
    # nine. (Its first answer takes a third of the run to show its length.)
    hot = sum(w.tokens[patterns.DESK, True] for w in watches)
    others = sum(w.tokens[patterns.DESK, False] for w in watches)
    return hot < 0.28 * (hot + others)


def _overload(result, watches) -> bool:
    # The lower classes demand two or five times the capacity for a minute.
    letters = sum(w.tokens[patterns.LETTER, False] for w in watches)
    letters += sum(w.tokens[patterns.LETTER, True] for w in watches)
    all_tokens = sum(sum(w.tokens.values()) for w in watches)
    return (
        _chat_share(result) >= 0.99
        and letters >= 0.09 * all_tokens
        and result.wasted_share < 0.02
    )


def _retry_storm(result, watches) -> bool:
    # More than a hundred requests arrive within seconds and are refused. If
    # they all return at once, the wave repeats until they give up.
    desk = result.classes[patterns.DESK]
    return desk.completed > 0.95 * desk.offered


CASES = [
    ("burst-low", _low_burst, "queue"),
    ("burst-low", _low_burst, "preemption"),
    ("burst-high", _high_burst, "admission"),
    ("burst-high", _high_burst_returns, "retry"),
    ("hot-workspace", _hot_workspace, "queue"),
    ("long-answers-of-one", _long_answers, "queue"),
    ("overload-2x", _overload, "queue"),
    ("overload-5x", _overload, "queue"),
    ("overload-2x", _overload, "preemption"),
    ("retry-storm", _retry_storm, "retry"),
]


@pytest.mark.parametrize(("name", "check", "slot"), CASES)
def test_pattern_is_handled_by_its_policy(name, check, slot):
    assert check(*_run(name, schema.Policies()))
    assert not check(*_run(name, _with_baseline(slot)))


PATTERNS = sorted({name for name, _, _ in CASES})


@pytest.mark.parametrize("name", PATTERNS)
def test_oracle_finds_no_violation(name):
    # No tier is refused or preempted while a lower one uses more than its
    # share; no refused request has run; each refusal has a retry-after time.
    _, watches = _run(name, schema.Policies())
    assert [rule for watch in watches for rule in watch.broken] == []


@pytest.mark.parametrize("name", ["burst-high", "overload-2x", "overload-5x"])
def test_each_class_completes_work_in_each_window(name):
    # A long burst of a higher tier must not stop the lowest class.
    _, watches = _run(name, schema.Policies())
    for watch in watches:
        for class_id, ends_s in watch.ends_s.items():
            for from_s in range(0, int(patterns.DURATION_S), int(WINDOW_S)):
                inside = [e for e in ends_s if from_s <= e < from_s + WINDOW_S]
                assert inside, f"{class_id} from {from_s} s"


def test_oracle_detects_the_refusal_of_a_higher_tier():
    _, watches = _run("burst-low", benchmarks.BASELINE)
    assert all(watch.broken for watch in watches)


def test_retry_after_times_grow_and_are_spread():
    # The burst of chat lasts for half a minute. Callers refused late have more
    # callers before them than those refused early.
    _, watches = _run("burst-high", schema.Policies())
    for watch in watches:
        retry_afters = watch.returns[patterns.CHAT]
        early = [after for at, after in retry_afters if 10.0 < at < 15.0]
        late = [after for at, after in retry_afters if 30.0 < at < 40.0]
        assert statistics.median(late) > 1.5 * statistics.median(early)
        back = collections.Counter(
            int(at + after) for at, after in retry_afters
        )
        assert max(back.values()) < 0.15 * len(retry_afters)
