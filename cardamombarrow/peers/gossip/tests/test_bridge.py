"""Changes that an entry passes on at once to the others of its domain."""

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.discovery import base
from cardamombarrow.discovery import core as discovery
from cardamombarrow.endpoints import poller as poller_module
from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers.gossip import bridge as gossip_bridge_module

_LISTED = [base.ListedEndpoint(ids.EndpointId("a:1"), base.ListedState.LIVE)]


class _Source(base.Source):
    def fetch(self, url):
        return _LISTED


class _Broker:
    """A broker without demand.

    Attributes:
        leaving: Whether each endpoint leaves.
    """

    def __init__(self):
        self.leaving = {}

    def demand(self):
        return messages.PeerDemand(ids.InstanceId("e"), {}, {}, 0.0)

    def quarantine_marks(self):
        return {}

    def own_suspects(self):
        return []

    def rejection_pauses(self):
        return {}

    def rate_limits_to_announce(self):
        return {}

    def update_peer(self, demand):
        """Does nothing."""

    def set_leaving(self, endpoint, leaving):
        self.leaving[endpoint] = leaving


class _Entry:
    """One entry's side of the gossip, with its list of endpoints."""

    def __init__(self, name, time_source):
        self.broker = _Broker()
        self.membership = gossip_bridge_module.GossipBridge(
            ids.InstanceId(name),
            ids.DomainId("d"),
            {},
            self.broker,
            time_source,
        )
        self.table = table_module.Table(
            ids.InstanceId(name), 1, rows.RowHeader("a", 1), time_source.now_s()
        )
        self.watch = discovery.ListingWatch(
            _Source(),
            "http://x",
            discovery.ListingSchedule.within(2.0, 5.0),
            lambda items: None,
            time_source,
        )
        poller = poller_module.Poller(1.0, lambda *_: None)
        self.membership.attach(self.table, poller)
        self.membership.share_listing(self.watch)
        self._clock = time_source

    def send_to(self, other):
        """Sends changes to another entry; returns whether it passes them on."""
        now_s = self._clock.now_s()
        head = rows.RowHeader("a", 1)
        self.table.update(head, self.membership.collect(now_s), now_s)
        deltas = self.table.deltas(other.table.digest(), now_s)
        changes = other.table.apply(deltas, now_s)
        return other.membership.on_changes(changes, now_s)


@pytest.fixture
def entries():
    time_source = clock.ManualClock(100.0)
    made = [_Entry(name, time_source) for name in ("reader", "one", "two")]
    return time_source, made


def test_a_fetched_list_is_passed_on_at_once(entries):
    # By regular rounds, a fetched list takes some seconds to reach a dozen
    # entries. The list of the last ones is too old by then, and they fetch it
    # themselves: three of four calls to the platform were theirs.
    time_source, (reader, one, two) = entries
    for step in range(3):
        time_source.advance(2.0)
        reader.watch.refresh()
        assert reader.membership.has_urgent_changes(), step
        assert reader.send_to(one)
        assert not reader.membership.has_urgent_changes()
        reader.send_to(two)
        assert one.watch._read_s == two.watch._read_s == reader.watch._read_s


def test_a_known_list_is_not_passed_on(entries):
    time_source, (reader, one, two) = entries
    reader.watch.refresh()
    reader.send_to(one)
    reader.send_to(two)
    time_source.advance(1.0)
    assert not reader.send_to(one)
    assert not one.send_to(two)


@pytest.mark.parametrize(
    ("endpoint", "is_announced"), [("a:1#i-1", True), ("a:1", False)]
)
def test_a_departure_that_an_answer_states_is_passed_on_at_once(
    entries, endpoint, is_announced
):
    # Guards against requests of other entries to an endpoint that stops.
    _, (first, second, third) = entries
    endpoint = ids.EndpointId(endpoint)
    first.membership.on_departure(endpoint)
    assert first.membership.has_urgent_changes() is is_announced
    assert first.send_to(second) is is_announced
    second.send_to(third)
    leaving = {endpoint: True} if is_announced else {}
    assert second.broker.leaving == leaving
    first.membership.on_listing([(endpoint, False)])
    first.send_to(second)
    assert second.broker.leaving == leaving


def test_a_departed_endpoint_that_is_no_longer_listed_is_not_announced(entries):
    # Guards against announcements that accumulate.
    _, (first, _, _) = entries
    first.membership.on_departure(ids.EndpointId("a:1#i-1"))
    first.membership.on_discovered(())
    kinds = [kind for kind, _ in first.membership.collect(0.0)]
    assert rows.ItemKind.LEAVING not in kinds


def test_in_flight_counts_of_another_length_are_ignored(entries):
    # Guards against rows of other instances whose changes are lost, because
    # the counts of one are not as many as the endpoints.
    _, (first, second, _) = entries
    second.membership._list_hash = list_hash = first.membership._list_hash
    first.table.update(
        rows.RowHeader("a", 1),
        {
            (rows.ItemKind.IN_FLIGHT, ""): rows.InFlight(list_hash, (1, 2)),
            (rows.ItemKind.LEAVING, "b:1"): True,
        },
        100.0,
    )
    deltas = first.table.deltas(second.table.digest(), 100.0)
    changes = second.table.apply(deltas, 100.0)
    assert second.membership.on_changes(changes, 100.0)
    assert second.broker.leaving == {"b:1": True}
