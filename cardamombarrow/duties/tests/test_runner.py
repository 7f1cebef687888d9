"""Tests of holders under faults, with a platform that refuses old tokens.

The platform checks the guarantees to users: one report for each window, one
holder for each token, and orders that are carried out in sequence.
"""

from concurrent import futures
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from cardamombarrow.control import state as control_state
from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import schema
from cardamombarrow.duties import base
from cardamombarrow.duties import lease as lease_module
from cardamombarrow.duties import runner as runner_module
from cardamombarrow.duties import settings as duty_settings
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.log import local
from cardamombarrow.metering import tables

_DOMAIN = ids.DomainId("north")
_SERVICE = schema.Service(
    ids.ServiceId("writer"),
    schema.ServiceKind.ENGINE,
    slots_per_endpoint=8,
    scaling=schema.Scaling(1, 9, 4.0, 0.2, {_DOMAIN: 1.0}),
)
_SETTINGS = duty_settings.DutySettings(
    url="http://platform",
    reports_usage=True,
    orders_endpoints=True,
    calls_per_s=10_000.0,
)
_START_S = 1_000_000.0


class _Document:
    services = {_SERVICE.service: _SERVICE}


class _Log(local.LocalLog):
    """One process's view of a shared log."""

    def __init__(self, world, name):
        super().__init__(name, world.state)
        self._world = world
        self._name = name

    def propose(self, command):
        if self._name in self._world.cut:
            future = futures.Future()
            future.set_exception(
                errors.UnavailableError(errors.ErrorKind.NO_QUORUM, "cut off")
            )
            return future
        return super().propose(command)

    def status(self):
        leads = self._name in self._world.claimed_leaders
        return dataclasses.replace(
            super().status(), leader=self._name if leads else "another"
        )


class _Gateway(base.Gateway):
    """The platform; may leave calls unanswered and carry them out delayed."""

    def __init__(self, world):
        self._world = world

    def send(self, url, call, holder):
        mode = self._world.mode
        if mode == "busy":
            return base.Outcome.UNAVAILABLE
        if mode == "silent":
            self._world.delayed.append((call, holder))
            return base.Outcome.UNKNOWN
        return self._world.carry_out(call, holder)


