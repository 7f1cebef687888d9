"""``python -m benchmarks.claims``: cost of the replicated log.

Measures claims per second and their latency at three one-way delays, which
the proxy adds between the control processes; the time from killing the leader
to the next accepted claim; and the CPU time of leader and follower per edit at
three rates. Runs real processes on loopback; the figures are from a single run
on a shared machine.
"""

import argparse
from collections import abc
from concurrent import futures
import os
import pathlib
import tempfile
import threading
import time

from hdrh import histogram

from cardamombarrow.admin import client as admin_client
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.ledger import machine
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2
from tools import deployment

__all__ = ["main"]

NAMES = ("control-1", "control-2", "control-3")
EDITS_A_DAY = 2_100
DAY_S = 86_400
MAX_US = 60_000_000


def _plan() -> deployment.Plan:
    root = pathlib.Path(__file__).resolve().parent.parent
    return deployment.Plan(
        document=(root / "examples" / "kandula.ini").read_text(),
        entries={},
        controls={"nuwara-a": list(NAMES)},
        proxied=True,
    )


def _admin(running: deployment.Deployment, *names: str):
    urls = [running.controls[name] for name in names or NAMES]
    return admin_client.AdminClient(urls, "sales-token")


def _leader(running: deployment.Deployment) -> str:
    found = ""

    def has_leader() -> bool:
        nonlocal found
        for name in NAMES:
            if running.processes[name].poll() is not None:
                continue
            try:
                log = _admin(running, name).get("/v1/status")["log"]
            except errors.RouterError:
                continue
            if log["role"] == "leader":
                found = name
                return True
        return False

    if not deployment.wait_until(has_leader):
        raise RuntimeError("the control processes elected no leader")
    return found


def _ledger(
    running: deployment.Deployment, loop: loop_module.LoopThread
) -> ledger_client.RemoteLedger:
    controls = control_client.ControlClient(
        loop,
        tuple(running.peers[name] for name in NAMES),
        deployment.SECRET,
        lambda first: control_pb2.AppliedReport(),
        lambda *_: None,
        lambda: (ids.Revision(0), ""),
        1.0,
    )
    return ledger_client.RemoteLedger(controls.propose)


def _claim(ledger: ledger_client.RemoteLedger, key: str) -> None:
    ledger.claim(
        key,
        machine.Claim(
            body_sha256="0" * 64,
            instance=ids.InstanceId("bench"),
            attempt=ids.new_request_id(),
            at_unix_s=time.time(),
        ),
    )


def _claim_in_parallel(
    ledger: ledger_client.RemoteLedger, clients: int, duration_s: float
) -> tuple[histogram.HdrHistogram, float, int]:
    """Makes claims from many clients, each with one at a time."""
    latencies = histogram.HdrHistogram(1, MAX_US, 3)
    failed = 0
    lock = threading.Lock()
    start_s = time.monotonic()

    def run(number: int) -> None:
        nonlocal failed
        count = 0
        while time.monotonic() - start_s < duration_s:
            before_s = time.monotonic()
            count += 1
            try:
                _claim(ledger, f"bench/{start_s}/{number}/{count}")
            except errors.UnavailableError:
                with lock:
                    failed += 1
                continue
            with lock:
                latencies.record_value(int((time.monotonic() - before_s) * 1e6))

    with futures.ThreadPoolExecutor(clients) as pool:
        list(pool.map(run, range(clients)))
    return latencies, time.monotonic() - start_s, failed


def _measure_delays(
    running: deployment.Deployment,
    ledger: ledger_client.RemoteLedger,
    duration_s: float,
) -> abc.Iterator[str]:
    yield "| one-way delay ms | clients | claims a second | p50 ms | p99 ms "
    yield "| --- | --- | --- | --- | ---"
    for delay_s in (0.0, 0.001, 0.03):
        for link in running.proxy.links.values():
            link.delay_s = delay_s
        time.sleep(1.0)
        for clients in (1, 16):
            latencies, took_s, failed = _claim_in_parallel(
                ledger, clients, duration_s
            )
            p50, p99 = (
                latencies.get_value_at_percentile(share) / 1e3
                for share in (50, 99)
            )
            rate = latencies.total_count / took_s
            failures_text = f" ({failed} failed)" if failed else ""
            yield (
                f"| {delay_s * 1e3:.0f} | {clients} | {rate:.0f} "
                f"| {p50:.1f} | {p99:.1f}{failures_text}"
            )
    for link in running.proxy.links.values():
        link.delay_s = 0.0


