"""The WSGI application that serves callers by the document's routes.

The method, path, query and body are forwarded to the endpoint unchanged, and
its answer is returned unchanged.
"""

from collections import abc
import hashlib
import http
import random
import secrets
import typing

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.entry.frontend import answers
from cardamombarrow.entry.frontend import caller as caller_module
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.frontend import protocol as protocol_module
from cardamombarrow.entry.frontend import request_body
from cardamombarrow.entry.frontend import routes
from cardamombarrow.entry.frontend import startup_hold
from cardamombarrow.entry.frontend import stream_resumer
from cardamombarrow.entry.placement import ticket
from cardamombarrow.entry.requests import call_runner as call_runner_module
from cardamombarrow.kernel import byte_budget
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.resumption import core as resumption
from cardamombarrow.resumption import open_streams

__all__ = ["RoutedApp"]

NOT_READY_RETRY_S = 1.0
"""Retry delay of callers that this entry can't serve yet: about the time until
the balancer has noticed and tries another entry."""

LATE_STREAM_FACTOR = 2.5
"""Multiple of its first-token target after which a stream that has not begun is
sent elsewhere: under load first events are late by twice their target and would
be later still from another engine."""

LATE_ANSWER_FACTOR = 1.6
"""The same for other answers, which take about as long on any endpoint."""

STALL_PAUSE_FACTOR = 4.0
"""Multiple of its longest pause after which a silent stream is resumed
elsewhere: callers wait for eight."""

STALL_MIN_S = 1.5
"""Sound endpoints may be silent for about a second; their callers wait for two
at least."""

SUFFIX_BYTES = 3
"""Random bytes that distinguish requests with the same caller-given id."""

