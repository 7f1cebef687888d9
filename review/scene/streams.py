"""Streams of events: a model server that writes them, and their consumers."""

import contextlib
import socket
import threading
import time

from review.scene import servers
from review.scene import wire

__all__ = ["Consumer", "ModelServer"]

EVENTS = 40
PAUSE_S = 0.34


class ModelServer(servers.Server):
    """Writes a stream, from after the event that the request names."""

    def __init__(self, *args: object, **fields: object):
        super().__init__(*args, hook=ModelServer.write, **fields)

    def write(self, connection: socket.socket, request: wire.Request) -> bool:
        """Writes the events in chunks; the last one ends the stream."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        lines = [
            *self.head(request, 200),
            f"Server-Seal: {self.seal(request, b'')}",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        connection.sendall("\r\n".join(lines).encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: t{number} t t\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(PAUSE_S)
        connection.sendall(b"0\r\n\r\n")
        return True


class Consumer:
    """One stream of a consumer, over all of its tries.

    Attributes:
        last_id: Number of the last whole event.
        first_attempt: Id of the attempt that brought the first event.
        tries: Status and events of each try.
    """

    def __init__(self, headers: dict[str, str]):
        self._headers = headers
        self._closed = threading.Event()
        self.last_id = 0
        self.first_attempt = ""
        self.tries: list[tuple[int, int]] = []
        self.retry_after_s = 0.0
        self.is_complete = False

    def leave(self) -> None:
        """Has the present try close its connection."""
        self._closed.set()

    def read(
        self, address: str, target: str, attempt: str, limit_s: float
    ) -> None:
        """Makes one try, which takes the stream up if it has begun."""
        headers = {
            **self._headers,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(limit_s * 1_000)),
            "Content-Length": "2",
        }
        if self.last_id:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = self.first_attempt
        before = self.last_id
        status = 0
        with contextlib.suppress(OSError):
            status = self._exchange(address, target, headers, limit_s)
        if self.last_id > before and not before:
            self.first_attempt = attempt
        self.tries.append((status, self.last_id - before))

    def _exchange(
        self,
        address: str,
        target: str,
        headers: dict[str, str],
        limit_s: float,
    ) -> int:
        host, _, port = address.rpartition(":")
        end_s = time.monotonic() + limit_s
        self._closed.clear()
        head = "".join(f"{name}: {each}\r\n" for name, each in headers.items())
        raw = b""
        with socket.create_connection((host, int(port)), 1.0) as connection:
            connection.sendall(
                f"POST {target} HTTP/1.1\r\n{head}\r\n{{}}".encode()
            )
            connection.settimeout(0.1)
            while time.monotonic() < end_s and not self._closed.is_set():
                try:
                    data = connection.recv(65_536)
                except TimeoutError:
                    continue
                raw += data
                self._take(raw)
                if not data or raw.endswith(b"\r\n0\r\n\r\n"):
                    break
        answer = wire.parse(raw)
        self.retry_after_s = float(answer.headers.get("retry-after", "0"))
        self.is_complete = answer.status == 200 and answer.is_complete
        return answer.status

    def _take(self, raw: bytes) -> None:
        answer = wire.parse(raw)
        if answer.status != 200:
            return
        for event in answer.body.split(b"\n\n")[:-1]:
            for line in event.split(b"\n"):
                if line.startswith(b"id: "):
                    self.last_id = max(self.last_id, int(line[4:]))
