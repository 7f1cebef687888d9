"""Cost of a question to the placer: ``python -m benchmarks.placing_cost``.

Two entries run in one process and connect over loopback, each with a broker, a
server and a client, as in the entry role. One is the placer; requests are
submitted to the other one, started and finished. The CPU time is that of both
entries together.
"""

import argparse
import dataclasses
import random
import statistics
import time

from benchmarks import driver
from benchmarks import many_entries
from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import placer as placer_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.placing import client as placing_client
from cardamombarrow.peers.placing import service as placing_service
from cardamombarrow.placing import ranking as ranking_module
from cardamombarrow.resumption import core as resumption
from tools import deployment

__all__ = ["main"]

SECRET = "a-secret-of-benchmarks"
START_S = 1.0


class _Entry:
    """One entry, whose requests are submitted directly."""

    def __init__(self, name: str, document, members: dict[str, str]):
        self.broker = broker_module.Broker(
            document,
            ids.InstanceId(name),
            driver.DOMAIN,
            clock.SystemClock(),
        )
        origins = resumption.StreamOrigins(clock.SystemClock())
        self.loop = loop_module.LoopThread()
        placer = placer_module.Placer(
            self.broker.for_domain, self.loop.call_soon
        )
        host, _, port = members[name].rpartition(":")
        self.server = server_module.PeerServer(
            self.loop,
            host,
            int(port),
            SECRET,
            [placing_service.PlacingService(placer, dict, origins)],
        )
        self.client = placing_client.PlacingClient(
            self.loop,
            ids.InstanceId(name),
            SECRET,
            placing_client.ClientHooks(
                members=lambda: members,
                runs=self.broker.runs,
                on_answer=self.broker.on_answer,
                fall_back=self.broker.fall_back,
                count=lambda outcome: None,
            ),
            origins,
        )

    def start(self) -> None:
        """Starts the server and the client."""
        self.broker.start()
        self.loop.start()
        self.server.start()
        self.broker.set_remote_placer(self.client)
        self.client.start()


def _jobs(count: int) -> list[messages.Job]:
    scenario = many_entries.scenario(random.Random(1), 10.0, 1.0)
    return [
        messages.Job(
            request_id=ids.RequestId(f"{number:024x}"),
            workspace=work.workspace,
            class_id=work.class_id,
            service=driver.SERVICE,
            model=ids.ModelId("m"),
            rank=0,
            arrived_s=0.0,
            target_first_token_s=2.0,
            deadline_s=0.0,
            prompt_tokens=work.prompt_tokens,
            prefix_key=work.prefix_key,
            parts=tuple(messages.PromptPart(*part) for part in work.parts),
        )
        for number, work in enumerate(scenario.works[:count])
    ]


def main() -> None:
    """Prints the CPU time and the latency of a question."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--questions", type=int, default=2_000)
    options = parser.parse_args()
    logs.configure("ERROR", "benchmark", "placing")
    names = ["entry-1", "entry-2"]
    ports = deployment.free_ports(len(names))
    members = {
        name: f"127.0.0.1:{port}"
        for name, port in zip(names, ports, strict=True)
    }
    document = many_entries.scenario(random.Random(1), 0.01, 1.0).document
    entries = {name: _Entry(name, document, members) for name in names}
    for entry in entries.values():
        entry.start()
    time.sleep(START_S)
    order = ranking_module.PlacerRanking()
    order.set_members(names)
    sender = next(
        entry
        for name, entry in entries.items()
        if name != order.first(time.monotonic())
    )
    latencies_s = []
    start_cpu_s = time.process_time()
    for job in _jobs(options.questions):
        now_s = time.monotonic()
        job = dataclasses.replace(job, arrived_s=now_s, deadline_s=now_s + 60.0)
        ticket = sender.broker.submit(job)
        ticket.placed.result()
        latencies_s.append(time.monotonic() - now_s)
        sender.broker.first_token(job.request_id)
        sender.broker.finish(job.request_id, messages.Outcome.DONE)
    cpu_s = time.process_time() - start_cpu_s
    cuts_s = statistics.quantiles(latencies_s, n=20)
    print(
        f"{options.questions} questions: {cpu_s / options.questions * 1e3:.3f} "
        f"ms of CPU each, both entries; answered in {cuts_s[9] * 1e3:.2f} ms "
        f"(median), {cuts_s[18] * 1e3:.2f} ms (95th percentile)"
    )


if __name__ == "__main__":
    main()
