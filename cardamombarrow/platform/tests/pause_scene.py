"""A deployment in which one process stands still while others change.

Requests wait in the sockets of the process that stands still. It handles them
when it goes on, before any of its background tasks has run.
"""

from collections import abc
import contextlib
import dataclasses
import enum
import itertools
import json
import pathlib
import random
import signal
import socket
import threading
import time
import typing

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

__all__ = ["Change", "Fault", "Process", "Scene", "summary"]

ENTRIES = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1"]}
NAMES = [name for group in ENTRIES.values() for name in group]
CONTROLS = {name: [f"control-{name}"] for name in "abc"}

BEFORE = standin.SERVICE
AFTER = "replies"
"""The service to which routes move."""

TENANT = "clinic"

REVOKED_S = 5.0
"""Time after which a removed key must not work at any entry, nor a route of an
older document: `revoked_within_ms` of the entries."""

DRAIN_S = 4.0
"""Time for which an endpoint that drains may get requests."""

APPLIED_S = 3.0
"""Time after which entries in touch have a document in force."""

DOWNGRADE_S = 0.25
"""Time after which an entry has to go on with a document of which it has shown
an effect."""

REQUESTS = 4
STREAMS = 8
STREAM_LEAD_S = 0.4
"""Time before the end of a pause at which streams begin."""

LEAD_S = 0.15
"""The same of requests that wait in sockets."""

ROUND_S = 0.4
"""Time between two requests of a kind at the other entries."""

EVENT_S = 0.02
HELD_AFTER = 2
HELD_S = 3.0
ANSWER_S = 6.0
AFTERWARDS_S = 0.6
"""Time for which requests are sent after the pause."""

AFTERWARDS_STEP_S = 0.03

LIMIT_MS = 5_000


class Process(enum.Enum):
    """What stands still."""

    PLACER = "an entry that places for its domain"
    ENTRY = "an entry that does not"
    LEADER = "the control process that leads"
    FOLLOWER = "a control process that does not"

    @property
    def is_control(self) -> bool:
        """Whether it is a control process."""
        return self in (Process.LEADER, Process.FOLLOWER)


class Change(enum.Enum):
    """What changes meanwhile."""

    ROUTE_MOVED = "a configuration moves a route to another service"
    ROUTE_REMOVED = "a configuration removes a route"
    KEY_REVOKED = "a configuration removes a key"
    ENDPOINT_ENDED = "all endpoints drain, one of them ends, others come"
    ADDRESS_REUSED = "an endpoint's address is taken by another service"
    VERSION_JOINED = "streams begin at a new software version"
    REPLACED = "the placer or the leader is killed"

    @property
    def edits(self) -> bool:
        """Whether it is a new configuration."""
        return self in (
            Change.ROUTE_MOVED,
            Change.ROUTE_REMOVED,
            Change.KEY_REVOKED,
        )


class Fault(enum.Enum):
    """A broken rule."""

    REVOKED = "a revoked key worked"
    OLDER = "a request was served by an older document"
    REGRESSED = "an entry went back to an older document"
    READ = "a control process returned an older configuration"
    SERVICE = "a service ran a request of no route to it"
    UNNAMED = "a request did not name its endpoint"
    DRAINED = "an endpoint that drains got a request"
    TWICE = "an unrepeatable request ran twice"
    REFUSED = "a refused request has run"
    MIXED = "a stream has events of two versions"
    ABANDONED = "a request of a caller that had left has run"
    FORGOT = "an entry dropped others of its domain that were alive"


@dataclasses.dataclass
class Sent:
    """A request of a caller.

    Attributes:
        entry: The entry that was asked.
        waited: Whether it was sent just before or after the end of the pause.
        sent_s: When it was sent, monotonic.
    """

    change: Change
    attempt: stream_client.Attempt
    entry: str
    waited: bool
    sent_s: float
    connection: socket.socket
    seen: stream_client.Seen | None = None

    def finish(self) -> None:
        """Reads the answer."""
        self.connection.settimeout(ANSWER_S)
        try:
            self.seen = stream_client.read(self.connection)
        except OSError:
            self.seen = stream_client.Seen(0, b"", False)


