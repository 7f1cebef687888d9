"""Tables under loss, delay, restarts and partitions, against an oracle."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module

_COUNT = 4
_SERVICES = ("report-writer", "trail-desk")
_nodes = st.integers(0, _COUNT - 1)


def _head(number):
    return rows.RowHeader(f"10.0.0.{number}:7000", 0)


class GossipMachine(stateful.RuleBasedStateMachine):
    """The oracle: what each instance wrote, by incarnation and version.

    The items of a row must be those that its owner wrote at that version, and
    the version of a row never decreases while a table holds it.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.written = {}
        self.starts = 0
        self.content = [{} for _ in range(_COUNT)]
        self.tables = [self._start(number) for number in range(_COUNT)]
        self.in_transit = []
        self.known = [{} for _ in range(_COUNT)]

    def _start(self, number):
        self.starts += 1
        table = table_module.Table(
            f"entry-{number}", self.starts, _head(number), self.now_s
        )
        self._record(table)
        return table

    def _record(self, table):
        own = table.own
        self.written[own.instance, own.incarnation, own.version] = {
            key: item.value
            for key, item in own.items.items()
            if item.value is not None
        }

    @stateful.rule(
        number=_nodes,
        content=st.dictionaries(st.sampled_from(_SERVICES), st.integers(1, 9)),
    )
    def write(self, number, content):
        items = {(rows.ItemKind.DEMAND, k): v for k, v in content.items()}
        self.tables[number].update(_head(number), items, self.now_s)
        self._record(self.tables[number])

    @stateful.rule(sender=_nodes, receiver=_nodes)
    def send(self, sender, receiver):
        digest = self.tables[receiver].digest()
        deltas = self.tables[sender].deltas(digest, self.now_s)
        if deltas:
            self.in_transit.append((receiver, deltas))

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(back=st.integers(0, 4))
    def deliver(self, back):
        # Never removed: a message may be delivered twice and arbitrarily late.
        place = max(0, len(self.in_transit) - 1 - back)
        number, deltas = self.in_transit[place]
        self.tables[number].apply(deltas, self.now_s)
        self._record(self.tables[number])

    @stateful.rule(number=_nodes)
    def restart(self, number):
        self.tables[number] = self._start(number)
        self.known[number] = {}

    @stateful.rule(by_s=st.sampled_from([0.5, 3.0, 11.0]))
    def wait(self, by_s):
        self.now_s += by_s
        for table in self.tables:
            table.expire(self.now_s)

    @stateful.invariant()
    def rows_are_what_their_owners_wrote(self):
        for table in self.tables:
            for row in table.others():
                held = {
                    key: item.value
                    for key, item in row.items.items()
                    if item.value is not None
                }
                version = (row.instance, row.incarnation, row.version)
                assert held == self.written[version]

    @stateful.invariant()
    def versions_never_decrease(self):
        for table, known in zip(self.tables, self.known, strict=True):
            for row in table.others():
                version = (row.incarnation, row.version)
                assert version >= known.get(row.instance, (0, 0))
                known[row.instance] = version

    def teardown(self):
        # Once all messages are delivered, every table gets every row.
        for _ in range(3 * _COUNT):
            self.now_s += 1.0
            for number, table in enumerate(self.tables):
                table.update(_head(number), {}, self.now_s)
                self._record(table)
            for table in self.tables:
                for other in self.tables:
                    deltas = other.deltas(table.digest(), self.now_s)
                    table.apply(deltas, self.now_s)
        names = {f"entry-{number}" for number in range(_COUNT)}
        for table in self.tables:
            assert {row.instance for row in table.live()} == names
        self.rows_are_what_their_owners_wrote()


GossipMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
TestGossipMachine = GossipMachine.TestCase


def _rounds(tables, now_s, rng):
    for table in tables:
        table.update(_head(0), {}, now_s)
    for table in tables:
        other = rng.choice([each for each in tables if each is not table])
        reply = other.deltas(table.digest(), now_s)
        push = table.deltas(other.digest(), now_s)
        table.apply(reply, now_s)
        other.apply(push, now_s)


@pytest.mark.parametrize("seed", range(5))
def test_no_live_instance_is_dropped_among_36(seed):
    # With a failure timeout too short for the fan-out, live instances would
    # be dropped and added again, and the shares of slots would jump.
    rng = random.Random(seed)
    tables = [
        table_module.Table(f"entry-{n}", 1, _head(n), 0.0) for n in range(36)
    ]
    for table in tables[1:]:
        table.apply(tables[0].deltas(table.digest(), 0.0), 0.0)
        tables[0].apply(table.deltas(tables[0].digest(), 0.0), 0.0)
    for now_s in range(1, 60):
        _rounds(tables, float(now_s), rng)
        gone = [table.expire(float(now_s)) for table in tables]
        assert now_s < 8 or not any(gone)
    assert all(len(table.live()) == 36 for table in tables)


