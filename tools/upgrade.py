"""Replaces the processes of a running deployment by those of another build.

The deployment starts with the old build and writes its data folders and
settings. Under load, its control processes and entries are then replaced one
by one, so that processes of both builds exchange gossip, placement calls and
log messages; the log has a leader of each build once. Last, all of it starts
again with the new build on the same folders. After each step the document,
its history and the ledger have to read the same from every control process.

Example:
    python -m tools.upgrade --old old/cardamombarrow --new dist/cardamombarrow
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
import threading
import time
import typing

from cardamombarrow.admin import client
from cardamombarrow.document import parsing
from cardamombarrow.kernel import errors
from tools import caller
from tools import demo
from tools import deployment
from tools import editor
from tools import load

__all__ = ["main"]

TOKEN = "operations-token"
LOAD_SHARE = 0.2
"""Part of the demo's load, so that no request has to be refused."""

ELECTION_S = 3.0
LEADER_TRIES = 6
WORKSPACE, KEY = "groomers-north", "upgrade-1"
LOAD_S = 5.0
MIXED_S = 5.0
"""How long entries of both builds serve beside one another."""

_ROOT = pathlib.Path(__file__).resolve().parent.parent


class _Deployment(deployment.Deployment):
    """A deployment whose processes are replaced by those of another build."""

    def __init__(
        self,
        plan: deployment.Plan,
        folder: pathlib.Path,
        old: pathlib.Path,
        new: pathlib.Path,
    ):
        super().__init__(plan, folder)
        self._old = old
        self._new = new
        self._replaced: set[str] = set()

    def start_instance(self, name: str) -> None:
        """Starts a process with the build that it has come to."""
        build = self._new if name in self._replaced else self._old
        self._command = (sys.executable, str(build))
        super().start_instance(name)

    def replace(self, name: str) -> None:
        """Restarts a process with the new build."""
        self._replaced.add(name)
        self.restart(name)

    def restart(self, name: str) -> None:
        """Ends a process as an operator would, and starts it again."""
        self.signal(name, signal.SIGTERM)
        self.processes[name].wait(30)
        self.start_instance(name)
        self.wait_ready(name)

    def admin(self, name: str) -> client.AdminClient:
        """Returns a client of one control process."""
        return client.AdminClient([self.controls[name]], TOKEN)

    def _leads(self, name: str) -> bool:
        try:
            status = self.admin(name).get("/v1/status")["log"]
        except errors.RouterError:
            return False
        return status["role"] == "leader"

    def leader(self) -> str:
        """Returns the control process that leads the log, once there is one."""
        found: list[str] = []

        def is_known() -> bool:
            found[:] = [n for n in self.controls if self._leads(n)]
            return len(found) == 1

        if not deployment.wait_until(is_known):
            raise RuntimeError(f"leaders of the log: {found}")
        return found[0]

    def make_leader(self, name: str) -> bool:
        """Has a process elected; returns whether it came to lead."""
        for _ in range(LEADER_TRIES):
            leader = self.leader()
            if leader == name:
                return True
            self.signal(leader, signal.SIGTERM)
            self.processes[leader].wait(30)
            (other,) = set(self.controls) - {leader, name}
            # Paused, the other follower is the later one to ask for votes.
            self.signal(other, signal.SIGSTOP)
            time.sleep(ELECTION_S)
            self.signal(other, signal.SIGCONT)
            self.leader()
            self.start_instance(leader)
            self.wait_ready(leader)
        return False