@dataclasses.dataclass
class _Stream:
    """A stream, and the attempt that resumes it."""

    version: str
    last_event: int
    resumed: Sent


class Case:
    """One pause, and what callers and servers saw of it.

    Attributes:
        sent: All requests but those of streams.
        older: Requests about the end that were served and that only the
            document before the change allows.
        drained: Requests about the end that endpoints ran that drained.
        faults: The rules that were broken, once for each request.
        edited_s: When the configuration was acknowledged, monotonic.
        draining_s: When the list showed endpoints as draining, monotonic.
    """

    def __init__(self, number: int, changes: abc.Collection[Change]):
        self.number = number
        self.changes = frozenset(changes)
        self.sent: list[Sent] = []
        self.streams: list[_Stream] = []
        self.faults: list[Fault] = []
        self.edited_s = float("inf")
        self.edited_version = 0
        self.older = 0
        self.drained = 0
        self.draining_s = float("inf")
        self.draining: set[str] = set()
        self.reads: list[socket.socket] = []
        self.abandoned: set[str] = set()

    def route(self, change: Change) -> str:
        """Returns the name of the route of a change's requests."""
        return f"{_name(change)}-{self.number}"

    @property
    def edits(self) -> bool:
        """Whether a new configuration is sent."""
        return any(change.edits for change in self.changes)

    @property
    def is_changed(self) -> bool:
        """Whether the new configuration, if any, is acknowledged."""
        return not self.edits or self.edited_s < float("inf")

    @property
    def key(self) -> str:
        """The key that is revoked."""
        return f"key-{self.number}"


