"""Gossip nodes over loopback: joining, changes, documents, failures."""

import contextlib
import math
import time

import pytest

from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.gossip import codec as gossip_codec
from cardamombarrow.peers.gossip import gossip_pb2
from cardamombarrow.peers.gossip import node as gossip_node
from tools import deployment

_SECRET = "a-secret-of-the-tests"


class _Node:
    """One node with its server; its row and document are set by the test."""

    def __init__(self, name, address, seeds, domain="nuwara-a"):
        self.items = {}
        self.received = {}
        self.gone = []
        self.vanished = False
        self.document = control_pb2.DocumentMessage(revision=1, text="one")
        self.loop = loop_module.LoopThread()
        self.loop.start()
        hooks = gossip_node.GossipHooks(
            collect=lambda now_s: dict(self.items),
            has_urgent_changes=lambda: False,
            on_changes=self._on_changes,
            on_members=lambda members, gone: self.gone.extend(gone),
            revision=lambda: self.document.revision,
            document=lambda takes_packed: self.document,
            on_document=self._on_document,
        )
        time_source = clock.SystemClock()
        head = rows.RowHeader(address, 1)
        self.node = gossip_node.GossipNode(
            self.loop,
            table_module.Table(name, 1, head, time_source.now_s()),
            gossip_node.GossipSettings(domain, address, seeds, _SECRET),
            hooks,
            time_source,
        )
        host, _, port = address.rpartition(":")
        self.server = server_module.PeerServer(
            self.loop, host, int(port), _SECRET, [self.node]
        )
        self.server.start()
        self.node.start()

    def _on_changes(self, changes, now_s):
        for instance, key, value in changes.items:
            self.received[instance, key] = value
        return bool(changes.items)

    def _on_document(self, message):
        self.document = message

    def now_s(self):
        return self.node._clock.now_s()

    def stand_still(self, for_s):
        """Blocks its loop."""
        self.loop.call_soon(lambda: time.sleep(for_s))

    def stand_still_in_exchange(self, for_s):
        """Blocks its loop within its next exchange, which fails then."""
        exchange_rows = self.node._exchange_rows

        async def stop_once(partner, address):
            self.node._exchange_rows = exchange_rows
            time.sleep(for_s)
            await exchange_rows(partner, address)

        self.node._exchange_rows = stop_once

    def stand_still_after_replies(self, for_s):
        """Blocks its loop after each reply, before what follows is read."""
        add_rows = self.node._add_rows

        def add_and_stop(message, known):
            add_rows(message, known)
            self.stand_still(for_s)

        self.node._add_rows = add_and_stop

    def members(self):
        return {row.instance for row in self.node.table.live()}

    def vanish(self):
        """Stops without notice; its connections stay open."""
        if not self.vanished:
            self.loop.stop()
        self.vanished = True


@pytest.fixture
def start(monkeypatch):
    """Starts nodes with the first one as their seed, and short intervals."""
    monkeypatch.setattr(gossip_node, "INTERVAL_S", 0.1)
    monkeypatch.setattr(gossip_node, "PULL_GRACE_S", 0.2)
    monkeypatch.setattr(gossip_node, "RETURN_S", 0.6)
    monkeypatch.setattr(table_module, "DEAD_AGE_S", 2.0)
    with contextlib.ExitStack() as stack:

        def start_nodes(count, **options):
            addresses = [f"127.0.0.1:{p}" for p in deployment.free_ports(count)]
            nodes = [
                _Node(f"entry-{n}", address, (addresses[0],), **options)
                for n, address in enumerate(addresses)
            ]
            for node in nodes:
                stack.callback(node.vanish)
            return nodes

        yield start_nodes


def _all_connected(nodes):
    names = {node.node.table.own.instance for node in nodes}
    return deployment.wait_until(
        lambda: all(node.members() == names for node in nodes)
    )


def test_nodes_with_one_seed_find_each_other_and_receive_changes(start):
    nodes = start(5)
    assert _all_connected(nodes)
    key = (rows.ItemKind.LEAVING, "10.0.0.9:8000")
    nodes[4].items = {key: True}
    nodes[4].node.wake()
    assert deployment.wait_until(
        lambda: all(n.received.get(("entry-4", key)) for n in nodes[:4])
    )


@pytest.mark.parametrize("goodbye", [False, True])
def test_a_node_that_is_gone_is_dropped_and_its_stream_closed(start, goodbye):
    # An instance is replaced and announces its shutdown, or loses power, which
    # closes no connection. Streams to instances that are replaced daily would
    # accumulate until memory runs out.
    nodes = start(3)
    assert _all_connected(nodes)
    gone = nodes.pop()
    address = gone.node.table.own.head.address
    for node in nodes:
        assert deployment.wait_until(lambda n=node: address in n.node._partners)
    if goodbye:
        gone.node.stop()
    else:
        gone.vanish()
    for node in nodes:
        assert deployment.wait_until(lambda n=node: "entry-2" in n.gone)
        assert deployment.wait_until(
            lambda n=node: address not in n.node._partners, 10
        )


def test_a_newer_document_is_fetched_from_another_node(start):
    nodes = start(2)
    assert _all_connected(nodes)
    nodes[1].document = control_pb2.DocumentMessage(revision=7, text="seven")
    assert deployment.wait_until(lambda: nodes[0].document.revision == 7)
    assert nodes[0].document.text == "seven"


def _wire(**fields):
    return gossip_pb2.GossipRow(
        **{
            "instance": "odd",
            "incarnation": 1,
            "version": 9,
            "address": "127.0.0.1:1",
            **fields,
        }
    )


