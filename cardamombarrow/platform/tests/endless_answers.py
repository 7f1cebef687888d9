"""Servers whose answers never end, and many callers of it, as processes.

Paths of requests are ``/ROUTE/FORM/ATTEMPT``; the form decides what is sent. A
request for ``/open`` is answered with the number of open connections.
"""

import argparse
import collections
from concurrent import futures
import contextlib
import json
import os
import socket
import struct
import threading
import time
import typing

__all__ = ["FORMS", "WHOLE", "Form", "main", "path_of"]

LIMIT_MS = 2_000
PIECE_BYTES = 65_536
DRIP_S = 0.001

_OK = "HTTP/1.1 200 OK"
_STREAM = (_OK, "Content-Type: text/event-stream")
_CHUNKED = (*_STREAM, "Transfer-Encoding: chunked")
_TEXT = (_OK, "Content-Type: text/plain")
_TEXT_CHUNKED = (*_TEXT, "Transfer-Encoding: chunked")
_LENGTH = "Content-Length: 1000000000000"
_END = b"\r\n"
_EVENT = b"id: 1\ndata: v1/1\n\n"


class Form(typing.NamedTuple):
    """An answer without end.

    Attributes:
        head: Lines of the head.
        begin: What follows them once.
        filler: What follows that without end.
        drips: Whether one byte is sent at a time.
    """

    head: tuple[str, ...]
    begin: bytes
    filler: bytes
    drips: bool = False


