"""A stand-in for servers of the platform that answer in a scripted way.

All servers run in threads of the test, one port each. A script says how an
answer is framed and how it ends. Every request is recorded.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import enum
import itertools
import json
import socket
import struct
import threading
import time
import urllib.parse

__all__ = [
    "CUTS",
    "NOTICEABLE_CUTS",
    "SERVICE",
    "Answer",
    "Ending",
    "Framing",
    "Listed",
    "Received",
    "Servers",
    "Written",
    "event",
    "reset",
]

SERVICE = "letters"
SLOTS = 64
HEAD_BYTES = 65_536
LISTING_STEP_S = 0.05


class Framing(enum.Enum):
    """How an answer's end is marked."""

    CLOSE = "close"
    CHUNKED = "chunked"
    LENGTH = "length"


class Ending(enum.Enum):
    """How an answer ends."""

    WHOLE = "whole"
    CLOSED_IN_EVENT = "closed in event"
    CLOSED_BETWEEN_EVENTS = "closed between events"
    FRAMED_IN_EVENT = "framed in event"
    RESET_IN_EVENT = "reset in event"
    RESET_BETWEEN_EVENTS = "reset between events"

    @property
    def cuts_event(self) -> bool:
        """Whether the last event lacks its end."""
        return self in (
            Ending.CLOSED_IN_EVENT,
            Ending.FRAMED_IN_EVENT,
            Ending.RESET_IN_EVENT,
        )

    @property
    def resets(self) -> bool:
        """Whether the connection is reset."""
        return self in (Ending.RESET_IN_EVENT, Ending.RESET_BETWEEN_EVENTS)


CUTS = [
    (framing, ending)
    for framing, ending in itertools.product(Framing, Ending)
    if ending is not Ending.WHOLE
    and (framing, ending) != (Framing.CLOSE, Ending.FRAMED_IN_EVENT)
]
"""All ways in which a stream can break off."""

NOTICEABLE_CUTS = [
    each
    for each in CUTS
    if each != (Framing.CLOSE, Ending.CLOSED_BETWEEN_EVENTS)
]
"""Those that do not end like a whole stream."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer.

    Attributes:
        events: Events of a whole stream.
        sent: Events that are sent in full.
        pause_s: Time before each event, or before one of them.
        pause_at: Index of the piece before which it pauses; None for all.
        line_end: Line end within events.
        status: Its status; any but 200 has no events.
        content_type: Its content type.
        pieces: Its body as it is sent, instead of events; None for events.
        on_begun: Called when the head has been sent.
        work_s: Time before the head.
        hold: Called with the number of each event before it is sent.
        interim: Heads of interim answers that are sent first.
        head_bytes: Bytes of the heads that are sent before the connection ends;
            None for all.
        alter_head: Returns what is sent in place of its final head.
    """

    framing: Framing = Framing.CHUNKED
    ending: Ending = Ending.WHOLE
    events: int = 6
    sent: int = 6
    pause_s: float = 0.0
    pause_at: int | None = None
    line_end: bytes = b"\n"
    status: int = 200
    content_type: str = "text/event-stream"
    pieces: tuple[bytes, ...] | None = None
    on_begun: abc.Callable[[], None] = lambda: None
    work_s: float = 0.0
    hold: abc.Callable[[int], None] = lambda number: None
    interim: bytes = b""
    head_bytes: int | None = None
    alter_head: abc.Callable[[bytes], bytes] = lambda head: head


@dataclasses.dataclass(frozen=True)
class Received:
    """A request as a server has received it.

    Attributes:
        identity: The server's identity.
        version: Version of the server's software.
        last_event: Number of the event after which the stream goes on.
        headers: All header fields, names in lower case.
        at_s: When it arrived, monotonic.
    """

    identity: str
    version: str
    attempt: str
    target: str
    last_event: int
    headers: dict[str, str]
    at_s: float

    @property
    def is_run(self) -> bool:
        """Whether it named the server that received it, or none."""
        return self.headers.get("expect-instance", self.identity) == (
            self.identity
        )


@dataclasses.dataclass(frozen=True)
class Written:
    """An event that a server has sent.

    Attributes:
        attempt: The attempt that it answers.
        service: Service of the server.
    """

    attempt: str
    service: str
    version: str
    number: int


UNLISTED = "unlisted"
"""State of a server that the list leaves out."""


@dataclasses.dataclass
class Listed:
    """A server, as its platform lists it."""

    identity: str
    port: int
    version: str = "v1"
    zone: str = "a"
    state: str = "ready"
    service: str = SERVICE
    slots: int = SLOTS


def event(number: int, version: str, line_end: bytes = b"\n") -> bytes:
    """Returns an event whose data names the software that wrote it."""
    lines = (f"id: {number}".encode(), f"data: {version}/{number}".encode())
    return line_end.join((*lines, b"", b""))


