"""Tests of the state machine of holders and reports."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamombarrow.duties import machine
from cardamombarrow.kernel import ids
from cardamombarrow.orders import machine as orders_machine

_NAMES = strategies.sampled_from(["a", "b", "c"])
_WINDOWS = strategies.integers(100, 110)


class DutiesMachine(stateful.RuleBasedStateMachine):
    """Processes that take, renew and commit in any order, some outdated."""

    def __init__(self):
        super().__init__()
        self.state = machine.DutiesState()
        self.held: dict[str, orders_machine.Holder] = {}
        self.tokens: dict[int, str] = {}
        self.sent: dict[int, dict] = {}

    @stateful.rule(name=_NAMES)
    def take(self, name):
        holder = self.state.take(ids.InstanceId(name))
        assert self.tokens.setdefault(holder.fencing, name) == name
        assert holder.fencing == max(self.tokens)
        self.held[name] = holder

    @stateful.rule(
        name=_NAMES, window=_WINDOWS, count=strategies.integers(0, 3)
    )
    def commit(self, name, window, count):
        holder = self.held.get(name)
        if holder is None:
            return
        report = self.state.commit(window, {"trails": count}, holder)
        if report is not None:
            first = self.sent.setdefault(window, report.counts)
            assert report.counts == first

    @stateful.rule(window=_WINDOWS)
    def settle(self, window):
        self.state.settle(window)

    @stateful.rule()
    def restore(self):
        raw = self.state.to_json()
        self.state = machine.DutiesState.from_json(raw)
        assert self.state.to_json() == raw

    @stateful.rule(name=_NAMES)
    def renew(self, name):
        holder = self.held.get(name)
        if holder is not None:
            newest = holder.fencing == max(self.tokens)
            assert self.state.renew(holder) == newest


TestDutiesMachine = DutiesMachine.TestCase
TestDutiesMachine.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)


def test_a_holder_that_was_replaced_commits_nothing():
    # Guards against two different reports of one window.
    state = machine.DutiesState()
    old = state.take(ids.InstanceId("a"))
    state.take(ids.InstanceId("b"))
    assert state.commit(7, {"trails": 1}, old) is None
    assert state.before == "a"


def test_the_number_of_reports_is_bounded():
    state = machine.DutiesState()
    holder = state.take(ids.InstanceId("a"))
    for window in range(1_000):
        state.commit(window, {"trails": 1}, holder)
        if window % 2:
            state.settle(window)
    assert len(state.reports) <= machine.MAX_OPEN + 1
    assert state.commit(5, {"trails": 1}, holder) is None
