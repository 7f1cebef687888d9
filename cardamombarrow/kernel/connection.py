"""One caller's HTTP connection: reads a request, writes its answer.

werkzeug parses the request and builds the WSGI environment. Its reading and
writing are replaced for three reasons. It waits 10 ms for more input after each
answer while the end of the answer is still in its buffer: the caller sees the
end late, and the answer's iterator, which holds an endpoint's slot, is closed
late. It sends HTML pages for its own errors. It limits the time of each read
but not of a whole request, so a client that sends single bytes can occupy a
thread indefinitely.
"""

from collections import abc
import http
from http import client
import io
import json
import socket
import ssl
import struct
import time
import typing

from werkzeug import serving

from cardamombarrow.kernel import chunked
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import heads
from cardamombarrow.kernel import logs

__all__ = [
    "ARRIVED_KEY",
    "HEADERS_KEY",
    "HEAD_BYTES_KEY",
    "Handler",
    "error_body",
]

ARRIVED_KEY = "cardamombarrow.arrived_s"
"""Environment key of the time at which the head had been read, on the monotonic
clock, so that waiting before the application runs is counted as well."""

HEADERS_KEY = "cardamombarrow.headers"
"""Environment key of the header fields as received: a tuple of pairs. WSGI's
form loses their order and joins repeated fields."""

HEAD_BYTES_KEY = "cardamombarrow.head_bytes"
"""Environment key of the size of the head."""

HEAD_LIMIT_BYTES = 131_072
"""Size of the largest head that is read; the application may allow less."""

LINGER_S = 1.0
"""Longest time for which the rest of a rejected request is read."""

LINGER_BYTES = 16_000_000
"""Most bytes that are read of the rest of a rejected request."""

CHUNK_BYTES = 65_536

_NO_BODY_STATUSES = {204, 304}


def error_body(
    kind: errors.ErrorKind, detail: str, retry_after_s: float | None = None
) -> bytes:
    """Returns the JSON body for an error of the HTTP layer."""
    answer = errors.ANSWERS[kind]
    return json.dumps(
        {
            "error": {
                "code": kind.value,
                "message": detail,
                "not_run": answer.not_run,
                "retryable": answer.retryable,
                "retry_after_s": retry_after_s,
                "request_id": None,
            }
        }
    ).encode()


class _BoundedReader(io.RawIOBase):
    """Reads a socket with a time limit per read and one for the request."""

    def __init__(
        self, connection: socket.socket, idle_s: float, total_s: float
    ):
        self._connection = connection
        self._idle_s = idle_s
        self._deadline_s = time.monotonic() + total_s

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the request was not received in full in time")
        self._connection.settimeout(min(self._idle_s, left_s))
        return self._connection.recv_into(buffer)


class _CountedInput(io.RawIOBase):
    """The request's body; counts the bytes that have not been read yet."""

    def __init__(self, stream: typing.Any, left_bytes: float):
        self._stream = stream
        self.left_bytes = left_bytes

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        size = self._stream.readinto(buffer) or 0
        self.left_bytes = self.left_bytes - size if size else 0
        return size


