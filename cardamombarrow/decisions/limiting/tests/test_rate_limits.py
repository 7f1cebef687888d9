"""Rate limits that endpoints advertise."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import rate_limits
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

_ENDPOINT = "10.0.0.1:80"


def _limit(per_s, received_s):
    return messages.RateLimit(per_s, received_s)


def test_limit_applies_until_an_answer_replaces_it():
    limits = rate_limits.RateLimits()
    assert limits.update(_ENDPOINT, _limit(None, 1.0)) is None
    assert limits.update(_ENDPOINT, _limit(2.0, 2.0)).per_s is None
    assert limits.update(_ENDPOINT, _limit(2.0, 3.0)) is None
    assert limits.limit(_ENDPOINT).per_s == 2.0
    assert limits.update(_ENDPOINT, _limit(None, 4.0)).per_s == 2.0
    assert limits.limit(_ENDPOINT) is None


def test_older_answer_does_not_end_a_limit():
    limits = rate_limits.RateLimits()
    limits.update(_ENDPOINT, _limit(2.0, 2.0))
    assert limits.update(_ENDPOINT, _limit(None, 1.5)) is None
    assert limits.limit(_ENDPOINT).per_s == 2.0


def test_number_of_stored_limits_is_bounded():
    limits = rate_limits.RateLimits()
    for number in range(2 * rate_limits.MAX_LIMITS):
        limits.update(f"10.0.0.{number}:80", _limit(1.0, float(number)))
    assert limits.count() == rate_limits.MAX_LIMITS


_DOMAIN = "home"
_WINDOW_S = 4.0


def _allowed(limit_per_s):
    return 1.5 * limit_per_s * _WINDOW_S + 5


def _most_in_window(sent_s):
    return max(
        (sum(b <= s < b + _WINDOW_S for s in sent_s) for b in sent_s), default=0
    )


@hypothesis.given(
    limit_per_s=st.floats(0.0, 200.0),
    gaps_s=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=200),
    hand_over=st.integers(0, 200),
    overlap_s=st.floats(0.0, 2.0),
)
def test_overlapping_delegates_comply_with_a_limit(
    limit_per_s, gaps_s, hand_over, overlap_s
):
    # Guards against a new delegate that uses tokens its predecessor has used.
    part = rate_limits.delegate_part(limit_per_s, _ENDPOINT, _DOMAIN, _DOMAIN)
    before, after = rate_limits.RateLimits(), rate_limits.RateLimits()
    after.set_delegate(False)
    now_s, overlap_ends_s = 0.0, float("inf")
    sent_s = []
    for number, gap_s in enumerate(gaps_s):
        now_s += gap_s
        if number == hand_over:
            after.set_delegate(True)
            overlap_ends_s = now_s + overlap_s
        if now_s > overlap_ends_s:
            before.set_delegate(False)
        for limits in (before, after):
            while limits.is_delegate and (
                limits.ready_s(_ENDPOINT, part, now_s) <= now_s
            ):
                limits.spend(_ENDPOINT, part, now_s)
                sent_s.append(now_s)
    assert _most_in_window(sent_s) <= _allowed(limit_per_s)


@pytest.mark.parametrize("domains", [2, 6, 11])
@pytest.mark.parametrize("seed", range(5))
def test_probes_of_idle_domains_do_not_come_at_once(domains, seed):
    # Guards against probes that all domains save up until the same burst.
    rng = random.Random(seed)
    burst_s = rng.uniform(40.0, 200.0)
    probes = 0
    for number in range(1, domains):
        own = f"domain-{number}"
        part = rate_limits.delegate_part(1.0, _ENDPOINT, _DOMAIN, own)
        limits = rate_limits.RateLimits()
        begin_s = rng.uniform(0.0, 2.0)
        for step in range(int((burst_s - begin_s) / 0.5)):
            limits.ready_s(_ENDPOINT, part, begin_s + 0.5 * step)
        probes += (
            limits.ready_s(_ENDPOINT, part, burst_s) <= burst_s + _WINDOW_S
        )
    assert probes + 4.0 * rate_limits.USED_SHARE + 1.0 <= _allowed(1.0)


def test_new_delegate_starts_with_an_empty_bucket():
    part = rate_limits.delegate_part(5.0, _ENDPOINT, _DOMAIN, _DOMAIN)
    limits = rate_limits.RateLimits()
    limits.ready_s(_ENDPOINT, part, 0.0)
    assert limits.ready_s(_ENDPOINT, part, 10.0) == 10.0
    assert limits.set_delegate(False)
    assert limits.set_delegate(True)
    assert limits.ready_s(_ENDPOINT, part, 10.0) > 10.0


def test_only_own_limits_and_recent_ends_are_announced():
    limits = rate_limits.RateLimits()
    limits.update(_ENDPOINT, _limit(1.0, 0.0))
    limits.update("10.0.0.2:80", _limit(1.0, 0.0), is_direct=False)
    assert list(limits.to_announce(100.0)) == [_ENDPOINT]
    limits.update(_ENDPOINT, _limit(None, 100.0))
    assert limits.to_announce(101.0)[_ENDPOINT].per_s is None
    assert not limits.to_announce(100.0 + rate_limits.ANNOUNCE_END_S)


def _advertise(dispatcher, endpoints, per_s, now_s=0.0):
    for endpoint in endpoints:
        dispatcher._context.rate_limits.update(endpoint, _limit(per_s, now_s))
        dispatcher.rate_limit_changed(endpoint)
    dispatcher.refresh_shares(now_s)


@pytest.fixture
def dispatcher(document):
    made = core.Dispatcher(
        context_module.PolicyContext(
            document,
            ids.InstanceId("entry-1"),
            ids.DomainId("osu"),
            random.Random(1),
        ),
        0.0,
    )
    return made


_LOCAL = (ids.EndpointId("10.0.0.1:80"), ids.EndpointId("10.0.0.2:80"))


def _placed(dispatcher, now_s):
    return [
        each.endpoint
        for each in dispatcher.place(now_s)
        if isinstance(each, messages.Placement)
    ]


def test_only_the_delegate_sends_to_a_limited_endpoint(dispatcher, new_job):
    dispatcher._context.rate_limits.set_delegate(False)
    _advertise(dispatcher, _LOCAL[:1], 5.0)
    for _ in range(4):
        assert dispatcher.offer(new_job(arrived_s=10.0), 10.0) is None
    assert set(_placed(dispatcher, 10.0)) == {_LOCAL[1]}


def test_job_that_rate_limits_delay_too_long_is_refused_at_once(
    dispatcher, new_job
):
    _advertise(dispatcher, _LOCAL, 0.0)
    refusal = dispatcher.offer(new_job(), 0.0)
    assert refusal.kind is errors.ErrorKind.OVERLOADED
    assert refusal.retry_after_s > 1.0


def test_waiting_job_is_placed_once_the_limit_allows_it(dispatcher, new_job):
    _advertise(dispatcher, _LOCAL[:1], 2.5)
    _advertise(dispatcher, _LOCAL[1:], 0.0)
    assert dispatcher.offer(new_job(), 0.1) is None
    assert not _placed(dispatcher, 0.1)
    now_s = 0.1
    placed = []
    while not placed:
        now_s = dispatcher.next_s()
        assert now_s < 0.92
        placed = _placed(dispatcher, now_s)
    assert placed == [_LOCAL[0]]


def test_placer_decides_plain_calls_while_a_limit_applies(dispatcher, new_job):
    job = new_job(streams=False)
    assert not dispatcher.may_place_remotely(job, 0.0)
    _advertise(dispatcher, _LOCAL[:1], 5.0)
    assert dispatcher.may_place_remotely(job, 0.0)
    _advertise(dispatcher, _LOCAL[:1], None, 1.0)
    assert not dispatcher.may_place_remotely(job, 1.0)
