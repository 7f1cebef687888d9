"""A sound server of the platform, with hooks for what a case disturbs."""

from collections import abc
import hashlib
import json
import socket
import threading
import time
import typing

from review.scene import wire

__all__ = ["Run", "Server", "instances"]

Hook = abc.Callable[["Server", socket.socket, wire.Request], bool]


class Run(typing.NamedTuple):
    """A request that a server has run."""

    server: str
    at_s: float
    request: wire.Request


class Server:
    """Serves one request at a time on a connection and records its runs."""

    def __init__(
        self,
        service: str,
        identity: str,
        address: str,
        zone: str,
        on_run: abc.Callable[[Run], None],
        work_s: float = 0.02,
        hook: Hook = lambda server, connection, request: False,
        slots: int = 6,
    ):
        self.service, self.identity = service, identity
        self.address, self.zone = address, zone
        self.work_s, self.hook, self.slots = work_s, hook, slots
        self.state = "ready"
        self.health_path = "/healthz"
        self._on_run = on_run
        self._lock = threading.Lock()
        self.running = 0
        self._listener = wire.Listener(address, self._serve)

    def close(self) -> None:
        """Ends the server; its connections are closed."""
        self._listener.close()

    def _serve(self, connection: socket.socket) -> None:
        rest = bytearray()
        connection.settimeout(30.0)
        while True:
            request = wire.read_request(lambda: connection.recv(65_536), rest)
            if request.target == self.health_path:
                self.answer(connection, request, b"")
                continue
            wanted = request.headers.get("expect-instance", self.identity)
            if wanted != self.identity:
                self.reject(connection, request, 421)
                continue
            self.ran(request)
            if self.hook(self, connection, request):
                return
            time.sleep(self.work_s)
            body = f"{self.identity} {request.target}".encode()
            self.answer(connection, request, body)

    def ran(self, request: wire.Request) -> None:
        """Records that work on a request has begun."""
        self._on_run(Run(self.identity, time.monotonic(), request))

    def seal(self, request: wire.Request, body: bytes) -> str:
        """Returns the seal of an answer."""
        attempt = request.headers.get("attempt-id", "")
        return hashlib.sha256(attempt.encode() + body).hexdigest()[:24]

    def head(self, request: wire.Request, status: int) -> list[str]:
        """Returns the head of an answer without its framing."""
        return [
            f"HTTP/1.1 {status} X",
            f"Attempt-Id: {request.headers.get('attempt-id', '')}",
            f"Instance-Id: {self.identity}",
            f"Instance-Load: 1,0,{self.slots}",
            "Keep-Alive: timeout=5",
        ]

    def answer(
        self,
        connection: socket.socket,
        request: wire.Request,
        body: bytes,
        status: int = 200,
    ) -> None:
        """Sends a whole answer with a seal."""
        lines = [
            *self.head(request, status),
            f"Server-Seal: {self.seal(request, body)}",
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        connection.sendall("\r\n".join(lines).encode() + body)

    def reject(
        self, connection: socket.socket, request: wire.Request, status: int
    ) -> None:
        """Turns a request away without running it."""
        lines = [
            *self.head(request, status),
            "Not-Executed: 1",
            "Content-Length: 0",
            "",
            "",
        ]
        connection.sendall("\r\n".join(lines).encode())


def instances(servers: abc.Iterable[Server]) -> bytes:
    """Returns the platform's list of servers."""
    listed = [
        {
            "service": each.service,
            "address": each.address,
            "zone": each.zone,
            "version": "v1",
            "slots": each.slots,
            "state": each.state,
            "coldRemainingMs": 0,
            "id": each.identity,
            "born": 1_700_000_000_000,
        }
        for each in servers
    ]
    return json.dumps({"instances": listed, "nextToken": None}).encode()
