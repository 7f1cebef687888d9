"""Short HTTP requests, for load reports, lists and operators.

Their answers are parsed like those to callers' requests, so that no endpoint's
answer is valid for one reader and not for the other.
"""

import dataclasses
import select
import socket
import ssl
import time
from urllib import parse

from cardamombarrow.endpoints import answer_parser
from cardamombarrow.kernel import errors

__all__ = ["MAX_REPLY_BYTES", "Reply", "fetch"]

MAX_REPLY_BYTES = 8_388_608
"""Maximum size of an answer's body, twice that of a submitted document. Faulty
servers may send without end."""

READ_BYTES = 65_536

_PORTS = {"http": 80, "https": 443}

_WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes


def fetch(
    url: str,
    *,
    timeout_s: float,
    method: str = "GET",
    body: bytes | None = None,
    headers: tuple[str, ...] = (),
    ca_file: str = "",
    max_bytes: int = MAX_REPLY_BYTES,
) -> Reply:
    """Sends one request on a new connection and reads the answer.

    Args:
        url: Where it is sent.
        timeout_s: Time for the whole exchange.
        method: Its method.
        body: Its body; None for none.
        headers: Header fields, each ``name: value``; they replace those that
            are sent by default, such as ``Host``.
        ca_file: Certificates to trust, in PEM; empty for those of the system.
        max_bytes: Size of the largest body that is read.

    Raises:
        errors.EndpointError: No complete answer came in time, or its body is
            over `max_bytes`.
    """
    exchange = _Exchange(time.monotonic() + timeout_s, max_bytes)
    try:
        target = _Target.parse(url)
        exchange.start(method, target, headers, body)
        with _connect(target, timeout_s, ca_file) as connection:
            return exchange.run(connection)
    except (
        OSError,
        ValueError,
        errors.RefusedError,
        answer_parser.InvalidAnswerError,
    ) as error:
        raise errors.EndpointError(
            errors.ErrorKind.ENDPOINT_FAILED
            if exchange.sent
            else errors.ErrorKind.ENDPOINT_UNREACHED,
            f"{url}: {error}",
            sent=exchange.sent,
        ) from None


@dataclasses.dataclass(frozen=True)
class _Target:
    """What a URL names.

    Attributes:
        authority: Host and port as the URL gives them.
        path: Path and query.
    """

    is_tls: bool
    host: str
    port: int
    authority: str
    path: str

    @classmethod
    def parse(cls, url: str) -> "_Target":
        """Parses a URL.

        Raises:
            ValueError: It is no URL of HTTP.
        """
        parts = parse.urlsplit(url)
        if parts.scheme not in _PORTS or not parts.hostname:
            raise ValueError("no URL of HTTP")
        query = f"?{parts.query}" if parts.query else ""
        return cls(
            is_tls=parts.scheme == "https",
            host=parts.hostname,
            port=_PORTS[parts.scheme] if parts.port is None else parts.port,
            authority=parts.netloc.rpartition("@")[2],
            path=(parts.path or "/") + query,
        )


def _connect(target: _Target, timeout_s: float, ca_file: str) -> socket.socket:
    """Connects to a target.

    Raises:
        OSError: It is not reachable, or its certificate is not valid.
        ValueError: Its host is no name.
    """
    connection = socket.create_connection(
        (target.host, target.port), timeout=timeout_s
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if not target.is_tls:
        return connection
    try:
        context = ssl.create_default_context(cafile=ca_file or None)
        # An end without the closing alert may have been forged.
        return context.wrap_socket(
            connection,
            server_hostname=target.host,
            suppress_ragged_eofs=False,
        )
    except BaseException:
        connection.close()
        raise


class _Exchange:
    """One request and its answer.

    Attributes:
        sent: Whether any byte of the request was sent.
    """

    def __init__(self, deadline_s: float, max_bytes: int):
        self._deadline_s = deadline_s
        self._max_bytes = max_bytes
        self._parser = answer_parser.AnswerParser()
        self._unsent = memoryview(b"")
        self._body = bytearray()
        self.sent = False

    def start(
        self,
        method: str,
        target: _Target,
        headers: tuple[str, ...],
        body: bytes | None,
    ) -> None:
        """Writes the request.

        Raises:
            errors.RefusedError: It can't be written as HTTP.
        """
        fields = {
            "host": ("Host", target.authority),
            "accept": ("Accept", "*/*"),
        }
        for header in headers:
            name, _, value = header.partition(":")
            fields[name.lower()] = (name, value.strip())
        if body is not None:
            fields["content-length"] = ("Content-Length", str(len(body)))
        self._unsent = memoryview(
            self._parser.start_request(
                method, target.path, fields.values(), body or b""
            )
        )

    def run(self, connection: socket.socket) -> Reply:
        """Sends the request and reads the answer.

        Raises:
            OSError: The connection broke, or the answer is late or too large.
            answer_parser.InvalidAnswerError: It is no valid answer.
        """
        connection.setblocking(False)
        poll = select.poll()
        poll.register(connection)
        while not self._parser.whole:
            # A server may answer before it has read the whole request, whose
            # rest is not needed then.
            is_sending = bool(self._unsent) and self._parser.head is None
            events = select.POLLIN | (select.POLLOUT if is_sending else 0)
            poll.modify(connection, events)
            left_s = self._deadline_s - time.monotonic()
            ready = poll.poll(max(left_s, 0.0) * 1_000)
            if not ready:
                raise TimeoutError("no complete answer in time")
            _, mask = ready[0]
            if mask & ~select.POLLOUT:
                self._receive(connection)
            if mask & select.POLLOUT:
                self._send(connection)
        if self._parser.exceeds_length:
            raise answer_parser.InvalidAnswerError(
                "the body is longer than the head states"
            )
        assert self._parser.head is not None, "the answer is whole"
        return Reply(self._parser.head.status, bytes(self._body))

    def _send(self, connection: socket.socket) -> None:
        try:
            size = connection.send(self._unsent)
        except _WOULD_BLOCK:
            return
        self.sent = self.sent or size > 0
        self._unsent = self._unsent[size:]

    def _receive(self, connection: socket.socket) -> None:
        try:
            data = connection.recv(READ_BYTES)
        except _WOULD_BLOCK:
            return
        self._parser.receive(data)
        self._body += self._parser.take_body()
        if len(self._body) > self._max_bytes:
            raise OSError(f"a body of over {self._max_bytes} bytes")
