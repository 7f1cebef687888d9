"""Cost of gossip per node: CPU, memory and bytes.

``python -m benchmarks.gossip`` runs one failure domain after another. Each
runs in a separate process with all of its nodes: the real table, codec,
streams and authentication over loopback, with synthetic demand and load
reports.

The load is that of the target size: 7,600 requests per second over 400 nodes,
so that 19 requests begin and 19 end at a node each second. Two nodes poll each
endpoint's load report every second.
"""

import argparse
import dataclasses
import json
import pathlib
import random
import resource
import subprocess
import sys
import time

from cardamombarrow.decisions import messages
from cardamombarrow.gossip import rendezvous
from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.gossip import gossip_pb2
from cardamombarrow.peers.gossip import node as gossip_node
from tools import deployment

__all__ = ["main"]

RUNS = ((4, 58), (8, 58), (16, 58), (36, 58), (16, 0), (16, 29), (16, 116))
"""Members and endpoints of each run; the target has 36 and 58."""

WARM_UP_S = 6.0
MEASURED_S = 12.0
CHANGES_A_SECOND = 38
SERVICES = ("report-writer", "trail-desk")
FRAME_BYTES = 14
"""Size of the gRPC and HTTP/2 headers of a message, without TCP's."""

BUDGET = {"cpu_share": 0.022, "memory_mb": 64.0, "bytes_per_s": 26_000.0}


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of one node.

    Attributes:
        received_bytes_per_s: On average this equals the sent bytes.
        oldest_row_s: Age of the oldest row in any node's table at the end.
    """

    members: int
    endpoints: int
    cpu_share: float
    memory_mb: float
    received_bytes_per_s: float
    messages_per_s: float
    oldest_row_s: float


class _CountingNode(gossip_node.GossipNode):
    """A node that counts received messages and bytes."""

    received_bytes = 0
    received = 0

    def _accept(self, message: gossip_pb2.GossipMessage) -> bool:
        self.received_bytes += message.ByteSize() + FRAME_BYTES
        self.received += 1
        return super()._accept(message)


class _Load:
    """Synthetic items of one node's row."""

    def __init__(
        self,
        instance: ids.InstanceId,
        endpoints: list[ids.EndpointId],
        members: list[ids.InstanceId],
    ):
        self._rng = random.Random(instance)
        self._list_hash = rows.endpoint_hash(" ".join(endpoints))
        self._polled = [
            rows.endpoint_hash(each)
            for each in endpoints
            if instance in rendezvous.pollers(each, members)
        ]
        self._in_flight = [0] * len(endpoints)

    def collect(self, now_s: float) -> dict[rows.Key, rows.Value]:
        """Returns the row's items after some random changes."""
        rng = self._rng
        for _ in range(CHANGES_A_SECOND if self._in_flight else 0):
            position = rng.randrange(len(self._in_flight))
            self._in_flight[position] = rng.randrange(8)
        items: dict[rows.Key, rows.Value] = {
            (rows.ItemKind.DEMAND, service): rng.randrange(50)
            for service in SERVICES
        }
        items[rows.ItemKind.IN_FLIGHT, ""] = rows.InFlight(
            self._list_hash, tuple(self._in_flight)
        )
        for name in self._polled:
            items[rows.ItemKind.REPORT, name] = messages.LoadReport(
                running=rng.randrange(200),
                waiting=rng.randrange(20),
                cache_used_share=rng.random(),
                leaving=False,
                measured_at_s=now_s,
            )
        return items


def _start(members: int, endpoint_count: int) -> list[_CountingNode]:
    loop = loop_module.LoopThread()
    loop.start()
    names = [ids.InstanceId(f"entry-{n}") for n in range(members)]
    endpoints = [
        ids.EndpointId(f"10.0.{n // 250}.{n % 250}:8000")
        for n in range(endpoint_count)
    ]
    addresses = [f"127.0.0.1:{p}" for p in deployment.free_ports(members)]
    nodes = []
    for name, address in zip(names, addresses, strict=True):
        node = _CountingNode(
            loop,
            table_module.Table(name, 1, rows.RowHeader(address, 1), 0.0),
            gossip_node.GossipSettings(
                ids.DomainId("nuwara-a"),
                address,
                tuple(addresses[:3]),
                deployment.SECRET,
            ),
            gossip_node.GossipHooks(
                collect=_Load(name, endpoints, names).collect,
                has_urgent_changes=lambda: False,
                on_changes=lambda changes, now_s: False,
                on_members=lambda members, gone: None,
                revision=lambda: ids.Revision(1),
                document=lambda takes_packed: control_pb2.DocumentMessage(
                    revision=1
                ),
                on_document=lambda message: None,
            ),
            clock.SystemClock(),
        )
        host, _, port = address.rpartition(":")
        server_module.PeerServer(
            loop, host, int(port), deployment.SECRET, [node]
        ).start()
        nodes.append(node)
    for node in nodes:
        node.start()
    return nodes


def _memory_mb() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def measure(members: int, endpoint_count: int) -> Cost:
    """Runs one domain in this process.

    Raises:
        RuntimeError: Some node's table lacks a member.
    """
    initial_mb = _memory_mb()
    nodes = _start(members, endpoint_count)
    time.sleep(WARM_UP_S)
    for node in nodes:
        node.received_bytes = node.received = 0
    start_cpu_s = time.process_time()
    time.sleep(MEASURED_S)
    cpu_s = time.process_time() - start_cpu_s
    if any(len(node.table.live()) != members for node in nodes):
        raise RuntimeError("the table of some node lacks a live member")
    per_node_s = members * MEASURED_S
    return Cost(
        members,
        endpoint_count,
        cpu_s / per_node_s,
        (_memory_mb() - initial_mb) / members,
        sum(node.received_bytes for node in nodes) / per_node_s,
        sum(node.received for node in nodes) / per_node_s,
        max(_oldest_row_s(node) for node in nodes),
    )


def _oldest_row_s(node: _CountingNode) -> float:
    now_s = clock.SystemClock().now_s()
    return max(now_s - row.refreshed_s for row in node.table.live())


def _run_in_subprocess(members: int, endpoint_count: int) -> Cost:
    command = [sys.executable, "-m", "benchmarks.gossip", "--one"]
    result = subprocess.run(
        [*command, str(members), str(endpoint_count)],
        capture_output=True,
        text=True,
        check=True,
    )
    return Cost(**json.loads(result.stdout.splitlines()[-1]))


def main() -> None:
    """Prints a row per run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--one", nargs=2, type=int)
    one = parser.parse_args().one
    if one:
        cost = measure(*one)
        print(json.dumps(dataclasses.asdict(cost)), flush=True)
        return
    print("per node and second; bytes sent are as many as received")
    print(" members endpoints  cpu_% memory_MB bytes_in messages oldest_row_s")
    for members, endpoint_count in RUNS:
        cost = _run_in_subprocess(members, endpoint_count)
        print(
            f"{members:8} {endpoint_count:9} {cost.cpu_share * 100:6.2f} "
            f"{cost.memory_mb:9.2f} {cost.received_bytes_per_s:8.0f} "
            f"{cost.messages_per_s:8.1f} {cost.oldest_row_s:12.1f}",
            flush=True,
        )
    print(f"budget for all of control: {BUDGET}")


if __name__ == "__main__":
    main()
