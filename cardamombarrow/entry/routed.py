"""The application that serves callers by the document's routes.

The method, path, query and body reach the endpoint as they came, and its
answer comes back as it was given.
"""

from collections import abc
import hashlib
import http
import random
import secrets
import typing

from werkzeug import wrappers

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry import answers
from cardamombarrow.entry import caller as caller_module
from cardamombarrow.entry import holding
from cardamombarrow.entry import in_force
from cardamombarrow.entry import incoming
from cardamombarrow.entry import lease as lease_module
from cardamombarrow.entry import protocol as protocol_module
from cardamombarrow.entry import relaying as relaying_module
from cardamombarrow.entry import routes
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["RoutedApp"]

NOT_READY_RETRY_S = 1.0
"""When a caller comes back whom this entry can't serve yet: about the time
until the balancer has noticed and another entry is tried."""

LATE_STREAM = 2.5
"""Times its target after which a stream that has not begun is sent elsewhere:
under load first events come late by twice their target and would come later
still from another engine."""

LATE_ANSWER = 1.6
"""The same for other answers, which take about as long wherever they run."""

STALL_PAUSES = 4.0
"""Times its longest pause after which a silent stream is resumed elsewhere:
callers wait for eight."""

STALL_LEAST_S = 0.8

SUFFIX_BYTES = 3
"""Random bytes that tell two requests apart to which callers gave one name."""

_StartResponse = abc.Callable[..., object]
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class RoutedApp:
    """Serves callers by routes; see PEP 3333."""

    def __init__(
        self,
        documents: in_force.InForce,
        relaying: relaying_module.Relaying,
        protocol: protocol_module.CallerProtocol,
        lease: lease_module.DocumentLease,
        rng: random.Random,
    ):
        self._documents = documents
        self._relaying = relaying
        self._protocol = protocol
        self._lease = lease
        self._rng = rng

    def __call__(
        self, environ: dict[str, typing.Any], start_response: _StartResponse
    ) -> abc.Iterable[bytes]:
        """Serves one request."""
        request_id = ids.new_request_id()
        try:
            facts = self._protocol.read(environ[connection.HEADERS_KEY])
            request_id = _request_id(facts)
            return self._serve(environ, start_response, facts, request_id)
        except errors.RouterError as error:
            failure = error
        except Exception as error:
            failure = answers.internal_error(error, request_id)
        return self._refuse(failure, request_id, start_response)

    def _refuse(
        self,
        error: errors.RouterError,
        request_id: ids.RequestId,
        start_response: _StartResponse,
    ) -> abc.Iterable[bytes]:
        self._relaying.services.metrics.error(error.kind, error.class_id)
        answer = self._protocol.error(error, request_id)
        logs.decision(
            "answer",
            request_id=request_id,
            status=answer.status,
            kind=error.kind.value,
            detail=error.detail,
            not_run=error.not_run,
            retry_after_s=error.retry_after_s,
            revision=self._documents.revision,
            document_age_s=round(self._lease.age_s, 3),
        )
        start_response(
            f"{answer.status} {_REASONS.get(answer.status, '')}",
            [*answer.headers, ("Content-Length", str(len(answer.body)))],
        )
        return [answer.body]

    def _serve(
        self,
        environ: dict[str, typing.Any],
        start_response: _StartResponse,
        facts: protocol_module.CallFacts,
        request_id: ids.RequestId,
    ) -> abc.Iterable[bytes]:
        applied = self._confirmed(environ, facts, request_id)
        target = environ["REQUEST_URI"]
        path = target.partition("?")[0]
        route = applied.routes.match(environ.get("HTTP_HOST", ""), path)
        if route is None:
            raise errors.RefusedError(
                errors.ErrorKind.NOT_FOUND, "no route of this host and path"
            )
        workspace = _workspace(route, facts, applied)
        body = _read_body(environ, applied.document.limits)
        call = self._call(
            environ, facts, request_id, applied, route, workspace, body
        )
        relay = self._relaying.begin(
            environ, call, self._relaying.run_plain, tells_breaks=False
        )
        start_response(
            _status_line(relay.head),
            list(self._protocol.answer_headers(relay.head.headers)),
        )
        return relay.chunks

    def _confirmed(
        self,
        environ: dict[str, typing.Any],
        facts: protocol_module.CallFacts,
        request_id: ids.RequestId,
    ) -> in_force.Applied:
        """Returns the document in force, once it may be taken for the newest.

        Raises:
            errors.RefusedError: There is none, or it may be out of date. A
                key that was taken away would still be let in, and a route
                that was added would be denied.
        """
        if not self._lease.holds:
            self._hold(environ, facts, request_id)
        if not self._documents.revision:
            reason = "no document is in force yet"
        elif not self._lease.holds:
            reason = "the document in force may be out of date"
        else:
            return self._documents.current()
        raise errors.RefusedError(
            errors.ErrorKind.NOT_READY, reason, retry_after_s=NOT_READY_RETRY_S
        )

    def _hold(
        self,
        environ: dict[str, typing.Any],
        facts: protocol_module.CallFacts,
        request_id: ids.RequestId,
    ) -> None:
        """Waits for a confirmation that is expected soon.

        Raises:
            errors.RefusedError: The caller left meanwhile.
        """
        unconfirmed_s = self._lease.unconfirmed_s
        limit_s = facts.limit_s or holding.STARTING_S
        most_s = holding.hold_s(unconfirmed_s, limit_s)
        if most_s <= 0.0:
            return
        confirmed = self._lease.wait(most_s)
        logs.decision(
            "hold",
            request_id=request_id,
            reason="the first confirmation of the document is awaited",
            unconfirmed_s=round(unconfirmed_s, 3),
            limit_s=limit_s,
            most_s=round(most_s, 3),
            confirmed=confirmed,
        )
        if caller_module.SocketWatch(environ["werkzeug.socket"]).gone():
            raise errors.RefusedError(
                errors.ErrorKind.CALLER_GONE, "the caller left"
            )

    def _call(
        self,
        environ: dict[str, typing.Any],
        facts: protocol_module.CallFacts,
        request_id: ids.RequestId,
        applied: in_force.Applied,
        route: schema.Route,
        workspace: schema.Workspace,
        body: bytes,
    ) -> incoming.IncomingCall:
        document = applied.document
        request_class = document.classes[route.class_id]
        name = routes.draw_service(route, self._rng.random())
        service = document.services[name]
        arrived_s = environ[connection.ARRIVED_KEY]
        limit_s = request_class.target_total_s
        if facts.limit_s is not None:
            limit_s = min(limit_s, facts.limit_s)
        rank = document.rank_of(request_class.class_id, workspace)
        method, target = environ["REQUEST_METHOD"], environ["REQUEST_URI"]
        digest = _digest(workspace, method, target, body)
        job = messages.Job(
            request_id=request_id,
            workspace=workspace.workspace,
            class_id=request_class.class_id,
            service=name,
            model=ids.ModelId(facts.model),
            rank=rank,
            arrived_s=arrived_s,
            target_first_token_s=request_class.target_first_token_s,
            deadline_s=arrived_s + limit_s,
            prompt_tokens=facts.prompt_tokens,
            max_tokens=facts.most_tokens,
            prefix_key=_prefix_key(facts),
            parts=facts.parts,
            fingerprint=ids.Fingerprint(digest[:32]),
            repeatable=request_class.repeatable,
            max_runs=route.max_attempts,
            streams=route.streams,
        )
        return incoming.IncomingCall(
            job=job,
            kind=service.kind,
            method=method,
            path=target,
            body=body,
            content_type="",
            idempotency_key="",
            body_sha256=digest,
            streams=job.streams,
            stall_limit_s=_stall_limit_s(route, service),
            first_byte_limit_s=_first_byte_limit_s(route, request_class),
            headers=facts.forwarded,
            caller_id=facts.caller_id,
            resumable=route.resumable,
            resume_after=facts.resume_after,
        )


