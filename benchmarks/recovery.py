"""Time from power-on to the first request served, and without a leader.

``python -m benchmarks.recovery`` starts three control processes and three
entries in three failure domains on loopback, with the settings of `deploy/`.
For the first table it kills all of them and starts them again on their data
folders; for the second one it cuts off or freezes the leader. The list of
servers and the server itself are threads of the benchmark.

Notes:
    A cut concerns the links between control processes. It drops messages in
    the named direction and leaves connections open, as a lossy network does.
"""

import argparse
import collections
from collections import abc
from concurrent import futures
import contextlib
import datetime
import enum
from http import server
import json
import pathlib
import signal
import statistics
import tempfile
import threading
import time

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import deployment

__all__ = ["Cut", "main"]

RUNS = 8
SETTLE_S = 3.0
"""Time before each power loss and cut, in which all links are connected."""

LOG_S = 2.0
"""Time after the first requests in which the last steps are logged."""

REQUEST_LIMIT_S = 5.0
REQUEST_PAUSE_S = 0.02
TIMEOUT_S = 20.0
DOMAINS = ("domain-a", "domain-b", "domain-c")
CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2", "entry-3")
HOST = "one.example"

_MODULE = "cardamombarrow.platform"
_PLUGINS = {
    "entry": ("caller", "configuration", "listing", "servers"),
    "control": ("configuration", "duties", "listing", "operator"),
}
_STEPS = (
    ("control process started", "control", "control starts"),
    ("leader known", "control", "leader known"),
    ("entry process started", "entry", "entry starting"),
    ("document in force", "entry", "document in force"),
    ("list of endpoints read", "entry", "endpoints"),
    ("document confirmed", "entry", "document confirmed"),
    ("placer found", "entry", "asks"),
)
"""Steps, with the role and the event or decision that logs each."""


class Cut(enum.Enum):
    """How the leader is separated from the other control processes."""

    INBOUND = "inbound"
    OUTBOUND = "outbound"
    BOTH = "both"
    FROZEN = "frozen"


