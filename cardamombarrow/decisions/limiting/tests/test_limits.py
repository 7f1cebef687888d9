"""Tests of limits that follow the time to first token."""

import pytest

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import limits
from cardamombarrow.kernel import ids

PLUGINS = (limits.GradientLimits, limits.AimdLimits)
SLOTS = 8


@pytest.fixture
def state():
    return endpoint_module.EndpointState(
        ids.EndpointId("10.0.0.1:80"),
        ids.ServiceId("models"),
        ids.DomainId("osu"),
        configured_slots=SLOTS,
        share=SLOTS,
    )


def _first_tokens(policy, state, new_job, start_s, count, first_s):
    for number in range(count):
        placed_s = start_s + number
        job = new_job(prompt_tokens=300)
        running = messages.Running(job, state.endpoint, placed_s)
        for _ in range(SLOTS // 2):
            other = new_job()
            state.running[other.request_id] = messages.Running(
                other, state.endpoint, placed_s
            )
        policy.on_first_token(state, running, placed_s + first_s)
        state.running.clear()
    return start_s + count


@pytest.mark.parametrize("plugin", PLUGINS)
def test_limit_falls_under_congestion_and_recovers(
    plugin, context, new_job, state
):
    """Long prompts use an engine's memory, so its capacity is halved.

    At the old limit it recomputes evicted work and all its callers wait.
    """
    policy = plugin(context)
    now_s = _first_tokens(policy, state, new_job, 0.0, 10, 0.05)
    assert policy.limit(state, now_s) == SLOTS
    now_s = _first_tokens(policy, state, new_job, now_s, 20, 0.4)
    assert policy.limit(state, now_s) <= SLOTS // 2
    now_s = _first_tokens(policy, state, new_job, now_s, 60, 0.05)
    assert policy.limit(state, now_s) == SLOTS


@pytest.mark.parametrize("plugin", PLUGINS)
def test_limit_stays_between_one_and_the_documents_slots(
    plugin, context, new_job, state
):
    """An endpoint with a limit of zero would never be used again."""
    policy = plugin(context)
    now_s = _first_tokens(policy, state, new_job, 0.0, 3, 0.001)
    for first_s in (50.0, 0.001, 900.0):
        now_s = _first_tokens(policy, state, new_job, now_s, 25, first_s)
        assert 1 <= policy.limit(state, now_s) <= SLOTS
    state.configured_slots = 2
    assert policy.limit(state, now_s) <= 2


def test_engine_slower_for_good_is_not_throttled_forever(
    context, new_job, state
):
    """A new model version is slower; that is not congestion."""
    policy = limits.GradientLimits(context)
    now_s = _first_tokens(policy, state, new_job, 0.0, 10, 0.05)
    now_s = _first_tokens(policy, state, new_job, now_s, 120, 0.4)
    assert policy.limit(state, now_s) == SLOTS


def test_slow_tokens_lower_the_limit(context, new_job, state):
    """An engine out of memory slows running requests, not first tokens."""
    policy = limits.GradientLimits(context)
    now_s = 0.0
    for token_s in (0.02,) * 10 + (0.12,) * 20:
        now_s += 1.0
        for _ in range(6):
            job = new_job()
            state.running[job.request_id] = messages.Running(
                job,
                state.endpoint,
                now_s - 1.0,
                first_token_s=now_s - 10 * token_s,
                tokens=10,
            )
        running = messages.Running(new_job(), state.endpoint, now_s - 0.05)
        policy.on_first_token(state, running, now_s)
        state.running.clear()
    assert policy.limit(state, now_s) <= SLOTS // 2


@pytest.mark.parametrize("plugin", PLUGINS)
def test_report_counts_once(plugin, context, new_job, state):
    """Applying the same report on each tick would cut the limit to one."""
    policy = plugin(context)
    now_s = _first_tokens(policy, state, new_job, 0.0, 5, 0.05)
    state.report = messages.LoadReport(4, 4, 0.9, False, measured_at_s=now_s)
    for tick in range(100):
        policy.limit(state, now_s + tick * 0.05)
    assert policy.limit(state, now_s + 5.0) >= SLOTS // 2


def test_cached_prompts_do_not_set_the_minimum(context, new_job, state):
    """Requests with a shared prompt are answered from the engine's cache.

    As the minimum, their times made every other request look like congestion:
    the limits were cut and a shared prompt was spread over all engines
    (pattern many-prefixes, seeds 0 to 2, fell to the baseline).
    """
    policy = limits.GradientLimits(context)
    now_s = 0.0
    for number in range(60):
        now_s += 0.5
        shared = number % 2 == 0
        job = new_job(
            prompt_tokens=3_000,
            prefix_key="shared" if shared else f"new-{number}",
        )
        first_s = 0.02 if shared and number else 0.4
        running = messages.Running(job, state.endpoint, now_s - first_s)
        policy.on_first_token(state, running, now_s)
    assert policy.limit(state, now_s) == SLOTS


def test_answers_that_are_not_streamed_are_ignored(context, new_job, state):
    """The first byte of an answer that is not streamed comes with its last.

    As first tokens, long answers after short ones would cut the limits.
    """
    policy = limits.GradientLimits(context)
    for number in range(40):
        now_s = float(number)
        job = new_job(streams=False, prompt_tokens=10)
        running = messages.Running(job, state.endpoint, now_s)
        first_s = 0.05 if number < 10 else 9.0
        policy.on_first_token(state, running, now_s + first_s)
    assert policy.limit(state, 50.0) == SLOTS


def test_times_near_zero_do_not_set_the_minimum(context, new_job, state):
    """An immediate answer must not make all later ones look slow."""
    policy = limits.GradientLimits(context)
    now_s = _first_tokens(policy, state, new_job, 0.0, 3, 0.0)
    now_s = _first_tokens(policy, state, new_job, now_s, 30, 0.08)
    assert policy.limit(state, now_s) == SLOTS