def test_a_dead_instance_is_dropped_and_rejoins_after_a_restart():
    # The platform kills an entry and starts it again. The others share slots
    # with the dead process until it times out, and must share with the new
    # one from its first message on.
    one = table_module.Table("entry-1", 1, _head(1), 0.0)
    two = table_module.Table("entry-2", 1, _head(2), 0.0)
    late = two.deltas({}, 0.0)
    one.apply(late, 0.0)
    two.update(_head(2), {}, 1.0)
    one.apply(two.deltas(one.digest(), 1.0), 1.0)
    assert one.expire(12.0) == ["entry-2"]
    one.apply(late, 12.0)
    assert [row.instance for row in one.live()] == ["entry-1"]
    again = table_module.Table("entry-2", 2, _head(2), 13.0)
    one.apply(again.deltas(one.digest(), 13.0), 13.0)
    assert {row.instance for row in one.live()} == {"entry-1", "entry-2"}


def test_a_delta_on_a_version_that_is_not_held_is_ignored():
    # An instance restarts and first receives an old row, then a delta that
    # was sent to its earlier incarnation. If it applied the delta, the items
    # between the two would be missing and never be sent again.
    one = table_module.Table("entry-1", 1, _head(1), 0.0)
    two = table_module.Table("entry-2", 1, _head(2), 0.0)
    old = two.deltas({}, 0.0)
    two.update(_head(2), {(rows.ItemKind.DEMAND, "a"): 1}, 1.0)
    known = {"entry-2": (1, 2)}
    two.update(_head(2), {(rows.ItemKind.DEMAND, "a"): 1}, 2.0)
    late = two.deltas(known, 2.0)
    one.apply(old, 2.0)
    one.apply(late, 2.0)
    assert one.digest()["entry-2"] == (1, 1)
    one.apply(two.deltas(one.digest(), 2.0), 2.0)
    assert {key[1] for key in one.others()[0].items} == {"a"}


def test_a_removal_reaches_an_instance_through_a_third_one():
    # An endpoint was leaving and is in use again. One instance receives the
    # whole row after that, without the removal; another one, with the old
    # row, requests its changes there. It would never use the endpoint again.
    # Found by the machine above: write({report-writer: 1}, 3), send to 1 and
    # 0, deliver(0), wait(11.0), deliver(1), then rounds.
    owner = table_module.Table("entry-1", 1, _head(1), 0.0)
    late = table_module.Table("entry-2", 1, _head(2), 0.0)
    fresh = table_module.Table("entry-3", 1, _head(3), 0.0)
    leaving = {(rows.ItemKind.LEAVING, "10.0.0.9:8000"): True}
    owner.update(_head(1), leaving, 1.0)
    late.apply(owner.deltas(late.digest(), 1.0), 1.0)
    owner.update(_head(1), {}, 2.0)
    fresh.apply(owner.deltas(fresh.digest(), 2.0), 2.0)
    changes = late.apply(fresh.deltas(late.digest(), 2.0), 2.0)
    key = (rows.ItemKind.LEAVING, "10.0.0.9:8000")
    assert ("entry-1", key, None) in changes.items


def test_a_restart_with_its_clock_set_back_is_noticed():
    # A machine restarts with a clock in the past. Its new row has a lower
    # incarnation than the one that the others hold, and would be ignored.
    one = table_module.Table("entry-1", 1, _head(1), 0.0)
    one.apply(
        table_module.Table("entry-2", 50, _head(2), 0.0).deltas({}, 0.0), 0.0
    )
    two = table_module.Table("entry-2", 7, _head(2), 1.0)
    two.apply(one.deltas(two.digest(), 1.0), 1.0)
    one.apply(two.deltas(one.digest(), 1.0), 1.0)
    row = next(row for row in one.others())
    assert row.incarnation == 51


def test_an_announced_shutdown_drops_the_row_at_once():
    one = table_module.Table("entry-1", 1, _head(1), 0.0)
    two = table_module.Table("entry-2", 1, _head(2), 0.0)
    one.apply(two.deltas(one.digest(), 0.0), 0.0)
    two.update(rows.RowHeader("10.0.0.2:7000", 0, left=True), {}, 0.5)
    assert one.apply(two.deltas(one.digest(), 0.5), 0.5).left == ["entry-2"]
    assert one.others() == []
