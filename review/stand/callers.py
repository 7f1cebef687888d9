"""Callers: short requests, and streams that can be taken up again."""

import dataclasses
import itertools
import os
import re
import select
import socket
import time

__all__ = ["Answer", "Stream", "config", "request"]

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)/(\d+)\n\n")
_ids = itertools.count(1)


def config(version: int = 7, *, limit_ms: int = 15_000) -> dict[str, object]:
    """Returns a config with a resumable stream and a route of each other kind.

    Args:
        version: Its number.
        limit_ms: Time limit of the stream's route.
    """
    route = {
        "host": HOST,
        "priority": 1,
        "maxAttempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "timeoutMs": 2_000,
        "latencyGoalMs": 200,
    }
    stream = {
        "name": "r-summary",
        "pathPrefix": "/summary/",
        "routeKind": "streaming",
        "timeoutMs": limit_ms,
        "latencyGoalMs": 800,
        "service": "writer",
        "sticky": True,
        "resumable": True,
        "itlTargetMs": 500,
    }
    read = {
        "name": "r-read",
        "pathPrefix": "/read/",
        "routeKind": "idempotent",
        "service": "desk",
    }
    book = {
        "name": "r-book",
        "pathPrefix": "/book/",
        "routeKind": "non_idempotent",
        "service": "desk",
        "maxAttempts": 1,
    }
    plain = {"healthPath": "/healthz", "maxConns": 360, "protocol": "h1"}
    engine = {
        "slots": 64,
        "kvCapacity": 609_987,
        "kvTokenBytes": 327_680,
        "linkMbps": 270_000.0,
        "moves": True,
        "backups": True,
        "stride": 3,
        "most": 12,
        "pinMs": 4_000.0,
        "holdMs": 2_000.0,
        "handleTtlS": 5.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [{**route, **each} for each in (stream, read, book)],
        "services": [
            {"name": "writer", "tls": False, "engine": engine, **plain},
            {"name": "desk", "tls": False, **plain},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


def _attempt() -> str:
    return f"{os.getpid():08x}{next(_ids):08x}"


def _head(
    method: str, path: str, attempt: str, left_ms: int, *more: str
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {left_ms}",
        f"Authorization: Token {KEY}",
        *more,
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


@dataclasses.dataclass
class Answer:
    """What a caller sees of one attempt.

    Attributes:
        status: 0 without an answer.
        complete: Whether the whole answer came.
    """

    attempt: str
    sent_s: float
    status: int = 0
    complete: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    note: str = ""

    @property
    def served(self) -> bool:
        """Whether it is a whole success of a server."""
        sealed = "server-seal" in self.headers
        return self.status // 100 == 2 and self.complete and sealed


def _parse(raw: bytes, answer: Answer) -> None:
    head, found, rest = raw.partition(b"\r\n\r\n")
    if not found:
        return
    first, *lines = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        answer.body, answer.complete = _unchunk(rest)
    else:
        length = int(answer.headers.get("content-length", "-1"))
        answer.body = rest
        answer.complete = len(rest) == length


def _unchunk(raw: bytes) -> tuple[bytes, bool]:
    body = b""
    while True:
        line, found, raw = raw.partition(b"\r\n")
        if not found:
            return body, False
        size = int(line.split(b";")[0], 16)
        if not size:
            return body, True
        body += raw[:size]
        if len(raw) < size + 2:
            return body, False
        raw = raw[size + 2 :]


def request(
    address: str,
    method: str,
    path: str,
    limit_s: float = 2.0,
    body: bytes = b"",
) -> Answer:
    """Sends a short request on a new connection and reads its answer."""
    answer = Answer(_attempt(), time.monotonic())
    host, _, port = address.rpartition(":")
    more = [f"Content-Length: {len(body)}"] if method != "GET" else []
    raw = b""
    try:
        with socket.create_connection((host, int(port)), 1.0) as link:
            link.sendall(
                _head(method, path, answer.attempt, int(limit_s * 1e3), *more)
                + body
            )
            end_s = answer.sent_s + limit_s
            while (left_s := end_s - time.monotonic()) > 0:
                link.settimeout(left_s)
                data = link.recv(65_536)
                if not data:
                    break
                raw += data
    except OSError as error:
        answer.note = repr(error)
    _parse(raw, answer)
    return answer


class Stream:
    """A stream of one caller, over all its attempts.

    Attributes:
        events: Version and number of each event so far, in order.
        attempts: The answers to its attempts.
    """

    def __init__(self, limit_s: float):
        self._limit_s = limit_s
        self._begun_by = ""
        self._link: socket.socket | None = None
        self._raw = b""
        self._seen = 0
        self.started_s = time.monotonic()
        self.events: list[tuple[str, int]] = []
        self.attempts: list[Answer] = []

    @property
    def left_s(self) -> float:
        """Time until its limit."""
        return self.started_s + self._limit_s - time.monotonic()

    @property
    def last_event(self) -> int:
        """Number of the last event."""
        return self.events[-1][1] if self.events else 0

    @property
    def is_open(self) -> bool:
        """Whether its connection is open."""
        return self._link is not None

    @property
    def is_done(self) -> bool:
        """Whether it came to its end."""
        return bool(self.attempts) and self.attempts[-1].complete

    def open(self, address: str, body: bytes = b"{}") -> None:
        """Begins it, or takes it up again after the last event."""
        answer = Answer(_attempt(), time.monotonic())
        answer.note = f"to {address} after event {self.last_event}"
        self.attempts.append(answer)
        more = ["Model-Name: m", "Token-Count: 2890,80"]
        more.append(f"Content-Length: {len(body)}")
        more.append(f"Prefix-Hash: 5c1e07a2:800,{answer.attempt}:400")
        if self.events:
            more += [
                f"Last-Event-Id: {self.last_event}",
                f"Resumes: {self._begun_by}",
            ]
        self._raw, self._seen = b"", 0
        host, _, port = address.rpartition(":")
        left_ms = max(int(self.left_s * 1_000), 1)
        try:
            self._link = socket.create_connection((host, int(port)), 1.0)
            self._link.setblocking(True)
            head = _head("POST", "/summary/1", answer.attempt, left_ms, *more)
            self._link.sendall(head + body)
        except OSError as error:
            answer.note += f": {error!r}"
            self.close()

    def close(self) -> None:
        """Closes its connection."""
        if self._link is not None:
            self._link.close()
        self._link = None

    def fileno(self) -> int:
        """Returns the descriptor of its connection."""
        return -1 if self._link is None else self._link.fileno()

    def feed(self) -> None:
        """Reads what has arrived; closes the connection at its end."""
        answer = self.attempts[-1]
        try:
            data = self._link.recv(65_536)
        except OSError as error:
            answer.note += f": {error!r}"
            data = b""
        self._raw += data
        _parse(self._raw, answer)
        if answer.status == 200:
            found = [
                (version.decode(), int(number))
                for number, version, _ in _EVENT.findall(answer.body)
            ]
            if found and not self._begun_by:
                self._begun_by = answer.attempt
            self.events += found[self._seen :]
            self._seen = len(found)
        if not data or answer.complete:
            self.close()


def read(streams: list[Stream], for_s: float) -> None:
    """Reads streams for a time, or until all have closed."""
    end_s = time.monotonic() + for_s
    while (left_s := end_s - time.monotonic()) > 0:
        is_open = [each for each in streams if each.is_open]
        if not is_open:
            return
        ready, _, _ = select.select(is_open, [], [], min(left_s, 0.1))
        for each in ready:
            each.feed()
