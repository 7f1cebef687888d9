"""Choice by expected finish, and probation of failing endpoints."""

import collections

import pytest

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import choice
from cardamombarrow.decisions.fleet import failures
from cardamombarrow.kernel import ids

PLUGINS = (choice.TwoCandidatesChoice, choice.LeastFinishChoice)


def _states(count=4):
    return [
        endpoint_module.EndpointState(
            ids.EndpointId(f"10.0.0.{n}:80"),
            ids.ServiceId("models"),
            ids.DomainId("osu"),
            configured_slots=8,
            share=8,
        )
        for n in range(count)
    ]


def _run(policy, state, job, start_s, first_s, tokens, token_s):
    running = messages.Running(job, state.endpoint, start_s)
    running.first_token_s = start_s + first_s
    policy.on_first_token(state, running, start_s + first_s)
    running.tokens = tokens
    end_s = start_s + first_s + tokens * token_s
    policy.on_finish(state, running, messages.Outcome.DONE, end_s)
    return end_s


def _count_chosen(policy, states, job, now_s, rounds=100):
    return collections.Counter(
        states.index(policy.choose(job, states, now_s)[0])
        for _ in range(rounds)
    )


@pytest.mark.parametrize("plugin", PLUGINS)
def test_straggler_is_avoided_after_a_few_requests(plugin, context, new_job):
    """An engine turns ten times slower before its load report shows it.

    Sent there round robin, requests would take ten times as long.
    """
    policy = plugin(context)
    states = _states()
    for state in states:
        _run(policy, state, new_job(), 0.0, 0.1, 40, 0.02)
    for _ in range(3):
        _run(policy, states[0], new_job(), 1.0, 1.0, 40, 0.2)
    assert 0 not in _count_chosen(policy, states, new_job(), 9.1)


@pytest.mark.parametrize("plugin", PLUGINS)
def test_running_requests_reveal_a_straggler(plugin, context, new_job):
    """An engine hangs in mid-answer, so no request on it ends.

    An estimate from ended requests alone would send more requests there.
    """
    policy = plugin(context)
    states = _states()
    for state in states:
        _run(policy, state, new_job(), 0.0, 0.1, 40, 0.02)
    hanging = new_job()
    states[0].running[hanging.request_id] = messages.Running(
        hanging, states[0].endpoint, 1.0, first_token_s=1.1, tokens=3
    )
    assert 0 not in _count_chosen(policy, states, new_job(), 3.0)


def test_straggler_is_tried_again_later(context, new_job):
    """A recovered engine must get requests again without any notification."""
    policy = choice.LeastFinishChoice(context)
    states = _states()
    for state in states:
        _run(policy, state, new_job(), 0.0, 0.1, 40, 0.02)
    _run(policy, states[0], new_job(), 1.0, 1.0, 40, 0.2)
    for state in states[1:]:
        _run(policy, state, new_job(), 85.0, 0.1, 40, 0.02)
        for _ in range(4):
            job = new_job()
            state.running[job.request_id] = messages.Running(
                job, state.endpoint, 90.0, first_token_s=90.1, tokens=40
            )
    assert 0 in _count_chosen(policy, states, new_job(), 91.0)


@pytest.mark.parametrize("plugin", PLUGINS)
def test_fail_fast_endpoint_gets_probes_only(plugin, context, new_job):
    """An engine refuses each request within milliseconds, so it looks idle.

    While all others are full it is the only one with a free slot, and would
    get and fail every waiting request.
    """
    policy = plugin(context)
    state = _states(1)[0]
    sent = 0
    for step in range(10_000):
        now_s = step * 0.01
        job = new_job()
        if not policy.available(job, state, now_s):
            continue
        policy.choose(job, [state], now_s)
        sent += 1
        running = messages.Running(job, state.endpoint, now_s)
        refused = messages.Outcome.REFUSED_BY_ENDPOINT
        policy.on_finish(state, running, refused, now_s + 0.005)
    assert 5 < sent < 25
    running = messages.Running(new_job(), state.endpoint, 101.0)
    policy.on_first_token(state, running, 101.1)
    assert policy.available(new_job(), state, 101.2)


def test_probe_is_not_an_unrepeatable_job(context, new_job):
    """A probe may fail, and a request that may have run can't be repeated."""
    policy = choice.TwoCandidatesChoice(context)
    state = _states(1)[0]
    running = messages.Running(new_job(), state.endpoint, 0.0)
    for _ in range(failures.FAILURES_TO_PROBATION):
        policy.on_finish(state, running, messages.Outcome.CRASHED, 0.0)
    assert policy.available(new_job(), state, 5.0)
    assert not policy.available(new_job(repeatable=False), state, 5.0)


@pytest.mark.parametrize("plugin", PLUGINS)
def test_prefix_affinity_holds_until_its_endpoint_is_loaded(
    plugin, context, new_job
):
    """Many requests share a long prefix.

    Spread over all engines, each engine prefills it again; all sent to one,
    that one is overloaded while the others idle.
    """
    policy = plugin(context)
    states = _states()
    prompt = {"prefix_key": "shared", "prompt_tokens": 3_000}
    policy.choose(new_job(**prompt), states, 0.0)
    chosen = _count_chosen(policy, states, new_job(**prompt), 1.0)
    affinity, count = chosen.most_common(1)[0]
    assert count == 100
    for n in range(7):
        job = new_job()
        states[affinity].running[job.request_id] = messages.Running(
            job, states[affinity].endpoint, 1.0 - 0.1 * n, first_token_s=1.0
        )
    chosen = _count_chosen(policy, states, new_job(**prompt), 3.0)
    assert chosen[affinity] < 50


def test_prefixes_are_spread_over_endpoints(context, new_job):
    """With a plain checksum as weight, one of four engines got no prefixes."""
    policy = choice.TwoCandidatesChoice(context)
    states = _states()
    affinities = collections.Counter()
    for n in range(200):
        job = new_job(prefix_key=f"shared-{n}", prompt_tokens=3_000)
        policy.choose(job, states, 0.0)
        affinities[
            _count_chosen(policy, states, job, 0.1, rounds=1).most_common()[0]
        ] += 1
    assert min(affinities.values()) > 25
    assert len(affinities) == 4


def test_in_flight_counts_what_a_late_report_misses(new_job):
    """Reports lag by seconds, so they lack a burst of own requests."""
    state = _states(1)[0]
    for placed_s in (1.0, 2.0, 6.0, 7.0):
        job = new_job()
        state.running[job.request_id] = messages.Running(
            job, state.endpoint, placed_s
        )
    state.report = messages.LoadReport(5, 0, 0.5, False, measured_at_s=5.0)
    assert state.in_flight == 4 + 3
