"""The wait predicted from the prefill ahead, and refusals by it."""

import collections
import dataclasses
import math
import random

import pytest

from benchmarks import driver
from benchmarks import overload_order
from benchmarks import placer_driver
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.decisions.queueing import admission
from cardamombarrow.decisions.queueing import prefill_forecast
from cardamombarrow.kernel import ids

_KINDS = {kind.rank: kind for kind in overload_order.KINDS}
_PEER = ids.InstanceId("placer of another domain")


def _job(number, rank=2, prefix="p"):
    kind = _KINDS[rank]
    parts = (
        messages.PromptPart(f"{rank}-{prefix}", kind.shared_tokens),
        messages.PromptPart(f"own-{number}", kind.own_tokens),
    )
    return messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=ids.WorkspaceId(f"w{number % 40}"),
        class_id=kind.class_id,
        service=driver.SERVICE,
        model=ids.ModelId("m"),
        rank=rank,
        arrived_s=0.0,
        target_first_token_s=kind.target_s,
        deadline_s=kind.deadline_s,
        prompt_tokens=kind.shared_tokens + kind.own_tokens,
        prefix_key=parts[0].part,
        parts=parts,
    )


def _late_job(number, rank=2):
    job = _job(number, rank, prefix=f"p{number}")
    job.arrived_s = -job.target_first_token_s
    return job


def _forecast(tokens_per_s=1_000.0, share=1.0):
    return prefill_forecast.PrefillForecast(
        lambda job, now_s: tokens_per_s, lambda job, now_s: share
    )


def _add(forecast, job):
    forecast.add(job, float(job.prompt_tokens))


def test_shared_prefix_counts_once():
    # A hundred prompts with one cold prefix would otherwise be predicted to
    # take 27 s of prefill for it instead of 0.27 s, and be refused.
    forecast = _forecast()
    for number in range(100):
        _add(forecast, _job(number))
    assert forecast.tokens_ahead(_job(100), 0.0) == 13_300 + 100 * 3_720


def test_prefix_is_not_counted_once_it_has_been_sent():
    forecast = _forecast()
    for number in range(2):
        _add(forecast, _job(number))
    forecast.remove(ids.RequestId("r0"), placed=True)
    assert forecast.tokens_ahead(_job(9), 0.0) == 3_720


def test_prefix_still_counts_for_the_others_of_a_withdrawn_job():
    forecast = _forecast()
    for number in range(2):
        _add(forecast, _job(number))
    forecast.remove(ids.RequestId("r0"), placed=False)
    assert forecast.tokens_ahead(_job(9), 0.0) == 13_300 + 3_720
    forecast.remove(ids.RequestId("r1"), placed=False)
    assert forecast.tokens_ahead(_job(9), 0.0) == 0.0


def test_lower_tiers_are_not_ahead():
    forecast = _forecast()
    _add(forecast, _job(0, rank=2))
    _add(forecast, _job(1, rank=0))
    assert forecast.tokens_ahead(_job(2, rank=1), 0.0) == 350 + 1_110
    assert forecast.tokens_ahead(_job(2, rank=0), 0.0) == 350 + 1_110


def test_wait_is_finite_without_any_rate():
    # All endpoints are paused: no rate, but the retry-after has to be a number.
    forecast = _forecast(tokens_per_s=0.0)
    _add(forecast, _job(0))
    assert math.isfinite(forecast.wait_s(_job(1), 0.0))


def test_nothing_is_kept_of_jobs_that_have_left():
    rng = random.Random(1)
    forecast = _forecast()
    for number in range(300):
        _add(forecast, _job(number, rank=number % 3, prefix=f"p{number % 7}"))
    for number in rng.sample(range(300), 300):
        forecast.remove(ids.RequestId(f"r{number}"), placed=number % 2 == 0)
    assert forecast.tokens_ahead(_job(300), 0.0) == 0.0
    assert not forecast._queued
    assert not any(
        t._users or t._prefix_tokens for t in forecast._tiers.values()
    )


def _backlog(**fields):
    return dataclasses.replace(
        messages.Backlog(5, 80, 1.0, 0.0, tier_waiting=5, prefill_wait_s=0.0),
        **fields,
    )


def _refuse(context, wait_s, is_late=True, **fields):
    backlog = _backlog(
        is_late=is_late,
        predicted_wait_s=wait_s,
        prefill_wait_s=wait_s,
        **fields,
    )
    policy = admission.PredictedWaitAdmission(context)
    return policy.refuse(_job(0), backlog, 0.0)


def test_job_is_refused_only_beyond_the_time_of_its_caller(context):
    # A late response is still of use. Refused by the target, the capacity that
    # is left behind a burst would be idle.
    assert _refuse(context, 9.2) is None
    assert "9.30 s for the prefill ahead" in _refuse(context, 9.3)


def test_job_that_can_be_in_time_is_not_refused_for_late_ones(context):
    # It overtakes the late ones. Refused by the wait of all, up to 13 % fewer
    # requests of a burst were in time.
    assert _refuse(context, 20.0, is_late=False) is None


def test_no_refusal_while_a_lower_tier_waits(context):
    # The caller of a lower tier may allow more time: it would be admitted
    # while a more urgent request is refused.
    assert _refuse(context, 20.0, lower_waiting=True) is None
    assert _refuse(context, 20.0, lower_over_reserve=True) is None


def test_late_job_is_not_given_up_before_its_latest_start(context):
    # By twice its target, late jobs were given up after 5.1 s of 10.25 s, just
    # when there was capacity again.
    policy = admission.PredictedWaitAdmission(context)
    backlog = _backlog(predicted_wait_s=8.0, prefill_wait_s=8.0)
    assert policy.give_up(_job(0), backlog, 9.0) is None
    assert policy.give_up(_job(0), backlog, 9.3)


