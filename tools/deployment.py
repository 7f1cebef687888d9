"""Starts a deployment on loopback: control processes, entries, stand-ins.

Used by the demo, the benchmarks and the tests with real processes. It stops
only the processes that it started.
"""

from collections import abc
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

from cardamombarrow.document import parsing
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from tools import proxy as proxy_module

__all__ = [
    "Deployment",
    "Edition",
    "Plan",
    "free_ports",
    "wait_until",
]

ANY_SOURCE = "any"
"""Source of the links that all instances use."""

SECRET = "loopback-secret-of-the-stand-in-deployment"
START_TIMEOUT_S = 30.0
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""The ports lie below the range of ephemeral ports."""

PORTS_PER_RUN = 256
_PORT_NUMBERS = itertools.count(os.getpid() * PORTS_PER_RUN)
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def free_ports(count: int) -> list[int]:
    """Returns free ports below the range of ephemeral ports.

    An ephemeral port may be taken by an outgoing connection before the process
    that should listen on it has started, and that process then fails to start.
    The search starts at a port that depends on the process id, so that test
    runs in parallel rarely collide.
    """
    found = []
    while len(found) < count:
        port = FIRST_PORT + next(_PORT_NUMBERS) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float = START_TIMEOUT_S
) -> bool:
    """Waits until a condition is true; returns False after the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.02)
    return False


@dataclasses.dataclass(frozen=True)
class Edition:
    """A document in another format, and the path at which control takes it."""

    path: str
    text: str


@dataclasses.dataclass
class Plan:
    """Processes to start, and their settings.

    Attributes:
        document: Text of the first document. A stand-in is started for each
            endpoint in it, and its address replaces the endpoint's.
        entries: Instance ids of entries by failure domain.
        controls: Instance ids of control processes by failure domain.
        report_interval_s: Time between an entry's reports to control.
        standins: Whether a stand-in is started for each endpoint.
        engine_options: Command-line options of every stand-in engine.
        entry_extra: More lines for every entry's settings, by section.
        control_extra: More lines for every control process's settings;
            ``{platform}`` stands for the address of the platform's stand-in.
        proxied: Whether instances reach each other through
            `Deployment.proxy`, with one link per source and target.
        proxied_controls: Whether control processes give others an address of
            `Deployment.proxy`, on the link with the source ``any``. Otherwise
            entries learn their direct addresses after the first replies.
        proxied_endpoints: Whether entries reach the endpoints through
            `Deployment.proxy`: the document then has the links' addresses,
            with the source ``entries`` and the endpoint's own address as
            the name of the link.
        entry_plugins: Modules that entries import at the start.
        control_plugins: Modules that control processes import at the start.
        edition: Document that is sent to a control process in place of
            `document`; None for none.
        listing_url: The platform's list; empty for a stand-in of it.
        held_back: Instances that do not start with the others.
    """

    document: str
    entries: dict[str, list[str]]
    controls: dict[str, list[str]]
    engine_options: tuple[str, ...] = ()
    standins: bool = True
    report_interval_s: float = 0.3
    entry_extra: dict[str, str] = dataclasses.field(default_factory=dict)
    control_extra: str = ""
    proxied: bool = False
    proxied_controls: bool = False
    proxied_endpoints: bool = False
    entry_plugins: tuple[str, ...] = ()
    control_plugins: tuple[str, ...] = ()
    edition: Edition | None = None
    listing_url: str = ""
    held_back: frozenset[str] = frozenset()


