"""Crashes that several instances have seen, each a part of them."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import quarantine
from cardamombarrow.kernel import ids

_BAD = ids.Fingerprint("bad")
_NOW_S = 100.0


@pytest.fixture
def policy(context):
    return quarantine.CrashQuarantine(context)


_numbers = itertools.count()


def _report(instance, endpoint, *fingerprints, seen_s=_NOW_S):
    return messages.SuspectReport(
        ids.InstanceId(instance),
        next(_numbers),
        tuple(map(ids.Fingerprint, fingerprints)),
        endpoint and ids.EndpointId(endpoint),
        seen_s,
    )


def _job(new_job, name):
    return new_job(fingerprint=ids.Fingerprint(name))


def test_crashes_that_different_instances_saw_add_up(policy, new_job):
    # Guards against a request that each entry, seeing one crash, sends again.
    policy.merge_reports([_report("entry-2", "e1", "bad")], _NOW_S)
    assert policy.must_run_alone(_job(new_job, "bad"), _NOW_S)
    policy.merge_reports([_report("entry-3", "e2", "bad")], _NOW_S)
    assert policy.marks(_NOW_S).keys() == {_BAD}


def test_one_crash_that_two_instances_report_counts_once(policy):
    # Guards against blaming a popular request for the crash of one endpoint.
    policy.merge_reports(
        [
            _report("entry-2", "e1", "popular", seen_s=_NOW_S - 1.0),
            _report("entry-3", "e1", "popular"),
        ],
        _NOW_S,
    )
    assert policy.marks(_NOW_S) == {}


def test_a_report_that_arrives_twice_counts_once(policy):
    report = _report("entry-2", "e1", "good")
    policy.merge_reports([report, report], _NOW_S)
    assert policy.marks(_NOW_S) == {}


@pytest.mark.parametrize("is_late", [False, True])
def test_a_culprit_clears_the_requests_beside_it(policy, new_job, is_late):
    # Guards against a request that has to run alone, or is refused, because
    # it once ran beside one that another instance has found out.
    good = _report("entry-2", "e1", "good")
    bad = [_report("entry-3", "e1", "bad"), _report("entry-3", "e2", "bad")]
    reports = [*bad, good] if is_late else [good, *bad]
    policy.merge_reports(reports, _NOW_S)
    assert policy.marks(_NOW_S).keys() == {_BAD}
    assert not policy.must_run_alone(_job(new_job, "good"), _NOW_S)
    assert policy.suspect_count() == 0


def test_requests_at_the_same_crashes_are_told_apart_by_a_third(policy):
    # Guards against refusing a harmless request for ten minutes: it shared two
    # endpoints with the culprit of another instance.
    for endpoint in ("e1", "e2"):
        policy.merge_reports(
            [
                _report("entry-2", endpoint, "good"),
                _report("entry-3", endpoint, "bad"),
            ],
            _NOW_S,
        )
        if endpoint == "e1":
            assert policy.marks(_NOW_S) == {}
    policy.merge_reports([_report("entry-3", "e3", "bad")], _NOW_S)
    assert _BAD in policy.marks(_NOW_S)


def test_a_completion_elsewhere_clears_and_ends_a_quarantine(policy, new_job):
    # Guards against refusing a request that an endpoint has served since.
    policy.merge_reports(
        [
            _report("entry-2", "e1", "good", seen_s=_NOW_S - 2.0),
            _report("entry-2", "e2", "good", seen_s=_NOW_S - 1.0),
        ],
        _NOW_S,
    )
    job = _job(new_job, "good")
    assert policy.refuse(job, _NOW_S) is not None
    policy.merge_reports([_report("entry-3", None, "good")], _NOW_S)
    assert policy.refuse(job, _NOW_S) is None
    assert not policy.must_run_alone(job, _NOW_S)


def test_own_reports_are_handed_out_once(policy, new_job):
    policy.on_crash(ids.EndpointId("e1"), [_job(new_job, "bad")], _NOW_S)
    (report,) = policy.take_own_reports()
    assert report.fingerprints == (_BAD,)
    assert policy.take_own_reports() == []


@hypothesis.given(strategies.integers(0, 10_000))
def test_reports_in_any_order_blame_only_the_culprit(context, seed):
    # Guards against a verdict that depends on which instance is heard first.
    rng = random.Random(seed)
    instances = [f"entry-{number}" for number in range(4)]
    harmless = [f"good-{number}" for number in range(6)]
    rng.shuffle(harmless)
    reports = []
    for crash in range(3):
        # Each harmless request ran at one crash at most.
        beside = [harmless.pop() for _ in range(rng.randrange(3))]
        by_instance = {each: [] for each in instances}
        for name in ("bad", *beside):
            by_instance[rng.choice(instances)].append(name)
        reports += [
            _report(instance, f"e{crash}", *names)
            for instance, names in by_instance.items()
            if names
        ]
    reports += rng.sample(reports, len(reports) // 2)
    rng.shuffle(reports)
    policy = quarantine.CrashQuarantine(context)
    for report in reports:
        policy.merge_reports([report], _NOW_S)
    assert policy.marks(_NOW_S).keys() == {_BAD}
    assert policy.suspect_count() == 0