class _World:
    def __init__(self):
        self.state = control_state.ControlState()
        self.clock = clock.ManualClock(100.0)
        self.claimed_leaders = {"a"}
        self.cut = set()
        self.mode = "well"
        self.delayed = []
        self.counts = {}
        self.accepted = {}
        self.tokens = {}
        self.newest = {}
        self.orders = []
        self.demand = 1.0
        self.runners = {name: self._runner(name) for name in "abc"}

    def _runner(self, name):
        log = _Log(self, name)
        return runner_module.DutiesRunner(
            _SETTINGS,
            log,
            lease_module.DutiesLease(
                log, ids.InstanceId(name), 3.0, self.clock
            ),
            _Gateway(self),
            runner_module.Sources(
                metering=self._metering,
                state=lambda: self.state.duties,
                document=_Document,
                listing=self._listing,
            ),
            self.clock,
        )

    def _metering(self):
        return runner_module.MeteringView(
            unix_s=self.unix_s,
            totals={w: dict(c) for w, c in self.counts.items()},
            sources={},
            demand=[tables.Demand(_DOMAIN, _SERVICE.service, self.demand, 0.0)],
        )

    def _listing(self):
        if self.mode == "silent":
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED, "no answer", sent=True
            )
        return [
            discovery.ListedEndpoint(
                ids.EndpointId(f"10.0.0.{number}:1"),
                discovery.ListedState.LIVE,
                _SERVICE.service,
                _DOMAIN,
            )
            for number in range(4)
        ]

    @property
    def unix_s(self):
        return _START_S + self.clock.now_s()

    def carry_out(self, call, holder):
        subject = "usage"
        if isinstance(call, base.EndpointOrder):
            subject = call.service, call.domain
        assert self.tokens.setdefault(holder.fencing, holder.instance) == (
            holder.instance
        )
        if holder.fencing < self.newest.get(subject, 0):
            return base.Outcome.REFUSED
        self.newest[subject] = holder.fencing
        if isinstance(call, base.UsageReport):
            first = self.accepted.setdefault(call.window, call.counts)
            assert first == call.counts
        else:
            self.orders.append(call)
        return base.Outcome.TAKEN

    def run_once(self, name):
        try:
            self.runners[name].run_once()
        except errors.RouterError:
            assert name in self.cut

    def restart(self, name):
        self.runners[name] = self._runner(name)

    def run(self, duration_s):
        end_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < end_s:
            window = int(self.unix_s // _SETTINGS.window_s)
            counts = self.counts.setdefault(window, {"trails": 0})
            counts["trails"] += 1
            self.clock.advance(0.5)
            for name in self.runners:
                self.run_once(name)


@pytest.fixture
def world():
    return _World()


def test_every_window_is_reported_in_time(world):
    world.run(60)
    last = int((world.unix_s - _SETTINGS.usage_late_s) // 5) - 1
    first = min(world.accepted)
    assert set(range(first, last + 1)) <= set(world.accepted)
    assert all(
        counts == world.counts[window]
        for window, counts in world.accepted.items()
        if window != first
    )


def test_another_holder_continues_after_the_first_one_failed(world):
    # Guards against windows that are not reported after a holder has failed.
    world.run(22)
    world.cut.add("a")
    world.claimed_leaders = {"b"}
    world.run(30)
    windows = sorted(world.accepted)
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert max(world.tokens) == world.state.duties.holder_state.holder.fencing


def test_a_report_without_an_answer_is_repeated_unchanged(world):
    # Guards against two different reports of one window.
    world.run(12)
    world.mode = "silent"
    world.run(6)
    for counts in world.counts.values():
        counts["trails"] += 5
    world.mode = "well"
    world.run(6)
    for call, holder in world.delayed:
        world.carry_out(call, holder)


def test_a_new_holder_waits_for_the_length_of_a_lease(world):
    # Guards against calls of two holders that alternate.
    world.run(30)
    calls = len(world.accepted)
    world.claimed_leaders = {"b"}
    world.run(2.5)
    assert len(world.accepted) == calls
    assert all(name == "a" for name in world.tokens.values())


def test_a_holder_that_was_frozen_sends_nothing_under_its_old_token(world):
    world.run(30)
    world.claimed_leaders = {"b"}
    world.run_once("b")
    tokens = dict(world.tokens)
    world.claimed_leaders = {"a", "b"}
    world.clock.advance(1.0)
    world.run_once("a")
    assert world.tokens == tokens


class HoldersMachine(stateful.RuleBasedStateMachine):
    """Several claimed leaders, with cuts, restarts and delayed calls."""

    def __init__(self):
        super().__init__()
        self.world = _World()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2.0, 6.0, 15.0]))
    def run(self, seconds):
        self.world.run(seconds)

    @stateful.rule(names=strategies.sets(strategies.sampled_from("abc")))
    def set_claimed_leaders(self, names):
        self.world.claimed_leaders = names

    @stateful.rule(names=strategies.sets(strategies.sampled_from("abc")))
    def cut(self, names):
        self.world.cut = names

    @stateful.rule(mode=strategies.sampled_from(["well", "busy", "silent"]))
    def platform(self, mode):
        self.world.mode = mode

    @stateful.rule(name=strategies.sampled_from("abc"))
    def restart(self, name):
        self.world.restart(name)

    @stateful.rule(demand=strategies.sampled_from([0.1, 1.0, 5.0]))
    def set_demand(self, demand):
        self.world.demand = demand

    @stateful.precondition(lambda self: self.world.delayed)
    @stateful.rule(index=strategies.integers(0, 100))
    def carry_out_delayed(self, index):
        delayed = self.world.delayed
        call, holder = delayed.pop(index % len(delayed))
        self.world.carry_out(call, holder)

    @stateful.rule()
    def late_counts(self):
        for counts in self.world.counts.values():
            counts["trails"] += 1

    def teardown(self):
        """Checks that the duties are carried out once all faults are gone."""
        world = self.world
        world.cut, world.claimed_leaders, world.mode = set(), {"c"}, "well"
        world.run(30)
        last = int((world.unix_s - _SETTINGS.usage_late_s) // 5) - 1
        assert last in world.accepted


TestHolders = HoldersMachine.TestCase
TestHolders.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