_StartResponse = abc.Callable[..., object]
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class RoutedApp:
    """Serves callers by routes; see PEP 3333."""

    def __init__(
        self,
        documents: in_force.DocumentInForce,
        runner: call_runner_module.CallRunner,
        protocol: protocol_module.CallerProtocol,
        lease: lease_module.DocumentLease,
        rng: random.Random,
        large_bodies: byte_budget.ByteBudget,
    ):
        self._documents = documents
        self._runner = runner
        self._protocol = protocol
        self._lease = lease
        self._rng = rng
        self._large_bodies = large_bodies
        services = runner.services
        self._resumer = stream_resumer.StreamResumer(
            services.origins, services.metrics.count_resumption
        )

    def __call__(
        self, environ: dict[str, typing.Any], start_response: _StartResponse
    ) -> abc.Iterable[bytes]:
        """Serves one request."""
        request_id = ids.new_request_id()
        try:
            parsed_headers = self._protocol.read(
                environ[connection.HEADERS_KEY]
            )
            request_id = _request_id(parsed_headers)
            return self._serve(
                environ, start_response, parsed_headers, request_id
            )
        except errors.RouterError as error:
            failure = error
        except Exception as error:
            failure = answers.internal_error(error, request_id)
        return self._refuse(failure, request_id, environ, start_response)

    def _refuse(
        self,
        error: errors.RouterError,
        request_id: ids.RequestId,
        environ: dict[str, typing.Any],
        start_response: _StartResponse,
    ) -> abc.Iterable[bytes]:
        metrics = self._runner.services.metrics
        metrics.count_error(error.kind, error.class_id)
        waited_s = (
            self._runner.services.time_source.now_s()
            - environ[connection.ARRIVED_KEY]
        )
        urgency: dict[str, object] = {}
        if error.check is not errors.RefusalCheck.UNKNOWN:
            start_age_s = self._less_urgent_start_age_s(environ, error)
            began = start_age_s is not None and start_age_s <= waited_s
            metrics.count_refusal(error.check, less_urgent_began=began)
            urgency = {
                "check": error.check.value,
                "less_urgent_start_age_s": start_age_s
                and round(start_age_s, 3),
            }
        answer = self._protocol.error(error, request_id)
        answers.log_refusal(
            error,
            request_id,
            answer.status,
            revision=self._documents.revision,
            document_age_s=round(self._lease.age_s, 3),
            waited_s=round(waited_s, 3),
            **urgency,
            **error.wait_fields,
        )
        start_response(
            f"{answer.status} {_REASONS.get(answer.status, '')}",
            [*answer.headers, ("Content-Length", str(len(answer.body)))],
        )
        return [answer.body]

    def _less_urgent_start_age_s(
        self, environ: dict[str, typing.Any], error: errors.RouterError
    ) -> float | None:
        """Returns the time since a less urgent request was placed.

        It is looked up by the document in force also for requests that are
        refused because that document may be out of date.
        """
        if isinstance(error, ticket.JobRefusedError):
            return error.refusal.less_urgent_start_age_s
        if not self._documents.revision:
            return None
        route = _match(self._documents.current(), environ)
        if route is None:
            return None
        broker = self._runner.services.broker
        ages_s = [
            broker.less_urgent_start_age_s(service, route.class_id)
            for service in route.services
        ]
        return min((each for each in ages_s if each is not None), default=None)

    def _serve(
        self,
        environ: dict[str, typing.Any],
        start_response: _StartResponse,
        parsed_headers: protocol_module.ParsedHeaders,
        request_id: ids.RequestId,
    ) -> abc.Iterable[bytes]:
        applied = self._confirmed(environ, parsed_headers, request_id)
        route = _match(applied, environ)
        if route is None:
            raise self._denial(
                errors.ErrorKind.NOT_FOUND, "no route for this host and path"
            )
        workspace = _workspace(route, parsed_headers, applied)
        if workspace is None:
            raise self._denial(
                errors.ErrorKind.UNAUTHENTICATED, "missing or unknown key"
            )
        document = applied.document
        limit_s = _limit_s(document.classes[route.class_id], parsed_headers)
        reservation = request_body.reserve(
            environ,
            document.limits,
            self._large_bodies,
            document.rank_of(route.class_id, workspace),
            limit_s,
        )
        try:
            body = request_body.read(environ, document.limits)
            call = self._call(
                environ,
                parsed_headers,
                request_id,
                applied,
                route,
                workspace,
                body,
            )
            relay = self._runner.begin(
                environ, call, self._runner.run_plain, sends_error_event=False
            )
            start_response(
                _status_line(relay.head),
                list(self._protocol.answer_headers(relay.head.headers)),
            )
        except BaseException:
            reservation.release()
            raise
        return reservation.release_after(relay.chunks)

    def _denial(
        self, kind: errors.ErrorKind, detail: str
    ) -> errors.RefusedError:
        """Returns why the document in force does not allow a request.

        While a newer document is known that has not arrived, it may allow it.
        """
        if not self._lease.behind_s:
            return errors.RefusedError(kind, detail)
        return errors.RefusedError(
            errors.ErrorKind.NOT_READY,
            f"{detail}, but a newer document is on its way",
            retry_after_s=NOT_READY_RETRY_S,
            check=errors.RefusalCheck.DOCUMENT_OUTDATED,
        )

    def _confirmed(
        self,
        environ: dict[str, typing.Any],
        parsed_headers: protocol_module.ParsedHeaders,
        request_id: ids.RequestId,
    ) -> in_force.AppliedDocument:
        """Returns the document in force, once it is confirmed as the newest.

        Raises:
            errors.RefusedError: There is none, or it may be out of date: a
                removed key would still be accepted, and an added route
                refused.
        """
        if not self._lease.is_valid:
            self._hold(environ, parsed_headers, request_id)
        if not self._documents.revision:
            reason = "no document is in force yet"
            check = errors.RefusalCheck.DOCUMENT_MISSING
        elif not self._lease.is_valid:
            reason = "the document in force may be out of date"
            check = errors.RefusalCheck.DOCUMENT_UNCONFIRMED
        else:
            return self._documents.current()
        raise errors.RefusedError(
            errors.ErrorKind.NOT_READY,
            reason,
            retry_after_s=NOT_READY_RETRY_S,
            check=check,
        )

    def _hold(
        self,
        environ: dict[str, typing.Any],
        parsed_headers: protocol_module.ParsedHeaders,
        request_id: ids.RequestId,
    ) -> None:
        """Waits for a confirmation that is expected soon.

        Raises:
            errors.RefusedError: The caller left during the wait.
        """
        unconfirmed_s = self._lease.unconfirmed_s
        limit_s = parsed_headers.limit_s or startup_hold.STARTING_S
        most_s = startup_hold.hold_s(unconfirmed_s, limit_s)
        if most_s <= 0.0:
            return
        confirmed = self._lease.wait(most_s)
        logs.decision(
            "hold",
            request_id=request_id,
            reason="waiting for the first confirmation of the document",
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
        parsed_headers: protocol_module.ParsedHeaders,
        request_id: ids.RequestId,
        applied: in_force.AppliedDocument,
        route: schema.Route,
        workspace: schema.Workspace,
        body: bytes,
    ) -> incoming.IncomingCall:
        document = applied.document
        request_class = document.classes[route.class_id]
        arrived_s = environ[connection.ARRIVED_KEY]
        limit_s = _limit_s(request_class, parsed_headers)
        origin = self._resumer.origin(
            parsed_headers, route, workspace, request_id, limit_s
        )
        name = (
            routes.draw_service(route, self._rng.random())
            if origin is None
            else origin.service
        )
        service = document.services[name]
        rank = document.rank_of(request_class.class_id, workspace)
        method, target = environ["REQUEST_METHOD"], environ["REQUEST_URI"]
        digest = _digest(workspace, method, target, body)
        job = messages.Job(
            request_id=request_id,
            workspace=workspace.workspace,
            class_id=request_class.class_id,
            service=name,
            model=ids.ModelId(parsed_headers.model),
            rank=rank,
            arrived_s=arrived_s,
            target_first_token_s=request_class.target_first_token_s,
            deadline_s=arrived_s + limit_s,
            prompt_tokens=parsed_headers.prompt_tokens,
            max_tokens=parsed_headers.most_tokens,
            prefix_key=_prefix_key(parsed_headers),
            parts=parsed_headers.parts,
            fingerprint=ids.Fingerprint(digest[:32]),
            repeatable=request_class.repeatable,
            max_runs=route.max_attempts,
            streams=route.streams,
            required_software=None if origin is None else origin.software,
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
            headers=parsed_headers.forwarded,
            caller_id=parsed_headers.caller_id,
            resumable=route.resumable,
            resume_after=parsed_headers.resume_after,
            stream_key=_stream_key(route, workspace, parsed_headers),
            stream_until_s=_stream_until_s(
                request_class, parsed_headers, arrived_s
            )
            if route.streams
            else None,
        )