class _AnswerWriter:
    """Writes head and body; sends the head with the first chunk.

    Attributes:
        started: Whether the head was sent.
        ends_by_close: Whether the end of the connection is still needed to
            mark the end of the answer.
    """

    def __init__(self, handler: "Handler"):
        self._handler = handler
        self._head: tuple[str, list[tuple[str, str]]] | None = None
        self._chunked = False
        self._has_body = True
        self.started = False
        self.ends_by_close = False

    def start(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: typing.Any = None,
    ) -> abc.Callable[[bytes], None]:
        """Takes status and headers; see PEP 3333."""
        del exc_info
        self._head = (status, headers)
        return self.write

    def write(self, data: bytes) -> None:
        """Sends one chunk, preceded by the head if it is the first.

        The chunk is left out if the answer can't have a body.
        """
        head = b"" if self.started else self._begin()
        if not self._has_body:
            data = b""
        if self._chunked and data:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if head or data:
            self._handler.send(head + data)

    def finish(self) -> None:
        """Sends the end of the answer."""
        if not self.started:
            self.write(b"")
        if self._chunked:
            self._handler.send(b"0\r\n\r\n")
        if self.ends_by_close:
            self._handler.reset_at_close(enabled=False)
            self.ends_by_close = False

    def _begin(self) -> bytes:
        assert self._head is not None, "no status was set"
        status_text, headers = self._head
        code, _, reason = status_text.partition(" ")
        self.started = True
        names = {name.lower() for name, _ in headers}
        self._has_body = (
            int(code) not in _NO_BODY_STATUSES
            and self._handler.command != "HEAD"
        )
        unknown_length = self._has_body and "content-length" not in names
        self._chunked = (
            unknown_length and self._handler.request_version >= "HTTP/1.1"
        )
        if unknown_length and not self._chunked:
            # Also if this process is killed, the caller sees a reset.
            self._handler.reset_at_close(enabled=True)
            self.ends_by_close = True
        lines = [f"HTTP/1.1 {code} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        # One request per connection: an answer can't reach the wrong caller,
        # and a pipelined second request is not served.
        lines += ["Connection: close", "", ""]
        return "\r\n".join(lines).encode("latin-1")


class Handler(serving.WSGIRequestHandler):
    """Serves one request on one connection."""

    protocol_version = "HTTP/1.1"
    _non_blocking = False

    def setup(self) -> None:
        """Sets up reading with time limits and unbuffered writing."""
        self.connection = self.request
        limits = self.server.limits
        reader = _BoundedReader(
            self.connection, limits.read_timeout_s, limits.request_timeout_s
        )
        self.rfile = io.BufferedReader(reader, CHUNK_BYTES)
        self.wfile = _SocketFile(self.connection)

    def send(self, data: bytes) -> None:
        """Writes to the caller, within the write timeout.

        A caller that stops reading fills the socket's buffer; without a limit
        the write would block indefinitely and hold an endpoint's slot.

        Raises:
            OSError: The caller disconnected or has stopped reading.
        """
        if self._non_blocking:
            try:
                sent_bytes = self.connection.send(data)
            except BlockingIOError:
                sent_bytes = 0
            if sent_bytes == len(data):
                return
            data = data[sent_bytes:]
        self.connection.settimeout(self.server.limits.write_timeout_s)
        self.connection.sendall(data)
        self._set_non_blocking()

    def reset_at_close(self, *, enabled: bool) -> None:
        """Sets whether closing the connection resets it."""
        linger = struct.pack("ii", enabled, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _set_non_blocking(self) -> None:
        # A socket with a timeout polls in a system call of its own before each
        # write, though the buffer nearly always has room. TLS needs the poll.
        if not isinstance(self.connection, ssl.SSLSocket):
            self.connection.setblocking(False)
            self._non_blocking = True

    def parse_request(self) -> bool:
        """Parses the head; answers a malformed one and returns False."""
        self.command = self.path = ""
        self.request_version = "HTTP/1.1"
        self.close_connection = True
        raw = self._read_head()
        if raw is None:
            self._refuse_head(
                errors.ErrorKind.HEADERS_TOO_LARGE,
                f"the head is over {HEAD_LIMIT_BYTES} bytes",
            )
            return False
        if not raw.endswith(b"\r\n\r\n") and not raw.endswith(b"\n\n"):
            # The client disconnected or was silent for too long.
            return False
        try:
            head = heads.parse(raw)
        except errors.RefusedError as error:
            self._refuse_head(error.kind, error.detail)
            return False
        self.head = head
        self.head_bytes = len(raw)
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.headers = client.HTTPMessage()
        for name, value in head.fields:
            self.headers[name] = value
        return True

    def _read_head(self) -> bytes | None:
        lines = [self.raw_requestline]
        left_bytes = HEAD_LIMIT_BYTES - len(self.raw_requestline)
        while lines[-1] not in (b"\r\n", b"\n", b""):
            if left_bytes <= 0:
                return None
            lines.append(self.rfile.readline(left_bytes))
            left_bytes -= len(lines[-1])
        return b"".join(lines)

    def _refuse_head(self, kind: errors.ErrorKind, detail: str) -> None:
        status = http.HTTPStatus(errors.ANSWERS[kind].status)
        logs.decision(
            "answer", status=status.value, kind=kind.value, detail=detail
        )
        body = error_body(kind, detail)
        self._answer_error(f"{status.value} {status.phrase}", body)
        self._linger()

    def log_request(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Does nothing: the application logs its requests."""

    def log(self, type: str, message: str, *args: typing.Any) -> None:
        """Logs what went wrong on a connection."""
        logs.event("http", "DEBUG", detail=message % args)

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Answers a request that can't be parsed, with JSON like all errors."""
        detail = message or http.HTTPStatus(code).phrase
        body = error_body(errors.ErrorKind.BAD_REQUEST, detail)
        self.command = self.command or "GET"
        self.request_version = "HTTP/1.1"
        self.close_connection = True
        self._answer_error(f"{code} {http.HTTPStatus(code).phrase}", body)
        self._linger()

    def _answer_error(self, status: str, body: bytes) -> None:
        writer = _AnswerWriter(self)
        writer.start(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        writer.write(body)

    def run_wsgi(self) -> None:
        """Runs the application and writes what it yields."""
        self.close_connection = True
        if self.headers.get("Expect", "").strip().lower() == "100-continue":
            self.connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.environ = environ = self.make_environ()
        environ[ARRIVED_KEY] = time.monotonic()
        environ[HEADERS_KEY] = self.head.fields
        environ[HEAD_BYTES_KEY] = self.head_bytes
        if self.head.is_chunked:
            environ["wsgi.input_terminated"] = True
            environ["wsgi.input"] = chunked.ChunkedInput(self.rfile)
        body = _CountedInput(environ["wsgi.input"], _body_bytes(environ))
        environ["wsgi.input"] = body
        writer = _AnswerWriter(self)
        try:
            self._relay(self.server.app(environ, writer.start), writer)
        except OSError as error:
            self.log("info", "the caller disconnected: %s", error)
        except errors.RouterError as error:
            # The last chunk or some of the announced bytes are missing, or the
            # connection is reset, so the caller sees that it is incomplete.
            self.log("info", "the answer was cut off: %s", error)
        except Exception as error:
            logs.event("http", "ERROR", detail=repr(error))
            if not writer.started:
                self._answer_error(
                    "500 Internal Server Error",
                    error_body(
                        errors.ErrorKind.INTERNAL,
                        "see the log of this instance",
                    ),
                )
        if writer.ends_by_close:
            self.connection.close()
        elif body.left_bytes > 0:
            self._linger()

    def _relay(
        self, chunks: abc.Iterable[bytes], writer: _AnswerWriter
    ) -> None:
        try:
            for data in chunks:
                writer.write(data)
            writer.finish()
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def _linger(self) -> None:
        # Closing a socket with unread input resets the connection, and the
        # reset can overtake the answer: the caller would not see the error.
        deadline_s = time.monotonic() + LINGER_S
        left_bytes = LINGER_BYTES
        try:
            self.connection.shutdown(socket.SHUT_WR)
            while left_bytes > 0:
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    return
                self.connection.settimeout(left_s)
                size = len(self.connection.recv(CHUNK_BYTES))
                if not size:
                    return
                left_bytes -= size
        except OSError:
            return


class _SocketFile(io.RawIOBase):
    """The unbuffered file that the base class writes to."""

    def __init__(self, connection: socket.socket):
        self._connection = connection

    def writable(self) -> bool:
        return True

    def write(self, data: typing.Any) -> int:
        self._connection.sendall(data)
        return len(data)


def _body_bytes(environ: dict[str, typing.Any]) -> float:
    if environ.get("wsgi.input_terminated"):
        return float("inf")
    try:
        return max(0, int(environ.get("CONTENT_LENGTH") or 0))
    except ValueError:
        return 0