def reset(connection: socket.socket) -> None:
    """Closes a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class Servers(contextlib.AbstractContextManager):
    """The servers and the list of them.

    Attributes:
        script: Returns the answer to a request.
        listed: The servers by port.
        received: All requests, in order.
        written: All events that were sent, in order.
        foreign: Entries of the list by another writer, as they are sent.
        foreign_page: Number of the page that holds them, from 0.
        page_size: Servers on each page of the list; 0 for a single page.
        damaged: Identities of servers whose entries of the list can't be read.
        listing_lag_s: Time by which the list lags behind.
        listing_bytes: Bytes of an answer with the list that are sent before the
            connection ends; None for all.
        listing_url: URL of the list.
    """

    def __init__(self, script: abc.Callable[[Received], Answer]):
        self.script = script
        self.listed: dict[int, Listed] = {}
        self.received: list[Received] = []
        self.written: list[Written] = []
        self.foreign: list[bytes] = []
        self.foreign_page = 0
        self.page_size = 0
        self.damaged: set[str] = set()
        self.listing_lag_s = 0.0
        self.listing_bytes: int | None = None
        self._listings: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._listeners: dict[int, socket.socket] = {}
        self._open: dict[int, set[socket.socket]] = {}
        self._lock = threading.Lock()
        port = self._listen(self._answer_listing)
        self.listing_url = f"http://127.0.0.1:{port}/instances"

    def __exit__(self, *_: object) -> None:
        """Stops all servers."""
        for port in list(self._listeners):
            self._close(port)

    def start(
        self, identity: str, port: int = 0, **fields: str | int
    ) -> Listed:
        """Starts a server and lists it.

        Args:
            identity: Its identity.
            port: The port of one that has ended; 0 for a free one.
            **fields: Other fields of its entry.
        """
        port = self._listen(self._answer_request, port)
        listed = Listed(identity, port, **fields)
        self.listed[port] = listed
        return listed

    def crash(self, listed: Listed) -> None:
        """Ends a server; its connections break, and it leaves the list."""
        self.listed.pop(listed.port, None)
        self._close(listed.port)

    def restart(self, listed: Listed, version: str) -> None:
        """Has a server come back under its identity with other software."""
        self._close(listed.port)
        listed.version = version
        self._listen(self._answer_request, listed.port)

    def _close(self, port: int) -> None:
        listener = self._listeners.pop(port, None)
        if listener is None:
            return
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self._lock:
            connections = self._open.pop(port, set())
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _listen(
        self,
        answer: abc.Callable[[socket.socket, int, bytes], None],
        port: int = 0,
    ) -> int:
        listener = socket.create_server(("127.0.0.1", port), backlog=256)
        port = listener.getsockname()[1]
        self._listeners[port] = listener
        self._open[port] = set()
        threading.Thread(
            target=self._accept, args=(listener, port, answer), daemon=True
        ).start()
        return port

    def _accept(
        self,
        listener: socket.socket,
        port: int,
        answer: abc.Callable[[socket.socket, int, bytes], None],
    ) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                if port in self._open:
                    self._open[port].add(connection)
            threading.Thread(
                target=self._serve, args=(connection, port, answer), daemon=True
            ).start()

    def _serve(
        self,
        connection: socket.socket,
        port: int,
        answer: abc.Callable[[socket.socket, int, bytes], None],
    ) -> None:
        try:
            with contextlib.suppress(OSError):
                raw = b""
                while b"\r\n\r\n" not in raw and len(raw) < HEAD_BYTES:
                    data = connection.recv(HEAD_BYTES)
                    if not data:
                        return
                    raw += data
                answer(connection, port, raw)
        finally:
            with self._lock:
                self._open.get(port, set()).discard(connection)
            connection.close()

    def _answer_listing(
        self, connection: socket.socket, port: int, raw: bytes
    ) -> None:
        del port
        query = urllib.parse.urlsplit(raw.split(b" ", 2)[1].decode()).query
        (page,) = urllib.parse.parse_qs(query).get("pageToken", ["0"])
        body = self._listing(int(page))
        if self.listing_lag_s:
            body = self._listing_of(time.monotonic() - self.listing_lag_s)
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )
        connection.sendall(answer[: self.listing_bytes])

    @contextlib.contextmanager
    def lagging(self, lag_s: float) -> abc.Iterator[None]:
        """Has the list lag while the context is open."""
        stopped = threading.Event()
        self._listings.append((time.monotonic(), self._listing()))
        self.listing_lag_s = lag_s
        thread = threading.Thread(target=self._record_listings, args=(stopped,))
        thread.start()
        try:
            yield
        finally:
            self.listing_lag_s = 0.0
            stopped.set()
            thread.join()

    def _record_listings(self, stopped: threading.Event) -> None:
        while not stopped.wait(LISTING_STEP_S):
            self._listings.append((time.monotonic(), self._listing()))

    def _listing_of(self, at_s: float) -> bytes:
        """Returns the newest list of a time or before, or the oldest one."""
        listings = list(self._listings)
        before = [body for recorded_s, body in listings if recorded_s <= at_s]
        return before[-1] if before else listings[0][1]

    def _listing(self, page: int = 0) -> bytes:
        instances = [
            {
                "id": each.identity,
                "service": each.service,
                "address": f"127.0.0.1:{each.port}",
                "zone": each.zone,
                "version": each.version,
                "slots": each.slots,
                "coldRemainingMs": 0,
                "state": each.state,
            }
            for each in list(self.listed.values())
            if each.state != UNLISTED
        ]
        for each in instances:
            if each["id"] in self.damaged:
                each["slots"] = str(SLOTS)
        following = b"null"
        if self.page_size:
            start = page * self.page_size
            if start + self.page_size < len(instances):
                following = b'"%d"' % (page + 1)
            instances = instances[start : start + self.page_size]
        foreign = self.foreign if page == self.foreign_page else []
        entries = [*foreign, *(json.dumps(each).encode() for each in instances)]
        return b'{"instances":[%b],"nextToken":%b}' % (
            b",".join(entries),
            following,
        )

    def _answer_request(
        self, connection: socket.socket, port: int, raw: bytes
    ) -> None:
        listed = self.listed.get(port)
        if listed is None:
            return
        received = _parse(raw, listed)
        _read_body(connection, raw, received)
        self.received.append(received)
        if not received.is_run:
            connection.sendall(
                b"HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )
            return
        for number in _send(connection, received, self.script(received)):
            self.written.append(
                Written(
                    received.attempt, listed.service, received.version, number
                )
            )


def _parse(raw: bytes, listed: Listed) -> Received:
    first, *lines = raw.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Received(
        listed.identity,
        listed.version,
        headers.get("attempt-id", ""),
        first.split(" ")[1],
        _number(headers.get("last-event-id", "0")),
        headers,
        time.monotonic(),
    )


def _number(text: str) -> int:
    """Returns a number; 0 for other texts."""
    return int(text) if text.isdecimal() else 0


def _read_body(
    connection: socket.socket, raw: bytes, received: Received
) -> None:
    left = int(received.headers.get("content-length", "0"))
    left -= len(raw.partition(b"\r\n\r\n")[2])
    while left > 0:
        data = connection.recv(min(left, HEAD_BYTES))
        if not data:
            return
        left -= len(data)


def _pieces(received: Received, answer: Answer) -> list[bytes]:
    """Returns the pieces of a whole answer."""
    if answer.pieces is not None:
        return list(answer.pieces)
    return [
        event(number, received.version, answer.line_end)
        for number in range(received.last_event + 1, answer.events + 1)
    ]


def _send_pieces(
    connection: socket.socket, answer: Answer, pieces: list[bytes]
) -> abc.Iterator[int]:
    """Sends pieces; returns the index of each just before it."""
    for index, piece in enumerate(pieces):
        if answer.pause_at in (None, index):
            time.sleep(answer.pause_s)
        yield index
        if answer.framing is Framing.CHUNKED:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        connection.sendall(piece)


def _send_head(
    connection: socket.socket, answer: Answer, lines: list[str]
) -> bool:
    """Sends the heads of an answer; returns whether its body follows."""
    head = answer.alter_head("\r\n".join([*lines, "", ""]).encode())
    heads = answer.interim + head
    connection.sendall(heads[: answer.head_bytes])
    if answer.head_bytes is None:
        return True
    if answer.ending.resets:
        reset(connection)
    return False


def _send(
    connection: socket.socket, received: Received, answer: Answer
) -> abc.Iterator[int]:
    """Sends an answer; returns the number of each event just before it."""
    head = [
        f"HTTP/1.1 {answer.status} Scripted",
        f"Attempt-Id: {received.attempt}",
        f"Server-Seal: {received.identity}",
        f"Content-Type: {answer.content_type}",
    ]
    pieces = _pieces(received, answer)
    if answer.status != 200:
        pieces = []
        head.append("Not-Executed: 1")
    length = sum(map(len, pieces))
    whole = answer.ending is Ending.WHOLE
    if not whole and answer.pieces is None:
        half = event(answer.sent + 1, received.version, answer.line_end)[:7]
        pieces = pieces[: answer.sent - received.last_event]
        if answer.ending.cuts_event:
            pieces.append(half)
    is_framed = whole or answer.ending is Ending.FRAMED_IN_EVENT
    if answer.framing is Framing.LENGTH:
        length = sum(map(len, pieces)) if is_framed else length
        head.append(f"Content-Length: {length}")
    elif answer.framing is Framing.CHUNKED:
        head.append("Transfer-Encoding: chunked")
    time.sleep(answer.work_s)
    if not _send_head(connection, answer, head):
        return
    answer.on_begun()
    for index in _send_pieces(connection, answer, pieces):
        number = received.last_event + 1 + index
        answer.hold(number)
        yield number
    if answer.framing is Framing.CHUNKED and is_framed:
        connection.sendall(b"0\r\n\r\n")
    if answer.ending.resets:
        # What was sent before a reset may be lost with it.
        time.sleep(0.1)
        reset(connection)
