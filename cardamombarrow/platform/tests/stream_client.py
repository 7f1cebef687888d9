"""A deployment in front of scripted servers, and a client of it, for tests."""

from collections import abc
import dataclasses
import itertools
import re
import socket

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from tools import deployment

__all__ = [
    "EVENTS",
    "LIMIT_MS",
    "MAX_HEADER_BYTES",
    "ROUTES",
    "Attempt",
    "Route",
    "Seen",
    "call",
    "check_cut",
    "configuration",
    "open_stream",
    "parse",
    "plan",
    "read",
    "whole",
]

LIMIT_MS = 4_000
EVENTS = 6
"""Events of a whole stream."""

PART_TOKENS = 50

MAX_HEADER_BYTES = 16_384

_EVENT = re.compile(rb"data: (\w+)/(\d+)\s\s")
_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)
_RETRY_AFTER = re.compile(rb"retry-after: *([\d.]+)", re.I)


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of streams.

    Attributes:
        services: The services that serve it, by weight.
    """

    name: str
    resumable: bool = True
    limit_ms: int = LIMIT_MS
    services: tuple[tuple[str, int], ...] = ((standin.SERVICE, 1),)


ROUTES = (Route("once", resumable=False), Route("again"))


def configuration(
    routes: abc.Sequence[Route] = ROUTES, version: int = 7
) -> dict[str, object]:
    """Returns a configuration with these routes, and with their services."""
    names = {name: None for each in routes for name, _ in each.services}
    return {
        "version": version,
        "routes": [_route(each) for each in routes],
        "services": [_service(name) for name in names],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def _route(route: Route) -> dict[str, object]:
    served: dict[str, object] = {"service": route.services[0][0]}
    if len(route.services) > 1:
        split = [
            {"service": name, "weight": weight}
            for name, weight in route.services
        ]
        served = {"split": split}
    return {
        "host": "one.example",
        "routeKind": "streaming",
        "timeoutMs": route.limit_ms,
        "latencyGoalMs": 500,
        "itlTargetMs": 500,
        "priority": 0,
        **served,
        "maxAttempts": 3,
        "anonymous": True,
        "sticky": False,
        "name": route.name,
        "pathPrefix": f"/{route.name}/",
        "resumable": route.resumable,
    }


def _service(name: str) -> dict[str, object]:
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 400,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 64,
            "kvCapacity": 100_000,
            "models": [{"name": "m"}],
        },
    }


def plan(
    listing_url: str,
    entries: dict[str, list[str]],
    routes: abc.Sequence[Route] = ROUTES,
) -> deployment.Plan:
    """Returns a plan with routes that resume streams, and such that don't.

    Args:
        listing_url: The list of servers.
        entries: Instance ids of entries by failure domain.
        routes: The routes of its first configuration.
    """
    return platform_plan.plan(configuration(routes), listing_url, entries)


@dataclasses.dataclass(frozen=True)
class Seen:
    """An answer as its caller sees it.

    Attributes:
        status: Its status; 0 without a head.
        retry_after_s: When the caller should come back; None if not said.
    """

    status: int
    body: bytes
    looks_complete: bool
    retry_after_s: float | None = None

    @property
    def events(self) -> list[tuple[str, int]]:
        """Version and number of each complete event."""
        found = _EVENT.findall(self.body)
        return [(version.decode(), int(number)) for version, number in found]


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A caller's request for a stream.

    Attributes:
        resumes: Attempt that brought the first event; empty for a new stream.
        last_event: Number of the last event that the caller has.
        parts: Ids of the parts of its prompt.
        limit_ms: Time for which the caller waits.
        key: The caller's key; empty for none.
    """

    attempt: str
    route: str
    resumes: str = ""
    last_event: int = 0
    parts: tuple[str, ...] = ()
    limit_ms: int = LIMIT_MS
    key: str = ""

    @classmethod
    def new(cls, route: str, parts: tuple[str, ...] = ()) -> "Attempt":
        """Returns the first attempt at a stream."""
        return cls(f"{next(_ATTEMPTS):08x}", route, parts=parts)

    @property
    def path(self) -> str:
        """The path of all attempts at the stream."""
        return f"/{self.route}/{self.resumes or self.attempt}"

    def again(self, last_event: int) -> "Attempt":
        """Returns an attempt that goes on after an event."""
        if not last_event:
            return dataclasses.replace(
                Attempt.new(self.route), limit_ms=self.limit_ms
            )
        return dataclasses.replace(
            self,
            attempt=f"{next(_ATTEMPTS):08x}",
            resumes=self.resumes or self.attempt,
            last_event=last_event,
        )


