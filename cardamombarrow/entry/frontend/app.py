"""The WSGI application of an entry: routes, authentication, answers."""

from collections import abc
import typing

from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from cardamombarrow.entry import readiness as readiness_module
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.frontend import answers
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.frontend import interface
from cardamombarrow.entry.requests import call_runner as call_runner_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["App"]

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
_RELAYED_HEADERS = ("content-type", "content-length", "cache-control")

_ROUTES = routing.Map(
    [
        routing.Rule(
            "/v1/chat/completions", endpoint="completion", methods=["POST"]
        ),
        routing.Rule(
            "/v1/completions", endpoint="completion", methods=["POST"]
        ),
        routing.Rule(
            "/v1/services/<name>/<path:path>",
            endpoint="service",
            methods=_METHODS,
        ),
        routing.Rule(interface.HEALTH_PATH, endpoint="health", methods=["GET"]),
        routing.Rule("/metrics", endpoint="metrics", methods=["GET"]),
        routing.Rule("/readyz", endpoint="ready", methods=["GET"]),
        routing.Rule("/v1/instance", endpoint="instance", methods=["GET"]),
    ]
)


class App:
    """Serves callers."""

    def __init__(
        self,
        instance: ids.InstanceId,
        documents: in_force.DocumentInForce,
        runner: call_runner_module.CallRunner,
        readiness: readiness_module.Readiness,
        body_limit_bytes: int,
    ):
        self._instance = instance
        self._documents = documents
        self._runner = runner
        self._services = runner.services
        self._readiness = readiness
        self._body_limit_bytes = body_limit_bytes

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        request = wrappers.Request(environ)
        request.max_content_length = self._body_limit_bytes
        request_id = ids.new_request_id()
        try:
            response = self._dispatch(request, request_id)
        except errors.RouterError as error:
            self._services.metrics.count_error(error.kind, error.class_id)
            response = answers.error_response(error, request_id)
        except Exception as error:
            self._services.metrics.count_error(errors.ErrorKind.INTERNAL)
            failure = answers.internal_error(error, request_id)
            response = answers.error_response(failure, request_id)
        return response(environ, start_response)

    def _dispatch(
        self, request: wrappers.Request, request_id: ids.RequestId
    ) -> wrappers.Response:
        adapter = _ROUTES.bind_to_environ(request.environ)
        try:
            endpoint, arguments = adapter.match()
        except exceptions.HTTPException as error:
            raise errors.RefusedError(
                errors.ErrorKind.NOT_FOUND,
                f"{request.method} {request.path}: {error.name}",
            ) from None
        handler = getattr(self, f"_on_{endpoint}")
        return handler(request, request_id, **arguments)

    def _on_health(
        self, request: wrappers.Request, request_id: ids.RequestId
    ) -> wrappers.Response:
        return wrappers.Response("ok\n")

    def _on_ready(
        self, request: wrappers.Request, request_id: ids.RequestId
    ) -> wrappers.Response:
        reason = self._readiness.reason()
        if reason is not None:
            raise errors.RefusedError(errors.ErrorKind.DRAINING, reason)
        revision = self._documents.current().revision
        return wrappers.Response(f"ready, revision {revision}\n")

    def _on_metrics(
        self, request: wrappers.Request, request_id: ids.RequestId
    ) -> wrappers.Response:
        text = self._runner.metrics_text()
        return wrappers.Response(text, content_type="text/plain; version=0.0.4")

    def _on_instance(
        self, request: wrappers.Request, request_id: ids.RequestId
    ) -> wrappers.Response:
        revision = self._documents.current().revision
        body = f'{{"instance": "{self._instance}", "revision": {revision}}}\n'
        return wrappers.Response(body, content_type="application/json")

    def _on_completion(
        self, request: wrappers.Request, request_id: ids.RequestId
    ) -> wrappers.Response:
        document = self._documents.current()
        call = incoming.completion(
            request,
            document.document,
            document.keys.authenticate(request),
            request_id,
            self._services.time_source.now_s(),
        )
        return self._run(request, call)

    def _on_service(
        self,
        request: wrappers.Request,
        request_id: ids.RequestId,
        name: str,
        path: str,
    ) -> wrappers.Response:
        document = self._documents.current()
        call = incoming.service_call(
            request,
            document.document,
            document.keys.authenticate(request),
            name,
            path,
            request_id,
            self._services.time_source.now_s(),
        )
        return self._run(request, call)

    def _run(
        self, request: wrappers.Request, call: incoming.IncomingCall
    ) -> wrappers.Response:
        runner = self._runner
        run = (
            runner.run_plain
            if call.job.repeatable
            else runner.run_claimed(call)
        )
        relay = runner.begin(request.environ, call, run, sends_error_event=True)
        headers = {
            name: relay.head.headers[name]
            for name in _RELAYED_HEADERS
            if name in relay.head.headers
        }
        headers["X-Request-Id"] = call.job.request_id
        if call.version:
            headers["X-Model-Version"] = call.version
        return wrappers.Response(
            relay.chunks,
            status=relay.head.status,
            headers=headers,
            direct_passthrough=True,
        )
