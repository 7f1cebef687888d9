"""Placement of requests with long and shared prompts."""

import collections
import dataclasses
import math
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.choosing import cache_directory
from cardamombarrow.decisions.choosing import first_event
from cardamombarrow.decisions.choosing import first_token_forecast
from cardamombarrow.document import from_routes
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

_PREFILL_TOKEN_S = 0.00002
_TARGETS_S = {"chat": 0.4, "letter": 2.0}
_LOCAL_BASE_S = 0.02
_REMOTE_BASE_S = 0.15
_ENGINES = {
    "one-1": "one",
    "two-1": "two",
    "two-2": "two",
    "three-1": "three",
    "three-2": "three",
}


def _document(link_mbit_per_s, **policies):
    service = schema.Service(
        ids.ServiceId("letters"),
        schema.ServiceKind.ENGINE,
        64,
        cache_token_bytes=35_136,
        cache_link_mbit_per_s=link_mbit_per_s,
    )
    classes = [
        schema.RequestClass(
            ids.ClassId(name), from_routes.tier_id(rank), target_s, 10.0
        )
        for name, rank, target_s in (("chat", 0, 0.4), ("letter", 2, 2.0))
    ]
    document = from_routes.build(
        from_routes.ParsedRoutes(
            services=[service],
            routes=[],
            classes=classes,
            ranks={"chat": 0, "letter": 1},
            workspaces=[],
            allow_anonymous=True,
            limits=schema.CallerLimits(),
        )
    )
    changed = dataclasses.replace(document.policies, **policies)
    return dataclasses.replace(document, policies=changed)


class _Simulation:
    """Engines with sequential prefill, and the entry of one domain."""

    def __init__(self, link_mbit_per_s=0.0, **policies):
        context = context_module.PolicyContext(
            _document(link_mbit_per_s, **policies),
            ids.InstanceId("entry"),
            ids.DomainId("one"),
            random.Random(1),
        )
        self.dispatcher = core.Dispatcher(context, 0.0)
        found = tuple(
            messages.KnownEndpoint(name, "letters", domain, 64)
            for name, domain in _ENGINES.items()
        )
        self.dispatcher.set_discovered(found, 0.0)
        self.choice = self.dispatcher._policies.choice
        self.placed = collections.defaultdict(list)
        self.first_token_s = {}
        self.prefilled_tokens = 0
        self.fetches = []
        self.idle_at_s = collections.Counter()
        self._cached = collections.defaultdict(set)
        self._jobs = {}
        self._first_tokens = []

    def send(self, now_s, class_id, parts, own_tokens):
        """Sends one request and returns its id."""
        self.advance(now_s)
        number = len(self._jobs)
        parts = [*parts, (f"own-{number}", own_tokens)]
        job = messages.Job(
            request_id=ids.RequestId(f"{class_id}-{number}"),
            workspace=schema.ANONYMOUS_WORKSPACE,
            class_id=ids.ClassId(class_id),
            service=ids.ServiceId("letters"),
            model=ids.ModelId("m"),
            rank={"chat": 0, "letter": 1}[class_id],
            arrived_s=now_s,
            target_first_token_s=_TARGETS_S[class_id],
            deadline_s=now_s + 10.0,
            prompt_tokens=sum(tokens for _, tokens in parts),
            prefix_key="/".join(part for part, _ in parts[:-1]),
            parts=tuple(messages.PromptPart(*part) for part in parts),
        )
        self._jobs[job.request_id] = job
        assert self.dispatcher.offer(job, now_s) is None
        self._place(now_s)
        return job.request_id

    def advance(self, until_s):
        """Advances the time, with first tokens and retried placements."""
        while True:
            next_first = min(self._first_tokens, default=(math.inf, ""))
            wakeup_s = self.dispatcher.next_s()
            now_s = min(
                next_first[0], math.inf if wakeup_s is None else wakeup_s
            )
            if now_s > until_s:
                return
            if next_first[0] <= now_s:
                self._first_tokens.remove(next_first)
                self.dispatcher.first_token(next_first[1], now_s)
                self._place(now_s)
                self.dispatcher.finish(
                    next_first[1], messages.Outcome.DONE, now_s
                )
            self._place(now_s)

    def _place(self, now_s):
        for decision in self.dispatcher.place(now_s):
            assert isinstance(decision, messages.Placement), decision
            self._simulate(self._jobs[decision.request_id], decision, now_s)

    def _simulate(self, job, decision, now_s):
        endpoint = decision.endpoint
        self.placed[job.class_id].append(endpoint)
        cached = self._cached[endpoint]
        if decision.fetch is not None:
            source = self._cached[decision.fetch.source]
            fetched = {p.part for p in job.parts} & source - cached
            self.fetches.append((decision.fetch, fetched))
            cached |= fetched
        uncached_tokens = sum(
            p.tokens for p in job.parts if p.part not in cached
        )
        cached.update(part.part for part in job.parts)
        self.prefilled_tokens += uncached_tokens
        base_s = (
            _LOCAL_BASE_S if _ENGINES[endpoint] == "one" else _REMOTE_BASE_S
        )
        start_s = max(self.idle_at_s[endpoint], now_s)
        self.idle_at_s[endpoint] = start_s + uncached_tokens * _PREFILL_TOKEN_S
        first_token_s = self.idle_at_s[endpoint] + base_s
        self.first_token_s[job.request_id] = first_token_s - job.arrived_s
        self._first_tokens.append((first_token_s, job.request_id))

    def times(self, class_id):
        """Returns the times to first token of a class's requests."""
        self.advance(1_000.0)
        return [
            took_s
            for request_id, took_s in self.first_token_s.items()
            if request_id.startswith(class_id)
        ]


