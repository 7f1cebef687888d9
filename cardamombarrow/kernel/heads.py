"""Reads the head of an HTTP/1.1 request, and refuses what is doubtful.

Two programs that read one doubtful request in two ways see two different
requests: what one takes for a body the other takes for a request of its own,
with whatever headers its sender liked. A head with two lengths, a length
beside chunks, a bare line feed or a folded field is therefore refused before
any byte of it is passed on (RFC 9112, sections 2.2, 5 and 6.3).
"""

import dataclasses
import re

from cardamombarrow.kernel import errors

__all__ = ["RequestHead", "parse"]

_REQUEST_LINE = re.compile(
    rb"(?P<method>[A-Z]{1,20}) (?P<target>/[!-~]*) "
    rb"HTTP/(?P<version>[0-9]\.[0-9])"
)
_VERSIONS = (b"1.0", b"1.1")
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
        target: Path and query, as they came.
        version: ``HTTP/1.0`` or ``HTTP/1.1``.
        fields: Names and values in their order; values without the white
            space around them.
    """

    method: str
    target: str
    version: str
    fields: tuple[tuple[str, str], ...]

    @property
    def is_chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return any(
            name.lower() == "transfer-encoding" for name, _ in self.fields
        )


def parse(raw: bytes) -> RequestHead:
    """Reads a head, up to and with its empty line.

    Raises:
        errors.RefusedError: It is malformed, or can be read in two ways.
    """
    if not raw.endswith(b"\r\n\r\n"):
        raise _refused("the head does not end with an empty line")
    first, *lines = raw[:-4].split(b"\r\n")
    line = _REQUEST_LINE.fullmatch(first)
    if line is None:
        raise _refused("no request line with a path")
    if line["version"] not in _VERSIONS:
        raise errors.RefusedError(
            errors.ErrorKind.UNKNOWN_VERSION, "HTTP/1.1 is spoken here"
        )
    fields = tuple(_field(each) for each in lines)
    version = f"HTTP/{line['version'].decode()}"
    _check_framing(version, fields)
    return RequestHead(
        line["method"].decode(), line["target"].decode(), version, fields
    )


def _field(line: bytes) -> tuple[str, str]:
    field = _FIELD.fullmatch(line)
    if field is None:
        raise _refused("a header field is malformed")
    value = field["value"].rstrip(b" \t")
    return field["name"].decode(), value.decode("latin-1")


def _check_framing(version: str, fields: tuple[tuple[str, str], ...]) -> None:
    seen: dict[str, str] = {}
    for name, value in fields:
        lower = name.lower()
        if lower in _SINGLE:
            if lower in seen:
                raise _refused(f"{name} stands twice")
            seen[lower] = value
    if version == "HTTP/1.1" and not seen.get("host"):
        raise _refused("there is no Host")
    length = seen.get("content-length")
    if length is not None and not _LENGTH.fullmatch(length):
        raise _refused("Content-Length is no number")
    coding = seen.get("transfer-encoding")
    if coding is None:
        return
    if length is not None or version != "HTTP/1.1":
        raise _refused("Transfer-Encoding beside Content-Length or HTTP/1.0")
    if coding.lower() != "chunked":
        raise _refused("Transfer-Encoding is not chunked")


def _refused(detail: str) -> errors.RefusedError:
    return errors.RefusedError(errors.ErrorKind.BAD_REQUEST, detail)
