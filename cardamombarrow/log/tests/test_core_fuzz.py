"""Stateful fuzzing of the log against the oracle in `simulation`.

``FUZZ_EXAMPLES`` sets the number of examples, ``FUZZ_SEED`` the seed.
"""

import os
import pathlib
import tempfile

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamombarrow.log import membership
from cardamombarrow.log import state as state_module
from cardamombarrow.log.tests import simulation

_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "60"))
_SEED = os.environ.get("FUZZ_SEED")

_NAMES = strategies.sampled_from("ABC")
_SHARES = strategies.sampled_from([0.0, 0.5, 1.0])
_POSITIONS = strategies.integers(0, 40)


class LogMachine(stateful.RuleBasedStateMachine):
    """Exposes a group of three to faults in random order."""

    membership_policy: state_module.MembershipPolicy | None = None

    @stateful.initialize(seed=strategies.integers(0, 1_000))
    def found(self, seed):
        self._folder = tempfile.TemporaryDirectory()
        self.cluster = simulation.Cluster(
            pathlib.Path(self._folder.name),
            list("ABC"),
            seed,
            self.membership_policy,
        )
        assert self.cluster.run_until(self._is_whole)

    def _is_whole(self):
        """Whether three voters are alive and caught up, as in the status."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        state = leader.runner.core.state
        living = {n.runner.core.state.me.id for n in self.cluster.alive}
        return (
            state.redundant
            and state.log.membership.voter_ids <= living
            and state.commit_index >= self.cluster.oracle.last_index
        )

    def _node(self, name):
        return self.cluster.nodes[name]

    @stateful.rule(name=_NAMES)
    def propose(self, name):
        if self._node(name).runner:
            self._node(name).propose(self.cluster.next_command())

    @stateful.rule(steps=strategies.integers(1, 12))
    def run(self, steps):
        self.cluster.run(steps * simulation.STEP_S)

    @stateful.rule()
    def run_long(self):
        self.cluster.run(5.0)

    @stateful.rule(name=_NAMES)
    def time_out(self, name):
        # An election timeout passes without messages; one member ticks first.
        self.cluster.now_s += simulation.TIMING.election_max_s
        self.cluster.tick(name)

    @stateful.rule(name=_NAMES)
    def tick(self, name):
        self.cluster.now_s += simulation.STEP_S
        self.cluster.tick(name)

    @stateful.precondition(lambda self: self.cluster.in_transit)
    @stateful.rule(position=_POSITIONS, duplicate=strategies.booleans())
    def deliver(self, position, duplicate):
        self.cluster.deliver(position, duplicate)

    @stateful.precondition(lambda self: self.cluster.in_transit)
    @stateful.rule(name=_NAMES)
    def deliver_all_to(self, name):
        cluster = self.cluster
        waiting = [p for p in cluster.in_transit if p[1] == name]
        for item in waiting:
            cluster.deliver(cluster.in_transit.index(item))

    @stateful.precondition(lambda self: self.cluster.in_transit)
    @stateful.rule(position=_POSITIONS)
    def drop(self, position):
        del self.cluster.in_transit[position % len(self.cluster.in_transit)]

    @stateful.rule(name=_NAMES, share=_SHARES)
    def crash(self, name, share):
        if self._node(name).runner:
            self._node(name).crash(share)

    @stateful.rule(share=_SHARES)
    def power_cut(self, share):
        # Affects all processes at once; unsynced data may be lost.
        for node in self.cluster.alive:
            node.crash(share)

    @stateful.rule()
    def restart_all(self):
        for node in self.cluster.nodes.values():
            if not node.runner:
                node.start()

    @stateful.rule(name=_NAMES)
    def crash_before_sending(self, name):
        node = self._node(name)
        if node.runner:
            node.runner.core.tick(self.cluster.now_s)
            node.process_output(drop_output=True)
            node.crash(0.5)

    @stateful.rule(name=_NAMES)
    def restart(self, name):
        if not self._node(name).runner:
            self._node(name).start()

    @stateful.rule(name=_NAMES)
    def snapshot(self, name):
        if self._node(name).runner:
            self._node(name).snapshot()

    @stateful.rule(one=_NAMES, other=_NAMES, both=strategies.booleans())
    def cut(self, one, other, both):
        self.cluster.cuts.add((one, other))
        if both:
            self.cluster.cuts.add((other, one))

    @stateful.rule(name=_NAMES)
    def isolate(self, name):
        for other in "ABC":
            self.cluster.cut(name, other)

    @stateful.rule(name=_NAMES)
    def isolate_long_and_return(self, name):
        # A voter that returns after a long isolation must not depose the
        # leader.
        cluster = self.cluster
        if not self._is_whole() or cluster.leader().name == name:
            return
        if len(cluster.alive) > 3:
            return
        cluster.heal()
        cluster.run(3.0)
        if not self._is_whole() or cluster.leader().name == name:
            return
        term = cluster.leader().runner.core.state.term
        self.isolate(name)
        cluster.run(20.0)
        cluster.heal()
        cluster.run(5.0)
        assert cluster.leader().runner.core.state.term == term

    @stateful.rule(name=_NAMES)
    def elect(self, name):
        # Two of the three can reach each other; one of them becomes leader.
        cluster = self.cluster
        if not self._node(name).runner:
            self._node(name).start()
        other = "ABC"["ABC".index(name) - 1]
        if not self._node(other).runner:
            self._node(other).start()
        cluster.now_s += simulation.TIMING.election_max_s
        for _ in range(6):
            cluster.tick(name)
            for receiver in (other, name):
                self.deliver_all_to(receiver)

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(name=_NAMES, again=strategies.booleans())
    def lose_disk_when_redundant(self, name, again):
        # `redundant` promises that one more loss is tolerated, also right
        # after the repair of the last one.
        for lost in (name, "ABC"["ABC".index(name) - 1])[: 1 + again]:
            if not self._is_whole():
                return
            self._node(lost).lose_disk()
            self.cluster.run(0.5)
            self._node(lost).start()
            if again:
                self.cluster.run(8.0)

    @stateful.rule(name=_NAMES, kind=strategies.sampled_from(["add", "up"]))
    def change_membership(self, name, kind):
        leader = self.cluster.leader()
        if leader is None:
            return
        state = leader.runner.core.state
        if kind == "add" and "D" not in self.cluster.nodes:
            self.cluster.add_node("D")
            self.cluster.run(1.0)
            return
        kinds = membership.ChangeKind
        for member in state.log.membership.learners:
            leader.change(membership.Change(kinds.PROMOTE, member))
            return
        applicant = leader.runner.core.applicants.get("D")
        if applicant and not state.log.membership.find(applicant.id):
            leader.change(membership.Change(kinds.ADD_LEARNER, applicant))
            return
        extra = [m for m in state.log.membership.voters if m.address == "D"]
        for member in extra:
            leader.change(membership.Change(kinds.REMOVE, member))

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        try:
            self._recover()
        finally:
            for node in self.cluster.alive:
                node.runner.storage.close()
            self._folder.cleanup()

    def _recover(self):
        cluster = self.cluster
        cluster.heal()
        for node in cluster.nodes.values():
            if not node.runner:
                node.start()
        for name in "ABC":
            assert cluster.answers(name), (
                "no answer after all faults have ended"
            )
        cluster.run(3.0)
        leader = cluster.leader()
        assert set(cluster.oracle.answered) <= set(leader.machine.commands)
        term = leader.runner.core.state.term
        cluster.cut("A", "C")
        cluster.run(1.5)
        term = cluster.leader().runner.core.state.term
        for name in "ABC":
            assert cluster.answers(name), (
                "no answer with the link between A and C cut"
            )
        assert cluster.leader().runner.core.state.term == term


class AutomaticMembershipMachine(LogMachine):
    """The same with automatic membership changes and no operator."""

    membership_policy = state_module.MembershipPolicy(wanted_voters=3)

    @stateful.rule(name=_NAMES, kind=strategies.just("add"))
    def change_membership(self, name, kind):
        if "D" not in self.cluster.nodes:
            self.cluster.add_node("D")
            self.cluster.run(1.0)


_SETTINGS = hypothesis.settings(
    max_examples=_EXAMPLES,
    stateful_step_count=60,
    derandomize=_SEED is None,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestLog = LogMachine.TestCase
TestLogWithAutomaticMembership = AutomaticMembershipMachine.TestCase
for _case in (TestLog, TestLogWithAutomaticMembership):
    _case.settings = _SETTINGS
    if _SEED is not None:
        _case.runTest = hypothesis.seed(int(_SEED))(_case.runTest)
