"""``python -m benchmarks.decision_cost``: CPU of one decision by size.

One decision is the whole life of a request in the dispatcher: offered,
placed, first token, end. Each size is a domain with its instances, endpoints
and workspaces, at nine tenths of its slots.
"""

import dataclasses
import random
import time

from benchmarks import driver
from benchmarks import patterns
from cardamombarrow.decisions import base
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["SIZES", "cost_ms", "main"]

SIZES = ((15, 9, 950), (29, 18, 1_900), (58, 36, 3_800))
"""Endpoints, instances and workspaces; the last is the target size."""

SLOTS = 36
"""Slots per endpoint, so that each instance has one on each."""

DECISIONS = 5_000
CLASSES = (patterns.CHAT, patterns.DESK, patterns.LETTER)


def _dispatcher(
    endpoints: int, instances: int, workspaces: int
) -> core.Dispatcher:
    scenario = patterns.PATTERNS["overload-2x"].build(
        random.Random(0), schema.Policies()
    )
    document = scenario.document
    names = tuple(ids.EndpointId(f"10.0.0.{n}:80") for n in range(endpoints))
    service = dataclasses.replace(
        document.services[driver.SERVICE],
        slots_per_endpoint=SLOTS,
        endpoints={driver.DOMAIN: names},
    )
    spaces = {
        ids.WorkspaceId(f"w{n}"): schema.Workspace(
            ids.WorkspaceId(f"w{n}"), (), CLASSES
        )
        for n in range(workspaces)
    }
    document = dataclasses.replace(
        document, services={driver.SERVICE: service}, workspaces=spaces
    )
    dispatcher = core.Dispatcher(
        base.PolicyContext(
            document,
            ids.InstanceId("entry-0"),
            driver.DOMAIN,
            random.Random(1),
        ),
        0.0,
    )
    for n in range(1, instances):
        dispatcher.peer(
            messages.PeerDemand(
                ids.InstanceId(f"entry-{n}"), {driver.SERVICE: 40.0}, {}, 0.0
            )
        )
    dispatcher.refresh_shares(0.0)
    return dispatcher


def _job(number: int, workspaces: int, now_s: float) -> messages.Job:
    return messages.Job(
        request_id=ids.RequestId(f"r{number}"),
        workspace=ids.WorkspaceId(f"w{number * 7 % workspaces}"),
        class_id=CLASSES[number % 3],
        service=driver.SERVICE,
        model=ids.ModelId("trail-7b"),
        rank=number % 3,
        arrived_s=now_s,
        target_first_token_s=30.0,
        deadline_s=now_s + 120.0,
        prompt_tokens=500,
        prefix_key=f"p{number % 500}",
        fingerprint=ids.Fingerprint(f"f{number}"),
    )


def cost_ms(
    endpoints: int, instances: int, workspaces: int
) -> tuple[float, float]:
    """Returns CPU of a decision and of a refresh of the shares, in ms."""
    dispatcher = _dispatcher(endpoints, instances, workspaces)
    slots = sum(state.share for state in dispatcher.endpoints())
    running: list[ids.RequestId] = []
    began_s = time.process_time()
    for number in range(DECISIONS):
        now_s = number * 0.01
        job = _job(number, workspaces, now_s)
        dispatcher.offer(job, now_s)
        for decision in list(dispatcher.place(now_s)):
            if isinstance(decision, messages.Placement):
                dispatcher.first_token(decision.request_id, now_s)
                running.append(decision.request_id)
        while len(running) > 0.9 * slots:
            request_id = running.pop(0)
            dispatcher.progress(request_id, 50)
            dispatcher.finish(request_id, messages.Outcome.DONE, now_s)
    decision_ms = (time.process_time() - began_s) * 1_000 / DECISIONS
    began_s = time.process_time()
    for _ in range(100):
        dispatcher.refresh_shares(0.0)
    refresh_ms = (time.process_time() - began_s) * 10
    return decision_ms, refresh_ms


def main() -> None:
    """Prints a row per size."""
    print("| endpoints | instances | workspaces | decision ms | refresh ms |")
    print("|---|---|---|---|---|")
    for size in SIZES:
        decision_ms, refresh_ms = cost_ms(*size)
        cells = [*map(str, size), f"{decision_ms:.3f}", f"{refresh_ms:.3f}"]
        print(f"| {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
