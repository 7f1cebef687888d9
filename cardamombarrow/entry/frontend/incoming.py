"""Parses HTTP requests into typed calls."""

import dataclasses
import hashlib
import json
import math
import typing
from urllib import parse

from werkzeug import exceptions
from werkzeug import wrappers

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import json_text

__all__ = [
    "IncomingCall",
    "KeyIndex",
    "completion",
    "read_body",
    "service_call",
]

MAX_TOKENS = 2**32 - 1
"""Highest limit on tokens; the fields of messages hold no higher one."""

CLASS_HEADER = "X-Request-Class"
KEY_HEADER = "Idempotency-Key"
BYTES_PER_TOKEN = 4
PREFIX_BYTES = 512


@dataclasses.dataclass(frozen=True)
class IncomingCall:
    """A parsed and authenticated request.

    Attributes:
        idempotency_key: Empty if the caller sent none.
        body_sha256: Digest of method, path and body.
        streams: Whether the caller asked for server-sent events.
        stall_limit_s: Longest pause within an answer, in seconds.
        version: The model version that was drawn; empty for none.
        received_body: The body as received; None if `body` is that.
        headers: The caller's headers for the endpoint, unchanged.
        caller_id: The caller's id of the request; empty for none.
        first_byte_limit_s: Longest wait for the head of an answer while the
            request can be sent elsewhere, in seconds.
        resumable: Whether a stream that was cut off may continue elsewhere.
        resume_after: Id of the last event that the caller already has.
        is_forwarded: Whether another entry forwarded it.
        stream_key: Key under which callers resume its stream; None if they
            can't.
        stream_until_s: Monotonic time until which they may.
    """

    job: messages.Job
    kind: schema.ServiceKind
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str
    body_sha256: str
    streams: bool
    stall_limit_s: float
    version: str = ""
    received_body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    caller_id: str = ""
    first_byte_limit_s: float = math.inf
    resumable: bool = True
    resume_after: str = ""
    is_forwarded: bool = False
    stream_key: int | None = None
    stream_until_s: float | None = None


class KeyIndex:
    """Finds workspaces by the digest of their caller keys."""

    def __init__(self, document: schema.Document):
        self._by_digest = {
            digest: workspace
            for workspace in document.workspaces.values()
            for digest in workspace.key_sha256
        }

    def find(self, key: str) -> schema.Workspace | None:
        """Returns the workspace of a key, or None."""
        return self._by_digest.get(hashlib.sha256(key.encode()).hexdigest())

    def authenticate(self, request: wrappers.Request) -> schema.Workspace:
        """Returns the workspace of a request's key.

        Raises:
            errors.RefusedError: The key is missing or unknown.
        """
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        workspace = self.find(key.strip())
        if scheme.lower() != "bearer" or workspace is None:
            raise errors.RefusedError(
                errors.ErrorKind.UNAUTHENTICATED,
                "send `Authorization: Bearer <key>` with a known key",
            )
        return workspace


def completion(
    request: wrappers.Request,
    document: schema.Document,
    workspace: schema.Workspace,
    request_id: ids.RequestId,
    now_s: float,
) -> IncomingCall:
    """Reads an OpenAI-compatible completion request.

    Raises:
        errors.RefusedError: It is malformed, or its model or class is unknown.
    """
    body = read_body(request)
    try:
        content = json_text.load(body)
    except ValueError as error:
        raise errors.RefusedError(
            errors.ErrorKind.BAD_REQUEST, f"the body is not JSON: {error}"
        ) from None
    if not isinstance(content, dict) or not isinstance(
        content.get("model"), str
    ):
        raise errors.RefusedError(
            errors.ErrorKind.BAD_REQUEST, "the body names no `model`"
        )
    model = document.models.get(ids.ModelId(content["model"]))
    if model is None:
        raise errors.RefusedError(
            errors.ErrorKind.UNKNOWN_MODEL,
            f"unknown model {content['model']!r}",
        )
    limit = content.get("max_tokens") or 0
    if not isinstance(limit, int) or not 0 <= limit <= MAX_TOKENS:
        raise errors.RefusedError(
            errors.ErrorKind.BAD_REQUEST,
            f"`max_tokens` is not an integer from 0 to {MAX_TOKENS}",
        )
    service = document.services[model.service]
    request_class = _request_class(request, document, workspace)
    call = _call(
        request,
        document,
        workspace,
        request_class,
        service,
        body,
        request_id,
        now_s,
    )
    call.job.model = model.model
    call.job.max_tokens = limit
    call.job.streams = bool(content.get("stream"))
    version = _version(model, request_id)
    received = body
    if version:
        body = json.dumps({**content, "model": version}).encode()
    return dataclasses.replace(
        call,
        body=body,
        received_body=received,
        version=version,
        streams=call.job.streams,
    )


