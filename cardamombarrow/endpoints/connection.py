"""A non-blocking HTTP/1.1 connection to an endpoint.

The thread that relays an answer polls the socket together with that of the
caller, and calls the connection when its socket is ready.
"""

from collections import abc
import errno
import os
import re
import select
import socket

from cardamombarrow.endpoints import answer_parser
from cardamombarrow.endpoints import base
from cardamombarrow.kernel import heads

__all__ = ["BrokenError", "Connection", "is_end"]

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 3
"""TCP keepalive detects a lost peer while an answer is awaited."""

READ_BYTES = 65_536

_KEEPALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*(\d{1,6})", re.I)


_ENDED = (
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ECONNABORTED,
    errno.EPIPE,
)
"""Errors of connections whose process has ended; others are those of the
path."""


class BrokenError(Exception):
    """The connection failed, or received data that is not an HTTP answer.

    Attributes:
        ended: Whether the endpoint has closed, reset or refused it.
    """

    def __init__(self, detail: str, *, ended: bool = False):
        super().__init__(detail)
        self.ended = ended


def is_end(code: int | None) -> bool:
    """Returns whether a connection fails so if its process has ended."""
    return code in _ENDED


class Connection:
    """A connection and the state of its current exchange.

    Attributes:
        connected: Whether the TCP connection is established.
        sent: Whether any byte of the current request was sent.
        head: Status and headers of the answer, once received.
        idle_since_s: End of its last answer; set by the pool.
        usable_until_s: End of the time in which it may serve another request
            and the endpoint keeps it open; set by the pool.
        is_busy: Whether it serves a request.
        was_reset: Whether it has failed other than by an orderly end.
    """

    def __init__(self, address: str):
        """Starts to connect.

        Raises:
            OSError: The address is not reachable.
        """
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        _set_options(self._socket)
        self._parser = answer_parser.AnswerParser()
        self._unsent = memoryview(b"")
        self._request_cut = False
        self.connected = False
        self.sent = False
        self.head: base.Head | None = None
        self.idle_since_s = 0.0
        self.usable_until_s = 0.0
        self.is_busy = True
        self.was_reset = False
        self._on_close: abc.Callable[[], None] = lambda: None
        code = self._socket.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            self._socket.close()
            raise OSError(code, os.strerror(code))

    def fileno(self) -> int:
        """Returns the descriptor of the socket."""
        return self._socket.fileno()

    @property
    def events(self) -> int:
        """Mask of events to poll the socket for."""
        if not self.connected:
            return select.POLLOUT
        return select.POLLIN | (select.POLLOUT if self._unsent else 0)

    def start_request(
        self,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Starts the next request, which `handle_events` sends.

        Raises:
            errors.RefusedError: The request can't be written as HTTP.
        """
        data = self._parser.start_request(method, target, headers, body)
        self._unsent = memoryview(data)
        self.sent = False

    def handle_events(self, mask: int) -> None:
        """Sends and receives after `poll` has returned the socket.

        Args:
            mask: Events that `poll` returned.

        Raises:
            BrokenError: The connection failed.
        """
        if self._unsent and not mask & select.POLLIN:
            self._send()
        if mask & ~select.POLLOUT:
            self._receive()

    def is_established(self) -> bool:
        """Returns whether a connection that polls as writable has succeeded."""
        return not self._connect_error()

    def _connect_error(self) -> int:
        return self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def finish_connect(self) -> None:
        """Completes connecting; call once the socket polls as writable.

        Raises:
            BrokenError: It is not connected.
        """
        code = self._connect_error()
        if code:
            raise BrokenError(
                f"not connected: {os.strerror(code)}", ended=is_end(code)
            )
        self.connected = True

    def _send(self) -> None:
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            self.was_reset = True
            raise BrokenError(
                f"not sent: {error}", ended=is_end(error.errno)
            ) from None
        self.sent = self.sent or count > 0
        self._unsent = self._unsent[count:]

    def _receive(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.was_reset = True
            raise BrokenError(
                f"connection lost: {error}", ended=is_end(error.errno)
            ) from None
        try:
            self._parser.receive(data)
        except answer_parser.InvalidAnswerError as error:
            raise BrokenError(
                f"invalid HTTP answer: {error}", ended=not data
            ) from None
        if self.head is None and self._parser.head is not None:
            self._set_head(self._parser.head)

    def _set_head(self, head: heads.AnswerHead) -> None:
        self.head = base.Head(
            head.status,
            {name.lower(): value for name, value in head.fields},
            head.reason,
        )
        # The rest of the request is no longer needed. It is dropped, and the
        # connection is not reused: the endpoint would read the next request
        # as the rest of this one.
        self._request_cut = bool(self._unsent)
        self._unsent = memoryview(b"")

    @property
    def whole(self) -> bool:
        """Whether the whole answer was received."""
        return self._parser.whole

    @property
    def ended_by_close(self) -> bool:
        """Whether only the end of the connection marked the answer's end."""
        return self._parser.ended_by_close

    @property
    def unparsed_bytes(self) -> int:
        """Size of the part of the answer that can't be parsed yet."""
        return self._parser.unparsed_bytes

    @property
    def exceeds_length(self) -> bool:
        """Whether the answer's body may be longer than its head states."""
        return self._parser.exceeds_length

    @property
    def has_body(self) -> bool:
        """Whether a part of the body was received that was not taken yet."""
        return self._parser.has_body

    def take_body(self) -> bytes:
        """Returns the received part of the body that was not taken yet."""
        return self._parser.take_body()

    @property
    def keep_alive_s(self) -> float:
        """Time for which the endpoint keeps it open; 0 if it must be closed.

        Not 0 only after a complete exchange without errors, and if the endpoint
        states the time. Otherwise the endpoint could close the connection while
        a request is sent, so that it is unknown whether the request has run.
        """
        done = self._parser.allows_next_request and self.sent
        if not done or self._request_cut or self._unsent or self.head is None:
            return 0.0
        match = _KEEPALIVE_TIMEOUT.search(
            self.head.headers.get("keep-alive", "")
        )
        return float(match[1]) if match else 0.0

    def is_reusable(self) -> bool:
        """Returns whether an idle connection is open and received no data.

        Such data belongs to no request: a surplus answer, or the end of the
        connection.
        """
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    def reset(self) -> None:
        """Prepares for the next request after a complete exchange."""
        self._parser.start_next()
        self.head = None
        self.sent = False
        self.is_busy = True

    def has_hung_up(self) -> bool:
        """Returns whether the endpoint has closed or reset it."""
        poll = select.poll()
        poll.register(self._socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def set_close_listener(self, listener: abc.Callable[[], None]) -> None:
        """Sets what is called before the socket is closed."""
        self._on_close = listener

    def close(self) -> None:
        """Closes the connection, which cancels a running request."""
        self._on_close()
        self._socket.close()


def _set_options(connection: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
