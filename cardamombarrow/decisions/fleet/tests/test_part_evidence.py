"""Parts of prompts at crashes, and which of them are found to cause these."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.decisions.fleet import quarantine
from cardamombarrow.kernel import ids

_NOW_S = 100.0
_GAP_S = 1.5
"""Time between two crashes."""

_numbers = itertools.count()


@pytest.fixture
def policy(context):
    return quarantine.CrashQuarantine(context)


def _job(new_job, *parts, **fields):
    """Returns a new request with these shared parts and one of its own."""
    number = next(_numbers)
    return new_job(
        fingerprint=ids.Fingerprint(f"f{number}"),
        parts=tuple(
            messages.PromptPart(each, 10) for each in (*parts, f"own{number}")
        ),
        **fields,
    )


def _crash(policy, now_s, *jobs):
    endpoint = ids.EndpointId(f"e{next(_numbers)}")
    policy.on_crash(endpoint, list(jobs), now_s)


def _answer(policy, job, now_s):
    """Has a request's answer begin and end."""
    policy.on_first_token(job, now_s)
    policy.on_finish(job, messages.Outcome.DONE, now_s + 1.0)


def _crash_often(policy, new_job, *parts, count=3, beside=()):
    """Has new requests with these parts crash an endpoint each.

    Returns:
        The time at which the verdict is due.
    """
    for number in range(count):
        _crash(
            policy,
            _NOW_S + number * _GAP_S,
            _job(new_job, *parts),
            *[_job(new_job, *each) for each in beside],
        )
    return _NOW_S + count * _GAP_S + part_evidence.WATCH_S


def _is_refused(policy, new_job, now_s, *parts):
    policy.review(now_s)
    return policy.refuse(_job(new_job, *parts), now_s) is not None


def test_new_requests_that_share_a_part_add_up(policy, new_job):
    # Guards against an endpoint lost to each new request with a deadly part.
    due_s = _crash_often(policy, new_job, "dead")
    assert _is_refused(policy, new_job, due_s, "dead")


@pytest.mark.parametrize("parts", [("popular", "dead"), ("dead", "popular")])
def test_parts_that_are_answered_are_cleared(policy, new_job, parts):
    # Guards against refusing a part that thousands share, as it is at each
    # crash, too.
    due_s = _crash_often(policy, new_job, *parts, count=2)
    _answer(policy, _job(new_job, "popular", "other"), _NOW_S + 2.0)
    due_s = max(due_s, _NOW_S + 4.0)
    for number in range(3):
        _crash(policy, due_s + number * _GAP_S, _job(new_job, *parts))
    due_s += 4 * _GAP_S
    assert _is_refused(policy, new_job, due_s, *parts)
    assert not _is_refused(policy, new_job, due_s, "popular", "other")


def test_answers_before_the_crashes_clear_nothing(policy, new_job):
    # Guards against a part that served well for hours, and is deadly since the
    # endpoints have other software.
    for number in range(5):
        _crash(policy, _NOW_S + number, _job(new_job, "part"))
        _answer(policy, _job(new_job, "part"), _NOW_S + number + 0.5)
    from_s = _NOW_S + 10.0
    for number in range(3):
        _crash(policy, from_s + number * _GAP_S, _job(new_job, "part"))
    assert _is_refused(policy, new_job, from_s + 3 * _GAP_S, "part")


def test_a_request_whose_answer_had_begun_accuses_nothing(policy, new_job):
    # Guards against accusing the streams that ran beside the culprit.
    for number in range(6):
        now_s = _NOW_S + number * _GAP_S
        begun = _job(new_job, "stream", first_token_s=now_s - 2.0)
        _crash(policy, now_s, begun)
    assert not _is_refused(policy, new_job, _NOW_S + 30.0, "stream")


def test_an_endpoint_that_ends_just_after_the_first_token_counts(
    policy, new_job
):
    # Guards against clearing a deadly part by the token sent before the crash.
    for number in range(4):
        now_s = _NOW_S + number * _GAP_S
        job = _job(new_job, "dead", first_token_s=now_s - 0.1)
        policy.on_first_token(job, now_s - 0.1)
        _crash(policy, now_s, job)
        policy.on_finish(job, messages.Outcome.CRASHED, now_s)
    assert _is_refused(policy, new_job, _NOW_S + 10.0, "dead")


def test_endpoints_that_fail_together_accuse_nothing(policy, new_job):
    # Guards against refusing what was in use on a rack that lost power.
    for number in range(10):
        _crash(policy, _NOW_S + number * 0.05, _job(new_job, "hot", "topic"))
    assert not _is_refused(policy, new_job, _NOW_S + 10.0, "hot", "topic")


def test_one_request_that_is_sent_again_accuses_no_part(policy, new_job):
    # Guards against refusing others for a request that is deadly by its body.
    job = _job(new_job, "part")
    for number in range(4):
        _crash(policy, _NOW_S + number * _GAP_S, job)
    assert policy.refuse(job, _NOW_S + 10.0) is not None
    assert not _is_refused(policy, new_job, _NOW_S + 10.0, "part")


def test_requests_that_are_told_apart_by_themselves_still_accuse_their_part(
    policy, new_job
):
    # Guards against explaining each crash by the request, once its retry has
    # crashed another endpoint, so that the part is never found.
    for number in range(3):
        job = _job(new_job, "dead")
        now_s = _NOW_S + 2 * number * _GAP_S
        _crash(policy, now_s, job)
        _crash(policy, now_s + 0.3, job)
    assert _is_refused(policy, new_job, _NOW_S + 15.0, "dead")