class _Check:
    """Compares what control processes hold, and collects their log lines."""

    def __init__(self, running: _Deployment):
        self._running = running
        self._editor = editor.Editor(list(running.controls.values()), TOKEN)
        self._share = 0.1
        self.failures: list[str] = []

    def edit(self) -> None:
        """Changes the document, which a process of either build then reads."""
        self._share += 0.01
        self._editor.edit_share(self._share)

    def step(self, title: str) -> None:
        """Compares the control processes with one another; makes an edit."""
        self.edit()
        answer = self._call()
        if answer.status != 200:
            self.failures.append(f"{title}: answer of the ledger: {answer}")
        states: dict[str, dict[str, typing.Any]] = {}

        def is_same() -> bool:
            # A process that has just started catches up first.
            try:
                for name in self._running.controls:
                    states[name] = self._state(name)
            except errors.RouterError:
                return False
            first, *others = states.values()
            return all(other == first for other in others)

        if not deployment.wait_until(is_same):
            self.failures.append(f"{title}: control processes differ: {states}")
        revision = self._running.admin(self._running.leader()).get(
            "/v1/status"
        )["revision"]
        print(f"{title}: revision {revision}, leader {self._running.leader()}")

    def _call(self) -> caller.CallerAnswer:
        """Sends one idempotency key again; the ledger holds its answer."""
        url = next(iter(self._running.entries.values()))
        path = "trail-desk/sign-off"
        return caller.service(url, WORKSPACE, path, body=b"1", key=KEY)

    def state(self) -> dict[str, typing.Any]:
        """Returns what the leader holds."""
        return self._state(self._running.leader())

    def _state(self, name: str) -> dict[str, typing.Any]:
        admin = self._running.admin(name)
        return {
            "document": admin.get("/v1/document"),
            "history": admin.get("/v1/history"),
            "ledger": admin.get("/v1/ledger", workspace=WORKSPACE, key=KEY),
        }

    def read_logs(self) -> None:
        """Prints events above the level INFO, and tracebacks, by count."""
        counts: collections.Counter[str] = collections.Counter()
        for name in (*self._running.controls, *self._running.entries):
            for line in self._running.log(name).splitlines():
                role = name.partition("-")[0]
                try:
                    record = json.loads(line)
                except ValueError:
                    # Of a traceback the first and the last line tell enough.
                    if line.startswith(" "):
                        continue
                    counts[f"{role}: not a log line: {line}"] += 1
                    continue
                if record.get("level") not in ("INFO", "DEBUG"):
                    event = f"{record.get('level')} {record.get('event')}"
                    counts[f"{role}: {event}"] += 1
                if record.get("level") in ("ERROR", "CRITICAL"):
                    self.failures.append(line)
        for text, count in sorted(counts.items()):
            print(f"  {count:>5} {text}")


def _replace_controls(running: _Deployment, check: _Check) -> None:
    """Replaces control processes, with a leader of each build in between."""
    old_leader = running.leader()
    first, last = (name for name in running.controls if name != old_leader)
    running.replace(first)
    check.step("one follower is new, the leader is old")
    if running.make_leader(first):
        check.step("the leader is new, its followers are old")
    else:
        check.failures.append("the new process never led the old ones")
    for name in (last, old_leader):
        running.replace(name)
    check.step("all control processes are new")


def _replace_entries(running: _Deployment, check: _Check) -> None:
    """Replaces the entries, first one in each failure domain."""
    names = sorted(running.entries, key=lambda name: name.rpartition("-")[2])
    for count, name in enumerate(names, 1):
        running.replace(name)
        if count == len(names) // 2:
            time.sleep(MIXED_S)
            check.step("half of the entries are new")
    check.step("all entries are new")


def _restart_all(running: _Deployment, check: _Check) -> None:
    """Starts the whole deployment again on the folders of the old build."""
    before = check.state()
    names = [*running.controls, *running.entries]
    for name in names:
        running.signal(name, signal.SIGTERM)
    for name in names:
        running.processes[name].wait(30)
        running.start_instance(name)
    for name in names:
        running.wait_ready(name)
    if check.state() != before:
        check.failures.append(f"after the restart: {check.state()}")
    check.step("all started again")


def _run_load(running: _Deployment, text: str, stopped: threading.Event):
    loads = [
        dataclasses.replace(item, rate_per_s=item.rate_per_s * LOAD_SHARE)
        for item in demo.mixed_load(parsing.parse(text))
    ]
    urls = list(running.entries.values())
    while not stopped.is_set():
        result = load.Load(loads, urls).run(LOAD_S)
        print("\n".join(load.table(result)))


def _steps(running: _Deployment, check: _Check) -> None:
    check.step("all processes are old")
    _replace_controls(running, check)
    _replace_entries(running, check)


def main() -> int:
    """Runs the steps; returns 1 where one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=pathlib.Path, required=True)
    parser.add_argument("--new", type=pathlib.Path, required=True)
    options = parser.parse_args()
    text = (_ROOT / "examples" / "kandula.ini").read_text()
    stopped = threading.Event()
    with tempfile.TemporaryDirectory() as folder:
        running = _Deployment(
            demo.plan(text),
            pathlib.Path(folder),
            options.old.resolve(),
            options.new.resolve(),
        )
        with running:
            check = _Check(running)
            loading = threading.Thread(
                target=_run_load, args=(running, text, stopped)
            )
            loading.start()
            try:
                _steps(running, check)
            finally:
                stopped.set()
                loading.join()
            _restart_all(running, check)
        check.read_logs()
    print("\n".join(check.failures) or "no failure")
    return 1 if check.failures else 0


if __name__ == "__main__":
    sys.exit(main())
