"""The bound on the prefill that is committed to one endpoint."""

import collections
import dataclasses
import random

import pytest

from benchmarks import driver
from benchmarks import overload_order
from benchmarks import placer_driver
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.decisions.choosing import prefill_bound
from cardamombarrow.kernel import ids

_TOKEN_S = 1.0 / 49_600
_LONG_TOKENS = 17_020
_ENDPOINT = ids.EndpointId("e")
_PEER = ids.InstanceId("placer of another domain")


def _state():
    return endpoint_module.EndpointState(
        _ENDPOINT, ids.ServiceId("s"), ids.DomainId("d"), 16
    )


def _job(number=0, rank=2, tokens=_LONG_TOKENS):
    return messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=ids.WorkspaceId("w"),
        class_id=ids.ClassId("long"),
        service=ids.ServiceId("s"),
        model=ids.ModelId("m"),
        rank=rank,
        arrived_s=0.0,
        target_first_token_s=2.563,
        deadline_s=10.25,
        prompt_tokens=tokens,
        unread_tokens=tokens,
    )


def _add(state, number, placed_s=0.0, **fields):
    running = messages.Running(_job(number, **fields), _ENDPOINT, placed_s)
    state.add(running)
    return running


def _is_open(state, rank=2, now_s=0.0):
    return prefill_bound.is_open(state, _job("new", rank), _TOKEN_S, now_s)


def test_long_prompts_do_not_pile_up_in_an_engine():
    # By their number, eight long prompts were sent to one engine at once, which
    # prefills them in 2.7 s; none could be overtaken or refused any more.
    state = _state()
    sent = 0
    while _is_open(state):
        _add(state, sent)
        sent += 1
    assert sent == 2


def test_cached_prompts_fill_the_engine_up_to_the_bound():
    # With a bound by number, an engine whose prefixes are cached was kept
    # waiting for the next prompt.
    state = _state()
    sent = 0
    while _is_open(state):
        _add(state, sent, tokens=2_000)
        sent += 1
    assert 2_000 * _TOKEN_S * (sent - 1) >= prefill_bound.BOUND_S


def test_less_urgent_backlog_does_not_keep_an_urgent_prompt_away():
    state = _state()
    for number in range(8):
        _add(state, number)
    assert not _is_open(state)
    assert _is_open(state, rank=0)


def test_urgent_prompts_do_not_pile_up_either():
    # Engines prefill urgent prompts first. Without a bound on these, a flood of
    # them would fill the engines and none could be refused.
    state = _state()
    for number in range(3):
        _add(state, number, rank=0)
    assert not _is_open(state, rank=0)
    assert not _is_open(state, rank=2)


def test_nearly_empty_prompts_are_bounded_as_well():
    # A prompt that is cached almost entirely takes no prefill by its tokens.
    # Any number of them would be within the bound.
    state = _state()
    for number in range(100):
        _add(state, number, tokens=1)
    assert not _is_open(state)


def test_first_token_opens_the_endpoint():
    state = _state()
    first = _add(state, 0)
    _add(state, 1)
    assert not _is_open(state)
    state.set_first_token(first, 0.34)
    assert _is_open(state, now_s=0.34)


def test_prefill_of_other_placers_is_counted():
    # Six placers that each keep within the bound by themselves would commit
    # six times as much to an engine.
    state = _state()
    load = messages.PeerLoad((2, 2, 2), 3, 30_000.0, 0.0)
    state.set_peer_load(_PEER, load)
    assert not _is_open(state)


def test_less_urgent_prefill_of_other_placers_is_not_counted():
    state = _state()
    load = messages.PeerLoad((2, 2, 2), 3, 30_000.0, 0.0)
    state.set_peer_load(_PEER, load)
    assert _is_open(state, rank=1)


def test_endpoint_opens_when_reports_of_another_placer_stop():
    # The last report before a partition would otherwise keep this domain from
    # the endpoint until the partition ends.
    state = _state()
    state.set_peer_load(_PEER, messages.PeerLoad((2,) * 3, 3, 30_000.0, 0.0))
    assert not _is_open(state, now_s=0.1)
    assert _is_open(state, now_s=0.5)


@pytest.mark.parametrize("tokens", [200, 2_000, 3_720, 17_020])
def test_distant_engine_does_not_idle(tokens):
    # An engine 30 ms away gets its next prompt 60 ms after the first token of
    # the last one. With a bound of zero it idles for that time after each.
    one_way_s = 0.03
    state = _state()
    free_at_s = one_way_s
    idle_s = 0.0
    sent = 0
    in_prefill = collections.deque()
    for tick in range(3_000):
        now_s = tick * 0.001
        while in_prefill and in_prefill[0][0] + one_way_s <= now_s:
            running = in_prefill.popleft()[1]
            state.set_first_token(running, now_s)
            state.remove(running.job.request_id)
        while _is_open(state, now_s=now_s):
            running = _add(state, sent, placed_s=now_s, tokens=tokens)
            arrival_s = now_s + one_way_s
            idle_s += max(arrival_s - free_at_s, 0.0)
            free_at_s = max(arrival_s, free_at_s) + tokens * _TOKEN_S
            in_prefill.append((free_at_s, running))
            sent += 1
    assert sent > 5
    assert idle_s < 0.02


def _dispatcher(overload):
    document = overload_order.scenario(1, overload).document
    context = context_module.PolicyContext(
        document,
        ids.InstanceId("placer"),
        driver.DOMAIN,
        random.Random(1),
        overload=overload_module.OverloadControl(overload),
        whole_domain=True,
    )
    return core.Dispatcher(context, 0.0)


@pytest.mark.parametrize("overload", [False, True])
def test_bound_in_seconds_applies_only_if_enabled(overload):
    # Existing deployments decide as before.
    dispatcher = _dispatcher(overload)
    for number in range(60):
        job = dataclasses.replace(_job(number), service=driver.SERVICE)
        job.class_id = overload_order.LONG
        assert dispatcher.offer(job, 0.0) is None or not overload
    list(dispatcher.place(0.0))
    most = max(len(each.running) for each in dispatcher.endpoints())
    assert most == (2 if overload else 8)


def _total(counts):
    return sum(row.in_time for row in counts.values())


def test_more_requests_of_a_cold_burst_are_in_time():
    # A burst of long prompts on engines with cold caches: by number, up to
    # 2.7 s of prefill waited in each engine, and the middle stream behind it.
    off = overload_order.run(3, overload=False)
    on = overload_order.run(3, overload=True)
    assert _total(on) > 1.2 * _total(off)
    for class_id, row in on.items():
        assert row.in_time >= off[class_id].in_time
        assert row.failed == 0


def test_loss_of_the_placer_in_the_burst():
    # Without the placer each instance knows its own prompts only. All requests
    # are still answered or refused before their callers' limit.
    scenario = overload_order.scenario(
        3, True, placer_lost_from_s=3.0, placer_lost_until_s=5.0
    )
    placer_driver.make(scenario, 3).run()
    counts = overload_order.burst_counts(scenario.works)
    assert counts[overload_order.LONG].longest_s < 10.253
    assert all(row.failed == 0 for row in counts.values())
    assert counts[overload_order.SHORT].in_time > (
        0.9 * counts[overload_order.SHORT].offered
    )
