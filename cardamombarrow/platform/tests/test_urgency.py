"""Who is served when more is asked than engines can do, by route and workspace.

A configuration is parsed, the real decisions place its requests in virtual
time, and engines order them by the priority that the platform's servers get.
What counts is what callers get, not the order of any number.
"""

import dataclasses
import functools
import itertools
import math
import random

import pytest

from benchmarks import driver as driver_module
from benchmarks import fake_engine
from benchmarks import placer_driver
from benchmarks import scenarios
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base
from cardamombarrow.kernel import ids
from cardamombarrow.platform import configuration
from cardamombarrow.platform import servers
from cardamombarrow.platform.tests import urgency_rule

SEEDS = (0, 1, 2)
ENTRIES = 16
SLOTS = 12
DURATION_S = 30.0
BURST_S = (8.0, 18.0)
RATE_PER_S = 40.0
BURST_FACTOR = 3.0

PREFERRED = "w0"
PREFERRED_SHARE = 0.4
PREFERRED_RANKS = (0, 1, 2)
"""Ranks of the largest workspace: before, like and behind the others'."""


class _NoCaller(base.CallerWatch):
    def fileno(self):
        return -1

    def gone(self):
        return False


def _told_priority(rank):
    """Returns the priority that the platform's servers get for a rank."""
    call = base.OutgoingCall(
        request_id=ids.RequestId("r"),
        endpoint=ids.endpoint_id("10.0.0.9:8080", "i-7f"),
        method="POST",
        path="/",
        body=b"",
        content_type="",
        rank=rank,
        deadline_s=0.0,
        stall_limit_s=1.0,
        caller=_NoCaller(),
        cancelled=lambda: False,
    )
    headers = dict(servers.PlatformEngine().request_headers(call))
    return int(headers["Request-Priority"])


ENDPOINTS = tuple(ids.EndpointId(f"10.10.1.{n}:8000") for n in range(11, 17))

ENGINE = fake_engine.EngineSettings(
    base_step_s=0.003,
    step_s_per_sequence=0.0002,
    prefill_s_per_token=0.00002,
    prefill_chunk_tokens=2_048,
    batch=SLOTS,
    cache_tokens=300_000,
    report_lag_s=0.3,
    preempts=True,
    priority_of=functools.cache(_told_priority),
)


@dataclasses.dataclass(frozen=True)
class _Stream:
    """A class of requests.

    Attributes:
        priority: Rank of its route; 0 is the most urgent.
    """

    name: str
    priority: int
    weight: float
    prompt_tokens: int
    answer_tokens: int
    target_ms: int
    deadline_ms: int


STREAMS = (
    _Stream("digest", 2, 0.4, 12_000, 100, 2_000, 12_000),
    _Stream("summary", 1, 0.35, 4_000, 30, 800, 6_000),
    _Stream("question", 0, 0.25, 800, 60, 400, 10_000),
)


def _document(make, preferred_rank):
    routes = [
        make["route"](
            each.name,
            priority=each.priority,
            latencyGoalMs=each.target_ms,
            timeoutMs=each.deadline_ms,
        )
        for each in STREAMS
    ]
    tenants = [
        {"name": f"w{n}", "apiKeys": [f"k{n}"], "priority": 1} for n in range(8)
    ]
    tenants[0]["priority"] = preferred_rank
    text = make["configuration"](routes=routes, tenants=tenants)
    document = configuration.ConfigurationFormat().parse(text)
    (service,) = document.services.values()
    service = dataclasses.replace(
        service,
        service=driver_module.SERVICE,
        slots_per_endpoint=SLOTS,
        endpoints={driver_module.DOMAIN: ENDPOINTS},
    )
    return dataclasses.replace(document, services={service.service: service})


def _works(rng):
    now_s = 0.0
    while now_s < DURATION_S:
        in_burst = BURST_S[0] <= now_s < BURST_S[1]
        factor = BURST_FACTOR if in_burst else 1.0
        now_s += rng.expovariate(RATE_PER_S * factor)
        weights = [each.weight for each in STREAMS]
        (stream,) = rng.choices(STREAMS, weights)
        is_preferred = rng.random() < PREFERRED_SHARE
        workspace = PREFERRED if is_preferred else f"w{rng.randrange(1, 8)}"
        size = rng.lognormvariate(-0.2, 0.6)
        yield fake_engine.Work(
            class_id=ids.ClassId(stream.name),
            workspace=ids.WorkspaceId(workspace),
            arrival_s=now_s,
            prompt_tokens=math.ceil(stream.prompt_tokens * size),
            answer_tokens=stream.answer_tokens,
            prefix_key="",
        )


class _SendTimes:
    """Records when each request is first sent to an engine."""

    def __init__(self, scenario, seed):
        super().__init__(scenario, seed)
        self.sent_s = {}

    def _deliver(self, flight):
        self.sent_s.setdefault(id(flight.work), self._now_s)
        super()._deliver(flight)


class _EntriesDriver(_SendTimes, driver_module.Driver):
    """Each entry decides by itself."""


class _PlacerDriver(_SendTimes, placer_driver.PlacerDriver):
    """A placer decides for all entries."""


def _run(make, seed, preferred_rank, driver_class=_PlacerDriver, **fields):
    works = list(_works(random.Random(seed)))
    scenario = scenarios.Scenario(
        _document(make, preferred_rank),
        dict.fromkeys(ENDPOINTS, ENGINE),
        works,
        DURATION_S,
        entry_weights=(1.0,) * ENTRIES,
        asked=driver_class is _PlacerDriver,
        caller_tries=2,
        retry_share=0.33,
        **fields,
    )
    driver = driver_class(scenario, seed)
    driver.run()
    sent_s = [driver.sent_s.get(id(work), math.inf) for work in works]
    return list(zip(works, sent_s, strict=True))