class _Server(server.BaseHTTPRequestHandler):
    """A server with its list; answers every request at once."""

    protocol_version = "HTTP/1.1"
    port = 0

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing."""

    def do_GET(self) -> None:
        """Answers with the list of servers."""
        listed = {
            "id": "server-1",
            "address": f"127.0.0.1:{self.port}",
            "service": "letters",
            "zone": DOMAINS[0],
            "state": "ready",
            "slots": 64,
        }
        self._answer(json.dumps({"instances": [listed]}).encode())

    def do_POST(self) -> None:
        """Answers a request."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self._answer(b"{}")

    def _answer(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Attempt-Id", self.headers.get("Attempt-Id", ""))
        self.send_header("Server-Seal", "sealed")
        self.end_headers()
        self.wfile.write(body)


@contextlib.contextmanager
def _serve() -> abc.Iterator[int]:
    listener = server.ThreadingHTTPServer(("127.0.0.1", 0), _Server)
    _Server.port = listener.server_address[1]
    thread = threading.Thread(target=listener.serve_forever, daemon=True)
    thread.start()
    try:
        yield _Server.port
    finally:
        listener.shutdown()
        listener.server_close()


def _configuration() -> bytes:
    route = {
        "name": "letter",
        "host": HOST,
        "pathPrefix": "/",
        "routeKind": "idempotent",
        "timeoutMs": 5_000,
        "latencyGoalMs": 600,
        "priority": 1,
        "service": "letters",
        "maxAttempts": 2,
        "anonymous": True,
    }
    return json.dumps(
        {
            "version": 1,
            "routes": [route],
            "services": [{"name": "letters"}],
            "tenants": [],
        }
    ).encode()


class _Deployment(deployment.Deployment):
    """Control processes and entries with the settings of `deploy/`."""

    def __init__(self, folder: pathlib.Path, port: int):
        url = f"http://127.0.0.1:{port}/instances"
        plan = deployment.Plan(
            document="",
            entries={d: [n] for d, n in zip(DOMAINS, ENTRIES, strict=True)},
            controls={d: [n] for d, n in zip(DOMAINS, CONTROLS, strict=True)},
            standins=False,
            report_interval_s=1.0,
            entry_extra={
                "calls": "protocol = platform\ndrain_notice_s = 0\n",
                "document": "confirmed_within_s = 3.5\n",
                "platform": (
                    "discovery = platform\nlisting_interval_s = 1.2\n"
                    "listing_shared = yes\n"
                ),
            },
            control_extra=(
                "tended = yes\ntolerated_losses = 1\n"
                "[operators]\nprotocol = platform\n"
            ),
            proxied=True,
        )
        super().__init__(plan, folder)
        self.listing_url = url

    def _start(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._write_controls(self._folder / "none")
        self._write_entries()
        for name in (*CONTROLS, *ENTRIES):
            self._adapt_settings(name)
            self.start_instance(name)
        if not deployment.wait_until(self._put_configuration):
            raise RuntimeError(self.log(CONTROLS[0]))

    def _adapt_settings(self, name: str) -> None:
        role, path = self._settings[name]
        plugins = ", ".join(f"{_MODULE}.{each}" for each in _PLUGINS[role])
        lines = [
            line
            for line in path.read_text().splitlines()
            if not line.startswith("first_document")
        ]
        lines.insert(1, f"plugins = {plugins}")
        path.write_text("\n".join(lines) + "\n")

    def _put_configuration(self) -> bool:
        try:
            reply = http_get.fetch(
                self.controls[CONTROLS[0]] + "/configuration",
                timeout_s=5,
                method="PUT",
                body=_configuration(),
            )
        except errors.EndpointError:
            return False
        return reply.status == 200

    def power_cycle(self) -> tuple[float, dict[str, int]]:
        """Kills all processes and starts them again.

        Returns:
            The Unix time of the start, and the length of each log before it.
        """
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        lengths = {name: len(self.log(name)) for name in self.processes}
        start_unix_s = time.time()
        for name in (*CONTROLS, *ENTRIES):
            self.start_instance(name)
        return start_unix_s, lengths

    def leader(self) -> str:
        """Returns the control process that the others follow, from the logs."""
        latest = max(
            (
                record
                for name in CONTROLS
                for record in _records(self.log(name))
                if record["event"] == "leader known"
            ),
            key=lambda record: record["term"],
        )
        return latest["leader"].partition(".")[0]


def _records(log: str) -> list[dict]:
    return [
        json.loads(line) for line in log.splitlines() if line.startswith("{")
    ]


def _unix_s(record: dict) -> float:
    return datetime.datetime.fromisoformat(record["time"]).timestamp()


def _request(url: str, number: int) -> int:
    """Sends one request; returns its status, 0 for no connection."""
    try:
        return http_get.fetch(
            url + "/letter",
            timeout_s=REQUEST_LIMIT_S,
            method="POST",
            headers=(
                f"Host: {HOST}",
                f"Attempt-Id: attempt-{number}",
                f"Deadline-Ms: {REQUEST_LIMIT_S * 1_000:.0f}",
            ),
            body=b"{}",
        ).status
    except errors.EndpointError:
        return 0


def _send_until_served(url: str) -> tuple[float, collections.Counter]:
    """Returns the Unix time of the first success and all earlier statuses."""
    statuses: collections.Counter = collections.Counter()
    deadline_s = time.monotonic() + TIMEOUT_S
    number = 0
    while time.monotonic() < deadline_s:
        number += 1
        status = _request(url, number)
        if status == 200:
            return time.time(), statuses
        statuses[status] += 1
        time.sleep(REQUEST_PAUSE_S)
    raise RuntimeError(f"no request served at {url}: {statuses}")


def _step_times(
    running: _Deployment, start_unix_s: float, lengths: dict[str, int]
) -> dict[str, float]:
    """Returns the time at which the last instance logged each step first."""
    times = {}
    names = {"control": CONTROLS, "entry": ENTRIES}
    for title, role, event in _STEPS:
        first = []
        for name in names[role]:
            records = _records(running.log(name)[lengths[name] :])
            found = (
                _unix_s(record) - start_unix_s
                for record in records
                if event in (record["event"], record.get("decision"))
            )
            first.append(next(found, float("nan")))
        times[title] = max(first)
    return times


def measure_start(running: _Deployment) -> tuple[dict[str, float], int]:
    """Returns the time of each step after a power loss, and the refusals."""
    start_unix_s, lengths = running.power_cycle()
    with futures.ThreadPoolExecutor(len(ENTRIES)) as pool:
        served = list(pool.map(_send_until_served, running.entries.values()))
    time.sleep(LOG_S)
    times = _step_times(running, start_unix_s, lengths)
    moments = [unix_s - start_unix_s for unix_s, _ in served]
    times["first request served, first entry"] = min(moments)
    times["first request served, last entry"] = max(moments)
    times["of it after the last process started"] = max(moments) - max(
        times["control process started"], times["entry process started"]
    )
    refused = sum(
        count
        for _, statuses in served
        for status, count in statuses.items()
        if status
    )
    return times, refused


def _apply(running: _Deployment, cut: Cut, leader: str) -> None:
    if cut is Cut.FROZEN:
        running.signal(leader, signal.SIGSTOP)
        return
    for (source, name), link in running.proxy.links.items():
        if source not in CONTROLS or name not in CONTROLS:
            continue
        is_cut = (cut is not Cut.OUTBOUND and name == leader) or (
            cut is not Cut.INBOUND and source == leader
        )
        if is_cut:
            link.silence(new_too=True)


def _first_commit_s(running: _Deployment, name: str, start_s: float) -> float:
    """Returns when a control process has confirmed its state again."""
    while time.monotonic() - start_s < TIMEOUT_S:
        with contextlib.suppress(errors.EndpointError):
            url = running.controls[name] + "/configuration"
            if http_get.fetch(url, timeout_s=TIMEOUT_S).status == 200:
                return time.monotonic() - start_s
        time.sleep(REQUEST_PAUSE_S)
    return float("inf")


def measure_cut(running: _Deployment, cut: Cut) -> tuple[float, float]:
    """Returns the times until another leader is known and commits."""
    leader = running.leader()
    others = [name for name in CONTROLS if name != leader]
    lengths = {name: len(running.log(name)) for name in others}
    start_s, start_unix_s = time.monotonic(), time.time()
    _apply(running, cut, leader)
    with futures.ThreadPoolExecutor(len(others)) as pool:
        committed_s = min(
            pool.map(
                lambda name: _first_commit_s(running, name, start_s), others
            )
        )
    time.sleep(0.2)
    known_unix_s = min(
        _unix_s(record)
        for name in others
        for record in _records(running.log(name)[lengths[name] :])
        if record["event"] == "leader known"
        and record["leader"].partition(".")[0] != leader
    )
    if cut is Cut.FROZEN:
        running.signal(leader, signal.SIGCONT)
    for link in running.proxy.links.values():
        link.restore()
    return known_unix_s - start_unix_s, committed_s


def _print_row(title: str, values: abc.Sequence[float]) -> None:
    cells = (statistics.median(values), min(values), max(values))
    print(
        f"| {title} | " + " | ".join(f"{cell:.2f}" for cell in cells) + " |",
        flush=True,
    )


def _print_starts(running: _Deployment, runs: int) -> None:
    starts, refused = [], []
    for _ in range(runs):
        time.sleep(SETTLE_S)
        times, count = measure_start(running)
        starts.append(times)
        refused.append(count)
    print(f"\nAfter a power loss of all processes, {runs} runs, s\n")
    print("| step, at the last instance | median | min | max |")
    print("| --- | --- | --- | --- |")
    for title in starts[0]:
        _print_row(title, [times[title] for times in starts])
    print(f"\nrequests refused in the runs: {refused}")


def _print_cuts(running: _Deployment, runs: int) -> None:
    print(f"\nWithout a leader, {runs} runs each, s\n")
    print("| cut of the leader | median | min | max |")
    print("| --- | --- | --- | --- |")
    for cut in Cut:
        rows = []
        for _ in range(runs):
            time.sleep(SETTLE_S)
            rows.append(measure_cut(running, cut))
        _print_row(f"{cut.value}: leader known", [row[0] for row in rows])
        _print_row(f"{cut.value}: next commit", [row[1] for row in rows])


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=RUNS)
    parser.add_argument("--folder", type=pathlib.Path, default=None)
    parser.add_argument(
        "--only", choices=("start", "cut"), default=None, help="one table only"
    )
    arguments = parser.parse_args()
    with (
        tempfile.TemporaryDirectory(dir=arguments.folder) as folder,
        _serve() as port,
        _Deployment(pathlib.Path(folder), port) as running,
    ):
        for url in running.entries.values():
            _send_until_served(url)
        if arguments.only != "cut":
            _print_starts(running, arguments.runs)
        if arguments.only != "start":
            _print_cuts(running, arguments.runs)


if __name__ == "__main__":
    main()
