"""How the platform's consumers say what they want."""

import re

from cardamombarrow.decisions import messages
from cardamombarrow.entry import answers
from cardamombarrow.entry import protocol
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["ID_HEADER", "PlatformProtocol"]

ID_HEADER = "Attempt-Id"

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

_OURS = frozenset(
    (
        "authorization",
        "cache-backup",
        "cache-hold",
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "kv-fetch",
        "kv-from",
        "last-event-id",
        "pin-ms",
        "request-priority",
        "tenant",
    )
)
"""What only the router may say to a server."""

_NOT_RELAYED = frozenset(("instance-id", "instance-load"))
"""What servers tell the router."""

_ONCE = (
    "attempt-id",
    "authorization",
    "deadline-ms",
    "last-event-id",
    "model-name",
    "token-count",
    "prefix-hash",
)

_ID = re.compile(r"[!-~]{1,128}")
_WHOLE = re.compile(r"[0-9]{1,12}")
_PART = re.compile(r"(?P<part>[0-9a-f]{1,64}):(?P<tokens>[0-9]{1,9})")

_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""

_STATUSES = {
    errors.ErrorKind.QUARANTINED: 503,
    errors.ErrorKind.PREEMPTED: 502,
}
"""Where the platform's statuses differ from the product's."""


@registry.plugin(protocol.SLOT, "platform")
class PlatformProtocol(protocol.CallerProtocol):
    """Headers of requests and answers."""

    def read(self, headers: protocol.Headers) -> protocol.ParsedHeaders:
        """Reads a request's headers; see `protocol.CallerProtocol`."""
        found = _single(headers)
        caller_id = found.get("attempt-id", "")
        if not _ID.fullmatch(caller_id):
            raise _refused(f"no {ID_HEADER}")
        limit_ms = _whole(found, "deadline-ms")
        counts = found.get("token-count", "0,0").split(",")
        if len(counts) != 2 or not all(map(_WHOLE.fullmatch, counts)):
            raise _refused("Token-Count is malformed")
        return protocol.ParsedHeaders(
            caller_id=caller_id,
            key=_key(found.get("authorization", "")),
            limit_s=None if limit_ms is None else limit_ms / 1_000,
            forwarded=_forwarded(headers),
            model=found.get("model-name", ""),
            prompt_tokens=int(counts[0]),
            most_tokens=int(counts[1]),
            parts=_parts(found.get("prefix-hash", "")),
            resume_after=found.get("last-event-id", ""),
        )

    def answer_headers(self, headers: dict[str, str]) -> protocol.Headers:
        """Returns the end-to-end headers of a server's answer."""
        named = _named(headers.get("connection", ""))
        return tuple(
            (name, value)
            for name, value in headers.items()
            if name == "content-length"
            or not (
                name in _HOP_BY_HOP or name in _NOT_RELAYED or name in named
            )
        )

    def error(
        self, error: errors.RouterError, request_id: ids.RequestId
    ) -> protocol.ErrorAnswer:
        """Returns the whole answer for an error."""
        status = _STATUSES.get(error.kind, error.answer.status)
        if status in _NOT_RUN_STATUSES and not error.not_run:
            status = 502
        elif status >= 500 and error.not_run:
            status = 503
        found = [("Content-Type", "application/json")]
        if error.retry_after_s is not None:
            found.append(("Retry-After", f"{error.retry_after_s:.3f}"))
        body = answers.error_body(error, request_id)
        return protocol.ErrorAnswer(status, tuple(found), body)


def _single(headers: protocol.Headers) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in _ONCE and lower in found:
            # Servers and this router could take different ones of the two.
            raise _refused(f"{name} stands twice")
        found[lower] = value
    return found


def _forwarded(headers: protocol.Headers) -> protocol.Headers:
    named = _named(
        ",".join(
            value for name, value in headers if name.lower() == "connection"
        )
    )
    left_out = _HOP_BY_HOP | _OURS | named
    return tuple(
        (name, value) for name, value in headers if name.lower() not in left_out
    )


def _named(connection: str) -> frozenset[str]:
    """Returns the headers that concern one connection by its own word.

    What the router and servers rely on is never dropped by it.
    """
    named = {each.strip().lower() for each in connection.split(",")}
    return frozenset(named - {"host", *_ONCE})


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "token" else ""


def _whole(found: dict[str, str], name: str) -> int | None:
    value = found.get(name)
    if value is None:
        return None
    if not _WHOLE.fullmatch(value):
        raise _refused(f"{name} is not a whole number")
    return int(value)


def _parts(value: str) -> tuple[messages.PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        match = _PART.fullmatch(item.strip())
        if match is None:
            raise _refused("Prefix-Hash is malformed")
        part = messages.PromptPart(match["part"], int(match["tokens"]))
        parts.append(part)
    return tuple(parts)


def _refused(detail: str) -> errors.RefusedError:
    return errors.RefusedError(errors.ErrorKind.BAD_REQUEST, detail)
