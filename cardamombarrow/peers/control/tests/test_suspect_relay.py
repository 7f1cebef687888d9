"""Reports of suspects that control processes relay."""

import asyncio
import random

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import followers
from cardamombarrow.peers.control import suspect_codec
from cardamombarrow.peers.control import suspect_relay
from cardamombarrow.peers.gossip import codec as gossip_codec
from cardamombarrow.peers.gossip import gossip_pb2

_NOW_S = 50.0
_PROMPT_S = 0.5


def _wire(number, *, age_ms=0):
    return control_pb2.SuspectReport(
        instance="entry-1", number=number, fingerprints=["f"], age_ms=age_ms
    )


@pytest.fixture
def relay():
    return suspect_relay.SuspectRelay(random.Random(1))


def test_a_report_that_is_sent_again_is_relayed_once(relay):
    assert relay.put([_wire(1)], "entry-1", 0.0)
    number = relay.number
    assert not relay.put([_wire(1)], "entry-1", 1.0)
    assert not relay.put([_wire(1)], "", 1.0)
    assert relay.since(number, 1.0) == []


def test_relayed_reports_do_not_circulate_between_control_processes(relay):
    relay.put([_wire(1)], "entry-1", 0.0)
    relay.put([_wire(2)], "", 0.0)
    assert [each.number for each in relay.since(0, 0.0, own=True)] == [1]
    assert [each.number for each in relay.since(0, 0.0)] == [1, 2]


def test_the_age_of_a_report_increases_with_each_hop(relay):
    # Guards against a crash that counts as new at each restart of an entry.
    relay.put([_wire(1, age_ms=400)], "entry-1", 0.0)
    (report,) = relay.since(0, 2.0)
    assert report.age_ms == 2_400


def test_old_reports_end_and_the_newest_are_kept(relay):
    for number in range(2 * suspect_relay.MAX_REPORTS):
        relay.put([_wire(number)], "entry-1", 0.0)
    kept = relay.since(0, 1.0)
    assert len(kept) == suspect_relay.MAX_REPORTS
    assert kept[-1].number == 2 * suspect_relay.MAX_REPORTS - 1
    assert relay.since(0, suspect_relay.REPORT_TTL_S + 1.0) == []


class _Stream:
    """One follower's stream, which only receives."""

    def __init__(self):
        self.received = []

    async def send_message(self, message):
        self.received += [each.number for each in message.suspects]


def test_followers_get_a_report_at_once_and_late_ones_all_of_them():
    # Guards against entries that send a request on which another has reported,
    # and against a restarted entry that knows of no crash.
    async def run():
        table = followers.Followers(lambda: True)
        early, late = _Stream(), _Stream()
        report = control_pb2.AppliedReport(domain="a")
        tasks = [asyncio.create_task(table._send(early, report, False))]
        await asyncio.sleep(0.01)
        table.put_suspects([_wire(1)], "entry-1")
        async with asyncio.timeout(_PROMPT_S):
            while not early.received:
                await asyncio.sleep(0.01)
        table.put_suspects([_wire(2)], "")
        tasks.append(asyncio.create_task(table._send(late, report, False)))
        async with asyncio.timeout(_PROMPT_S):
            while len(early.received) < 2 or len(late.received) < 2:
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return early.received, late.received

    assert asyncio.run(run()) == ([1, 2], [1, 2])


@pytest.mark.parametrize("endpoint", ["10.0.0.1:80#i-1", None])
@pytest.mark.parametrize("parts", [(), ((1, (1 << 64) - 1), ())])
@pytest.mark.parametrize("answered", [(), (3, 4)])
def test_reports_are_the_same_after_the_wire(endpoint, parts, answered):
    report = messages.SuspectReport(
        ids.InstanceId("entry-1"),
        (1 << 63) - 1,
        (ids.Fingerprint("a"), ids.Fingerprint("b")),
        endpoint and ids.EndpointId(endpoint),
        _NOW_S - 2.0,
        parts,
        answered,
    )
    wire = suspect_codec.suspects_to_wire([report], _NOW_S)
    assert suspect_codec.suspects_from_wire(wire, _NOW_S) == [report]
    delta = rows.RowDelta(
        report.instance,
        1,
        1,
        0,
        0.0,
        rows.RowHeader("a", ids.Revision(1)),
        [((rows.ItemKind.SUSPECTS, report.number), report)],
    )
    row = gossip_codec.delta_to_wire(delta, _NOW_S).SerializeToString()
    received = gossip_codec.delta_from_wire(
        gossip_pb2.GossipRow.FromString(row), _NOW_S
    )
    assert received.items == delta.items