def _stall_limit_s(route: schema.Route, service: schema.Service) -> float:
    if not (route.resumable and route.longest_pause_s):
        return service.stall_limit_s
    return max(STALL_PAUSES * route.longest_pause_s, STALL_LEAST_S)


def _first_byte_limit_s(
    route: schema.Route, request_class: schema.RequestClass
) -> float:
    factor = LATE_STREAM if route.streams else LATE_ANSWER
    return factor * request_class.target_first_token_s


def _status_line(head: endpoints_base.Head) -> str:
    reason = head.reason or _REASONS.get(head.status, "")
    return f"{head.status} {reason}"


def _request_id(facts: protocol_module.CallFacts) -> ids.RequestId:
    # Two callers may send one name at a time; the books of this instance are
    # kept by request, and one's end would be taken for the other's.
    suffix = secrets.token_hex(SUFFIX_BYTES)
    return ids.RequestId(f"{facts.caller_id}.{suffix}")


def _workspace(
    route: schema.Route,
    facts: protocol_module.CallFacts,
    applied: in_force.Applied,
) -> schema.Workspace:
    if route.anonymous:
        return applied.document.workspaces[schema.ANONYMOUS_WORKSPACE]
    workspace = applied.keys.find(facts.key) if facts.key else None
    if workspace is None:
        raise errors.RefusedError(
            errors.ErrorKind.UNAUTHENTICATED, "no key, or one not known"
        )
    return workspace


def _read_body(
    environ: dict[str, typing.Any], limits: schema.CallerLimits
) -> bytes:
    if environ[connection.HEAD_BYTES_KEY] > limits.header_bytes:
        raise errors.RefusedError(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f"the header fields are over {limits.header_bytes} bytes",
        )
    request = wrappers.Request(environ)
    request.max_content_length = limits.body_bytes
    return incoming.read_body(request)


def _digest(
    workspace: schema.Workspace, method: str, target: str, body: bytes
) -> str:
    head = f"{workspace.workspace}\n{method} {target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def _prefix_key(facts: protocol_module.CallFacts) -> str:
    """Returns what requests share that could use each other's prompt.

    The last part belongs to the request itself or to its session.
    """
    shared = facts.parts[:-1]
    return "/".join(part.part for part in shared)
