"""Decides whether an answer is complete, and which part may be relayed.

The HTTP framing is necessary but not sufficient: an endpoint that exits closes
its connections in order, which is also how an answer without a length or chunks
ends, and an endpoint may finish the framing of a stream that it gave up.
"""

from collections import abc

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import event_stream
from cardamombarrow.kernel import errors

__all__ = ["AnswerBody"]

TAIL_BYTES = 512
"""Size of the end of a stream that shows whether it is complete."""


class AnswerBody:
    """The body of one answer.

    Only complete events of a stream are relayed. Another endpoint can then
    resume it, and the caller never joins parts of two events.
    """

    def __init__(
        self,
        head: base.Head,
        ends_stream: abc.Callable[[bytes], bool] = lambda tail: True,
    ):
        """Builds a body of which nothing has been received.

        Args:
            head: The answer's head.
            ends_stream: Returns whether a stream with this end is complete.
        """
        self._head = head
        self._ends_stream = ends_stream
        self._events = event_stream.EventSplitter() if head.streams else None
        self._tail = b""
        self._has_event = False

    @property
    def progressed(self) -> bool:
        """Whether the bytes that were fed last bring the answer forward.

        Comments and empty lines keep a connection open and do not.
        """
        return self._events is None or self._events.progressed

    @property
    def held_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return 0 if self._events is None else self._events.partial_bytes

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes that may be relayed now.

        Args:
            data: The next bytes of the body.

        Raises:
            errors.EndpointError: The stream can't be relayed.
        """
        if self._events is None:
            return data
        try:
            complete = self._events.feed(data)
        except event_stream.OversizedEventError:
            raise _cut(
                f"over {event_stream.MAX_EVENT_BYTES} bytes without an event"
            ) from None
        self._tail = (self._tail + complete)[-TAIL_BYTES:]
        self._has_event = self._has_event or self._events.progressed
        return complete

    def finish(self) -> bytes:
        """Checks a body whose framing is complete.

        Returns:
            The rest of the body.

        Raises:
            errors.EndpointError: The answer was broken off.
        """
        if self._events is None:
            return b""
        closed = not self._head.is_framed
        if self._events.inside_event:
            raise _cut("the stream ended inside an event", closed)
        if closed and not self._has_event:
            raise _cut("the stream ended before its first event", closed)
        if not self._ends_stream(self._tail):
            raise _cut("the stream ended early", closed)
        return self._events.partial


def _cut(detail: str, connection_broke: bool = False) -> errors.EndpointError:
    return errors.EndpointError(
        errors.ErrorKind.ANSWER_CUT,
        detail,
        sent=True,
        connection_broke=connection_broke,
    )
