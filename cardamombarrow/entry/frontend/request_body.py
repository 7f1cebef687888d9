"""Reading of request bodies, whose large ones share a bound on memory."""

from collections import abc
import typing

from werkzeug import wrappers

from cardamombarrow.document import schema
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.kernel import byte_budget
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors

__all__ = ["BodyReservation", "read", "reserve"]

LARGE_BYTES = 65_536
"""Bodies up to this are read without a reservation: the number of connections
bounds what they take."""

MAX_WAIT_SHARE = 0.25
"""Maximum share of a request's time for which it waits to send its body."""

RETRY_S = 1.0


class BodyReservation:
    """The bytes that are reserved for a body, until it is not needed."""

    def __init__(self, budget: byte_budget.ByteBudget, size_bytes: int):
        self._budget = budget
        self._size_bytes = size_bytes

    def release(self) -> None:
        """Returns the bytes; later calls do nothing."""
        size_bytes, self._size_bytes = self._size_bytes, 0
        if size_bytes:
            self._budget.release(size_bytes)

    def release_after(self, chunks: abc.Iterable[bytes]) -> abc.Iterable[bytes]:
        """Returns an answer's chunks that release the bytes at their end."""
        return _ReleasingChunks(chunks, self) if self._size_bytes else chunks


class _ReleasingChunks:
    """The chunks of an answer; see PEP 3333."""

    def __init__(
        self, chunks: abc.Iterable[bytes], reservation: BodyReservation
    ):
        self._chunks = chunks
        self._reservation = reservation

    def __iter__(self) -> abc.Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Ends the answer."""
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._reservation.release()


def reserve(
    environ: dict[str, typing.Any],
    limits: schema.CallerLimits,
    budget: byte_budget.ByteBudget,
    rank: int,
    limit_s: float,
) -> BodyReservation:
    """Waits until a request's body may be read.

    Args:
        environ: The request.
        limits: The limits on callers' requests.
        budget: What all large bodies may take together.
        rank: Urgency of the request; lower ranks come first.
        limit_s: Time in which the request has to be answered.

    Raises:
        errors.RefusedError: Others take the memory for too long.
    """
    size_bytes = _announced_bytes(environ, limits)
    if size_bytes <= LARGE_BYTES:
        return BodyReservation(budget, 0)
    if budget.reserve(size_bytes, rank, MAX_WAIT_SHARE * limit_s):
        return BodyReservation(budget, size_bytes)
    raise errors.RefusedError(
        errors.ErrorKind.NOT_READY,
        "large bodies of other requests take the memory",
        retry_after_s=RETRY_S,
        check=errors.RefusalCheck.BODY_MEMORY,
    )


def _announced_bytes(
    environ: dict[str, typing.Any], limits: schema.CallerLimits
) -> int:
    """Returns the size of a body, at most the limit; without one the limit."""
    if environ.get("wsgi.input_terminated"):
        return limits.body_bytes
    length = environ.get("CONTENT_LENGTH") or "0"
    is_number = length.isascii() and length.isdigit()
    return min(int(length), limits.body_bytes) if is_number else 0


def read(environ: dict[str, typing.Any], limits: schema.CallerLimits) -> bytes:
    """Reads the body.

    Raises:
        errors.RefusedError: The head or the body is too large, or the body is
            incomplete.
    """
    if environ[connection.HEAD_BYTES_KEY] > limits.header_bytes:
        raise errors.RefusedError(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f"the header fields are over {limits.header_bytes} bytes",
        )
    request = wrappers.Request(environ)
    request.max_content_length = limits.body_bytes
    return incoming.read_body(request)