def _version(model: schema.Model, request_id: ids.RequestId) -> str:
    """Draws a version by traffic weight, using the random request id."""
    point = int(request_id, 16) / 16 ** len(request_id)
    point *= sum(model.versions.values())
    for version, weight in model.versions.items():
        point -= weight
        if point < 0:
            return version
    return ""


def service_call(
    request: wrappers.Request,
    document: schema.Document,
    workspace: schema.Workspace,
    name: str,
    path: str,
    request_id: ids.RequestId,
    now_s: float,
) -> IncomingCall:
    """Reads a call of a plain service.

    Raises:
        errors.RefusedError: The service is unknown, or the body is invalid.
    """
    service = document.services.get(ids.ServiceId(name))
    if service is None or service.kind is not schema.ServiceKind.PLAIN:
        raise errors.RefusedError(
            errors.ErrorKind.NOT_FOUND, f"no plain service {name!r}"
        )
    request_class = _request_class(request, document, workspace)
    body = read_body(request)
    call = _call(
        request,
        document,
        workspace,
        request_class,
        service,
        body,
        request_id,
        now_s,
    )
    if f"{request.method} /{path}" in service.unrepeatable:
        call.job.repeatable = False
    query = request.query_string.decode("latin-1")
    # The routing has unquoted the path. If it were sent unquoted, a space or a
    # non-ASCII letter would make it another request or an invalid one.
    full_path = f"/{parse.quote(path)}" + (f"?{query}" if query else "")
    return dataclasses.replace(call, path=full_path)


def _call(
    request: wrappers.Request,
    document: schema.Document,
    workspace: schema.Workspace,
    request_class: schema.RequestClass,
    service: schema.Service,
    body: bytes,
    request_id: ids.RequestId,
    now_s: float,
) -> IncomingCall:
    head = f"{request.method} {request.path}\n".encode()
    digest = hashlib.sha256(head + body).hexdigest()
    job = messages.Job(
        request_id=request_id,
        workspace=workspace.workspace,
        class_id=request_class.class_id,
        service=service.service,
        model=ids.ModelId(""),
        rank=document.tiers[request_class.tier].rank,
        arrived_s=now_s,
        target_first_token_s=request_class.target_first_token_s,
        deadline_s=now_s + request_class.target_total_s,
        prompt_tokens=len(body) // BYTES_PER_TOKEN,
        prefix_key=hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:16],
        fingerprint=ids.Fingerprint(digest[:32]),
        repeatable=request_class.repeatable,
        streams=False,
    )
    return IncomingCall(
        job=job,
        kind=service.kind,
        method=request.method,
        path=request.path,
        body=body,
        content_type=_content_type(request),
        idempotency_key=request.headers.get(KEY_HEADER, ""),
        body_sha256=digest,
        streams=False,
        stall_limit_s=service.stall_limit_s,
    )


def _content_type(request: wrappers.Request) -> str:
    content_type = request.content_type or "application/octet-stream"
    if not content_type.isascii():
        raise errors.RefusedError(
            errors.ErrorKind.BAD_REQUEST, "Content-Type is not ASCII"
        )
    return content_type


def _request_class(
    request: wrappers.Request,
    document: schema.Document,
    workspace: schema.Workspace,
) -> schema.RequestClass:
    name = request.headers.get(CLASS_HEADER, workspace.classes[0])
    if name not in workspace.classes:
        known = ", ".join(workspace.classes)
        raise errors.RefusedError(
            errors.ErrorKind.UNKNOWN_CLASS,
            f"{CLASS_HEADER} {name!r} is not one of: {known}",
        )
    return document.classes[ids.ClassId(name)]


def read_body(request: wrappers.Request) -> bytes:
    """Reads a request's body, up to its `max_content_length`.

    Raises:
        errors.RefusedError: It is too large or incomplete.
    """
    too_large = errors.RefusedError(
        errors.ErrorKind.BODY_TOO_LARGE,
        f"the body is over {request.max_content_length} bytes",
    )
    try:
        body = typing.cast(bytes, request.get_data(cache=False))
    except exceptions.RequestEntityTooLarge:
        raise too_large from None
    except (exceptions.ClientDisconnected, OSError):
        raise errors.RefusedError(
            errors.ErrorKind.BAD_REQUEST, "the body did not come whole"
        ) from None
    # werkzeug silently truncates a body without an announced length at the
    # limit: the endpoint would get a truncated request.
    if getattr(request.environ["wsgi.input"], "left_bytes", 0) > 0:
        raise too_large
    return body