FORMS = {
    "no-status-line": Form((), b"", b"x"),
    "fields": Form((_OK,), b"", b"X-Filler: " + b"x" * 1_000 + _END),
    "small-fields": Form((_OK,), b"", b"a:b\r\n"),
    "one-field": Form((_OK,), b"X-Filler: ", b"x"),
    "dripping-field": Form((_OK,), b"X-Filler: ", b"x", drips=True),
    "interim-answers": Form((), b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "event": Form(_STREAM, _END, b"x"),
    "event-of-lines": Form(_STREAM, _END, b"data: x\n"),
    "chunked-event": Form(_CHUNKED, _END, b"2000\r\n" + b"x" * 8_192 + _END),
    "event-of-small-chunks": Form(_CHUNKED, _END, b"2\r\nxy\r\n"),
    "dripping-event": Form(_STREAM, _END, b"x", drips=True),
    "comments": Form(_STREAM, _END, b": x\n\n"),
    "comment": Form(_STREAM, _END, b": x\n"),
    "comments-after-event": Form(_STREAM, _END + _EVENT, b":\n\n"),
    "blank-lines": Form(_STREAM, _END, b"\n"),
    "blocks-without-data": Form(_STREAM, _END, b"retry: 1\n\n"),
    "dripping-comments": Form(_STREAM, _END, b": x\n\n", drips=True),
    "chunk-size": Form(_CHUNKED, _END, b"0"),
    "chunk-extension": Form(_CHUNKED, _END + b"5;", b"x"),
    "trailers": Form(_CHUNKED, _END + b"0\r\n", b"X: " + b"x" * 1_000 + _END),
    "length": Form((*_TEXT, _LENGTH), _END, b"x"),
    "chunks": Form(_TEXT_CHUNKED, _END, b"2000\r\n" + b"x" * 8_192 + _END),
    "small-chunks": Form(_TEXT_CHUNKED, _END, b"2\r\nxy\r\n"),
    "until-closed": Form(_TEXT, _END, b"x"),
    "dripping-text": Form((*_TEXT, _LENGTH), _END, b"x", drips=True),
    "failure": Form(("HTTP/1.1 500 No", _LENGTH), _END, b"x"),
    "failure-of-small-chunks": Form(
        ("HTTP/1.1 500 No", "Transfer-Encoding: chunked"),
        _END,
        b"2\r\nxy\r\n",
    ),
    "large-field": Form(
        (_OK,), b"X-Filler: " + b"x" * 120_000, b"x", drips=True
    ),
    "large-event": Form(_STREAM, _END + b"x" * 250_000, b"x", drips=True),
    "large-failure": Form(
        ("HTTP/1.1 500 No", _LENGTH), _END + b"x" * 1_000_000, b"x", drips=True
    ),
    "after-an-answer": Form(
        (*_TEXT, "Content-Length: 2", "Keep-Alive: timeout=5"),
        _END + b"ok",
        b"x",
    ),
}


WHOLE = "whole"
"""The form of an answer that ends."""

_WHOLE_S = 0.05


def path_of(route: str, form: str, attempt: str) -> str:
    """Returns the path of a request."""
    return f"/{route}/{form}/{attempt}"


class _Server:
    """Sends answers of all forms, on any number of ports."""

    def __init__(self):
        self._lock = threading.Lock()
        self._open = 0

    def serve(self, port: int) -> None:
        """Serves one port for good."""
        listener = socket.create_server(("127.0.0.1", port), backlog=512)
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                data = connection.recv(PIECE_BYTES)
                if not data:
                    return
                head += data
            first, *lines = head.decode("latin-1").split("\r\n")
            path = first.split(" ")[1]
            if path == "/open":
                body = str(self._open).encode()
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                return
            attempt = next(
                line.partition(":")[2].strip()
                for line in lines
                if line.lower().startswith("attempt-id:")
            )
            form = path.split("/")[2]
            if form == WHOLE:
                time.sleep(_WHOLE_S)
                self._begin(connection, _STREAM, attempt)
                connection.sendall(_END + _EVENT)
            else:
                self._flood(connection, FORMS[form], attempt)

    def _begin(
        self, connection: socket.socket, head: tuple[str, ...], attempt: str
    ) -> None:
        lines = list(head)
        if lines:
            lines += [f"Attempt-Id: {attempt}", "Server-Seal: seal", ""]
        connection.sendall("\r\n".join(lines).encode())

    def _flood(
        self, connection: socket.socket, form: Form, attempt: str
    ) -> None:
        with self._lock:
            self._open += 1
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._begin(connection, form.head, attempt)
            connection.sendall(form.begin)
            if form.drips:
                while True:
                    for number in range(len(form.filler)):
                        connection.sendall(form.filler[number : number + 1])
                        time.sleep(DRIP_S)
            piece = form.filler * max(PIECE_BYTES // len(form.filler), 1)
            while True:
                connection.sendall(piece)
        finally:
            with self._lock:
                self._open -= 1


class _Callers:
    """Callers that send requests of one form for some time.

    Attributes:
        statuses: Number of answers by status; 0 without one.
        received_bytes: What all callers have received.
    """

    def __init__(self, address: str, route: str, form: str, *, reads: bool):
        self.statuses: collections.Counter[int] = collections.Counter()
        self.received_bytes = 0
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._route, self._form, self._reads = route, form, reads
        self._lock = threading.Lock()

    def run(self, callers: int, duration_s: float) -> None:
        """Has callers send one request after the other."""
        end_s = time.monotonic() + duration_s
        with futures.ThreadPoolExecutor(callers) as pool:
            for each in [
                pool.submit(self._repeat, end_s) for _ in range(callers)
            ]:
                each.result()

    def _repeat(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            status, received_bytes = self._call(end_s)
            with self._lock:
                self.statuses[status] += 1
                self.received_bytes += received_bytes

    def _call(self, end_s: float) -> tuple[int, int]:
        attempt = os.urandom(8).hex()
        path = path_of(self._route, self._form, attempt)
        head = [
            f"POST {path} HTTP/1.1",
            "Host: one.example",
            f"Attempt-Id: {attempt}",
            "Model-Name: m",
            "Token-Count: 10,6",
            f"Deadline-Ms: {LIMIT_MS}",
            "Content-Length: 0",
            "",
            "",
        ]
        first, size = b"", 0
        with contextlib.suppress(OSError), socket.socket() as caller:
            if not self._reads:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.settimeout(10.0)
            caller.connect(self._address)
            caller.sendall("\r\n".join(head).encode())
            if not self._reads:
                time.sleep(max(end_s - time.monotonic(), 0.0))
            while data := caller.recv(PIECE_BYTES):
                first = first or data
                size += len(data)
                if not self._reads:
                    break
            linger = struct.pack("ii", 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return int(first.split(b" ", 2)[1]) if first else 0, size


def main() -> None:
    """Serves until the process is ended, or calls for some time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", type=int, nargs="+", help="ports")
    parser.add_argument("--call", default="", help="address of an entry")
    parser.add_argument("--route", default="")
    parser.add_argument("--form", choices=[WHOLE, *FORMS])
    parser.add_argument("--callers", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=1.0)
    parser.add_argument("--unread", action="store_true")
    options = parser.parse_args()
    if options.serve:
        server = _Server()
        for port in options.serve[1:]:
            threading.Thread(
                target=server.serve, args=(port,), daemon=True
            ).start()
        server.serve(options.serve[0])
    callers = _Callers(
        options.call, options.route, options.form, reads=not options.unread
    )
    callers.run(options.callers, options.duration_s)
    found = {
        "statuses": callers.statuses,
        "received_bytes": callers.received_bytes,
    }
    print(json.dumps(found))


if __name__ == "__main__":
    main()