def _burst(simulation):
    """Sends letters of 17,000 tokens and short chats."""
    for step in range(60):
        now_s = 0.1 * step
        simulation.send(
            now_s, "letter", [(f"shared-{step % 6}", 13_300)], 3_700
        )
        simulation.send(now_s + 0.05, "chat", [("hello", 350)], 1_100)
    return simulation


def test_domain_with_one_engine_uses_other_domains_in_a_burst():
    # A domain has one engine and a third of the callers. Without the engines
    # of other domains, a short question waits more than a second for the
    # prefill of long prompts while those engines are idle.
    one_domain = _burst(_Simulation(spill="never", choice="two-candidates"))
    all_domains = _burst(_Simulation())
    one_domain = max(one_domain.times("chat"))
    all_domains = max(all_domains.times("chat"))
    assert one_domain > 1.5
    assert all_domains < 0.4


def test_short_request_does_not_wait_for_a_long_prompt():
    simulation = _Simulation()
    simulation.send(0.0, "letter", [], 40_000)
    simulation.send(0.01, "chat", [], 1_000)
    assert min(simulation.times("letter")) > 0.5
    assert max(simulation.times("chat")) < 0.3
    assert simulation.placed["chat"] != simulation.placed["letter"]


def test_requests_with_a_shared_prefix_go_to_one_engine():
    # Letters share long prefixes. Spread over the engines, every engine would
    # prefill every prefix again and have no time for other requests.
    simulation, spread = _Simulation(), _Simulation(choice="round-robin")
    for each in (simulation, spread):
        for step in range(60):
            part = (f"shared-{step % 7}", 13_300)
            each.send(float(step), "letter", [part], 1_000)
    assert simulation.prefilled_tokens < 0.5 * spread.prefilled_tokens


