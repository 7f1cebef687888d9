"""Short HTTP requests by pycurl, for load reports, lists and operators."""

import dataclasses
import io

from cardamombarrow.kernel import errors

__all__ = ["MAX_REPLY_BYTES", "Reply", "fetch"]

MAX_REPLY_BYTES = 8_388_608
"""Maximum size of an answer's body, twice that of a submitted document. Faulty
servers may send without end."""

_HEAD_ENDS = (b"\r\n", b"\n")


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes


class _HeadWatch:
    """Watches for the end of a head.

    libcurl reports success if a connection ends after a status line, even if
    the rest of the head is missing.

    Attributes:
        complete: Whether the head of the final answer has ended.
    """

    def __init__(self):
        self._is_interim = False
        self.complete = False

    def feed(self, line: bytes) -> None:
        """Takes a line of a head, or of the trailers that follow a body."""
        if self.complete:
            return
        if line.startswith(b"HTTP/"):
            self._is_interim = line.partition(b" ")[2].startswith(b"1")
        elif line in _HEAD_ENDS:
            self.complete = not self._is_interim


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

    Raises:
        errors.EndpointError: No complete answer came in time, or its body is
            over `max_bytes`.
    """
    # Imported on use: libcurl takes over a megabyte, and most entries never
    # call this function.
    import pycurl

    buffer = io.BytesIO()
    head = _HeadWatch()

    def write(data: bytes) -> int:
        # Any other number than that of the bytes ends the transfer.
        if buffer.tell() + len(data) > max_bytes:
            return 0
        return buffer.write(data)

    easy = pycurl.Curl()
    try:
        easy.setopt(pycurl.URL, url)
        easy.setopt(pycurl.CUSTOMREQUEST, method)
        if body is not None:
            easy.setopt(pycurl.POSTFIELDS, body)
        easy.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.NOPROXY, "*")
        easy.setopt(pycurl.TIMEOUT_MS, round(timeout_s * 1_000))
        easy.setopt(pycurl.WRITEFUNCTION, write)
        easy.setopt(pycurl.HEADERFUNCTION, head.feed)
        if ca_file:
            easy.setopt(pycurl.CAINFO, ca_file)
        easy.perform()
        if not head.complete:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"{url}: the connection ended within the head",
                sent=True,
            )
        return Reply(easy.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue())
    except pycurl.error as error:
        sent = easy.getinfo(pycurl.REQUEST_SIZE) > 0
        raise errors.EndpointError(
            errors.ErrorKind.ENDPOINT_FAILED
            if sent
            else errors.ErrorKind.ENDPOINT_UNREACHED,
            f"{url}: {error.args[1]}",
            sent=sent,
        ) from None
    finally:
        easy.close()
