"""Request and answer headers of the platform's callers."""

import re

from cardamombarrow.decisions import messages
from cardamombarrow.entry.frontend import answers
from cardamombarrow.entry.frontend import protocol
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

_ROUTER_HEADERS = frozenset(
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
"""Headers that only the router may send to a server."""

_SERVER_HEADERS = frozenset(("instance-id", "instance-load"))
"""Headers from servers that are meant for the router only."""

_SINGLE_VALUED = (
    "attempt-id",
    "authorization",
    "deadline-ms",
    "last-event-id",
    "model-name",
    "token-count",
    "prefix-hash",
    "resumes",
)

_ID = re.compile(r"[!-~]{1,128}")
_INTEGER = re.compile(r"[0-9]{1,12}")
_PART = re.compile(r"(?P<part>[0-9a-f]{1,64}):(?P<tokens>[0-9]{1,9})")

_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request has not run and never will."""

_STATUSES = {
    errors.ErrorKind.QUARANTINED: 503,
    errors.ErrorKind.PREEMPTED: 502,
}
"""Statuses that differ from the default status of an error kind."""


@registry.plugin(protocol.SLOT, "platform")
class PlatformProtocol(protocol.CallerProtocol):
    """Headers of requests and answers."""

    def read(self, headers: protocol.Headers) -> protocol.ParsedHeaders:
        """Reads a request's headers; see `protocol.CallerProtocol`."""
        found = _unique_headers(headers)
        caller_id = found.get("attempt-id", "")
        if not _ID.fullmatch(caller_id):
            raise _bad_request(f"missing or malformed {ID_HEADER}")
        limit_ms = _integer(found, "deadline-ms")
        counts = found.get("token-count", "0,0").split(",")
        if len(counts) != 2 or not all(map(_INTEGER.fullmatch, counts)):
            raise _bad_request("Token-Count is malformed")
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
            resumes=found.get("resumes", ""),
        )

    def answer_headers(self, headers: dict[str, str]) -> protocol.Headers:
        """Returns the end-to-end headers of a server's answer."""
        named = _connection_headers(headers.get("connection", ""))
        return tuple(
            (name, value)
            for name, value in headers.items()
            if name == "content-length"
            or not (
                name in _HOP_BY_HOP or name in _SERVER_HEADERS or name in named
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


def _unique_headers(headers: protocol.Headers) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in _SINGLE_VALUED and lower in found:
            # Servers and this router might use different ones of the two.
            raise _bad_request(f"{name} is given twice")
        found[lower] = value
    return found


def _forwarded(headers: protocol.Headers) -> protocol.Headers:
    named = _connection_headers(
        ",".join(
            value for name, value in headers if name.lower() == "connection"
        )
    )
    removed = _HOP_BY_HOP | _ROUTER_HEADERS | named
    return tuple(
        (name, value) for name, value in headers if name.lower() not in removed
    )


def _connection_headers(connection: str) -> frozenset[str]:
    """Returns the hop-by-hop headers that a ``Connection`` header lists.

    Headers that the router and the servers need are left out, so that a
    caller can't have them removed.
    """
    named = {each.strip().lower() for each in connection.split(",")}
    return frozenset(named - {"host", *_SINGLE_VALUED})


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "token" else ""


def _integer(found: dict[str, str], name: str) -> int | None:
    value = found.get(name)
    if value is None:
        return None
    if not _INTEGER.fullmatch(value):
        raise _bad_request(f"{name} is not an integer")
    return int(value)


def _parts(value: str) -> tuple[messages.PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        match = _PART.fullmatch(item.strip())
        if match is None:
            raise _bad_request("Prefix-Hash is malformed")
        part = messages.PromptPart(match["part"], int(match["tokens"]))
        parts.append(part)
    return tuple(parts)


def _bad_request(detail: str) -> errors.RefusedError:
    return errors.RefusedError(errors.ErrorKind.BAD_REQUEST, detail)
