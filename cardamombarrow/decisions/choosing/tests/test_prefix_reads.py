"""Tests of the waits for a prefill in progress."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import prefill_time
from cardamombarrow.decisions.choosing import prefix_reads
from cardamombarrow.kernel import ids

ENDPOINT = ids.EndpointId("10.0.0.1:80")
TARGET_S = 2.0
SHARED_TOKENS = 13_300
WHOLE_PROMPT_S = 14_300 * prefill_time.INITIAL_TOKEN_S


def _job(number, prefix="a", arrived_s=0.0, **fields):
    parts = tuple(
        messages.PromptPart(name, SHARED_TOKENS // len(prefix))
        for name in prefix
    )
    job = messages.Job(
        ids.RequestId(f"r{number}"),
        ids.WorkspaceId("one"),
        ids.ClassId("letter"),
        ids.ServiceId("letters"),
        ids.ModelId("m"),
        rank=1,
        arrived_s=arrived_s,
        target_first_token_s=TARGET_S,
        deadline_s=arrived_s + 10.0,
        prompt_tokens=SHARED_TOKENS + 1_000,
        parts=(*parts, messages.PromptPart(f"own-{number}", 1_000)),
    )
    for name, value in fields.items():
        setattr(job, name, value)
    return job


def _reads(fetch_token_s=2.4e-6):
    return prefix_reads.PrefixReads(
        prefill_time.PrefillTime(), lambda service: fetch_token_s
    )


def test_second_request_waits_and_is_released_at_the_end():
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    assert reads.wait_until_s(_job(1), 0.01) > 0.3
    assert not reads.take_released()
    assert reads.end(ids.RequestId("r0"))
    assert reads.take_released() == ["r1"]
    assert reads.wait_until_s(_job(1), 0.3) is None


@pytest.mark.parametrize(
    "other, reason",
    [
        (_job(1, prefix="b"), "another prefix"),
        (_job(1, parts=()), "no known parts"),
        (_job(1, target_first_token_s=0.5), "no time for its whole prompt"),
        (_job(1, arrived_s=-TARGET_S), "late already"),
    ],
)
def test_request_that_gains_nothing_is_placed_at_once(other, reason):
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    assert reads.wait_until_s(other, 0.01) is None, reason


def test_no_wait_for_a_prefix_that_is_cached_somewhere():
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    assert reads.wait_until_s(_job(1), 0.01, SHARED_TOKENS) is None


def test_wait_for_the_prefix_beyond_the_cached_one():
    # Two prompts share a long first part; only the third one shares both.
    reads = _reads()
    reads.begin(_job(0, prefix="ab"), ENDPOINT, 0.3, 0.0)
    half = SHARED_TOKENS // 2
    assert reads.wait_until_s(_job(1, prefix="ab"), 0.01, half) is not None
    assert reads.wait_until_s(_job(2, prefix="ac"), 0.01, half) is None
    assert reads.wait_until_s(_job(3, prefix="ac"), 0.01) is not None
    assert reads.wait_until_s(_job(4, prefix="ba"), 0.01) is None


def test_no_wait_for_a_prefix_that_takes_as_long_to_fetch():
    reads = _reads(fetch_token_s=prefill_time.INITIAL_TOKEN_S)
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    assert reads.wait_until_s(_job(1), 0.01) is None


def test_no_wait_for_a_short_prefix():
    # The report of the first token takes longer than a prefill of 350 tokens.
    reads = _reads()
    short = (messages.PromptPart("a", 350), messages.PromptPart("own", 1_110))
    reads.begin(_job(0, parts=short), ENDPOINT, 0.1, 0.0)
    job = _job(1, parts=short, prompt_tokens=1_460)
    assert reads.wait_until_s(job, 0.01) is None


def test_engines_that_cannot_fetch_still_prefill_once():
    reads = _reads(fetch_token_s=None)
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    assert reads.wait_until_s(_job(1), 0.01) is not None


def test_wait_leaves_time_for_the_whole_prompt():
    # The first prefill takes much longer than expected. A request that waited
    # for it until its target would be late without having been sent anywhere.
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, 1.6, 0.0)
    until_s = reads.wait_until_s(_job(1), 0.01)
    assert until_s == pytest.approx(TARGET_S - WHOLE_PROMPT_S)
    assert reads.wait_until_s(_job(1), until_s) is None


def test_prefill_without_a_reported_end_is_bounded():
    # The report of the first token is lost. Without the bound each request
    # with this prefix would wait as long as its target allows, for good.
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    until_s = reads.wait_until_s(_job(1), 0.01)
    assert until_s == pytest.approx(0.6 + prefix_reads.REPORT_S)
    assert reads.wait_until_s(_job(1), until_s) is None
    assert reads.wait_until_s(_job(2, arrived_s=until_s), until_s) is None
    assert not len(reads)


def test_waiting_requests_follow_the_next_prefill_after_a_failure():
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, 0.3, 0.0)
    for number in (1, 2, 3):
        reads.wait_until_s(_job(number), 0.01)
    reads.end(ids.RequestId("r0"))
    assert reads.take_released() == ["r1", "r2", "r3"]
    assert reads.wait_until_s(_job(1), 0.05) is None
    reads.begin(_job(1), ENDPOINT, 0.4, 0.05)
    assert reads.wait_until_s(_job(2), 0.05) is not None
    assert reads.wait_until_s(_job(3), 0.05) is not None


@pytest.mark.parametrize(
    "expected_end_s", [math.inf, -math.inf, math.nan, 1e300, -5.0]
)
def test_invalid_expected_end_holds_nobody_beyond_the_bound(expected_end_s):
    reads = _reads()
    reads.begin(_job(0), ENDPOINT, expected_end_s, 0.0)
    job = _job(1, target_first_token_s=1_000.0)
    until_s = reads.wait_until_s(job, 0.0)
    bound_s = 2.0 * prefix_reads.MAX_PREFILL_S + prefix_reads.REPORT_S
    assert until_s is None or until_s <= bound_s


def test_records_are_bounded(monkeypatch):
    monkeypatch.setattr(prefix_reads, "MAX_PREFILLS", 4)
    monkeypatch.setattr(prefix_reads, "MAX_WAITING", 6)
    reads = _reads()
    for number in range(20):
        reads.begin(_job(number, prefix=f"{number % 5}"), ENDPOINT, 0.3, 0.0)
        reads.wait_until_s(_job(100 + number, prefix=f"{number % 5}"), 0.0)
    assert len(reads) == 4
    assert len(reads._key_waited_for) <= 6
    assert len(reads._released) <= 6
    assert len(reads._latest_ends) <= 2 * 4 + 16


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["begin", "end", "wait", "stop", "take"]),
        strategies.integers(0, 6),
        strategies.sampled_from(["a", "b", "ab", "ac"]),
        strategies.floats(0.0, 0.5),
        strategies.floats(0.0, 5.0),
    ),
    max_size=60,
)


@hypothesis.given(steps=_STEPS)
@hypothesis.settings(deadline=None)
def test_any_order_of_events_leaves_nothing_and_holds_nobody(steps):
    # Ends are reported twice or not at all, requests are withdrawn and sent
    # again. No request may be held beyond its target or the bound, none may
    # wait for a prefill that has ended, and all state goes when all has ended.
    reads = _reads()
    now_s = 0.0
    held_until_s = {}
    for action, number, prefix, elapsed_s, expected_s in steps:
        now_s += elapsed_s
        job = _job(number, prefix, arrived_s=now_s)
        request_id = job.request_id
        if action == "begin":
            reads.begin(job, ENDPOINT, now_s + expected_s, now_s)
        elif action == "end":
            reads.end(request_id)
        elif action == "wait":
            until_s = reads.wait_until_s(job, now_s)
            held_until_s.pop(request_id, None)
            if until_s is not None:
                assert now_s < until_s <= now_s + TARGET_S - WHOLE_PROMPT_S
                held_until_s[request_id] = until_s
        elif action == "stop":
            reads.stop_waiting(request_id)
        else:
            reads.take_released()
        in_prefill = set(reads._by_key)
        assert set(reads._waiting) <= in_prefill
    for number in range(7):
        reads.end(ids.RequestId(f"r{number}"))
    reads.take_released()
    assert not reads._prefills
    assert not reads._by_key
    assert not reads._waiting
    assert not reads._key_waited_for
    assert not reads._released
    assert len(reads._latest_ends) <= 16