class Scene(contextlib.ExitStack):
    """The deployment, and the servers behind it."""

    def __init__(self, folder: pathlib.Path):
        super().__init__()
        self._numbers = itertools.count(1)
        self._versions = itertools.count(1)
        self._cases = itertools.count(1)
        self._released = threading.Event()
        self._software = "v0"
        self.servers = self.enter_context(standin.Servers(self._script))
        for service in (BEFORE, AFTER):
            self._start_servers(service, 2)
        first = Case(0, Change)
        plan = stream_client.plan(self.servers.listing_url, ENTRIES)
        plan.controls = CONTROLS
        plan.edition = deployment.Edition(
            "/configuration", json.dumps(self._configuration(first))
        )
        self.running = self.enter_context(deployment.Deployment(plan, folder))

    # -- servers ---------------------------------------------------------------

    def _script(self, received: standin.Received) -> standin.Answer:
        if received.target.startswith(f"/{_name(Change.VERSION_JOINED)}-"):
            return standin.Answer(pause_s=EVENT_S, hold=self._hold)
        return standin.Answer(
            framing=standin.Framing.LENGTH,
            content_type="application/json",
            pieces=(b"{}",),
        )

    def _hold(self, number: int) -> None:
        if number > HELD_AFTER:
            self._released.wait(HELD_S)

    def _start_servers(
        self, service: str, count: int, port: int = 0
    ) -> list[standin.Listed]:
        return [
            self.servers.start(
                f"{service}.{next(self._numbers)}",
                port,
                service=service,
                version=self._software,
            )
            for _ in range(count)
        ]

    def _of(self, service: str) -> list[standin.Listed]:
        return [
            each
            for each in self.servers.listed.values()
            if each.service == service
        ]

    # -- configuration ---------------------------------------------------------

    def _configuration(
        self, case: Case, changed: bool = False
    ) -> dict[str, typing.Any]:
        """Returns the configuration of a case before or after its change."""
        made = stream_client.configuration(
            [
                stream_client.Route(
                    case.route(change),
                    limit_ms=LIMIT_MS,
                    services=((BEFORE, 1),),
                )
                for change in Change
            ]
            + [stream_client.Route("other", services=((AFTER, 1),))],
            next(self._versions),
        )
        kept = []
        for route in made["routes"]:
            if Change.VERSION_JOINED is not self._change(case, route["name"]):
                route.update(
                    routeKind="non_idempotent", resumable=False, sticky=False
                )
                del route["itlTargetMs"]
            match changed and self._change(case, route["name"]):
                case Change.ROUTE_MOVED:
                    route["service"] = AFTER
                case Change.ROUTE_REMOVED:
                    continue
            if self._change(case, route["name"]) is Change.KEY_REVOKED:
                route["anonymous"] = False
            kept.append(route)
        keys = ["kept"] if changed else ["kept", case.key]
        made["routes"] = kept
        made["tenants"] = [{"name": TENANT, "apiKeys": keys, "priority": 0}]
        return made

    def _change(self, case: Case, name: str) -> Change | None:
        for change in Change:
            if case.route(change) == name:
                return change
        return None

    def _configure(
        self, case: Case, stopped: str = "", changed: bool = False
    ) -> None:
        made = self._configuration(case, changed)
        body = json.dumps(made).encode()
        end_s = time.monotonic() + 20.0
        urls = [
            url
            for name, url in self.running.controls.items()
            if name != stopped
        ]
        for url in itertools.cycle(urls):
            assert time.monotonic() < end_s, "no configuration is accepted"
            with contextlib.suppress(errors.EndpointError):
                reply = http_get.fetch(
                    f"{url}/configuration",
                    timeout_s=2.0,
                    method="PUT",
                    body=body,
                )
                if reply.status == 200:
                    break
            time.sleep(0.05)
        case.edited_version = made["version"]
        if changed:
            case.edited_s = time.monotonic()

    # -- requests --------------------------------------------------------------

    def _send(
        self, case: Case, change: Change, entry: str, waited: bool = False
    ) -> Sent:
        key = case.key if change is Change.KEY_REVOKED else ""
        attempt = dataclasses.replace(
            stream_client.Attempt.new(case.route(change)),
            key=key,
            limit_ms=LIMIT_MS,
        )
        sent_s = time.monotonic()
        connection = stream_client.open_stream(
            self.running, attempt, name=entry
        )
        sent = Sent(change, attempt, entry, waited, sent_s, connection)
        case.sent.append(sent)
        return sent

    def _send_all(
        self, case: Case, names: abc.Iterable[str], waited: bool = False
    ) -> list[Sent]:
        """Sends requests of all kinds; streams are sent apart."""
        return [
            self._send(case, change, name, waited)
            for name in names
            for change in case.changes - {Change.VERSION_JOINED}
        ]

    def _abandon(self, case: Case, entry: str) -> None:
        """Sends requests whose callers leave before they are read."""
        for _ in range(REQUESTS):
            attempt = stream_client.Attempt.new(case.route(Change.ROUTE_MOVED))
            stream_client.open_stream(self.running, attempt, name=entry).close()
            case.abandoned.add(attempt.attempt)

    def _begin_streams(
        self, case: Case, at: abc.Sequence[str]
    ) -> list[tuple[stream_client.Attempt, str, int]]:
        """Begins streams, and breaks them off after their first events."""
        begun = []
        for number in range(STREAMS):
            attempt = dataclasses.replace(
                stream_client.Attempt.new(case.route(Change.VERSION_JOINED)),
                limit_ms=LIMIT_MS,
            )
            name = at[number % len(at)]
            with stream_client.open_stream(
                self.running, attempt, name=name
            ) as caller:
                caller.settimeout(1.0)
                raw = b""
                with contextlib.suppress(OSError):
                    while True:
                        raw += caller.recv(65_536)
                        events = stream_client.parse(raw, True).events
                        if len(events) >= HELD_AFTER:
                            break
            if raw and events:
                begun.append((attempt, *events[-1]))
        return begun

    def _resume(
        self,
        case: Case,
        begun: abc.Iterable[tuple[stream_client.Attempt, str, int]],
        entry: str,
    ) -> None:
        for attempt, version, last_event in begun:
            again = attempt.again(last_event)
            connection = stream_client.open_stream(
                self.running, again, name=entry
            )
            sent = Sent(
                Change.VERSION_JOINED,
                again,
                entry,
                True,
                time.monotonic(),
                connection,
            )
            case.streams.append(_Stream(version, last_event, sent))

    # -- processes -------------------------------------------------------------

    def _lines(self, name: str) -> list[dict[str, typing.Any]]:
        return [
            json.loads(line)
            for line in self.running.log(name).splitlines()
            if line.startswith("{")
        ]

    def _placer(self) -> str:
        """Returns the entry that others of its domain ask."""

        def owners(name: str) -> int:
            count = 0
            for line in self._lines(name):
                match line.get("event"):
                    case "entry starting":
                        count = 0
                    case "entry joined placer":
                        count += 1
                    case "entry left placer":
                        count -= 1
            return count

        return max(ENTRIES["a"], key=owners)

    def _leader(self) -> str:
        """Returns the control process that leads the log."""
        newest: tuple[int, str] = (-1, "")
        for name in self.running.controls:
            for line in self._lines(name):
                if line.get("event") == "leader known":
                    newest = max(newest, (line["term"], line["leader"]))
        leader = newest[1]
        return next(
            name for name in self.running.controls if leader.startswith(name)
        )

    def _pick(self, process: Process) -> str:
        if process is Process.PLACER:
            return self._placer()
        if process is Process.ENTRY:
            placer = self._placer()
            return next(name for name in ENTRIES["a"] if name != placer)
        leader = self._leader()
        if process is Process.LEADER:
            return leader
        return next(name for name in self.running.controls if name != leader)

    # -- the pause -------------------------------------------------------------

    def play(
        self,
        process: Process,
        pause_s: float,
        changes: abc.Collection[Change],
        rng: random.Random,
    ) -> Case:
        """Stops a process while everything changes, and judges what was seen.

        Args:
            process: What stands still.
            pause_s: For how long.
            changes: What changes.
            rng: Varies the times of changes.

        Returns:
            The case, with its faults.
        """
        case = Case(next(self._cases), changes)
        self._configure(case)
        self._prepare(case)
        stopped = self._pick(process)
        logged = len(self._lines(stopped))
        others = [name for name in NAMES if name != stopped]
        killed = ""
        if Change.REPLACED in changes:
            killed = self._leader() if process.is_control else self._placer()
        if killed == stopped:
            killed = ""
        asked = [stopped] if stopped in NAMES else others
        self.running.signal(stopped, signal.SIGSTOP)
        stop_s = time.monotonic()
        end_s = stop_s + pause_s
        background: list[threading.Thread] = []
        try:
            if killed:
                self.running.signal(killed, signal.SIGKILL)
                self.running.processes[killed].wait()
                self.running.start_instance(killed)
                others = [name for name in others if name != killed]
            background += self._begin_change(case, stopped, rng, pause_s)
            done = threading.Event()
            background.append(
                threading.Thread(
                    target=self._send_often, args=(case, others, done)
                )
            )
            background[-1].start()
            if Change.VERSION_JOINED in changes:
                _sleep_until(end_s - STREAM_LEAD_S)
                begun = self._begin_streams(case, others)
                self._resume(case, begun, rng.choice(asked))
            _sleep_until(end_s - LEAD_S)
            if not process.is_control:
                self._abandon(case, stopped)
            for _ in range(REQUESTS):
                self._send_all(case, asked[:1], waited=True)
            if process.is_control:
                self._read_configuration(case, stopped)
            _sleep_until(end_s)
        finally:
            self.running.signal(stopped, signal.SIGCONT)
        self._go_on(case, asked[0])
        done.set()
        self._released.set()
        for each in background:
            each.join()
        assert case.is_changed, "the configuration was not accepted"
        self._settle(case, stopped, killed)
        self._judge(case, stopped, killed)
        case.faults += self._forgotten(self._lines(stopped)[logged:], killed)
        return case

    def _go_on(self, case: Case, entry: str) -> None:
        """Sends requests in a row just after the pause."""
        end_s = time.monotonic() + AFTERWARDS_S
        while time.monotonic() < end_s:
            self._send_all(case, [entry], waited=True)
            time.sleep(AFTERWARDS_STEP_S)

    def _forgotten(
        self, lines: abc.Iterable[dict[str, typing.Any]], killed: str
    ) -> abc.Iterator[Fault]:
        """Yields each time when an entry's log says that it dropped others."""
        for line in lines:
            if line.get("event") == "members" and {*line["gone"]} - {killed}:
                yield Fault.FORGOT

    def _prepare(self, case: Case) -> None:
        """Starts what ends during the pause, and waits until all know it."""
        self._released.clear()
        if Change.ADDRESS_REUSED in case.changes:
            self._start_servers(BEFORE, 1)
        for name in NAMES:
            assert deployment.wait_until(lambda n=name: self._serves(case, n))
        time.sleep(0.7)
        case.sent.clear()

    def _serves(self, case: Case, name: str) -> bool:
        sent = self._send(case, Change.ROUTE_MOVED, name)
        sent.finish()
        return sent.seen.status == 200

    def _begin_change(
        self, case: Case, stopped: str, rng: random.Random, pause_s: float
    ) -> abc.Iterator[threading.Thread]:
        """Changes everything; returns threads in which changes go on."""
        time.sleep(rng.uniform(0.0, 0.05))
        if case.edits:
            edit = threading.Thread(
                target=self._configure, args=(case, stopped, True)
            )
            edit.start()
            yield edit
        if Change.VERSION_JOINED in case.changes:
            self._software = f"w{case.number}"
            self._start_servers(BEFORE, 2)
        if Change.ADDRESS_REUSED in case.changes:
            ended = self._of(BEFORE)[-1]
            self.servers.crash(ended)
            start = threading.Timer(
                0.3 * pause_s, self._start_servers, (AFTER, 1, ended.port)
            )
            start.start()
            yield start
        if Change.ENDPOINT_ENDED in case.changes:
            leaving = self._of(BEFORE)
            self._start_servers(BEFORE, 2)
            for each in leaving:
                each.state = "draining"
            case.draining = {each.identity for each in leaving}
            case.draining_s = time.monotonic()
            end = threading.Timer(
                0.6 * pause_s, self.servers.crash, (leaving[0],)
            )
            end.start()
            yield end

    def _send_often(
        self, case: Case, names: abc.Sequence[str], done: threading.Event
    ) -> None:
        for name in itertools.cycle(names):
            for sent in self._send_all(case, [name]):
                sent.finish()
            if done.wait(ROUND_S):
                return

    def _read_configuration(self, case: Case, stopped: str) -> None:
        address = self.running.controls[stopped].removeprefix("http://")
        host, _, port = address.partition(":")
        if not case.is_changed:
            return
        for _ in range(REQUESTS):
            reader = socket.create_connection((host, int(port)), 2.0)
            reader.sendall(
                b"GET /configuration HTTP/1.1\r\nHost: %b\r\n"
                b"Connection: close\r\n\r\n" % address.encode()
            )
            case.reads.append(reader)

    def _settle(self, case: Case, stopped: str, killed: str) -> None:
        for each in case.sent:
            if each.seen is None:
                each.finish()
        for stream in case.streams:
            stream.resumed.finish()
        if killed:
            self.running.wait_ready(killed)
        self.running.wait_ready(stopped)
        self._end_servers(case)

    def _end_servers(self, case: Case) -> None:
        """Ends the servers of a case, and those of its first version."""
        for each in self._of(BEFORE):
            if each.version != self._software or each.identity in case.draining:
                self.servers.crash(each)
        others = self._of(AFTER)
        self._start_servers(AFTER, 2)
        for each in others:
            self.servers.crash(each)

    # -- rules -----------------------------------------------------------------

    def _judge(self, case: Case, stopped: str, killed: str) -> None:
        received = list(self.servers.received)
        for sent in case.sent:
            arrived = [
                each
                for each in received
                if each.attempt == sent.attempt.attempt
            ]
            case.faults += self._faults(case, sent, arrived, stopped, killed)
            runs = [each for each in arrived if each.is_run]
            case.older += sent.waited and _is_older(sent, runs)
            case.drained += sent.waited and any(
                each.identity in case.draining for each in runs
            )
        case.faults += self._regressions(case, received, killed)
        case.faults += [
            Fault.ABANDONED
            for each in received
            if each.attempt in case.abandoned and each.is_run
        ]
        for stream in case.streams:
            versions = {name for name, _ in stream.resumed.seen.events}
            if versions - {stream.version}:
                case.faults.append(Fault.MIXED)
        for reader in case.reads:
            reader.settimeout(ANSWER_S)
            with reader:
                if _version_read(reader) < case.edited_version:
                    case.faults.append(Fault.READ)

    def _faults(
        self,
        case: Case,
        sent: Sent,
        arrived: abc.Sequence[standin.Received],
        stopped: str,
        killed: str,
    ) -> abc.Iterator[Fault]:
        runs = [each for each in arrived if each.is_run]
        allowed = {BEFORE}
        if sent.change is Change.ROUTE_MOVED:
            allowed.add(AFTER)
        if any("expect-instance" not in each.headers for each in arrived):
            yield Fault.UNNAMED
        if any(_service(each) not in allowed for each in runs):
            yield Fault.SERVICE
        if len(runs) > 1:
            yield Fault.TWICE
        if runs and sent.seen.status in (408, 421, 429, 503):
            yield Fault.REFUSED
        is_late = sent.sent_s > case.edited_s + REVOKED_S
        is_undisturbed = sent.entry not in (stopped, killed) and (
            stopped in NAMES
        )
        if is_undisturbed:
            is_late = sent.sent_s > case.edited_s + APPLIED_S
        if is_late and _is_older(sent, runs):
            yield (
                Fault.REVOKED
                if sent.change is Change.KEY_REVOKED
                else Fault.OLDER
            )
        drained = [
            each
            for each in runs
            if each.identity in case.draining
            and sent.sent_s > case.draining_s + DRAIN_S
        ]
        if drained and is_undisturbed:
            yield Fault.DRAINED

    def _regressions(
        self,
        case: Case,
        received: abc.Sequence[standin.Received],
        killed: str,
    ) -> abc.Iterator[Fault]:
        """Yields requests handled by an older document than ones before."""
        for name in set(NAMES) - {killed}:
            moved = [
                (sent, each)
                for sent in case.sent
                if sent.entry == name and sent.change is Change.ROUTE_MOVED
                for each in received
                if each.attempt == sent.attempt.attempt and each.is_run
            ]
            seen_s = min(
                (each.at_s for _, each in moved if _service(each) == AFTER),
                default=float("inf"),
            )
            for sent, each in moved:
                is_later = sent.sent_s > seen_s + DOWNGRADE_S
                if is_later and _service(each) == BEFORE:
                    yield Fault.REGRESSED


