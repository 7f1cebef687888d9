"""What all cases share: a fleet with servers, a judgement and an exit code."""

from collections import abc
import itertools
import os
import pathlib
import sys
import tempfile
import threading
import time
import traceback
import typing

from review.scene import fleet as fleet_module
from review.scene import servers as servers_module
from review.scene import wire

__all__ = ["LEAD_S", "Scene", "Sent", "main"]

LEAD_S = 12.0
"""Traffic starts this long after the machines do (SYSTEM.md)."""

HOST = "h.example"
KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "desk"
TIMEOUT_MS = 2_000


class Sent(typing.NamedTuple):
    """A request of a consumer and its answer."""

    attempt: str
    at_s: float
    entry: str
    answer: wire.Answer


class Scene:
    """A small deployment: 3 control processes, 7 entries, 3 servers.

    Attributes:
        trouble: Whether the disruption is played.
        runs: What the servers have run.
        sent: The requests of consumers.
    """

    def __init__(
        self, folder: pathlib.Path, *, trouble: bool, entries: int = 7
    ):
        self.trouble = trouble
        self.record = fleet_module.Record(folder / "record.txt")
        self.record(f"TROUBLE={int(trouble)}")
        self._folder = tempfile.TemporaryDirectory()
        self.servers: list[servers_module.Server] = []
        self.fleet = fleet_module.Fleet(
            pathlib.Path(self._folder.name),
            self.record,
            lambda: servers_module.instances(self.servers),
            entries=entries,
        )
        self.runs: list[servers_module.Run] = []
        self.sent: list[Sent] = []
        self.begin_s = time.monotonic()
        self._numbers = itertools.count(1)
        for number, zone in enumerate(fleet_module.ZONES):
            self.servers.append(
                servers_module.Server(
                    SERVICE,
                    f"i-{number:08x}",
                    f"{self.fleet.ip(100 + number)}:{self.fleet.port()}",
                    zone,
                    self.on_run,
                )
            )

    def use_servers(self, kind: type[servers_module.Server]) -> None:
        """Replaces the servers, before the start, by those of another kind."""
        for number, each in enumerate(self.servers):
            each.close()
            self.servers[number] = kind(
                each.service,
                each.identity,
                f"{self.fleet.ip(100 + number)}:{self.fleet.port()}",
                each.zone,
                self.on_run,
                slots=64,
            )

    def on_run(self, run: servers_module.Run) -> None:
        """Records what a server runs."""
        attempt = run.request.headers.get("attempt-id", "")
        self.runs.append(run)
        self.record(f"{run.server} runs {attempt} {run.request.target}")

    @property
    def elapsed_s(self) -> float:
        """Time since the machines were started."""
        return time.monotonic() - self.begin_s

    def start(self) -> None:
        """Starts all machines."""
        self.begin_s = time.monotonic()
        self.fleet.start()

    def sleep_until(self, at_s: float) -> None:
        """Waits until a time after the start."""
        time.sleep(max(at_s - self.elapsed_s, 0.0))

    def route(
        self, name: str, prefix: str, kind: str = "idempotent"
    ) -> dict[str, typing.Any]:
        """Returns a route of a config."""
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeKind": kind,
            "timeoutMs": TIMEOUT_MS,
            "latencyGoalMs": 225,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 2,
            "anonymous": False,
            "sticky": False,
            "resumable": False,
        }

    def config(
        self, version: int, routes: list[dict[str, typing.Any]]
    ) -> dict[str, typing.Any]:
        """Returns a config."""
        return {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": self.servers[0].health_path,
                    "maxConns": 100,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
        }

    def attempt(self) -> str:
        """Returns the id of another attempt of a consumer."""
        return f"{next(self._numbers):016x}"

    def send(
        self,
        entry: fleet_module.Machine,
        path: str,
        method: str = "GET",
        body: bytes = b"",
    ) -> wire.Answer:
        """Sends one request as a consumer does."""
        attempt = self.attempt()
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(TIMEOUT_MS),
            "Authorization": f"Token {KEY}",
        }
        at_s = self.elapsed_s
        answer = wire.exchange(
            self.fleet.frontend(entry),
            method,
            path,
            headers,
            body,
            timeout_s=TIMEOUT_MS / 1_000 + 0.5,
        )
        self.sent.append(Sent(attempt, at_s, entry.name, answer))
        self.record(
            f"consumer sends {attempt} {method} {path} to {entry.name}: "
            f"{answer.status} {answer.end} {answer.body[:120]!r}"
        )
        return answer

    def traffic(self, path: str, until_s: float, gap_s: float = 0.25) -> None:
        """Sends requests to all entries in turn, until a time."""
        threads = []
        for entry in itertools.cycle(self.fleet.of_role("entry")):
            if self.elapsed_s >= until_s:
                break
            thread = threading.Thread(target=self.send, args=(entry, path))
            thread.start()
            threads.append(thread)
            time.sleep(gap_s)
        for thread in threads:
            thread.join()

    def served(self, from_s: float = 0.0) -> int:
        """Counts the requests that were served, by when they were sent."""
        return sum(
            each.answer.status == 200 and each.answer.is_complete
            for each in self.sent
            if each.at_s >= from_s
        )

    def close(self) -> None:
        """Ends everything that was started."""
        self.fleet.close()
        for server in self.servers:
            server.close()
        self._folder.cleanup()


def main(
    folder: pathlib.Path, play: abc.Callable[[Scene], list[str]]
) -> typing.NoReturn:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held.

    Args:
        folder: Where the record goes.
        play: Returns how the rule was broken; empty if it held.
    """
    scene = None
    code = 2
    try:
        scene = Scene(folder, trouble=os.environ.get("TROUBLE", "1") != "0")
        broken = play(scene)
        for line in broken:
            scene.record(f"BROKEN {line}")
        scene.record("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception:
        if scene is not None:
            scene.record(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
    finally:
        if scene is not None:
            scene.close()
    sys.exit(code)