def _request(work, sent_s):
    (stream,) = (each for each in STREAMS if each.name == work.class_id)
    return urgency_rule.Request(
        stream.name,
        stream.priority,
        work.prompt_tokens,
        work.arrival_s,
        sent_s,
        work.answered_s is not None,
    )


def _check_nothing_passed_over(runs):
    requests = [_request(work, sent_s) for work, sent_s in runs]
    assert not urgency_rule.find_violations(requests, range(int(DURATION_S)))


@pytest.mark.parametrize("preferred_rank", PREFERRED_RANKS)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_urgent_class_gets_nothing_while_longer_less_urgent_requests_begin(
    make, seed, preferred_rank
):
    # Guards against urgent requests that are refused in a burst while long
    # prompts of a less urgent class are sent to engines.
    _check_nothing_passed_over(_run(make, seed, preferred_rank))


@pytest.mark.parametrize("preferred_rank", PREFERRED_RANKS)
@pytest.mark.parametrize("seed", SEEDS)
def test_entries_without_a_placer_pass_over_no_urgent_class(
    make, seed, preferred_rank
):
    # Guards against urgent requests that are refused by entries whose slots
    # hold long prompts of a less urgent class.
    runs = _run(make, seed, preferred_rank, _EntriesDriver)
    _check_nothing_passed_over(runs)


@pytest.mark.parametrize("preferred_rank", PREFERRED_RANKS)
@pytest.mark.parametrize("seed", SEEDS)
def test_losing_the_placer_in_a_burst_passes_over_no_urgent_class(
    make, seed, preferred_rank
):
    # Guards against urgent requests that wait until their deadlines after the
    # placer has returned to engines that the entries have overcommitted.
    lost = {"placer_lost_from_s": 10.0, "placer_lost_until_s": 16.0}
    runs = _run(make, seed, preferred_rank, **lost)
    _check_nothing_passed_over(runs)


def _dispatcher(document):
    context = context_module.PolicyContext(
        document,
        ids.InstanceId("entry-0"),
        driver_module.DOMAIN,
        random.Random(0),
        whole_domain=True,
    )
    dispatcher = core.Dispatcher(context, 0.0)
    dispatcher.refresh_shares(0.0)
    return dispatcher


def _job(document, number, stream, workspace):
    class_id = ids.ClassId(stream.name)
    workspace_id = ids.WorkspaceId(workspace)
    return messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=workspace_id,
        class_id=class_id,
        service=driver_module.SERVICE,
        model=ids.ModelId("m"),
        rank=document.rank_of(class_id, document.workspaces[workspace_id]),
        arrived_s=0.0,
        target_first_token_s=stream.target_ms / 1_000,
        deadline_s=stream.deadline_ms / 1_000,
        prompt_tokens=stream.prompt_tokens,
    )


@pytest.mark.parametrize("preferred_rank", PREFERRED_RANKS)
@pytest.mark.parametrize(
    ("running", "arriving"), list(itertools.product(STREAMS, repeat=2))
)
@pytest.mark.parametrize(
    ("running_for", "arriving_for"),
    list(itertools.product(("w0", "w1"), repeat=2)),
)
def test_full_endpoints_get_just_the_requests_for_which_they_preempt(
    make, preferred_rank, running, arriving, running_for, arriving_for
):
    # Guards against a request that is sent to wait in the queue of an engine,
    # or is kept from one that would preempt for it.
    document = _document(make, preferred_rank)
    dispatcher = _dispatcher(document)
    slots = SLOTS * len(ENDPOINTS)
    for number in range(slots):
        job = _job(document, number, running, running_for)
        assert dispatcher.offer(job, 0.0) is None
        (placement,) = dispatcher.place(0.0)
        dispatcher.first_token(placement.request_id, 0.0)
    job = _job(document, slots, arriving, arriving_for)
    assert dispatcher.offer(job, 0.0) is None
    is_placed = bool(list(dispatcher.place(0.0)))
    running_rank = document.rank_of(
        ids.ClassId(running.name), document.workspaces[running_for]
    )
    preempts = _told_priority(job.rank) < _told_priority(running_rank)
    assert is_placed == preempts


@pytest.mark.parametrize("size_factor", [1, 3])
@pytest.mark.parametrize(
    ("running", "arriving"), list(itertools.product(STREAMS, repeat=2))
)
def test_unread_prompts_keep_out_only_less_urgent_and_equal_ones(
    make, running, arriving, size_factor
):
    # Guards against an urgent prompt that waits because engines have enough
    # less urgent ones to prefill.
    running, arriving = (
        dataclasses.replace(
            each, prompt_tokens=size_factor * each.prompt_tokens
        )
        for each in (running, arriving)
    )
    document = _document(make, preferred_rank=1)
    dispatcher = _dispatcher(document)
    for number in itertools.count():
        assert (
            dispatcher.offer(_job(document, number, running, "w1"), 0.0) is None
        )
        if not list(dispatcher.place(0.0)):
            break
    arriving_job = _job(document, number + 1, arriving, "w2")
    assert dispatcher.offer(arriving_job, 0.0) is None
    placed = [decision.request_id for decision in dispatcher.place(0.0)]
    is_more_urgent = arriving.priority < running.priority
    assert placed == ([arriving_job.request_id] if is_more_urgent else [])