@pytest.fixture(name="dispatcher")
def _dispatcher():
    context = context_module.PolicyContext(
        overload_order.scenario(1, True, load=0.01).document,
        ids.InstanceId("placer"),
        driver.DOMAIN,
        random.Random(1),
        overload=overload_module.OverloadControl(True),
        whole_domain=True,
    )
    return core.Dispatcher(context, 0.0)


def test_refusal_states_when_there_is_capacity(dispatcher):
    # 5 engines prefill some 250,000 tokens a second (as initially assumed).
    refusals = []
    for number in range(300):
        job = _late_job(number)
        refusal = dispatcher.offer(job, 0.0)
        if refusal is not None:
            refusals.append(refusal)
        list(dispatcher.place(0.0))
    assert "prefill ahead" in refusals[0].detail
    queued = len(dispatcher.waiting_jobs())
    wait_s = 17_020 * queued / 250_000
    assert 0.6 * wait_s < refusals[0].retry_after_s < 1.4 * wait_s


def test_no_job_is_refused_while_a_less_urgent_one_waits(dispatcher):
    refused = collections.Counter()
    for number in range(900):
        job = _late_job(number, rank=(2, 2, 1, 0)[number % 4])
        if dispatcher.offer(job, 0.0) is not None:
            refused[job.rank] += 1
            assert all(
                other.rank <= job.rank for other in dispatcher.waiting_jobs()
            )
        list(dispatcher.place(0.0))
    assert refused[2] > 100


def test_placers_predict_with_their_part_of_the_rate(dispatcher):
    # Six domains that overload the endpoints together would each predict a
    # sixth of the wait, and refuse nothing.
    assert dispatcher.offer(_job(0), 0.0) is None
    list(dispatcher.place(0.0))
    ((_, own),) = dispatcher.own_loads(0.0).items()
    job = _job(1)
    alone = dispatcher._roster.prefill_tokens_per_s(job, 0.0)
    loads = dict.fromkeys(
        overload_order.ENDPOINTS,
        messages.PeerLoad((2,) * 3, 3, own.unread_tokens, 0.1),
    )
    dispatcher.set_peer_loads(_PEER, loads)
    with_peer = dispatcher._roster.prefill_tokens_per_s(job, 0.1)
    assert with_peer == pytest.approx(alone / 6)
    # The reports stop: their prefill is over, at the latest.
    assert dispatcher._roster.prefill_tokens_per_s(job, 2.0) == alone


def test_call_without_a_prompt_is_admitted_as_before(dispatcher):
    # Its wait is due to slots. With the rule for prompts it would wait until
    # its deadline instead of being refused by its target.
    call = dataclasses.replace(
        _job(0), prompt_tokens=0, parts=(), streams=False
    )
    assert dispatcher.backlog(call, 0.0).prefill_wait_s is None
    assert dispatcher.backlog(_job(1), 0.0).prefill_wait_s == 0.0


def test_place_states_its_inputs(dispatcher):
    assert dispatcher.offer(_job(0), 0.0) is None
    assert dispatcher.offer(_job(1), 0.0) is None
    decisions = [*dispatcher.place(0.0), *dispatcher.place(5.0)]
    reasons = {each.request_id: each.reason for each in decisions}
    assert "0.000 s of prefill ahead" in reasons["r0"]
    late = _job(2)
    dispatcher.offer(late, 5.0)
    (placed,) = dispatcher.place(5.0)
    assert placed.reason.endswith("of prefill ahead, late")


def _sums(runs):
    return collections.Counter(
        {
            class_id: sum(each[class_id].in_time for each in runs)
            for class_id in runs[0]
        }
    )


def _burst(overload):
    return [
        overload_order.run(seed, overload, load=1.5, slots=64)
        for seed in (0, 1)
    ]


def test_every_request_of_a_burst_has_an_end_before_its_limit(monkeypatch):
    # With slots free, no wait was predicted: late requests were given up at
    # their deadlines with a retry-after of a second, returned to the same
    # queue and ended 13 s after their callers had sent them.
    on, off = _burst(overload=True), _burst(overload=False)
    assert _sums(on).total() > _sums(off).total()
    assert all(_sums(on)[each] >= _sums(off)[each] for each in _sums(on))
    for counts in on:
        for kind in overload_order.KINDS:
            assert counts[kind.class_id].failed == 0
            assert counts[kind.class_id].longest_s < kind.deadline_s
    monkeypatch.setattr(
        prefill_forecast.PrefillForecast, "wait_s", lambda *args: 0.0
    )
    without = _burst(overload=True)
    limit_s = overload_order.KINDS[0].deadline_s
    longest_s = max(each[overload_order.LONG].longest_s for each in without)
    assert longest_s > limit_s


def test_loss_of_the_placer_in_a_burst():
    # The placer is lost for two seconds and starts empty. Meanwhile each
    # instance orders its own queue.
    seeds = (0, 1)
    in_time = {}
    for overload in (False, True):
        in_time[overload] = 0
        for seed in seeds:
            built = overload_order.scenario(
                seed,
                overload,
                placer_lost_from_s=3.0,
                placer_lost_until_s=5.0,
            )
            placer_driver.make(built, seed).run()
            counts = overload_order.burst_counts(built.works)
            in_time[overload] += sum(row.in_time for row in counts.values())
    for kind in overload_order.KINDS:
        assert counts[kind.class_id].failed == 0
        assert counts[kind.class_id].longest_s < kind.deadline_s
    assert in_time[True] > in_time[False]
