"""``python -m benchmarks.decision_cost``: CPU time of one decision.

One dispatcher runs under overload in virtual time: two requests arrive for
each one that ends, so that the queue is full and about half are refused. The
result is the dispatcher's CPU time divided by the number of arrivals.
"""

import argparse
import dataclasses
import itertools
import random
import time

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Size", "main"]

DOMAIN = ids.DomainId("nuwara-a")
FAR = ids.DomainId("badulla-a")
CLASSES = (
    ("chat", 0, 0.92, 20.0),
    ("summary", 1, 4.0, 60.0),
    ("digest", 2, 30.0, 300.0),
    ("archive", 3, 60.0, 600.0),
)
SLOTS = 32
REQUESTS = 6_000


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of a deployment as one instance sees it.

    Attributes:
        endpoints: Endpoints in the instance's failure domain.
        far_endpoints: Endpoints in another failure domain.
    """

    endpoints: int = 58
    far_endpoints: int = 582
    services: int = 21
    workspaces: int = 3_800
    instances: int = 36


def _document(size: Size) -> schema.Document:
    tiers = {
        name: schema.Tier(ids.TierId(name), rank)
        for name, rank, _, _ in CLASSES
    }
    classes = {
        name: schema.RequestClass(
            ids.ClassId(name), ids.TierId(name), first_s, total_s
        )
        for name, _, first_s, total_s in CLASSES
    }
    workspaces = {
        f"w{n}": schema.Workspace(ids.WorkspaceId(f"w{n}"), (), tuple(classes))
        for n in range(size.workspaces)
    }
    services = {
        f"s{n}": schema.Service(
            ids.ServiceId(f"s{n}"),
            schema.ServiceKind.ENGINE,
            SLOTS,
            endpoints={
                DOMAIN: _endpoints("near", n, size.endpoints, size.services),
                FAR: _endpoints("far", n, size.far_endpoints, size.services),
            },
        )
        for n in range(size.services)
    }
    return schema.Document(
        tiers, classes, workspaces, services, {}, {}, schema.Policies()
    )


def _endpoints(
    name: str, service: int, count: int, services: int
) -> tuple[ids.EndpointId, ...]:
    return tuple(
        ids.EndpointId(f"{name}-{number}")
        for number in range(service, count, services)
    )


class _Load:
    """Drives one dispatcher and sums its CPU time."""

    def __init__(self, size: Size):
        self._size = size
        self._rng = random.Random(1)
        document = _document(size)
        context = context_module.PolicyContext(
            document, ids.InstanceId("i0"), DOMAIN, random.Random(2)
        )
        self._dispatcher = core.Dispatcher(context, 0.0)
        self._jobs: dict[ids.RequestId, messages.Job] = {}
        self._running: list[ids.RequestId] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self.cpu_s = 0.0
        self.arrived = 0
        self.refused = 0

    def update_peers(self) -> None:
        """Updates the dispatcher with its peers' demand."""
        for number in range(1, self._size.instances):
            demand = {
                ids.ServiceId(f"s{n}"): 5.0 for n in range(self._size.services)
            }
            instance = ids.InstanceId(f"i{number}")
            self._dispatcher.update_peer(
                messages.PeerDemand(instance, demand, {}, self._now_s)
            )

    def refresh(self) -> float:
        """Returns the CPU time of one refresh of the shares, in seconds."""
        self.update_peers()
        started_s = time.process_time()
        self._dispatcher.refresh_shares(self._now_s)
        return time.process_time() - started_s

    def run(self, requests: int) -> None:
        """Runs the overload until `requests` have arrived."""
        while self.arrived < requests:
            self._now_s += 0.005
            jobs = [self._job(), self._job()]
            ended = self._remove_ended()
            started_s = time.process_time()
            for name in ended:
                self._dispatcher.finish(
                    name, messages.Outcome.DONE, self._now_s
                )
            for job in jobs:
                refusal = self._dispatcher.offer(job, self._now_s)
                self.refused += refusal is not None
            decisions = list(self._dispatcher.place(self._now_s))
            self.cpu_s += time.process_time() - started_s
            self._record(decisions)

    def _job(self) -> messages.Job:
        name, rank, first_s, total_s = self._rng.choice(CLASSES)
        self.arrived += 1
        return messages.Job(
            ids.RequestId(f"r{next(self._numbers)}"),
            ids.WorkspaceId(f"w{self._rng.randrange(self._size.workspaces)}"),
            ids.ClassId(name),
            ids.ServiceId(f"s{self._rng.randrange(self._size.services)}"),
            ids.ModelId("m"),
            rank,
            self._now_s,
            first_s,
            self._now_s + total_s,
        )

    def _remove_ended(self) -> list[ids.RequestId]:
        if len(self._running) < 40:
            return []
        return [self._running.pop(self._rng.randrange(len(self._running)))]

    def _record(self, decisions: list[messages.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, messages.Placement):
                self._running.append(decision.request_id)
            elif isinstance(decision, messages.Refusal):
                self.refused += 1


def _measure(size: Size, requests: int) -> str:
    load = _Load(size)
    load.update_peers()
    load.run(requests // 4)
    load.cpu_s, load.arrived, load.refused = 0.0, 0, 0
    load.run(requests)
    refresh_s = load.refresh()
    decision_s = load.cpu_s / load.arrived
    return (
        f"| {size.endpoints} | {size.far_endpoints} | {size.workspaces} "
        f"| {size.instances} | {decision_s * 1e3:.3f} "
        f"| {load.refused / load.arrived:.2f} | {refresh_s * 1e3:.2f} |"
    )


def main() -> None:
    """Prints a table over sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=REQUESTS)
    options = parser.parse_args()
    target = Size()
    sizes = [
        target,
        *(
            dataclasses.replace(target, endpoints=near, far_endpoints=far)
            for near, far in ((21, 210), (42, 420))
        ),
        *(dataclasses.replace(target, workspaces=n) for n in (100, 1_000)),
        *(dataclasses.replace(target, instances=n) for n in (8, 18)),
    ]
    print(
        "| endpoints | far | workspaces | instances | decision ms "
        "| refused | share refresh ms |"
    )
    print("|---" * 7 + "|")
    for size in sizes:
        print(_measure(size, options.requests))


if __name__ == "__main__":
    main()