def test_instances_agree_on_the_affinity_endpoint():
    chosen = []
    for seed in range(2):
        simulation = _Simulation()
        simulation.send(0.0, "letter", [("other", 900)], 100 + seed)
        simulation.send(5.0, "letter", [("shared", 13_300)], 1_000 + seed)
        chosen.append(simulation.placed["letter"][-1])
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize("after_s, avoided", [(0.1, True), (30.0, False)])
def test_congestion_by_other_instances_is_detected_and_decays(after_s, avoided):
    # Requests of other instances delay the first tokens of the best engine.
    # Requests must go to other engines, and return once it is free again.
    simulation = _Simulation()
    simulation.send(0.0, "chat", [], 500)
    (best,) = simulation.placed["chat"]
    simulation.idle_at_s[best] = 2.0
    simulation.send(0.2, "chat", [], 500)
    assert simulation.placed["chat"][-1] == best
    simulation.send(2.5 + after_s, "chat", [], 500)
    if avoided:
        assert simulation.placed["chat"][-1] != best
    else:
        engine = simulation.choice._forecast.latencies[best]
        assert engine.congestion_at(2.5 + after_s) < 0.001


def test_refused_prompt_does_not_count_as_cached():
    simulation = _Simulation()
    simulation.send(0.0, "letter", [("shared", 13_300)], 100)
    request_id = simulation._first_tokens.pop()[1]
    simulation.dispatcher.finish(
        request_id, messages.Outcome.REFUSED_BY_ENDPOINT, 0.01
    )
    engine = simulation.placed["letter"][0]
    directory = simulation.choice._caches.directory
    assert not directory.holds(cache_directory.part_key("shared"), engine, 0.02)


def test_long_prompts_and_short_requests_use_separate_engines():
    # The prefill of a long prompt delays the tokens of other requests on the
    # engine. Sent to any free slot, a few long prompts made most of the short
    # answers late.
    simulation = _burst(_Simulation())
    mixed = set(simulation.placed["chat"]) & set(simulation.placed["letter"])
    assert not mixed


def test_long_prompts_use_all_engines_rather_than_miss_their_target():
    simulation = _Simulation()
    for step in range(40):
        simulation.send(0.02 * step, "letter", [], 20_000)
    simulation.advance(5.0)
    assert len(set(simulation.placed["letter"])) == len(_ENGINES)


def test_urgent_prompt_overtakes_waiting_ones():
    # A burst of letters is followed by an urgent long question. It could not
    # overtake letters that were all sent to the engines at once.
    simulation = _Simulation()
    for step in range(45):
        simulation.send(0.001 * step, "letter", [], 20_000)
    simulation.send(0.07, "chat", [], 20_000)
    assert max(simulation.times("chat")) < 2.0
    assert max(simulation.times("letter")) > 3.5


def test_prompt_waits_for_its_affinity_endpoint():
    # Any engine but the affinity endpoint would prefill the prefix again.
    simulation = _Simulation()
    limit = first_event.OWN_QUEUE_LIMITS.max_queued_for_long
    for _ in range(limit + 1):
        simulation.send(0.0, "letter", [("shared", 13_300)], 1_000)
    assert len(simulation.placed["letter"]) == limit
    simulation.advance(0.55)
    assert len(set(simulation.placed["letter"])) == 1
    assert len(simulation.placed["letter"]) == limit + 1


def test_state_of_removed_endpoints_is_bounded(monkeypatch):
    # A restarted endpoint gets a new id, so the state of old endpoints would
    # accumulate over months of releases.
    monkeypatch.setattr(first_token_forecast, "MAX_ENGINES", 3)
    simulation = _Simulation()
    for step in range(40):
        simulation.send(0.02 * step, "letter", [], 20_000)
    simulation.advance(5.0)
    assert len(simulation.choice._forecast.latencies) <= 3


def _shared_prefix_bursts(simulation):
    """Sends bursts of letters that share a few long prefixes."""
    for burst in range(10):
        for step in range(12):
            now_s = 2.0 * burst + 0.01 * step
            part = (f"shared-{step % 3}", 13_300)
            simulation.send(now_s, "letter", [part], 3_700)
    simulation.advance(1_000.0)
    return simulation