def _match(
    applied: in_force.AppliedDocument, environ: dict[str, typing.Any]
) -> schema.Route | None:
    path = environ["REQUEST_URI"].partition("?")[0]
    return applied.routes.match(environ.get("HTTP_HOST", ""), path)


def _limit_s(
    request_class: schema.RequestClass,
    parsed_headers: protocol_module.ParsedHeaders,
) -> float:
    if parsed_headers.limit_s is None:
        return request_class.target_total_s
    return min(request_class.target_total_s, parsed_headers.limit_s)


def _stream_until_s(
    request_class: schema.RequestClass,
    parsed_headers: protocol_module.ParsedHeaders,
    arrived_s: float,
) -> float:
    """Returns until when a caller may resume a stream.

    A caller may wait longer than its class allows one attempt to last.
    """
    limit_s = parsed_headers.limit_s
    if limit_s is None:
        limit_s = open_streams.LONGEST_STREAM_S
    limit_s = max(request_class.target_total_s, limit_s)
    return arrived_s + limit_s + resumption.RETENTION_MARGIN_S


def _stall_limit_s(route: schema.Route, service: schema.Service) -> float:
    if not (route.resumable and route.longest_pause_s):
        return service.stall_limit_s
    return max(STALL_PAUSE_FACTOR * route.longest_pause_s, STALL_MIN_S)


def _first_byte_limit_s(
    route: schema.Route, request_class: schema.RequestClass
) -> float:
    factor = LATE_STREAM_FACTOR if route.streams else LATE_ANSWER_FACTOR
    return factor * request_class.target_first_token_s


def _status_line(head: endpoints_base.Head) -> str:
    reason = head.reason or _REASONS.get(head.status, "")
    return f"{head.status} {reason}"


def _request_id(parsed_headers: protocol_module.ParsedHeaders) -> ids.RequestId:
    # Two callers may use the same id at the same time. This instance tracks
    # requests by id, so the end of one would be taken for the end of the other.
    suffix = secrets.token_hex(SUFFIX_BYTES)
    return ids.RequestId(f"{parsed_headers.caller_id}.{suffix}")


def _workspace(
    route: schema.Route,
    parsed_headers: protocol_module.ParsedHeaders,
    applied: in_force.AppliedDocument,
) -> schema.Workspace | None:
    if route.anonymous:
        return applied.document.workspaces[schema.ANONYMOUS_WORKSPACE]
    return applied.keys.find(parsed_headers.key) if parsed_headers.key else None


def _digest(
    workspace: schema.Workspace, method: str, target: str, body: bytes
) -> str:
    head = f"{workspace.workspace}\n{method} {target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def _stream_key(
    route: schema.Route,
    workspace: schema.Workspace,
    parsed_headers: protocol_module.ParsedHeaders,
) -> int | None:
    if not (route.streams and route.resumable):
        return None
    begun_by = parsed_headers.resumes
    if not (begun_by and parsed_headers.resume_after):
        begun_by = parsed_headers.caller_id
    return resumption.stream_key(workspace.workspace, begun_by)


def _prefix_key(parsed_headers: protocol_module.ParsedHeaders) -> str:
    """Returns a key for the prompt prefix that requests may share.

    The last part is specific to the request or its session and is left out.
    """
    shared = parsed_headers.parts[:-1]
    return "/".join(part.part for part in shared)
