"""Parses the answers that arrive on one connection.

h11 parses the bodies. It tolerates heads that two programs may read
differently, so each head is parsed by `kernel.heads` before h11 sees it.
"""

from collections import abc
import re

import h11

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import heads

__all__ = ["HEAD_LIMIT_BYTES", "AnswerParser", "InvalidAnswerError"]

HEAD_LIMIT_BYTES = 131_072
"""Size of the largest head, together with the interim answers before it."""

_BODILESS = (204, 304)
"""Statuses of answers without a body, whatever length they state."""

_VERSION_START = b"HTTP/"
_HEAD_END = re.compile(rb"(?:\A|\n)\r?\n")


class InvalidAnswerError(Exception):
    """The data is not an HTTP answer, or ends within one."""


class AnswerParser:
    """The requests and answers of one connection, one after the other.

    Attributes:
        head: Status and fields of the answer, once received.
        whole: Whether the whole answer was received.
        ended_by_close: Whether only the end of the connection marked its end.
        unparsed_bytes: Size of the part of the answer that is buffered until
            more is received: of a head, a chunk's size or trailers.
    """

    def __init__(self):
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self._unparsed_head = bytearray()
        self._head_bytes = 0
        self._has_length = False
        self._body = bytearray()
        self.head: heads.AnswerHead | None = None
        self.whole = False
        self.ended_by_close = False
        self.unparsed_bytes = 0

    def start_request(
        self,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        """Returns a request as it is sent.

        Raises:
            errors.RefusedError: The request can't be written as HTTP.
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
            return data + self._http.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise errors.RefusedError(
                errors.ErrorKind.BAD_REQUEST, f"not valid HTTP: {error}"
            ) from None

    def receive(self, data: bytes) -> None:
        """Parses data that was received.

        Args:
            data: The data; empty at the end of the connection.

        Raises:
            InvalidAnswerError: It does not continue a valid answer.
        """
        try:
            if self.head is None:
                self._receive_head(data)
            else:
                self._http.receive_data(data)
                self._parse_body(len(data))
        except h11.RemoteProtocolError as error:
            raise InvalidAnswerError(str(error)) from None
        self.ended_by_close = self.whole and not data

    def _receive_head(self, data: bytes) -> None:
        """Parses heads until the final one has ended."""
        if not data:
            raise InvalidAnswerError("the connection ended within the head")
        searched_bytes = max(len(self._unparsed_head) - 2, 0)
        self._unparsed_head += data
        while self.head is None:
            end = _HEAD_END.search(self._unparsed_head, searched_bytes)
            if end is None:
                break
            raw = bytes(self._unparsed_head[: end.end()])
            del self._unparsed_head[: end.end()]
            searched_bytes = 0
            self._parse_head(raw)
        if self.head is not None:
            self.unparsed_bytes = 0
            self._begin_body()
            return
        self.unparsed_bytes = len(self._unparsed_head)
        self._head_bytes += len(data)
        if self._head_bytes > HEAD_LIMIT_BYTES:
            raise InvalidAnswerError(f"a head of over {HEAD_LIMIT_BYTES} bytes")

    def _parse_head(self, raw: bytes) -> None:
        try:
            head = heads.parse_answer(raw)
        except ValueError as error:
            raise InvalidAnswerError(str(error)) from None
        self._http.receive_data(raw)
        event = self._http.next_event()
        if isinstance(event, h11.Response):
            self.head = head
            self._has_length = head.status not in _BODILESS and any(
                name.lower() == "content-length" for name, _ in head.fields
            )

    def _begin_body(self) -> None:
        rest = bytes(self._unparsed_head)
        self._unparsed_head.clear()
        if rest:
            # No data would mean the end of the connection.
            self._http.receive_data(rest)
        self._parse_body(len(rest))

    def _parse_body(self, received_bytes: int) -> None:
        if self._take_body_events():
            self.unparsed_bytes = len(self._http.trailing_data[0])
        else:
            self.unparsed_bytes += received_bytes

    def _take_body_events(self) -> bool:
        """Takes what was received; returns False if it was no whole part."""
        found = False
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return found
            found = True
            if isinstance(event, h11.Data):
                self._body += event.data
            else:
                self.whole = self.whole or isinstance(event, h11.EndOfMessage)
                return found

    @property
    def has_body(self) -> bool:
        """Whether a part of the body was received that was not taken yet."""
        return bool(self._body)

    def take_body(self) -> bytes:
        """Returns the received part of the body that was not taken yet."""
        data = bytes(self._body)
        self._body.clear()
        return data

    @property
    def exceeds_length(self) -> bool:
        """Whether a whole answer is followed by what may be more of its body.

        Its length may be wrong then (RFC 9112, section 6.3). The beginning of
        another answer is no part of a body.
        """
        if not self.whole or not self._has_length:
            return False
        trailing, _ = self._http.trailing_data
        return not _VERSION_START.startswith(trailing[: len(_VERSION_START)])

    @property
    def allows_next_request(self) -> bool:
        """Whether the exchange is complete and the connection may go on."""
        http = self._http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        trailing, _ = http.trailing_data
        return done and self.whole and not trailing

    def start_next(self) -> None:
        """Prepares for the next request after a complete exchange."""
        self._http.start_next_cycle()
        self._body.clear()
        self._head_bytes = self.unparsed_bytes = 0
        self.head = None
        self.whole = False