_MOST_MS = 2**32 - 1
_ODD_ROWS = [
    *(
        _wire(address=each)
        for each in odd_values.ADDRESSES
        if "\ud800" not in each
    ),
    _wire(incarnation=2**63 - 1),
    _wire(incarnation=-(2**63)),
    _wire(instance="entry-0", incarnation=2**63 - 1),
    _wire(instance=""),
    _wire(instance="x\ny" * 700),
    _wire(applied_revision=2**63 - 1),
    _wire(report_endpoints=[1], report_running=[_MOST_MS]),
    _wire(
        report_endpoints=[1],
        report_running=[_MOST_MS],
        report_waiting=[_MOST_MS],
        report_cache_used_share=[math.nan],
        report_leaving=[True],
        report_age_ms=[_MOST_MS],
    ),
    _wire(
        report_endpoints=[1],
        report_running=[0],
        report_waiting=[0],
        report_cache_used_share=[0.5],
        report_leaving=[False],
        report_age_ms=[_MOST_MS],
    ),
    _wire(limit_endpoints=[1], limit_per_s=[math.inf], limit_age_ms=[0]),
    _wire(limit_endpoints=[1], limit_per_s=[2.0], limit_age_ms=[_MOST_MS]),
    _wire(listing_hash=1, listing_age_ms=_MOST_MS, listed="[" * 100_000),
    _wire(quarantined=["x"], quarantine_left_ms=[_MOST_MS]),
    _wire(demand_services=["a\nb", ""], demand=[math.nan, -math.inf]),
]


@pytest.mark.parametrize("row", _ODD_ROWS, ids=lambda row: ascii(str(row))[:60])
def test_an_odd_row_does_not_end_the_exchange_with_others(start, row):
    # Guards against rounds that fail for as long as a row lives that another
    # build has sent: its address can't be connected to, or its numbers can't
    # be passed on.
    failures = background.failure_counts()
    nodes = start(3)
    for node in nodes:
        assert deployment.wait_until(lambda n=node: len(n.members()) >= 3)
    message = gossip_pb2.GossipMessage(
        instance="odd", domain="nuwara-a", rows=[row]
    )

    async def accept():
        node = nodes[0].node
        return node._accept(message, nodes[0].now_s())

    assert nodes[0].loop.call(accept()).result(timeout=5)
    key = (rows.ItemKind.LEAVING, "10.0.0.9:8000")
    nodes[1].items = {key: True}
    for node in (nodes[0], nodes[2]):
        assert deployment.wait_until(
            lambda n=node: n.received.get(("entry-1", key))
        )
    key = (rows.ItemKind.LEAVING, "10.0.0.8:8000")
    nodes[0].items = {key: True}
    for node in nodes[1:]:
        assert deployment.wait_until(
            lambda n=node: n.received.get(("entry-0", key))
        )
    assert background.failure_counts() == failures


def test_numbers_that_are_not_finite_are_left_out_of_a_row():
    row = _wire(
        demand_services=["a", "b", "c", "d"],
        demand=[math.nan, math.inf, -1.0, 2.0],
        limit_endpoints=[1, 2, 3],
        limit_per_s=[math.nan, math.inf, 2.0],
        limit_age_ms=[0, 0, 0],
        rejecting_endpoints=[1, 2, 3],
        rejection_pause_left_ms=[5, 5, 5],
        rejection_limit_per_s=[math.nan, -1.0, 2.0],
    )
    delta = gossip_codec.delta_from_wire(row, 10.0)
    kind = rows.ItemKind
    assert [key for key, _ in delta.items] == [
        (kind.DEMAND, "d"),
        (kind.REJECTION_PAUSE, 3),
        (kind.RATE_LIMIT, 3),
    ]


def test_a_node_that_stood_still_drops_no_others(start):
    # Guards against an instance that takes its own standstill for the end of
    # all others: alone, it would use the whole of every endpoint.
    nodes = start(3)
    assert _all_connected(nodes)
    stopped = nodes[0]
    stopped.stand_still(1.5 * table_module.DEAD_AGE_S)
    time.sleep(2.5 * table_module.DEAD_AGE_S)
    assert not stopped.gone
    assert _all_connected(nodes)


def test_a_node_that_stood_still_in_an_exchange_drops_no_others(start):
    # Guards against a standstill that passes for a slow round.
    nodes = start(3)
    assert _all_connected(nodes)
    stopped = nodes[0]
    for other in nodes[1:]:
        other.node._choose_partners = lambda now_s: []
    stopped.stand_still_in_exchange(1.5 * table_module.DEAD_AGE_S)
    time.sleep(2.5 * table_module.DEAD_AGE_S)
    assert not stopped.gone
    assert _all_connected(nodes)


def test_an_instance_that_died_during_a_standstill_is_dropped(start):
    # Guards against an instance that never drops others once it stood still.
    nodes = start(3)
    assert _all_connected(nodes)
    stopped, gone = nodes[0], nodes.pop()
    stopped.stand_still(1.5 * table_module.DEAD_AGE_S)
    gone.vanish()
    assert deployment.wait_until(lambda: "entry-2" in stopped.gone)
    assert stopped.gone == ["entry-2"]


def test_rows_that_waited_in_a_socket_are_as_old_as_they_are(start):
    # Guards against an instance that stood still and takes a list that was read
    # before for newer than all that are read afterwards.
    first, second = start(2)
    assert _all_connected([first, second])
    key = (rows.ItemKind.LISTING, "")
    first.node._choose_partners = lambda now_s: []
    first.stand_still_after_replies(1.0)
    read_s = second.now_s()
    second.items = {key: rows.ListingStamp(7, read_s)}
    assert deployment.wait_until(lambda: ("entry-1", key) in first.received)
    assert first.received["entry-1", key].read_s < read_s + 0.5