def test_shared_prefix_is_prefilled_once_and_fetched_by_other_engines():
    # Letters with a shared prefix arrive at once. The engine that holds it is
    # busy, and without a fetch the others prefill it again for each letter,
    # which delays first tokens on all engines.
    with_fetch, without_fetch = (
        _shared_prefix_bursts(_Simulation(1_000_000.0)),
        _shared_prefix_bursts(_Simulation()),
    )
    assert not without_fetch.fetches
    assert any(fetched for _, fetched in with_fetch.fetches)
    own_tokens = 120 * 3_700
    repeated_tokens = with_fetch.prefilled_tokens - own_tokens - 3 * 13_300
    assert repeated_tokens < 0.4 * (
        without_fetch.prefilled_tokens - own_tokens - 3 * 13_300
    )
    slowest_s = max(with_fetch.times("letter"))
    assert slowest_s <= max(without_fetch.times("letter"))


def test_engines_with_a_slow_link_prefill():
    # A transfer slower than the prefill would delay the first token.
    assert not _shared_prefix_bursts(_Simulation(1_000.0)).fetches


def test_no_fetch_from_a_failed_engine():
    # An unresponsive engine is still listed. A fetch from it would block the
    # fetching engine's request.
    simulation = _Simulation(1_000_000.0)
    simulation.send(0.0, "letter", [("shared", 13_300)], 100)
    simulation.advance(1.0)
    (unresponsive,) = simulation.placed["letter"]
    simulation.send(2.0, "letter", [("shared", 13_300)], 100)
    _, request_id = simulation._first_tokens.pop()
    simulation.dispatcher.finish(request_id, messages.Outcome.STALLED, 2.5)
    for step in range(5):
        simulation.send(3.0 + step, "letter", [("shared", 13_300)], 100)
    assert all(fetch.source != unresponsive for fetch, _ in simulation.fetches)


def test_prefix_reported_by_another_instance_is_fetched():
    # A prefix that an engine has prefilled for one instance is not prefilled
    # again by an engine that another instance sends to.
    one, other = _Simulation(1_000_000.0), _Simulation(1_000_000.0)
    one.send(0.0, "letter", [("shared", 13_300)], 100)
    one.advance(1.0)
    (holder,) = one.placed["letter"]
    other.dispatcher.merge_cache_announcements(
        one.dispatcher.take_cache_announcements(1.0), 1.0
    )
    for _ in range(12):
        other.send(1.5, "letter", [("shared", 13_300)], 100)
    other.advance(10.0)
    assert other.fetches
    fetch, _ = other.fetches[0]
    assert fetch.source == holder
    assert fetch.tokens == 13_300
    assert fetch.age_s > 0.0


@pytest.mark.parametrize("prompt_tokens", [200, 17_000])
@pytest.mark.parametrize("wait_s", [0.0, 0.3, 1.0])
def test_only_endpoints_that_may_not_get_a_job_are_left_out(
    prompt_tokens, wait_s
):
    # Guards against a shortcut that leaves out an endpoint with a free slot.
    dispatcher = _Simulation().dispatcher
    choice = dispatcher._policies.choice
    states = dispatcher.endpoints()
    for number in range(20):
        job = messages.Job(
            ids.RequestId(f"r{number}"),
            ids.WorkspaceId("one"),
            ids.ClassId("letter"),
            ids.ServiceId("letters"),
            ids.ModelId("m"),
            rank=1,
            arrived_s=0.0,
            target_first_token_s=2.0,
            deadline_s=10.0,
            prompt_tokens=prompt_tokens,
            prefix_key=f"prefix-{number}",
            parts=(messages.PromptPart(f"part-{number}", prompt_tokens),),
        )
        considered = choice.prepare(job, states, wait_s)
        available = [
            state for state in states if choice.available(job, state, wait_s)
        ]
        assert available
        assert [each for each in considered if each in available] == available
