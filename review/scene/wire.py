"""HTTP/1.1 as consumers, servers and the platform speak it: bytes on sockets.

Nothing here repairs or retries: a case sees what is on the wire.
"""

from collections import abc
import contextlib
import dataclasses
import socket
import struct
import threading
import time

__all__ = [
    "Answer",
    "Listener",
    "Request",
    "exchange",
    "parse",
    "read_request",
    "reset",
]


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read.

    Attributes:
        headers: Values by lower-case name.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Answer:
    """What a client got on one connection.

    Attributes:
        status: 0 if no head came.
        headers: Values by lower-case name.
        is_complete: Whether the framing says that the body is whole.
        end: How the connection ended: ``whole``, ``closed``, ``reset``,
            ``silent`` or ``refused``.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    end: str = ""
    taken_s: float = 0.0


def reset(connection: socket.socket) -> None:
    """Closes a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def read_request(reader: abc.Callable[[], bytes], rest: bytearray) -> Request:
    """Reads one request with a length, with chunks or without a body.

    Raises:
        EOFError: The client has closed the connection.
    """
    while b"\r\n\r\n" not in rest:
        rest += _more(reader)
    raw, _, tail = bytes(rest).partition(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    rest[:] = tail
    while len(rest) < size:
        rest += _more(reader)
    body = bytes(rest[:size])
    del rest[:size]
    return Request(method, target, headers, body)


def _more(reader: abc.Callable[[], bytes]) -> bytes:
    data = reader()
    if not data:
        raise EOFError
    return data


class Listener:
    """Accepts connections; each is served by a thread until `close`."""

    def __init__(
        self, address: str, serve: abc.Callable[[socket.socket], None]
    ):
        host, _, port = address.rpartition(":")
        self._serve = serve
        self._socket = socket.create_server((host, int(port)), backlog=256)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(connection)
            threading.Thread(
                target=self._run, args=(connection,), daemon=True
            ).start()

    def _run(self, connection: socket.socket) -> None:
        try:
            self._serve(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        # A blocked accept would keep the port open.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        with self._lock:
            for connection in self._open:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)


def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Sends one request on a new connection and reads its answer."""
    host, _, port = address.rpartition(":")
    begin_s = time.monotonic()
    answer = Answer()
    try:
        connection = socket.create_connection((host, int(port)), 1.0)
    except OSError:
        answer.end = "refused"
        answer.taken_s = time.monotonic() - begin_s
        return answer
    fields = dict(headers)
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    raw = b""
    with connection:
        connection.settimeout(timeout_s)
        try:
            connection.sendall(
                f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode("latin-1")
                + body
            )
            while True:
                left_s = begin_s + timeout_s - time.monotonic()
                connection.settimeout(max(left_s, 0.001))
                data = connection.recv(65_536)
                raw += data
                if _fill(answer, raw, ended=not data):
                    answer.end = "whole"
                    break
                if not data:
                    answer.end = "closed"
                    break
        except TimeoutError:
            answer.end = "silent"
        except OSError:
            answer.end = "reset"
    answer.taken_s = time.monotonic() - begin_s
    return answer


def parse(raw: bytes) -> Answer:
    """Parses what has come of an answer; its status is 0 without a head."""
    answer = Answer()
    _fill(answer, raw, ended=False)
    return answer


def _fill(answer: Answer, raw: bytes, *, ended: bool) -> bool:
    """Parses what has come; returns whether the answer is complete."""
    if b"\r\n\r\n" not in raw:
        return False
    head, _, body = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split(" ")[1])
    answer.headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = body[:size]
        answer.is_complete = len(body) >= size
    elif answer.headers.get("transfer-encoding") == "chunked":
        answer.body, answer.is_complete = _unchunk(body)
    else:
        answer.body, answer.is_complete = body, ended
    return answer.is_complete


def _unchunk(raw: bytes) -> tuple[bytes, bool]:
    body = b""
    while True:
        line, found, raw = raw.partition(b"\r\n")
        if not found:
            return body, False
        size = int(line.split(b";")[0], 16)
        if not size:
            return body, raw.startswith(b"\r\n")
        body += raw[:size]
        if len(raw) < size + 2:
            return body, False
        raw = raw[size + 2 :]