def _measure_failover(
    running: deployment.Deployment, ledger: ledger_client.RemoteLedger
) -> abc.Iterator[str]:
    times = []
    for trial in range(3):
        leader = _leader(running)
        running.processes[leader].kill()
        killed_s = time.monotonic()
        while True:
            try:
                _claim(ledger, f"fail-over/{trial}/{time.monotonic()}")
                break
            except errors.UnavailableError:
                continue
        times.append(time.monotonic() - killed_s)
        running.start_instance(leader)
        running.wait_ready(leader)
        time.sleep(3)
    times_text = ", ".join(f"{seconds:.2f}" for seconds in times)
    yield f"first claim after the leader was killed, s: {times_text}"


def _cpu_s(process) -> float:
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    user, system = fields.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _measure_edits(
    running: deployment.Deployment, duration_s: float
) -> abc.Iterator[str]:
    leader = _leader(running)
    follower = next(name for name in NAMES if name != leader)
    third = next(n for n in NAMES if n not in (leader, follower))
    admin = _admin(running, third)
    yield "| edits a second | leader % of a core | follower % of a core"
    yield "| --- | --- | ---"
    points = []
    for rate in (0.0, 2.0, 5.0, 10.0):
        before = [_cpu_s(running.processes[n]) for n in (leader, follower)]
        start_s = time.monotonic()
        count = 0
        while time.monotonic() - start_s < duration_s:
            if rate:
                count += 1
                _edit(admin, count)
                due_s = start_s + count / rate
                time.sleep(max(0.0, due_s - time.monotonic()))
            else:
                time.sleep(duration_s)
        took_s = time.monotonic() - start_s
        after = [_cpu_s(running.processes[n]) for n in (leader, follower)]
        shares = [(b - a) / took_s for a, b in zip(before, after, strict=True)]
        points.append((count / took_s, *shares))
        yield (
            f"| {count / took_s:.1f} | {shares[0] * 100:.2f} "
            f"| {shares[1] * 100:.2f}"
        )
    for column, name in ((1, "leader"), (2, "follower")):
        slope_s = _slope([(p[0], p[column]) for p in points])
        percent = 100 * slope_s * EDITS_A_DAY / DAY_S
        yield (
            f"{name}: {slope_s * 1e3:.2f} ms of CPU an edit; at "
            f"{EDITS_A_DAY} edits a day {percent:.4f} % of a core above idle"
        )


def _edit(admin: admin_client.AdminClient, count: int) -> None:
    share = 0.1 + (count % 200) / 1_000
    base = admin.get("/v1/document")["revision"]
    admin.edit(
        {
            "edit_id": f"bench-{time.monotonic()}",
            "base_revision": base,
            "replacements": {
                "tier:race": f"rank = 0\nreserved_share = {share}\n"
            },
        }
    )


def _slope(points: list[tuple[float, float]]) -> float:
    """Returns the least-squares slope."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def main() -> None:
    """Runs all measurements and prints them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=6.0)
    duration_s = parser.parse_args().duration_s
    loop = loop_module.LoopThread()
    loop.start()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        with deployment.Deployment(_plan(), path) as running:
            _leader(running)
            time.sleep(2)
            ledger = _ledger(running, loop)
            for line in _measure_delays(running, ledger, duration_s):
                print(line, flush=True)
            for line in _measure_failover(running, ledger):
                print(line, flush=True)
            for line in _measure_edits(running, duration_s * 2):
                print(line, flush=True)
    loop.stop()


if __name__ == "__main__":
    main()