def _name(change: Change) -> str:
    return change.name.lower().replace("_", "-")


def summary(case: Case) -> str:
    """Returns what became of a case's requests."""
    waited = [each for each in case.sent if each.waited]
    found: dict[str, dict[int, int]] = {}
    for each in waited:
        statuses = found.setdefault(each.change.name, {})
        statuses[each.seen.status] = statuses.get(each.seen.status, 0) + 1
    went_on = sum(bool(each.resumed.seen.events) for each in case.streams)
    return (
        f"requests about the end by status: {found}, {case.older} by the older "
        f"document, {case.drained} at draining endpoints; {len(case.sent)} "
        f"requests; "
        f"{len(case.streams)} streams resumed, {went_on} went on; "
        f"{len(case.reads)} reads"
    )


def _is_older(sent: Sent, runs: abc.Iterable[standin.Received]) -> bool:
    """Returns whether only the document before the change allows a run."""
    match sent.change:
        case Change.KEY_REVOKED | Change.ROUTE_REMOVED:
            return any(True for _ in runs)
        case Change.ROUTE_MOVED:
            return any(_service(each) == BEFORE for each in runs)
    return False


def _service(received: standin.Received) -> str:
    return received.identity.partition(".")[0]


def _version_read(reader: socket.socket) -> float:
    """Returns the version in an answer; infinity without one."""
    raw = b""
    with contextlib.suppress(OSError):
        while data := reader.recv(65_536):
            raw += data
    head, _, body = raw.partition(b"\r\n\r\n")
    if not head.startswith((b"HTTP/1.1 200", b"HTTP/1.0 200")):
        return float("inf")
    return json.loads(body)["version"]


def _sleep_until(at_s: float) -> None:
    time.sleep(max(at_s - time.monotonic(), 0.0))
