"""Stand-ins of the platform's list and of its servers, one port each."""

import contextlib
import dataclasses
import itertools
import json
import select
import socket
import threading
import time
import typing
from urllib import parse

__all__ = ["Listed", "Platform", "Run", "Server"]

SLOTS = 64
HEAD_BYTES = 131_072
KEEP_ALIVE_S = 5
_seals = itertools.count(1)


@dataclasses.dataclass
class Run:
    """A request as a server got it.

    Attributes:
        at_s: When it arrived, monotonic.
        executed: Whether the server began to work on it.
    """

    at_s: float
    server: str
    version: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    executed: bool = False

    @property
    def attempt(self) -> str:
        """The consumer's id of the attempt."""
        return self.headers.get("attempt-id", "")


@dataclasses.dataclass
class Listed:
    """A server's entry in the platform's list."""

    identity: str
    service: str
    address: str
    zone: str
    version: str = "v1"
    state: str = "ready"
    slots: int = SLOTS

    def encode(self) -> bytes:
        """Returns the entry as JSON."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "id": self.identity,
        }
        if self.service.startswith("writer"):
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": "unified", "models": models}
        return json.dumps(entry).encode()


class _Listener:
    """Accepts connections, and serves each in a thread of its own."""

    def __init__(self, host: str, port: int = 0):
        self._listener = socket.create_server((host, port), backlog=512)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._ended = False
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the port and all connections, as the end of a process does."""
        self._ended = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while not self._ended:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(connection)
            threading.Thread(
                target=self._run, args=(connection,), daemon=True
            ).start()

    def _run(self, connection: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError, ValueError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._serve(connection)
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def _serve(self, connection: socket.socket) -> None:
        raise NotImplementedError


class _Reader:
    """Reads requests from one connection."""

    def __init__(self, connection: socket.socket):
        self._connection = connection
        self._raw = b""

    def request(self) -> tuple[str, str, dict[str, str], bytes] | None:
        """Returns method, target, headers and body; None at the end."""
        while b"\r\n\r\n" not in self._raw:
            if len(self._raw) > HEAD_BYTES or not self._more():
                return None
        head, _, self._raw = self._raw.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self._raw) < length:
            if not self._more():
                return None
        body, self._raw = self._raw[:length], self._raw[length:]
        method, target, _ = first.split(" ")
        return method, target, headers, body

    def _more(self) -> bool:
        data = self._connection.recv(65_536)
        self._raw += data
        return bool(data)


class Platform(_Listener):
    """The platform's list of servers.

    Attributes:
        listed: Entries of the servers.
        foreign: Entries of another writer, as bytes.
        calls: Number of calls so far.
    """

    def __init__(self, host: str = "127.0.0.1"):
        self.listed: list[Listed] = []
        self.foreign: list[bytes] = []
        self.calls = 0
        super().__init__(host)

    def _serve(self, connection: socket.socket) -> None:
        reader = _Reader(connection)
        while (request := reader.request()) is not None:
            _, target, _, _ = request
            self.calls += 1
            query = parse.parse_qs(parse.urlsplit(target).query)
            zone = query.get("zone", [""])[0]
            entries = [
                each.encode()
                for each in list(self.listed)
                if zone in ("", each.zone)
            ]
            entries += self.foreign
            body = b'{"instances":[' + b",".join(entries)
            body += b'],"nextToken":null}'
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
            )


Pause = typing.Callable[[Run], float]


class Server(_Listener):
    """A server of the platform.

    A server of the service `writer` answers with a stream of events, any other
    with a short body. It drops a request when its connection closes.

    Attributes:
        listed: Its entry in the list.
        runs: All requests that it got.
        events: Events of a stream.
        pause_s: Time before each event, or before a short answer.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        zone: str,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        version: str = "v1",
        events: int = 20,
        pause_s: float = 0.02,
        log: list[Run] | None = None,
    ):
        self.runs: list[Run] = [] if log is None else log
        self.events = events
        self.pause_s = pause_s
        self._active = 0
        self.listed = Listed(identity, service, "", zone, version)
        super().__init__(host, port)
        self.listed.address = self.address

    def _serve(self, connection: socket.socket) -> None:
        reader = _Reader(connection)
        while (request := reader.request()) is not None:
            run = Run(
                time.monotonic(),
                self.listed.identity,
                self.listed.version,
                *request,
            )
            if run.target == "/healthz":
                self._answer(connection, run, 200, b"", "text/plain")
                continue
            self.runs.append(run)
            expected = run.headers.get("expect-instance", "")
            if expected not in ("", self.listed.identity):
                self._reject(connection, run, 421)
            elif not run.attempt:
                self._reject(connection, run, 400)
            elif self._active >= self.listed.slots:
                self._reject(connection, run, 503)
            else:
                run.executed = True
                self._active += 1
                try:
                    if not self._execute(connection, run):
                        return
                finally:
                    self._active -= 1

    def _execute(self, connection: socket.socket, run: Run) -> bool:
        if self.listed.service.startswith("writer"):
            return self._stream(connection, run)
        if not self._work(connection):
            return False
        body = f"{self.listed.identity} {run.attempt}\n".encode()
        self._answer(connection, run, 200, body, "text/plain")
        return True

    def _work(self, connection: socket.socket) -> bool:
        """Works for a while; returns False if the connection closes."""
        poll = select.poll()
        poll.register(connection, select.POLLRDHUP)
        return not poll.poll(self.pause_s * 1_000)

    def _head(self, run: Run, status: int) -> list[str]:
        fields = [
            f"HTTP/1.1 {status} Answer",
            f"Attempt-Id: {run.attempt}",
            f"Instance-Id: {self.listed.identity}",
            f"Instance-Load: {self._active},0,{self.listed.slots}",
        ]
        if self.listed.state == "draining":
            fields.append("Server-Leaving: 1")
        return [*fields, f"Keep-Alive: timeout={KEEP_ALIVE_S}"]

    def _reject(self, connection: socket.socket, run: Run, status: int) -> None:
        fields = [*self._head(run, status), "Not-Executed: 1"]
        fields.append("Content-Length: 0")
        connection.sendall("\r\n".join([*fields, "", ""]).encode())

    def _answer(
        self,
        connection: socket.socket,
        run: Run,
        status: int,
        body: bytes,
        content_type: str,
    ) -> None:
        fields = [
            *self._head(run, status),
            f"Server-Seal: {next(_seals):x}.{self.listed.identity}",
            f"Content-Type: {content_type}",
            f"Content-Length: {len(body)}",
        ]
        connection.sendall("\r\n".join([*fields, "", ""]).encode() + body)

    def _stream(self, connection: socket.socket, run: Run) -> bool:
        fields = [
            *self._head(run, 200),
            f"Server-Seal: {next(_seals):x}.{self.listed.identity}",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        connection.sendall("\r\n".join([*fields, "", ""]).encode())
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            if not self._work(connection):
                return False
            data = f"id: {number}\ndata: {run.version}/{number}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
        connection.sendall(b"0\r\n\r\n")
        return True