def test_only_requests_with_all_of_the_parts_that_come_together_are_refused(
    policy, new_job
):
    # Guards against refusing the sound requests with one of two parts that
    # the deadly requests had in common.
    due_s = _crash_often(policy, new_job, "first", "dead")
    assert _is_refused(policy, new_job, due_s, "first", "dead")
    assert not _is_refused(policy, new_job, due_s, "first", "other")


def test_parts_beside_the_culprit_are_not_accused(policy, new_job):
    # Guards against refusing a subject whose requests were on the endpoints
    # that another part has crashed.
    due_s = _crash_often(policy, new_job, "dead", count=2)
    for number in range(3):
        _crash(
            policy,
            due_s + number * _GAP_S,
            _job(new_job, "dead"),
            _job(new_job, "unlucky"),
        )
    due_s += 5 * _GAP_S
    assert _is_refused(policy, new_job, due_s, "dead")
    assert not _is_refused(policy, new_job, due_s, "unlucky")


def test_two_deadly_parts_at_once_are_both_found(policy, new_job):
    for number in range(4):
        now_s = _NOW_S + number * _GAP_S
        _crash(policy, now_s, _job(new_job, "dead1"))
        _crash(policy, now_s + 0.7, _job(new_job, "dead2"))
    for part in ("dead1", "dead2"):
        assert _is_refused(policy, new_job, _NOW_S + 20.0, part)


def test_a_part_is_judged_by_service_and_model(policy, new_job):
    # Guards against refusing a part at a model that it does no harm to.
    due_s = _crash_often(policy, new_job, "dead")
    job = _job(new_job, "dead", model=ids.ModelId("other"))
    policy.review(due_s)
    assert policy.refuse(job, due_s) is None


def test_a_refused_part_gets_one_trial_by_one_instance(
    policy, context, new_job
):
    # Guards against a wrong verdict, or one on endpoints that were replaced,
    # that nothing can revise as there are no answers any more.
    due_s = _crash_often(policy, new_job, "dead")
    policy.review(due_s)
    (culprit,) = policy.culprits()
    assert culprit.crashes[-1].witness == context.instance
    trial_s = culprit.trial_s
    assert _is_refused(policy, new_job, trial_s - 0.1, "dead")
    trial = _job(new_job, "dead")
    assert policy.refuse(trial, trial_s) is None
    assert policy.must_run_alone(trial, trial_s)
    assert _is_refused(policy, new_job, trial_s, "dead")
    _answer(policy, trial, trial_s + 0.5)
    assert policy.culprits() == ()
    assert not _is_refused(policy, new_job, trial_s + 2.0, "dead")


def test_a_trial_that_crashes_an_endpoint_delays_the_next_one(policy, new_job):
    due_s = _crash_often(policy, new_job, "dead")
    policy.review(due_s)
    before_s = policy.culprits()[0].trial_s
    trial = _job(new_job, "dead")
    assert policy.refuse(trial, before_s) is None
    _crash(policy, before_s + 1.0, trial)
    policy.on_finish(trial, messages.Outcome.CRASHED, before_s + 1.0)
    assert policy.refuse(trial, before_s + 1.0) is not None
    wait_s = policy.culprits()[0].trial_s - before_s - 1.0
    assert wait_s == pytest.approx(
        part_evidence.TRIAL_AFTER_S * part_evidence.TRIAL_FACTOR
    )


def test_answers_are_reported_once_after_each_crash_and_never_without(
    policy, new_job
):
    # Guards against messages and state while no endpoint crashes.
    for number in range(10):
        _answer(policy, _job(new_job, "part"), _NOW_S + number)
    assert policy.take_own_reports() == []
    _crash(policy, _NOW_S + 20.0, _job(new_job, "part"))
    policy.take_own_reports()
    for number in range(10):
        _answer(policy, _job(new_job, "part"), _NOW_S + 21.0 + number)
    (report,) = policy.take_own_reports()
    assert report.seen_s == _NOW_S + 21.0
    assert policy.next_review_s() == float("inf")


@hypothesis.given(strategies.integers(0, 10_000))
def test_reports_in_any_order_come_to_the_same_verdict(context, new_job, seed):
    # Guards against entries that refuse different parts.
    rng = random.Random(seed)
    source = quarantine.CrashQuarantine(context)
    for number in range(5):
        now_s = _NOW_S + number * _GAP_S
        others = [rng.choice(("a1", "a2")), rng.choice(("b1", "b2", "b3"))]
        deadly = _job(new_job, *others, "dead")
        beside = [
            _job(new_job, rng.choice(("a1", "a2")), rng.choice(("b1", "b2")))
            for _ in range(rng.randrange(3))
        ]
        _crash(source, now_s, deadly, *beside)
        for part in ("a1", "a2", "b1", "b2", "b3"):
            _answer(source, _job(new_job, part), now_s + 0.5)
    reports = source.take_own_reports()
    rng.shuffle(reports)
    other = quarantine.CrashQuarantine(context)
    for report in reports:
        other.merge_reports([report], _NOW_S + 20.0)
    source.review(_NOW_S + 20.0)
    other.review(_NOW_S + 20.0)
    assert {each.parts for each in other.culprits()} == {
        each.parts for each in source.culprits()
    }
    assert _is_refused(other, new_job, _NOW_S + 20.0, "dead")
    for part in ("a1", "a2", "b1", "b2", "b3"):
        assert not _is_refused(other, new_job, _NOW_S + 20.0, part)
