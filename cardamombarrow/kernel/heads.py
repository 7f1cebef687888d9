"""Parses the heads of HTTP/1.1 requests and answers; rejects ambiguous ones.

Two programs that parse an ambiguous request differently can be made to disagree
where it ends: one reads a body that the other reads as a second request, with
headers chosen by the sender (request smuggling). A head with two lengths, a
length together with chunked encoding, a bare line feed or a folded field is
therefore rejected before any byte of it is forwarded (RFC 9112, sections 2.2, 5
and 6.3).

The same holds for answers: a damaged head is not repaired, since the body that
it is read with would not be the sender's. Only their lines may end with a bare
line feed.
"""

from collections import abc
import dataclasses
import re

from cardamombarrow.kernel import errors

__all__ = ["AnswerHead", "RequestHead", "parse", "parse_answer"]

_REQUEST_LINE = re.compile(
    rb"(?P<method>[A-Z]{1,20}) (?P<target>/[!-~]*) "
    rb"HTTP/(?P<version>[0-9]\.[0-9])"
)
_VERSIONS = (b"1.0", b"1.1")
_STATUS_LINE = re.compile(
    rb"(?P<version>HTTP/1\.[0-9]) (?P<status>[1-5][0-9]{2})"
    rb"(?: (?P<reason>[\t -~\x80-\xff]*))?"
)
_LINE_END = re.compile(rb"\r?\n")
_FIELD = re.compile(
    rb"(?P<name>[!#$%&'*+.^_`|~0-9A-Za-z-]+):"
    rb"[ \t]*(?P<value>[\t -~\x80-\xff]*)"
)
_SINGLE = ("host", "content-length", "transfer-encoding", "content-type")
_LENGTH = re.compile(r"[0-9]{1,15}")


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """A request line and its fields.

    Attributes:
        target: Path and query, as received.
        version: ``HTTP/1.0`` or ``HTTP/1.1``.
        fields: Names and values in order; values without surrounding white
            space.
    """

    method: str
    target: str
    version: str
    fields: tuple[tuple[str, str], ...]

    @property
    def is_chunked(self) -> bool:
        """Whether the body is chunked."""
        return any(
            name.lower() == "transfer-encoding" for name, _ in self.fields
        )


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """A status line and its fields.

    Attributes:
        fields: Names and values in order; values without surrounding white
            space.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]


def parse(raw: bytes) -> RequestHead:
    """Parses a head that includes its final empty line.

    Raises:
        errors.RefusedError: It is malformed or ambiguous.
    """
    if not raw.endswith(b"\r\n\r\n"):
        raise _refused("the head does not end with an empty line")
    first, *lines = raw[:-4].split(b"\r\n")
    line = _REQUEST_LINE.fullmatch(first)
    if line is None:
        raise _refused("the request line is malformed or has no path")
    if line["version"] not in _VERSIONS:
        raise errors.RefusedError(
            errors.ErrorKind.UNKNOWN_VERSION,
            "only HTTP/1.0 and HTTP/1.1 are supported",
        )
    try:
        fields = _fields(lines)
    except ValueError as error:
        raise _refused(str(error)) from None
    version = f"HTTP/{line['version'].decode()}"
    if version == "HTTP/1.1" and not _has_host(fields):
        raise _refused("the Host header is missing")
    problem = _framing_problem(version, fields)
    if problem is not None:
        raise _refused(problem)
    return RequestHead(
        line["method"].decode(), line["target"].decode(), version, fields
    )


def parse_answer(raw: bytes) -> AnswerHead:
    """Parses the head of an answer that includes its final empty line.

    Raises:
        ValueError: It is malformed, or ambiguous about the end of the body.
    """
    first, *lines = _LINE_END.split(raw)[:-2] or [b""]
    line = _STATUS_LINE.fullmatch(first)
    if line is None:
        raise ValueError("the status line is malformed")
    reason = (line["reason"] or b"").decode("latin-1")
    fields = _fields(lines)
    problem = _framing_problem(line["version"].decode(), fields)
    if problem is not None:
        raise ValueError(problem)
    return AnswerHead(int(line["status"]), reason, fields)


def _fields(lines: abc.Iterable[bytes]) -> tuple[tuple[str, str], ...]:
    """Returns the names and values of fields.

    Raises:
        ValueError: One is malformed. Its text may be secret, or harmful where
            it is printed, and is not repeated.
    """
    found = []
    for number, line in enumerate(lines, 1):
        field = _FIELD.fullmatch(line)
        if field is None:
            raise ValueError(f"header field {number} is malformed")
        value = field["value"].rstrip(b" \t")
        found.append((field["name"].decode(), value.decode("latin-1")))
    return tuple(found)


def _has_host(fields: tuple[tuple[str, str], ...]) -> bool:
    return any(name.lower() == "host" and value for name, value in fields)


def _framing_problem(
    version: str, fields: tuple[tuple[str, str], ...]
) -> str | None:
    """Returns why a body's end is ambiguous; None if it is not."""
    seen: dict[str, str] = {}
    for name, value in fields:
        lower = name.lower()
        if lower in _SINGLE:
            if lower in seen:
                return f"{name} is repeated"
            seen[lower] = value
    length = seen.get("content-length")
    if length is not None and not _LENGTH.fullmatch(length):
        return "Content-Length is not a number"
    coding = seen.get("transfer-encoding")
    if coding is None:
        return None
    if length is not None or version == "HTTP/1.0":
        return "Transfer-Encoding together with Content-Length or HTTP/1.0"
    if coding.lower() != "chunked":
        return "Transfer-Encoding is not chunked"
    return None


def _refused(detail: str) -> errors.RefusedError:
    return errors.RefusedError(errors.ErrorKind.BAD_REQUEST, detail)
