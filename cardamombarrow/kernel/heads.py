"""Parses the head of an HTTP/1.1 request and rejects ambiguous ones.

Two programs that parse an ambiguous request differently can be made to disagree
where it ends: one reads a body that the other reads as a second request, with
headers chosen by the sender (request smuggling). A head with two lengths, a
length together with chunked encoding, a bare line feed or a folded field is
therefore rejected before any byte of it is forwarded (RFC 9112, sections 2.2, 5
and 6.3).
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
                raise _refused(f"{name} is repeated")
            seen[lower] = value
    if version == "HTTP/1.1" and not seen.get("host"):
        raise _refused("the Host header is missing")
    length = seen.get("content-length")
    if length is not None and not _LENGTH.fullmatch(length):
        raise _refused("Content-Length is not a number")
    coding = seen.get("transfer-encoding")
    if coding is None:
        return
    if length is not None or version != "HTTP/1.1":
        raise _refused(
            "Transfer-Encoding together with Content-Length or HTTP/1.0"
        )
    if coding.lower() != "chunked":
        raise _refused("Transfer-Encoding is not chunked")


def _refused(detail: str) -> errors.RefusedError:
    return errors.RefusedError(errors.ErrorKind.BAD_REQUEST, detail)