class Deployment(contextlib.AbstractContextManager):
    """Running processes, which are stopped at exit.

    Attributes:
        engines: Addresses of the stand-ins by service.
        entries: HTTP addresses by instance id.
        controls: Administration URLs by instance id.
        peers: Direct addresses for other instances, by instance id.
        forward_addresses: Where entries take forwarded requests, by instance
            id.
        processes: Every process, by name.
        proxy: Links between the processes, if the plan uses them.
    """

    def __init__(
        self,
        plan: Plan,
        folder: pathlib.Path,
        command: tuple[str, ...] = (sys.executable, "-m", "cardamombarrow"),
    ):
        self._plan = plan
        self._folder = folder
        self._command = command
        self._settings: dict[str, tuple[str, pathlib.Path]] = {}
        self.engines: dict[str, list[str]] = {}
        self.entries: dict[str, str] = {}
        self.controls: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.forward_addresses: dict[str, str] = {}
        self._ready_urls: dict[str, str] = {}
        self.listing_url = ""
        self.proxy = proxy_module.Proxy()

    def __enter__(self) -> "Deployment":
        """Starts everything and waits until every entry is ready."""
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stops all processes."""
        self.stop()

    def _start(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        text = self._start_standins()
        document = self._folder / "document.ini"
        document.write_text(text)
        self._write_controls(document)
        self._write_entries()
        started = [
            name for name in self._settings if name not in self._plan.held_back
        ]
        for name in started:
            self.start_instance(name)
        if self._plan.edition is not None:
            self._put(self._plan.edition)
        for name in started:
            self.wait_ready(name)

    def _put(self, edition: Edition) -> None:
        url = next(iter(self.controls.values())) + edition.path
        body = edition.text.encode()

        def is_accepted() -> bool:
            try:
                reply = http_get.fetch(
                    url, timeout_s=5, method="PUT", body=body
                )
            except errors.EndpointError:
                return False
            return reply.status == 200

        if not wait_until(is_accepted):
            raise RuntimeError("the document was not accepted")

    def _start_standins(self) -> str:
        text = self._plan.document
        services = parsing.parse(text).services if self._plan.standins else {}
        for service in services.values():
            listed = [e for group in service.endpoints.values() for e in group]
            ports = free_ports(len(listed))
            addresses = [f"127.0.0.1:{port}" for port in ports]
            self.engines[service.service] = addresses
            for endpoint, address in zip(listed, addresses, strict=True):
                text = text.replace(endpoint, self._endpoint_route(address))
                self.start_engine(address)
        self.listing_url = self._plan.listing_url
        if self.listing_url:
            return text
        port = free_ports(1)[0]
        self.listing_url = f"http://127.0.0.1:{port}/v1/listing"
        module = ("-m", "tools.standin.platform_list")
        self._spawn("platform", (sys.executable, *module, "--port", str(port)))
        return text

    def _endpoint_route(self, address: str) -> str:
        if not self._plan.proxied_endpoints:
            return address
        return self.proxy.link("entries", address, address).address

    def _route(self, source: str, name: str) -> str:
        """Returns the address under which an instance reaches another."""
        if source == name and self._plan.proxied_controls:
            source = ANY_SOURCE
        if not self._plan.proxied or source == name:
            return self.peers[name]
        return self.proxy.link(source, name, self.peers[name]).address

    def start_engine(self, address: str) -> None:
        """Starts or restarts the stand-in engine of an address."""
        port = address.rpartition(":")[2]
        self._spawn(
            f"engine-{address}",
            (
                sys.executable,
                "-m",
                "tools.standin.engine",
                "--port",
                port,
                *self._plan.engine_options,
            ),
        )

    def _write_controls(self, document: pathlib.Path) -> None:
        names = [n for group in self._plan.controls.values() for n in group]
        ports = free_ports(2 * len(names))
        for name, port in zip(names, ports[: len(names)], strict=True):
            self.peers[name] = f"127.0.0.1:{port}"
        for name, port in zip(names, ports[len(names) :], strict=True):
            self.controls[name] = f"http://127.0.0.1:{port}"
        for domain, group in self._plan.controls.items():
            for name in group:
                voters = " ".join(
                    f"{other}={self._route(name, other)}" for other in names
                )
                first = self._plan.document and f"first_document = {document}\n"
                state = (
                    f"[state]\nfolder = {self._folder / name}\n"
                    f"voters = {voters}\n{first}"
                ) + self._plan.control_extra.format(
                    platform=self.listing_url.removesuffix("/v1/listing")
                )
                if self._plan.proxied_controls:
                    state = f"address = {self._route(name, name)}\n{state}"
                self._write("control", name, domain, self.controls[name], state)

    def _write_entries(self) -> None:
        names = [n for group in self._plan.entries.values() for n in group]
        ports = iter(free_ports(4 * len(names)))
        for name in names:
            self.peers[name] = f"127.0.0.1:{next(ports)}"
            self.entries[name] = f"http://127.0.0.1:{next(ports)}"
            self.forward_addresses[name] = f"127.0.0.1:{next(ports)}"
            self._ready_urls[name] = f"http://127.0.0.1:{next(ports)}"
        extra = dict(self._plan.entry_extra)
        extra.setdefault("calls", "drain_notice_s = 0.3\n")
        extra["platform"] = f"listing_url = {self.listing_url}\n" + extra.get(
            "platform", "listing_interval_s = 0.5\n"
        )
        for domain, group in self._plan.entries.items():
            sections = "".join(
                f"[{name}]\n{body}"
                for name, body in extra.items()
                if name != "http"
            )
            for name in group:
                seeds = " ".join(self._route(name, other) for other in group)
                ready = self._ready_urls[name].removeprefix("http://")
                addresses = (
                    f"[forwarding]\naddress = {self.forward_addresses[name]}\n"
                    f"[side]\nready = {ready}\n"
                )
                self._write(
                    "entry",
                    name,
                    domain,
                    self.entries[name],
                    sections + addresses,
                    seeds,
                )

    def _write(
        self,
        role: str,
        name: str,
        domain: str,
        url: str,
        sections: str,
        seeds: str = "",
    ) -> None:
        path = self._folder / f"{name}.ini"
        controls = " ".join(
            self._route(name, control) for control in self.controls
        )
        extra_http = self._plan.entry_extra.get("http", "")
        plugins = ", ".join(
            self._plan.entry_plugins
            if role == "entry"
            else self._plan.control_plugins
        )
        extra_instance = f"plugins = {plugins}\n" if plugins else ""
        path.write_text(
            f"[instance]\nid = {name}\ndomain = {domain}\n"
            f"{extra_instance}"
            f"[http]\nport = {url.rpartition(':')[2]}\n"
            f"{extra_http if role == 'entry' else ''}"
            f"[peers]\nsecret = {SECRET}\n"
            f"port = {self.peers[name].rpartition(':')[2]}\n"
            f"controls = {controls}\nseeds = {seeds}\n"
            f"report_interval_s = {self._plan.report_interval_s}\n{sections}"
        )
        self._settings[name] = (role, path)

    def start_instance(self, name: str) -> None:
        """Starts or restarts an entry or control process."""
        role, path = self._settings[name]
        self._spawn(name, (*self._command, role, "--settings", str(path)))

    def _spawn(self, name: str, command: tuple[str, ...]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=_ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def restart(
        self, name: str, number: signal.Signals, down_s: float = 0.0
    ) -> None:
        """Ends an instance by a signal, starts it again, and waits for it.

        Args:
            name: The instance.
            number: The signal.
            down_s: Time from its end to the start, in seconds.
        """
        self.signal(name, number)
        self.processes[name].wait()
        time.sleep(down_s)
        self.start_instance(name)
        self.wait_ready(name)

    def wait_ready(self, name: str) -> None:
        """Waits until an instance is ready.

        Raises:
            RuntimeError: It did not start in time.
        """
        if not wait_until(lambda: self.is_ready(name)):
            raise RuntimeError(f"{name} did not start:\n{self.log(name)}")

    def is_ready(self, name: str) -> bool:
        """Returns whether an instance says that it is ready."""
        role, _ = self._settings[name]
        urls = self._ready_urls if role == "entry" else self.controls
        path = "/readyz" if role == "entry" else "/healthz"
        if role == "control" and self._plan.edition is not None:
            path = self._plan.edition.path
        try:
            return http_get.fetch(urls[name] + path, timeout_s=1).status == 200
        except errors.EndpointError:
            return False

    def settings_path(self, name: str) -> pathlib.Path:
        """Returns the settings file of an instance."""
        return self._settings[name][1]

    def state_folder(self, name: str) -> pathlib.Path:
        """Returns the folder of a control process's durable state."""
        return self._folder / name

    def log(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (self._folder / f"{name}.log").read_text()

    def revision(self, name: str) -> int:
        """Returns the revision that an entry has in force."""
        url = self.entries[name] + "/v1/instance"
        return json.loads(http_get.fetch(url, timeout_s=5).body)["revision"]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one of the processes."""
        self.processes[name].send_signal(number)

    def kill(self, names: abc.Iterable[str]) -> None:
        """Kills processes at once, and waits until they have ended."""
        names = list(names)
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.processes[name].wait()

    def stop(self) -> None:
        """Terminates every process, kills those left, and closes the proxy."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline_s = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.proxy.close()
