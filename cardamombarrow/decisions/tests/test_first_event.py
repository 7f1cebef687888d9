"""Where requests with long and shared prompts are sent."""

import collections
import dataclasses
import math
import random

import pytest

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import first_event
from cardamombarrow.decisions import kept
from cardamombarrow.decisions import messages
from cardamombarrow.document import routed
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

_READ_S = 0.00002
_TARGETS_S = {"chat": 0.4, "letter": 2.0}
_NEAR_S = 0.02
_FAR_S = 0.15
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
            ids.ClassId(name), routed.tier_id(rank), target_s, 10.0
        )
        for name, rank, target_s in (("chat", 0, 0.4), ("letter", 2, 2.0))
    ]
    document = routed.build(
        routed.Parts(
            services=[service],
            routes=[],
            classes=classes,
            ranks={"chat": 0, "letter": 1},
            workspaces=[],
            open_to_all=True,
            limits=schema.CallerLimits(),
        )
    )
    changed = dataclasses.replace(document.policies, **policies)
    return dataclasses.replace(document, policies=changed)


class _World:
    """Engines that read one prompt at a time, and the entry of one domain."""

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
        self.dispatcher.set_found(found, 0.0)
        self.choice = self.dispatcher._policies.choice
        self.placed = collections.defaultdict(list)
        self.first_s = {}
        self.read_tokens = 0
        self.fetches = []
        self.free_s = collections.Counter()
        self._cached = collections.defaultdict(set)
        self._jobs = {}
        self._firsts = []

    def ask(self, now_s, class_id, parts, own_tokens):
        """Sends a request at a time; returns its name."""
        self.advance(now_s)
        number = len(self._jobs)
        parts = [*parts, (f"own-{number}", own_tokens)]
        job = messages.Job(
            request_id=ids.RequestId(f"{class_id}-{number}"),
            workspace=schema.ANYBODY,
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
        """Lets first events come and waiting requests be looked at."""
        while True:
            due = min(self._firsts, default=(math.inf, ""))
            next_check_s = self.dispatcher.next_s()
            now_s = min(
                due[0], math.inf if next_check_s is None else next_check_s
            )
            if now_s > until_s:
                return
            if due[0] <= now_s:
                self._firsts.remove(due)
                self.dispatcher.first_token(due[1], now_s)
                self._place(now_s)
                self.dispatcher.finish(due[1], messages.Outcome.DONE, now_s)
            self._place(now_s)

    def _place(self, now_s):
        for decision in self.dispatcher.place(now_s):
            assert isinstance(decision, messages.Placement), decision
            self._run(self._jobs[decision.request_id], decision, now_s)

    def _run(self, job, decision, now_s):
        endpoint = decision.endpoint
        self.placed[job.class_id].append(endpoint)
        cached = self._cached[endpoint]
        if decision.fetch is not None:
            source = self._cached[decision.fetch.source]
            fetched = {p.part for p in job.parts} & source - cached
            self.fetches.append((decision.fetch, fetched))
            cached |= fetched
        unread = sum(p.tokens for p in job.parts if p.part not in cached)
        cached.update(part.part for part in job.parts)
        self.read_tokens += unread
        fixed_s = _NEAR_S if _ENGINES[endpoint] == "one" else _FAR_S
        begin_s = max(self.free_s[endpoint], now_s)
        self.free_s[endpoint] = begin_s + unread * _READ_S
        first_s = self.free_s[endpoint] + fixed_s
        self.first_s[job.request_id] = first_s - job.arrived_s
        self._firsts.append((first_s, job.request_id))

    def times(self, class_id):
        """Returns the times to the first event of a class's requests."""
        self.advance(1_000.0)
        return [
            took_s
            for request_id, took_s in self.first_s.items()
            if request_id.startswith(class_id)
        ]


def _burst(world):
    """Letters of 17,000 tokens and short chats."""
    for step in range(60):
        now_s = 0.1 * step
        world.ask(now_s, "letter", [(f"shared-{step % 6}", 13_300)], 3_700)
        world.ask(now_s + 0.05, "chat", [("hello", 350)], 1_100)
    return world


def test_a_domain_with_one_engine_uses_its_neighbours_in_a_burst():
    # A domain has one engine and a third of the callers. Kept to itself it
    # reads long prompts one after the other, and a short question waits
    # more than a second behind them while its neighbours' engines are idle.
    alone = _burst(_World(spill="never", choice="two-candidates"))
    together = _burst(_World())
    alone = max(alone.times("chat"))
    together = max(together.times("chat"))
    assert alone > 1.5
    assert together < 0.4


def test_a_short_request_does_not_queue_behind_a_long_prompt():
    world = _World()
    world.ask(0.0, "letter", [], 40_000)
    world.ask(0.01, "chat", [], 1_000)
    assert min(world.times("letter")) > 0.5
    assert max(world.times("chat")) < 0.3
    assert world.placed["chat"] != world.placed["letter"]


def test_requests_that_share_a_beginning_meet_at_one_engine():
    # Letters share long beginnings. Spread over the engines each of them
    # would read every beginning anew, and have no time for anything else.
    world, spread = _World(), _World(choice="round-robin")
    for each in (world, spread):
        for step in range(60):
            part = (f"shared-{step % 7}", 13_300)
            each.ask(float(step), "letter", [part], 1_000)
    assert world.read_tokens < 0.5 * spread.read_tokens


def test_instances_agree_on_the_home_of_a_beginning():
    homes = []
    for seed in range(2):
        world = _World()
        world.ask(0.0, "letter", [("other", 900)], 100 + seed)
        world.ask(5.0, "letter", [("shared", 13_300)], 1_000 + seed)
        homes.append(world.placed["letter"][-1])
    assert homes[0] == homes[1]


@pytest.mark.parametrize("after_s, avoided", [(0.1, True), (30.0, False)])
def test_congestion_that_others_cause_is_seen_and_forgotten(after_s, avoided):
    # Other instances fill the engine that suits best. Its first events come
    # late; requests must go elsewhere, and come back once it is free again.
    world = _World()
    world.ask(0.0, "chat", [], 500)
    (best,) = world.placed["chat"]
    world.free_s[best] = 2.0
    world.ask(0.2, "chat", [], 500)
    assert world.placed["chat"][-1] == best
    world.ask(2.5 + after_s, "chat", [], 500)
    if avoided:
        assert world.placed["chat"][-1] != best
    else:
        engine = world.choice._engines[best]
        assert engine.congestion_at(2.5 + after_s) < 0.001


def test_a_prompt_that_was_refused_is_not_taken_for_cached():
    world = _World()
    world.ask(0.0, "letter", [("shared", 13_300)], 100)
    request_id = world._firsts.pop()[1]
    world.dispatcher.finish(
        request_id, messages.Outcome.REFUSED_BY_ENDPOINT, 0.01
    )
    engine = world.placed["letter"][0]
    parts = world.choice._caches.parts
    assert not parts.holds(kept.part_key("shared"), engine, 0.02)


def test_long_prompts_and_short_requests_keep_to_engines_of_their_own():
    # An engine reads a long prompt between the tokens of its other requests;
    # short answers on it stutter. Sent wherever there was room, a few long
    # prompts made most of the short answers late.
    world = _burst(_World())
    mixed = set(world.placed["chat"]) & set(world.placed["letter"])
    assert not mixed


def test_long_prompts_take_quiet_engines_rather_than_miss_their_target():
    world = _World()
    for step in range(40):
        world.ask(0.02 * step, "letter", [], 20_000)
    world.advance(5.0)
    assert len(set(world.placed["letter"])) == len(_ENGINES)


def test_a_more_urgent_prompt_overtakes_those_that_wait():
    # A burst of letters is followed by an urgent long question. Handed to the
    # engines at once, the letters could not be overtaken any more.
    world = _World()
    for step in range(45):
        world.ask(0.001 * step, "letter", [], 20_000)
    world.ask(0.07, "chat", [], 20_000)
    assert max(world.times("chat")) < 2.0
    assert max(world.times("letter")) > 3.5


def test_a_prompt_waits_a_while_for_the_engine_that_has_its_beginning():
    # All engines but the home would read the beginning anew.
    world = _World()
    most = first_event.OWN_BOUNDS.long_unread
    for _ in range(most + 1):
        world.ask(0.0, "letter", [("shared", 13_300)], 1_000)
    assert len(world.placed["letter"]) == most
    world.advance(0.55)
    assert len(set(world.placed["letter"])) == 1
    assert len(world.placed["letter"]) == most + 1


def test_endpoints_that_came_and_went_are_forgotten(monkeypatch):
    # Each start of an endpoint is a new one with a name of its own. Over
    # months of releases an instance would remember them all.
    monkeypatch.setattr(first_event, "ENGINES_KEPT", 3)
    world = _World()
    for step in range(40):
        world.ask(0.02 * step, "letter", [], 20_000)
    world.advance(5.0)
    assert len(world.choice._engines) <= 3


def _crowd(world):
    """Bursts of letters that share few long beginnings."""
    for burst in range(10):
        for step in range(12):
            now_s = 2.0 * burst + 0.01 * step
            part = (f"shared-{step % 3}", 13_300)
            world.ask(now_s, "letter", [part], 3_700)
    world.advance(1_000.0)
    return world


def test_a_beginning_is_read_once_and_fetched_by_the_other_engines():
    # Letters that share a beginning come at once; the engine that has it is
    # busy, and the others read it anew, for each of them. Callers see first
    # events come late on all engines, with work that was done before.
    fetching_world, reading = _crowd(_World(1_000_000.0)), _crowd(_World())
    assert not reading.fetches
    assert any(fetched for _, fetched in fetching_world.fetches)
    own_tokens = 120 * 3_700
    again = fetching_world.read_tokens - own_tokens - 3 * 13_300
    assert again < 0.4 * (reading.read_tokens - own_tokens - 3 * 13_300)
    slowest_s = max(fetching_world.times("letter"))
    assert slowest_s <= max(reading.times("letter"))


def test_engines_with_a_slow_link_read():
    # A transfer that takes longer than reading makes the first event later.
    assert not _crowd(_World(1_000.0)).fetches


def test_an_engine_that_failed_is_not_fetched_from():
    # It is silent and still listed. An engine that asked it for a part would
    # wait for an answer that does not come, and its caller with it.
    world = _World(1_000_000.0)
    world.ask(0.0, "letter", [("shared", 13_300)], 100)
    world.advance(1.0)
    (silent,) = world.placed["letter"]
    world.ask(2.0, "letter", [("shared", 13_300)], 100)
    _, request_id = world._firsts.pop()
    world.dispatcher.finish(request_id, messages.Outcome.STALLED, 2.5)
    for step in range(5):
        world.ask(3.0 + step, "letter", [("shared", 13_300)], 100)
    assert all(fetch.source != silent for fetch, _ in world.fetches)


def test_what_another_instance_had_read_is_fetched():
    # Two instances have a part of the callers each. What one has had read is
    # not read again by an engine that the other one sends to.
    one, other = _World(1_000_000.0), _World(1_000_000.0)
    one.ask(0.0, "letter", [("shared", 13_300)], 100)
    one.advance(1.0)
    (keeper,) = one.placed["letter"]
    other.dispatcher.hear_kept(one.dispatcher.kept_news(1.0), 1.0)
    for _ in range(12):
        other.ask(1.5, "letter", [("shared", 13_300)], 100)
    other.advance(10.0)
    assert other.fetches
    fetch, _ = other.fetches[0]
    assert fetch.source == keeper
    assert fetch.tokens == 13_300
    assert fetch.age_s > 0.0
