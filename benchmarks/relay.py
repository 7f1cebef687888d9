"""Cost of relaying: CPU, rate and memory of one entry.

One real control process, one entry and stand-in engines run on loopback. The
entry's CPU time is read from ``/proc/<pid>/stat``. In the same run the callers
also connect to the stand-ins directly, which separates the cost of the entry
from that of the callers and the stand-ins.

Run as ``python -m benchmarks.relay``.
"""

import argparse
import dataclasses
import json
import pathlib
import tempfile
import threading
import time

import pycurl

from tools import deployment
from tools import process_cost

__all__ = ["Load", "Measurement", "main", "measure"]

BYTES_PER_MIB = 1 << 20

DOCUMENT = """
[tier:one]
rank = 0

[class:question]
tier = one
target_first_token_s = 5
target_total_s = 120

[workspace:bench]
key_sha256 = {key_sha256}
classes = question

[service:writer]
kind = engine
slots_per_endpoint = 200
endpoints.a = {endpoints}

[model:m]
service = writer

[policies]

[owner:operations]
token_sha256 = {key_sha256}
sections = *
"""
KEY_SHA256 = "b0962662e937d44c699c8305d90cbf190b3150c59b13863d1380b5cc3c711bb7"
KEY = "bench-key"
TOKEN_S = 0.026
ENGINES = 6
WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of the callers.

    Attributes:
        callers: Concurrent callers; each sends again after every answer.
        tokens: Length of each answer.
    """

    name: str
    callers: int
    tokens: int
    stream: bool
    token_s: float


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Measurements of one load.

    Attributes:
        cpu_s: CPU time of the entry; 0 for direct connections.
    """

    wall_s: float
    cpu_s: float
    requests: int
    chunks: int
    first_token_p95_s: float
    gap_p95_s: float


class _Caller:
    """One caller in a closed loop; run by `_run_callers`."""

    def __init__(self, url: str, load: Load, first_answer_share: float):
        self.first_s: list[float] = []
        self.gaps_s: list[float] = []
        self.requests = 0
        self.chunks = 0
        self._sent_s = 0.0
        self._last_s: float | None = None
        self._load = load
        self.easy = pycurl.Curl()
        self.easy.setopt(pycurl.URL, url + "/v1/chat/completions")
        # The first answers differ in length, so that the callers don't all
        # send again at the same time.
        self._set_body(max(1, round(load.tokens * first_answer_share)))
        self.easy.setopt(
            pycurl.HTTPHEADER,
            [f"Authorization: Bearer {KEY}", "Expect:"],
        )
        self.easy.setopt(pycurl.FRESH_CONNECT, 1)
        self.easy.setopt(pycurl.NOSIGNAL, 1)
        self.easy.setopt(pycurl.NOPROXY, "*")
        self.easy.setopt(pycurl.WRITEFUNCTION, self._on_body)

    def _set_body(self, tokens: int) -> None:
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": "x" * 400}],
            "stream": self._load.stream,
            "standin_tokens": tokens,
        }
        self.easy.setopt(pycurl.POSTFIELDS, json.dumps(body))

    def begin(self) -> None:
        if self.requests:
            self._set_body(self._load.tokens)
        self._sent_s = time.monotonic()
        self._last_s = None

    def _on_body(self, data: bytes) -> None:
        now_s = time.monotonic()
        if self._last_s is None:
            self.first_s.append(now_s - self._sent_s)
        else:
            self.gaps_s.append(now_s - self._last_s)
        self._last_s = now_s
        self.chunks += data.count(b"data: {")


def _run_callers(callers: list[_Caller], until_s: float) -> None:
    multi = pycurl.CurlMulti()
    by_easy = {caller.easy: caller for caller in callers}
    for caller in callers:
        caller.begin()
        multi.add_handle(caller.easy)
    while time.monotonic() < until_s:
        multi.select(0.1)
        while multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
            pass
        _, done, failed = multi.info_read()
        if failed:
            raise RuntimeError(f"a request failed: {failed[0][1:]}")
        for easy in done:
            status = easy.getinfo(pycurl.RESPONSE_CODE)
            if status != 200:
                raise RuntimeError(
                    f"a request was answered with status {status}"
                )
            caller = by_easy[easy]
            caller.requests += 1
            multi.remove_handle(easy)
            caller.begin()
            multi.add_handle(easy)
    for caller in callers:
        multi.remove_handle(caller.easy)
        caller.easy.close()
    multi.close()


def _p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * (len(values) - 1))] if values else 0.0


