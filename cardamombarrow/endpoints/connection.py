"""One TCP connection to an endpoint, and the HTTP/1.1 spoken on it.

Never blocks: the thread that relays an answer polls the socket together with
its caller's, and tells the connection when it is ready.
"""

import collections
from collections import abc
import errno
import os
import re
import select
import socket

import h11

from cardamombarrow.endpoints import base
from cardamombarrow.kernel import errors

__all__ = ["BrokenError", "Connection"]

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 3
"""A connection whose peer vanished is noticed while an answer is awaited."""

HEAD_LIMIT_BYTES = 131_072
READ_BYTES = 65_536

_KEEP = re.compile(r"\btimeout\s*=\s*(\d{1,6})", re.I)


class BrokenError(Exception):
    """The connection broke, or what came on it is no answer."""


class Connection:
    """A connection and the state of the exchange on it.

    Attributes:
        sent: Whether any byte of the present request has left.
        head: Status and headers of the answer, once they are there.
        whole: Whether the whole answer is there.
        idle_since_s: When its last answer ended, set by the pool.
    """

    def __init__(self, address: str):
        """Begins to connect.

        Raises:
            OSError: The address can't be reached.
        """
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        _set_options(self._socket)
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self._unsent = memoryview(b"")
        self._chunks: collections.deque[bytes] = collections.deque()
        self._refused = False
        self.connected = False
        self.sent = False
        self.head: base.Head | None = None
        self.whole = False
        self.idle_since_s = 0.0
        code = self._socket.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            self._socket.close()
            raise OSError(code, os.strerror(code))

    def fileno(self) -> int:
        """Returns the socket's descriptor."""
        return self._socket.fileno()

    @property
    def events(self) -> int:
        """What to poll the socket for."""
        if not self.connected:
            return select.POLLOUT
        return select.POLLIN | (select.POLLOUT if self._unsent else 0)

    def begin(
        self,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Takes the next request; it leaves as the socket takes it.

        Raises:
            errors.RefusedError: HTTP has no form for it.
        """
        try:
            request = h11.Request(
                method=method.encode("ascii"),
                target=target.encode("latin-1"),
                headers=[
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
            )
            data = self._http.send(request)
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise errors.RefusedError(
                errors.ErrorKind.BAD_REQUEST, f"not sent on: {error}"
            ) from None
        self._unsent = memoryview(data)
        self.sent = False

    def ready(self, mask: int) -> None:
        """Goes on with a socket that `poll` has returned.

        Raises:
            BrokenError: It can't go on.
        """
        if not self.connected:
            self._finish_connect()
        if self._unsent and not mask & select.POLLIN:
            self._send()
        if mask & ~select.POLLOUT:
            self._receive()

    def _finish_connect(self) -> None:
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise BrokenError(f"not connected: {os.strerror(code)}")
        self.connected = True

    def _send(self) -> None:
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            raise BrokenError(f"not sent: {error}") from None
        self.sent = self.sent or count > 0
        self._unsent = self._unsent[count:]

    def _receive(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            raise BrokenError(f"broke: {error}") from None
        try:
            self._http.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError as error:
            raise BrokenError(f"no answer in HTTP: {error}") from None

    def _take_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self.head = base.Head(
                    event.status_code,
                    {
                        name.decode("latin-1"): value.decode("latin-1")
                        for name, value in event.headers
                    },
                    event.reason.decode("latin-1"),
                )
                # What is not sent by now nobody waits for, and bytes that a
                # later request would find before its own must not follow.
                self._refused = bool(self._unsent)
                self._unsent = memoryview(b"")
            elif isinstance(event, h11.Data):
                self._chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.whole = True
                return
            elif not isinstance(event, h11.InformationalResponse):
                return

    def take(self) -> bytes:
        """Returns the part of the body that is there and was not taken."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    @property
    def keep_s(self) -> float:
        """How long the endpoint keeps it open; 0 where it must be closed.

        Only after a whole exchange in which all went as it should, and only
        where the endpoint tells the time: a request may otherwise cross its
        close, and nobody knows whether it has run.
        """
        http = self._http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        trailing, _ = http.trailing_data
        if not (done and self.whole and self.sent) or self._refused:
            return 0.0
        if self._unsent or trailing or self.head is None:
            return 0.0
        match = _KEEP.search(self.head.headers.get("keep-alive", ""))
        return float(match[1]) if match else 0.0

    def is_quiet(self) -> bool:
        """Tells whether an idle connection is open and nothing came on it.

        What came belongs to no request: an answer too many, or the end.
        """
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    def renew(self) -> None:
        """Prepares for the next request after a whole exchange."""
        self._http.start_next_cycle()
        self._chunks.clear()
        self.head = None
        self.whole = self.sent = False

    def close(self) -> None:
        """Closes it; an endpoint that is at work on a request drops it."""
        self._socket.close()


def _set_options(connection: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