_ATTEMPTS = itertools.count(1)


def open_stream(
    running: deployment.Deployment,
    attempt: Attempt,
    version: str = "1.1",
    name: str = "a-1",
) -> socket.socket:
    """Sends a request for a stream to an entry.

    Args:
        running: The deployment.
        attempt: The request.
        version: HTTP version of the caller.
        name: The entry.
    """
    host, _, port = running.entries[name].removeprefix("http://").partition(":")
    caller = socket.create_connection((host, int(port)), timeout=10)
    fields = [
        "Host: one.example",
        f"Attempt-Id: {attempt.attempt}",
        "Model-Name: m",
        f"Token-Count: 10,{EVENTS}",
        f"Deadline-Ms: {attempt.limit_ms}",
        "Content-Length: 0",
    ]
    if attempt.parts:
        listed = ",".join(f"{part}:{PART_TOKENS}" for part in attempt.parts)
        fields.append(f"Prefix-Hash: {listed}")
    if attempt.last_event:
        fields.append(f"Last-Event-Id: {attempt.last_event}")
    if attempt.resumes:
        fields.append(f"Resumes: {attempt.resumes}")
    if attempt.key:
        fields.append(f"Authorization: Token {attempt.key}")
    head = [f"POST {attempt.path} HTTP/{version}", *fields, "", ""]
    caller.sendall("\r\n".join(head).encode())
    return caller


def read(caller: socket.socket, received: bytes = b"") -> Seen:
    """Reads an answer to its end.

    Args:
        caller: The connection.
        received: What was read of it before.
    """
    raw, reset = received, False
    with caller:
        try:
            while data := caller.recv(65_536):
                raw += data
        except ConnectionResetError:
            reset = True
    return parse(raw, reset)


def parse(raw: bytes, is_broken: bool) -> Seen:
    """Returns what a caller has got.

    Args:
        raw: All bytes.
        is_broken: Whether the connection was reset, or given up.
    """
    head, _, body = raw.partition(b"\r\n\r\n")
    if not head:
        return Seen(0, b"", False)
    status = int(head.split(b" ")[1])
    wait = _RETRY_AFTER.search(head)
    retry_s = None if wait is None else float(wait[1])
    length = _LENGTH.search(head)
    if length:
        whole = len(body) == int(length[1])
        return Seen(status, body, whole, retry_s)
    if b"chunked" not in head.lower():
        return Seen(status, body, not is_broken, retry_s)
    content, whole = _content(body)
    return Seen(status, content, whole, retry_s)


def _content(body: bytes) -> tuple[bytes, bool]:
    """Returns the content of chunks, and whether the last one is there."""
    content = b""
    while b"\r\n" in body:
        size, _, body = body.partition(b"\r\n")
        if not int(size, 16):
            return content, True
        content += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return content, False


def call(running: deployment.Deployment, route: str, version: str) -> Seen:
    """Requests a stream of entry a-1 and reads the answer."""
    return read(open_stream(running, Attempt.new(route), version))


def whole(version: str = "v1", line_end: bytes = b"\n") -> bytes:
    """Returns all events of a stream."""
    return b"".join(
        standin.event(number, version, line_end)
        for number in range(1, EVENTS + 1)
    )


def check_cut(
    running: deployment.Deployment,
    servers: standin.Servers,
    cut: tuple[standin.Framing, standin.Ending],
    version: str,
) -> None:
    """Checks that a stream that breaks off does not look complete."""
    framing, ending = cut
    answer = standin.Answer(framing, ending, EVENTS, EVENTS // 2)
    servers.script = lambda received: answer
    seen = call(running, "once", version)
    assert seen.status in (0, 200, 502, 504)
    if seen.status == 200:
        assert not seen.looks_complete
        assert whole().startswith(seen.body)