def measure(
    urls: list[str], pid: int | None, load: Load, seconds: float
) -> Measurement:
    """Runs a load against some URLs and measures it.

    Args:
        urls: URLs over which the callers are spread in turn.
        pid: Process whose CPU time is read, or None.
        load: Requests of the callers.
        seconds: Length of the measured part, after `WARM_UP_S`.
    """
    callers = [
        _Caller(urls[number % len(urls)], load, (number + 1) / load.callers)
        for number in range(load.callers)
    ]
    end_s = time.monotonic() + WARM_UP_S + seconds
    thread = threading.Thread(target=_run_callers, args=(callers, end_s))
    thread.start()
    time.sleep(WARM_UP_S)
    for caller in callers:
        caller.first_s.clear()
        caller.gaps_s.clear()
    before = _totals(callers)
    cpu_s = process_cost.cpu_s(pid) if pid else 0.0
    start_s = time.monotonic()
    time.sleep(max(0.0, end_s - start_s - 0.05))
    wall_s = time.monotonic() - start_s
    cpu_s = process_cost.cpu_s(pid) - cpu_s if pid else 0.0
    after = _totals(callers)
    thread.join()
    return Measurement(
        wall_s,
        cpu_s,
        after[0] - before[0],
        after[1] - before[1],
        _p95([value for caller in callers for value in caller.first_s]),
        _p95([value for caller in callers for value in caller.gaps_s]),
    )


def _totals(callers: list[_Caller]) -> tuple[int, int]:
    requests = sum(caller.requests for caller in callers)
    return requests, sum(caller.chunks for caller in callers)


def _row(name: str, route: str, measured: Measurement) -> str:
    per_chunk = "-"
    if measured.chunks:
        per_chunk = f"{1e6 * measured.cpu_s / measured.chunks:.0f}"
    return (
        f"| {name} | {route} | {measured.requests / measured.wall_s:.0f} "
        f"| {measured.chunks / measured.wall_s:.0f} "
        f"| {100 * measured.cpu_s / measured.wall_s:.0f}% "
        f"| {1e6 * measured.cpu_s / max(measured.requests, 1):.0f} "
        f"| {per_chunk} "
        f"| {1e3 * measured.first_token_p95_s:.1f} "
        f"| {1e3 * measured.gap_p95_s:.1f} |"
    )


def _plan() -> deployment.Plan:
    endpoints = ", ".join(f"10.0.0.{n}:80" for n in range(1, ENGINES + 1))
    return deployment.Plan(
        document=DOCUMENT.format(key_sha256=KEY_SHA256, endpoints=endpoints),
        entries={"a": ["entry-1"]},
        controls={"a": ["control-1"]},
        engine_options=("--slots", "200", "--token-s", str(TOKEN_S)),
    )


LOADS = (
    Load("plain answers", 16, 1, False, 0.0),
    Load("short streams, one caller", 1, 5, True, 0.0),
    Load("short streams", 16, 5, True, 0.0),
    Load("long streams, unpaced", 16, 400, True, 0.001),
    Load("target size", 170, 340, True, TOKEN_S),
)


def main() -> None:
    """Prints one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(_plan(), pathlib.Path(folder)) as running,
    ):
        entry = running.entries["entry-1"]
        engines = [f"http://{e}" for e in running.engines["writer"]]
        pid = running.processes["entry-1"].pid
        idle_mib = process_cost.memory_bytes(pid) / BYTES_PER_MIB
        print(f"idle entry: {idle_mib:.0f} MiB resident\n")
        print(
            "| load | way | requests/s | tokens/s | entry CPU | us a request "
            "| us a token | first token p95 ms | gap p95 ms |"
        )
        print("| --- " * 9 + "|")
        for load in LOADS:
            _set_token_time(engines, load.token_s)
            direct = measure(engines, None, load, options.seconds)
            print(_row(load.name, "direct", direct), flush=True)
            via_entry = measure([entry], pid, load, options.seconds)
            print(_row(load.name, "entry", via_entry), flush=True)
        busy_mib = process_cost.memory_bytes(pid) / BYTES_PER_MIB
        print(f"\nbusy entry: {busy_mib:.0f} MiB resident")


def _set_token_time(engines: list[str], token_s: float) -> None:
    for engine in engines:
        easy = pycurl.Curl()
        easy.setopt(pycurl.URL, f"{engine}/standin/behaviour")
        easy.setopt(pycurl.NOPROXY, "*")
        easy.setopt(pycurl.POSTFIELDS, json.dumps({"token_s": token_s}))
        easy.setopt(pycurl.WRITEFUNCTION, lambda _: None)
        easy.perform()
        easy.close()


if __name__ == "__main__":
    main()
