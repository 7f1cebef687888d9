"""Odd entries of the list and of gossip, over real processes."""

import contextlib
import json
import time

import pytest

from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.gossip import gossip_pb2
from cardamombarrow.peers.gossip import node as gossip_node
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import urgent_traffic
from tools import deployment

pytestmark = pytest.mark.process

_JOINED_WITHIN_S = 8.0
_STEP_S = 0.5
_EACH_PER_S = 20.0
_PAGE_SIZE = 2
_SOUND = {
    "id": "odd",
    "service": standin.SERVICE,
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": standin.SLOTS,
    "coldRemainingMs": 0,
    "state": "ready",
}


def _entry(field: str, text: str) -> bytes:
    changed = json.dumps({**_SOUND, field: "CHANGED"})
    return changed.replace('"CHANGED"', text).encode()


_AT_START = [
    _entry("id", '"a\\nb"'),
    _entry("models", odd_values.deep(100_000)),
    _entry("slots", "1e999"),
    _entry("address", '"127.0.0.1:70000"'),
    b'{"id":"odd","models":[{"name":"m"}',
]
_ADDED = [
    [_entry("id", '"\\ud800"')],
    [_entry("id", '"\\ud800"'), _entry("id", '"a\\nb"')],
    [_entry("slots", "9" * 5_000)],
    [_entry("address", '"' + "a" * 64 + ':80"')],
    [_entry("models", odd_values.deep(200, objects=True))],
    [b'{"id":"odd","models":{"a":['],
    [b'{"id":"odd'],
]


class _Run:
    """Servers that join, and traffic that has to reach them."""

    def __init__(
        self, running: deployment.Deployment, servers: standin.Servers
    ):
        self.traffic = urgent_traffic.Traffic(running, servers, 1)
        self._running = running
        self._servers = servers
        self._count = 0

    def join(self) -> bool:
        """Starts a server in place of all; returns whether it is used."""
        identity = f"joined-{self._count}"
        self._count += 1
        before = list(self._servers.listed.values())
        self._servers.start(identity)
        for each in before:
            # Requests would stay where their prompts have been read.
            each.state = "draining"
        end_s = time.monotonic() + _JOINED_WITHIN_S
        while time.monotonic() < end_s:
            self.traffic.run(_STEP_S, _EACH_PER_S)
            if any(e.identity == identity for e in self._servers.received):
                return True
        return False

    def check(self) -> None:
        """Checks that no process, thread or request has failed."""
        for name, process in self._running.processes.items():
            assert process.poll() is None, name
            log = self._running.log(name)
            for text in ("Traceback", "task failed", "list rejected"):
                assert text not in log, (name, text)
        assert self.traffic.requests
        assert all(each.answered for each in self.traffic.requests)


@pytest.fixture
def servers():
    with standin.Servers(lambda _: standin.Answer(pause_s=0.01)) as started:
        for number in range(4):
            started.start(f"own-{number}")
        started.page_size = _PAGE_SIZE
        yield started


def _plan(servers):
    made = urgent_traffic.plan(
        servers.listing_url, {"a": ["a-0", "a-1"]}, {"a": ["control-1"]}
    )
    made.entry_extra["platform"] += "listing_shared = yes\n"
    return made


def test_odd_entries_on_any_page_hide_no_server(tmp_path, servers):
    # Guards against processes that end, start without servers, or follow the
    # list no more because of one odd entry among those of the servers.
    servers.foreign = _AT_START
    with deployment.Deployment(_plan(servers), tmp_path) as running:
        for name in running.entries:
            running.wait_ready(name)
        run = _Run(running, servers)
        assert run.join()
        for number, foreign in enumerate(_ADDED):
            servers.foreign_page = number % 3
            servers.foreign = foreign
            assert run.join(), foreign
        run.check()


def test_odd_rows_of_gossip_hide_no_server(tmp_path, servers):
    # Guards against entries that exchange nothing, or use endpoints that no
    # socket can connect to, because of what another entry passes on.
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(
            deployment.Deployment(_plan(servers), tmp_path)
        )
        for name in running.entries:
            running.wait_ready(name)
        run = _Run(running, servers)
        assert run.join()
        loop = loop_module.LoopThread()
        loop.start()
        stack.callback(loop.stop)
        for number, row in enumerate(_odd_rows(servers)):
            row.version = number + 1
            for name in running.entries:
                loop.call(_send(running.peers[name], row)).result(timeout=10)
            assert run.join(), row
        run.check()
        logs = "".join(map(running.log, running.entries))
        assert "received endpoints left out" in logs


def _odd_rows(servers):
    sound = [
        [
            f"127.0.0.1:{each.port}#{each.identity}",
            "live" if each.state == "ready" else "leaving",
            each.service,
            "a",
            each.slots,
            each.version,
        ]
        for each in servers.listed.values()
    ]
    rest = f'"live","{standin.SERVICE}","a"'
    odd = (
        "1e999",
        odd_values.deep(100_000),
        f'["127.0.0.1:70000#odd",{rest},6,"v1"]',
        f'["127.0.0.1:9#odd",{rest},1e999,"v1"]',
        f'[["odd"],{rest},6,"v1"]',
    )
    for each in odd:
        text = f"[{each},{json.dumps(sound)[1:-1]}]"
        yield _row(
            listed=text,
            listing_hash=rows.endpoint_hash(ids.EndpointId(text)),
        )
    yield _row(address="127.0.0.1:70000")
    yield _row(address="odd")
    yield _row(limit_endpoints=[1], limit_per_s=[1.0], limit_age_ms=[2**32 - 1])


def _row(**fields):
    return gossip_pb2.GossipRow(
        **{
            "instance": "odd",
            "incarnation": 1,
            "address": "127.0.0.1:9",
            **fields,
        }
    )


async def _send(address, row):
    partner = gossip_node._Partner(address, deployment.SECRET)
    try:
        stream = await partner.stream()
        message = gossip_pb2.GossipMessage(
            instance="odd",
            domain="a",
            digest=[gossip_pb2.GossipDigestRow(instance="none")],
            rows=[row],
        )
        await stream.send_message(message)
        await stream.recv_message()
    finally:
        partner.close()
