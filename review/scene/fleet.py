"""A small deployment on loopback, kept running as the platform does.

Every machine has a loopback address of its own, and the ports are the same on
all machines. The settings are filled in from the templates of the deploy file,
with the bounds of the site `kandula-grooming`. A process that ends is started
again after a short delay, with the settings in effect at that moment.
"""

from collections import abc
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import threading
import time
import tomllib
import typing

from review.scene import templates
from review.scene import wire

__all__ = ["Exit", "Fleet", "Machine", "Record", "wait_until"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESTART_DELAY_S = 0.5
STOP_S = 6.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 4000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 6000,
    "strictRevocation": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
    "recoverS": 12,
    "forwardMs": 400,
    "retryAfterS": 10,
}
ZONES = {
    "nuwara-a": "central-hills",
    "badulla-a": "uva-slopes",
    "ratnapura-a": "sabara-ridge",
}


def wait_until(
    condition: abc.Callable[[], bool], timeout_s: float, step_s: float = 0.05
) -> bool:
    """Waits until a condition is true; returns False after the timeout."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(step_s)
    return False


class Record:
    """The lines of a record, with the time since the start."""

    def __init__(self, path: pathlib.Path):
        self._begin_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            elapsed_s = time.monotonic() - self._begin_s
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()


@dataclasses.dataclass(frozen=True)
class Exit:
    """A process that has ended and is started again.

    Attributes:
        code: Negative if a signal has ended it.
        said: The last line that it wrote.
    """

    machine: str
    at_s: float
    code: int
    said: str


@dataclasses.dataclass
class Machine:
    """One machine and its process."""

    name: str
    role: str
    ip: str
    zone: str
    process: subprocess.Popen | None = None
    stopped: bool = False
    starts: int = 0
    ended_s: float | None = None


class Fleet:
    """Control processes, entries and the platform that keeps them running.

    Attributes:
        machines: By name.
        exits: Processes that ended and were not stopped by `end`.
        list_address: Where the platform's list is.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        listed: abc.Callable[[], bytes],
        entries: int = 3,
        controls: int = 3,
    ):
        self._folder = folder
        self._record = record
        self._listed = listed
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        first = random.randint(11_000, 30_000)
        self._ports = itertools.count(first)
        self._frontend, self._ready, self._control = (
            next(self._ports) for _ in range(3)
        )
        self._range = [next(self._ports), next(self._ports)]
        self.machines: dict[str, Machine] = {}
        self.exits: list[Exit] = []
        self._lock = threading.Lock()
        self._closed = False
        zones = itertools.cycle(ZONES)
        for number in range(controls):
            self._add("core", "control", number, next(zones), 10)
        zones = itertools.cycle(ZONES)
        for number in range(entries):
            self._add("edge", "entry", number, next(zones), 50)
        self.list_address = f"{self._net}.5:{next(self._ports)}"
        self._list = wire.Listener(self.list_address, self._serve_list)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        self._watch = threading.Thread(target=self._watch_all, daemon=True)

    def _add(
        self, kind: str, role: str, number: int, zone: str, base: int
    ) -> None:
        name = f"{kind}-{zone}-{number + 1}"
        ip = f"{self._net}.{base + number}"
        self.machines[name] = Machine(name, role, ip, zone)

    def ip(self, host: int) -> str:
        """Returns another loopback address of this deployment."""
        return f"{self._net}.{host}"

    def port(self) -> int:
        """Returns a port that no machine uses."""
        return next(self._ports)

    def of_role(self, role: str) -> list[Machine]:
        """Returns the machines of a role."""
        return [each for each in self.machines.values() if each.role == role]

    def frontend(self, machine: Machine) -> str:
        """Returns where an entry serves consumers."""
        return f"{machine.ip}:{self._frontend}"

    def control(self, machine: Machine) -> str:
        """Returns where a control process serves the operator."""
        return f"{machine.ip}:{self._control}"

    def _serve_list(self, connection: typing.Any) -> None:
        rest = bytearray()
        while True:
            request = wire.read_request(lambda: connection.recv(65_536), rest)
            found = request.target.partition("?")[0] == "/instances"
            body = self._listed() if found else b"{}"
            connection.sendall(
                b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b"
                % (200 if found else 404, len(body), body)
            )

    def _fields(self, machine: Machine) -> dict[str, typing.Any]:
        is_core = machine.role == "control"
        ip = machine.ip
        listen = (
            {"controlPlane": f"{ip}:{self._control}"}
            if is_core
            else {
                "frontend": f"{ip}:{self._frontend}",
                "ready": f"{ip}:{self._ready}",
            }
        )
        seeds = [self.control(each) for each in self.of_role("control")]
        return {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": "core" if is_core else "edge",
            "serves": ["control" if is_core else "edge"],
            "ip": ip,
            "zone": machine.zone,
            "region": ZONES[machine.zone],
            "zones": ZONES,
            "listen": listen,
            "portRange": self._range,
            "seeds": seeds,
            "isBootstrap": machine.starts == 0,
            "isCounted": is_core,
            "dataDir": str(self._folder / machine.name) if is_core else None,
            "discovery": "cloud_api",
            "entry": "vip",
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "cloudApi": {
                "address": self.list_address,
                "ratePerS": 42.0,
                "duties": [],
                "maxLagMs": 800,
            },
        }

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the file with what a machine's processes have written."""
        return self._folder / f"{name}.log"

    def start(self) -> None:
        """Starts all processes and the platform's watch on them."""
        for machine in self.machines.values():
            self._start(machine)
        self._watch.start()

    def _start(self, machine: Machine) -> None:
        role = self._roles[machine.role]
        template = (ROOT / role["template"]).read_text()
        settings = self._folder / f"{machine.name}.ini"
        settings.write_text(templates.fill(template, self._fields(machine)))
        words = [
            str(settings) if each == "/etc/cardamombarrow/node.json" else each
            for each in role["run"].split(" ")
        ]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONUNBUFFERED": "1",
        }
        with self.log_path(machine.name).open("ab") as log:
            machine.process = subprocess.Popen(
                words, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        machine.starts += 1
        machine.ended_s = None
        self._record(f"platform starts {machine.name}")

    def _watch_all(self) -> None:
        while not self._closed:
            with self._lock:
                for machine in self.machines.values():
                    self._restart_if_ended(machine)
            time.sleep(0.05)

    def _restart_if_ended(self, machine: Machine) -> None:
        if machine.stopped or self._closed:
            return
        code = machine.process.poll()
        now_s = time.monotonic()
        if code is not None and machine.ended_s is None:
            machine.ended_s = now_s
            lines = self.log_path(machine.name).read_text().splitlines()
            said = lines[-1][:300] if lines else ""
            self.exits.append(Exit(machine.name, now_s, code, said))
            self._record(f"{machine.name} has ended, code {code}: {said}")
        if code is not None and now_s - machine.ended_s >= RESTART_DELAY_S:
            self._start(machine)

    def end(self, machine: Machine, number: signal.Signals) -> None:
        """Ends a process by a signal and keeps it down."""
        with self._lock:
            machine.stopped = True
            machine.process.send_signal(number)
            self._record(f"platform sends {number.name} to {machine.name}")
        machine.process.wait()

    def start_again(self, machine: Machine) -> None:
        """Starts a process that was ended."""
        with self._lock:
            self._start(machine)
            machine.stopped = False

    def replace(self, machine: Machine, host: int, after_s: float) -> Machine:
        """Removes a machine for good; an empty one comes at another address.

        Args:
            machine: What goes, killed.
            host: Last part of the new address.
            after_s: Time until the new one starts.
        """
        self.end(machine, signal.SIGKILL)
        time.sleep(after_s)
        with self._lock:
            del self.machines[machine.name]
            new = Machine(
                f"{machine.name}-new", machine.role, self.ip(host), machine.zone
            )
            # Only the start of the whole system is a bootstrap.
            new.starts = 1
            self.machines[new.name] = new
            self._start(new)
        return new

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to a process, which stays in the platform's care."""
        self._record(f"platform sends {number.name} to {machine.name}")
        machine.process.send_signal(number)

    def is_ready(self, machine: Machine) -> bool:
        """Asks a machine whether it is ready, as the platform does."""
        answer = wire.exchange(
            f"{machine.ip}:{self._ready}",
            "GET",
            "/readyz",
            {"Host": "platform"},
            timeout_s=1.0,
        )
        return answer.status == 200

    def put(
        self, config: dict[str, typing.Any], timeout_s: float = 20.0
    ) -> wire.Answer | None:
        """Sends a config as the operator does, until it gets a clear answer."""
        body = json.dumps(config).encode()
        controls = itertools.cycle(self.of_role("control"))
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            machine = next(controls)
            answer = wire.exchange(
                self.control(machine),
                "PUT",
                "/configuration",
                {"Host": "control", "Content-Type": "application/json"},
                body,
                timeout_s=1.5,
            )
            self._record(
                f"operator sends version {config['version']} to "
                f"{machine.name}: {answer.status} {answer.body[:200]!r}"
            )
            if answer.is_complete and answer.status in (200, 400, 409, 422):
                return answer
            time.sleep(0.2)
        return None

    def read(self, machine: Machine) -> wire.Answer:
        """Reads the config back from a control process."""
        return wire.exchange(
            self.control(machine), "GET", "/configuration", {"Host": "control"}
        )

    def close(self) -> None:
        """Ends all processes that were started."""
        self._closed = True
        with self._lock:
            processes = [
                each.process
                for each in self.machines.values()
                if each.process is not None
            ]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end_s = time.monotonic() + STOP_S
        for process in processes:
            try:
                process.wait(max(0.05, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._list.close()
