"""Machines of a small deployment as processes on loopback.

Each machine has a loopback address of its own; ports are the same on all, as
on the platform. The processes run with the deploy file's commands, and with
settings that its templates give for the values of a small site.
"""

import contextlib
import dataclasses
import http.client
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing

from review.stand import template

__all__ = ["BOUNDS", "Fleet", "Machine", "free_ports", "wait_until"]

ROOT = pathlib.Path(__file__).resolve().parents[2]

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
"""The bounds of the site `kandula-grooming`."""

ZONES = {
    "nuwara-a": "central-hills",
    "badulla-a": "uva-slopes",
    "ratnapura-a": "sabara-ridge",
}

_FIRST_PORT = 20_000
_LAST_PORT = 32_000
_PORTS_PER_RUN = 64


def free_ports(count: int, hosts: typing.Iterable[str]) -> list[int]:
    """Returns ports that are free at all these addresses."""
    hosts = list(hosts)
    found: list[int] = []
    span = _LAST_PORT - _FIRST_PORT
    for step in range(span):
        port = _FIRST_PORT + (os.getpid() * _PORTS_PER_RUN + step) % span
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
            if len(found) == count:
                return found
    raise RuntimeError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def wait_until(condition: typing.Callable[[], bool], timeout_s: float) -> bool:
    """Waits for a condition; returns False after the time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(0.02)
    return False


@dataclasses.dataclass
class Machine:
    """One machine.

    Attributes:
        role: Role of the deploy file, `entry` or `control`.
        process: Its process; None before the first start.
    """

    name: str
    role: str
    zone: str
    ip: str
    process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet(contextlib.AbstractContextManager):
    """The machines of one deployment, all of them on loopback.

    Attributes:
        machines: By name.
        frontend_port: Where entries take callers.
        ready_port: Where entries tell whether they are ready.
        control_port: Where control processes take operators.
    """

    def __init__(
        self,
        entries: dict[str, int],
        list_address: str,
        bounds: dict[str, typing.Any] | None = None,
        platform: dict[str, typing.Any] | None = None,
    ):
        """Plans a deployment with a control process in each zone.

        Args:
            entries: Number of entries by zone.
            list_address: Address of the platform's stand-in.
            bounds: Bounds that differ from `BOUNDS`.
            platform: More fields of `cloudApi`.
        """
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._platform = {"address": list_address, **(platform or {})}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._commands = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        self._bootstrap = True
        self.machines: dict[str, Machine] = {}
        for number, zone in enumerate(ZONES, 1):
            for each in range(1, entries.get(zone, 0) + 1):
                name = f"edge-{zone}-{each}"
                ip = f"127.{number}.1.{each}"
                self.machines[name] = Machine(name, "entry", zone, ip)
            name = f"core-{zone}-1"
            ip = f"127.{number}.2.1"
            self.machines[name] = Machine(name, "control", zone, ip)
        ips = [each.ip for each in self.machines.values()]
        ports = free_ports(6, ips)
        self.frontend_port, self.ready_port, self.control_port = ports[:3]
        self._peer_ports = ports[3:5]
        self._metrics_port = ports[5]

    def __exit__(self, *_: object) -> None:
        """Ends all processes and removes their folders."""
        for machine in self.machines.values():
            if machine.is_running:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def role(self, role: str, zone: str | None = None) -> list[Machine]:
        """Returns the machines of a role, of one zone or of all."""
        return [
            each
            for each in self.machines.values()
            if each.role == role and zone in (None, each.zone)
        ]

    def start_all(self) -> None:
        """Starts the system for the first time, with empty disks."""
        for machine in self.machines.values():
            self.start(machine.name)
        self._bootstrap = False

    def start(self, name: str) -> None:
        """Starts or restarts the process of a machine."""
        machine = self.machines[name]
        run = self._commands[machine.role]["run"].split()
        settings = self._folder / f"{name}.ini"
        template_path = ROOT / self._commands[machine.role]["template"]
        text = template.render(template_path.read_text(), self._fields(machine))
        # The metrics port is fixed and may be in use by another run.
        settings.write_text(text.replace(":9464", f":{self._metrics_port}"))
        run = [
            str(settings) if each.endswith("/node.json") else each
            for each in run
        ]
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                run,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _fields(self, machine: Machine) -> dict[str, typing.Any]:
        listen = {"controlPlane": f"{machine.ip}:{self.control_port}"}
        data = None
        if machine.role == "entry":
            listen = {
                "frontend": f"{machine.ip}:{self.frontend_port}",
                "ready": f"{machine.ip}:{self.ready_port}",
            }
        else:
            folder = self._folder / machine.name
            folder.mkdir(exist_ok=True)
            data = str(folder)
        return {
            "nodeName": machine.name,
            "ip": machine.ip,
            "zone": machine.zone,
            "region": ZONES[machine.zone],
            "listen": listen,
            "portRange": self._peer_ports,
            "seeds": [
                f"{each.ip}:{self.control_port}"
                for each in self.role("control")
            ],
            "isBootstrap": self._bootstrap,
            "dataDir": data,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self._bounds,
            "cloudApi": {"ratePerS": 42.0, "maxLagMs": 800, **self._platform},
        }

    def kill(self, *names: str) -> None:
        """Ends processes at once, as SIGKILL does."""
        for name in names:
            self.machines[name].process.kill()
        for name in names:
            self.machines[name].process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self.machines[name].process.send_signal(number)

    def is_ready(self, machine: Machine) -> bool:
        """Returns whether an entry answers the platform's question with 200."""
        status, _ = self.get(f"{machine.ip}:{self.ready_port}", "/readyz")
        return status == 200

    def get(
        self, address: str, path: str, timeout_s: float = 1.0
    ) -> tuple[int, bytes]:
        """Returns status and body of a GET; status 0 without an answer."""
        return self.call("GET", address, path, timeout_s=timeout_s)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 1.0,
    ) -> tuple[int, bytes]:
        """Returns status and body of a call; status 0 without an answer."""
        host, _, port = address.rpartition(":")
        link = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            link.request(method, path, body, headers)
            answer = link.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            link.close()

    def put(self, text: str, timeout_s: float = 30.0) -> bool:
        """Sends a config as an operator does, until it is acknowledged."""
        controls = self.role("control")

        def is_accepted() -> bool:
            for machine in controls:
                address = f"{machine.ip}:{self.control_port}"
                status, _ = self.call(
                    "PUT", address, "/configuration", text.encode(), 2.0
                )
                if status == 200:
                    return True
            time.sleep(0.2)
            return False

        return wait_until(is_accepted, timeout_s)

    def wait_ready(
        self, timeout_s: float = 40.0, zone: str | None = None
    ) -> bool:
        """Waits until all running entries are ready."""
        return wait_until(
            lambda: all(
                self.is_ready(each)
                for each in self.role("entry", zone)
                if each.is_running
            ),
            timeout_s,
        )

    def log(self, name: str) -> str:
        """Returns what a machine's processes have written."""
        return (self._folder / f"{name}.log").read_text(errors="replace")
