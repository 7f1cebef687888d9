"""A deployment in front of scripted servers, and a client of it, for tests."""

from collections import abc
import dataclasses
import itertools
import re
import socket
import types

from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from tools import deployment

__all__ = [
    "EVENTS",
    "LIMIT_MS",
    "Attempt",
    "Seen",
    "call",
    "check_cut",
    "open_stream",
    "plan",
    "read",
    "whole",
]

LIMIT_MS = 4_000
EVENTS = 6
"""Events of a whole stream."""

PART_TOKENS = 50

_EVENT = re.compile(rb"data: (\w+)/(\d+)\s\s")
_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)


def _configuration(others: abc.Mapping[str, bool]) -> dict[str, object]:
    route = {
        "host": "one.example",
        "routeKind": "streaming",
        "timeoutMs": LIMIT_MS,
        "latencyGoalMs": 500,
        "itlTargetMs": 500,
        "priority": 0,
        "maxAttempts": 3,
        "anonymous": True,
        "sticky": False,
    }
    names = {"once": False, "again": True, **others}
    return {
        "version": 7,
        "routes": [
            {
                **route,
                "name": name,
                "pathPrefix": f"/{name}/",
                "service": name if name in others else standin.SERVICE,
                "resumable": resumable,
            }
            for name, resumable in names.items()
        ],
        "services": [
            {
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
            for name in (standin.SERVICE, *others)
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def plan(
    listing_url: str,
    entries: dict[str, list[str]],
    others: abc.Mapping[str, bool] = types.MappingProxyType({}),
) -> deployment.Plan:
    """Returns a plan with a route that resumes streams and one that doesn't.

    Args:
        listing_url: The list of servers.
        entries: Instance ids of entries by failure domain.
        others: Further routes, each to a service of its name, and whether they
            resume streams.
    """
    return platform_plan.plan(_configuration(others), listing_url, entries)


@dataclasses.dataclass(frozen=True)
class Seen:
    """An answer as its caller sees it."""

    status: int
    body: bytes
    looks_complete: bool

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
    """

    attempt: str
    route: str
    resumes: str = ""
    last_event: int = 0
    parts: tuple[str, ...] = ()

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
            return Attempt.new(self.route)
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
        f"Deadline-Ms: {LIMIT_MS}",
        "Content-Length: 0",
    ]
    if attempt.parts:
        listed = ",".join(f"{part}:{PART_TOKENS}" for part in attempt.parts)
        fields.append(f"Prefix-Hash: {listed}")
    if attempt.last_event:
        fields.append(f"Last-Event-Id: {attempt.last_event}")
    if attempt.resumes:
        fields.append(f"Resumes: {attempt.resumes}")
    head = [f"POST {attempt.path} HTTP/{version}", *fields, "", ""]
    caller.sendall("\r\n".join(head).encode())
    return caller


def read(caller: socket.socket) -> Seen:
    """Reads an answer to its end."""
    raw, reset = b"", False
    with caller:
        try:
            while data := caller.recv(65_536):
                raw += data
        except ConnectionResetError:
            reset = True
    head, _, body = raw.partition(b"\r\n\r\n")
    if not head:
        return Seen(0, b"", False)
    status = int(head.split(b" ")[1])
    length = _LENGTH.search(head)
    if length:
        return Seen(status, body, len(body) == int(length[1]))
    if b"chunked" not in head.lower():
        return Seen(status, body, not reset)
    content, whole = _content(body)
    return Seen(status, content, whole)


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
