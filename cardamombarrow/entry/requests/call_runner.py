"""Runs admitted calls and relays their answers, for all applications."""

from collections import abc
import dataclasses
import typing

from cardamombarrow.decisions import messages
from cardamombarrow.entry import metrics
from cardamombarrow.entry import readiness as readiness_module
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.frontend import answers
from cardamombarrow.entry.frontend import caller as caller_module
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.requests import gate as gate_module
from cardamombarrow.entry.requests import once
from cardamombarrow.entry.requests import request_handler
from cardamombarrow.entry.requests import stop_guard
from cardamombarrow.forwarding import app as forwarded_app
from cardamombarrow.forwarding import core as forwarding
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["CallRunner"]

NO_BODY_STATUSES = (204, 304)


class CallRunner:
    """Request handling shared by the applications of an entry.

    Attributes:
        services: Dependencies shared by all requests.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        documents: in_force.DocumentInForce,
        services: request_handler.RequestServices,
        gate: gate_module.Gate,
        readiness: readiness_module.Readiness,
    ):
        self._instance = instance
        self._documents = documents
        self._gate = gate
        self._readiness = readiness
        self.services = services

    @property
    def held(self) -> int:
        """The number of requests held now."""
        return self._gate.held

    def metrics_text(self) -> str:
        """Returns what the entry counts, in the Prometheus text format."""
        broker = self.services.broker
        return self.services.metrics.text(
            metrics.Gauges(
                held=self.held,
                revision=self._documents.revision,
                rate_limited=broker.rate_limited(),
                paused=broker.paused(),
                invalid_fields=broker.invalid_fields(),
                slow=broker.slow(),
                suspects=broker.suspect_counts(),
                unreachable=len(self.services.reachability.cut_off()),
                brittle=broker.brittle(),
            )
        )

    def begin(
        self,
        environ: dict[str, typing.Any],
        call: incoming.IncomingCall,
        run: abc.Callable[
            [request_handler.RequestHandler], request_handler.RelayedAnswer
        ],
        *,
        sends_error_event: bool,
    ) -> request_handler.RelayedAnswer:
        """Runs a call until its answer begins.

        Args:
            environ: The WSGI environment.
            call: The call.
            run: Runs the call; `run_plain`, or the result of `run_claimed`.
            sends_error_event: Whether a stream that is cut off ends with an
                error event; otherwise the connection is broken.

        Raises:
            errors.RouterError: It was refused or failed.
        """
        history = environ.get(forwarded_app.FORWARDED_KEY)
        if history is not None:
            call = _with_history(call, history)
        try:
            if self._readiness.refusing:
                # A balancer without another instance goes on sending. A
                # request accepted now would be cut off when the process is
                # killed.
                raise errors.RefusedError(
                    errors.ErrorKind.DRAINING,
                    "this instance is stopping",
                    retry_after_s=stop_guard.DRAINING_RETRY_S,
                    check=errors.RefusalCheck.DRAINING,
                )
            if not self.services.stop_guard.may_send(call.job):
                raise self.services.stop_guard.refusal(call.job)
            self._check_forwarded(environ, call)
            self._gate.enter(call.job, self._documents.current().document)
            relay = self._run(environ, call, run)
        except errors.RouterError as error:
            error.class_id = call.job.class_id
            if call.is_forwarded:
                _decline_if_draining(environ, error)
            raise
        chunks = self._chunks(environ, relay, call.job, sends_error_event)
        method = environ["REQUEST_METHOD"]
        if relay.head.status in NO_BODY_STATUSES or method == "HEAD":
            # werkzeug neither iterates nor closes the body of these answers:
            # the endpoint's slot would never be released.
            chunks = iter(list(chunks))
        return request_handler.RelayedAnswer(relay.head, chunks)

    def _check_forwarded(
        self, environ: dict[str, typing.Any], call: incoming.IncomingCall
    ) -> None:
        """Declines a forwarded call of a service that can't be reached."""
        if not call.is_forwarded:
            return
        if self.services.reachability.is_cut_off(call.job.service):
            reason = f"no endpoint of {call.job.service} can be connected"
            environ[forwarded_app.DECLINED_KEY] = reason
            raise errors.RefusedError(
                errors.ErrorKind.NOT_READY,
                reason,
                check=errors.RefusalCheck.FORWARDED_SERVICE,
            )

    def _run(
        self,
        environ: dict[str, typing.Any],
        call: incoming.IncomingCall,
        run: abc.Callable[
            [request_handler.RequestHandler], request_handler.RelayedAnswer
        ],
    ) -> request_handler.RelayedAnswer:
        try:
            watch = caller_module.SocketWatch(environ["werkzeug.socket"])
            forwarded = self._forward(environ, call, watch)
            if forwarded is not None:
                return forwarded
            try:
                return run(
                    request_handler.RequestHandler(call, watch, self.services)
                )
            except errors.RouterError as error:
                if not self.services.stop_guard.may_send(call.job):
                    raise
                is_proven = self.services.forwarder.is_proven(call.job.service)
                if not is_proven or not request_handler.may_run_elsewhere(
                    error, call.job
                ):
                    raise
                if not self.services.broker.may_forward(call.job):
                    raise
                forwarded = self._forward(environ, call, watch)
                if forwarded is None:
                    raise
                return forwarded
        except BaseException:
            self._gate.leave(call.job)
            raise

    def _forward(
        self,
        environ: dict[str, typing.Any],
        call: incoming.IncomingCall,
        watch: caller_module.SocketWatch,
    ) -> request_handler.RelayedAnswer | None:
        """Has another entry serve a call; None if none is asked or takes it."""
        service = call.job.service
        if call.is_forwarded or not self.services.forwarder.is_needed(service):
            return None
        received = call.received_body
        answer = self.services.forwarder.forward(
            forwarding.ForwardRequest(
                request_id=call.job.request_id,
                service=service,
                method=environ["REQUEST_METHOD"],
                target=environ["REQUEST_URI"],
                headers=environ[connection.HEADERS_KEY],
                body=call.body if received is None else received,
                arrived_s=call.job.arrived_s,
                deadline_s=call.job.deadline_s,
                stall_limit_s=call.stall_limit_s,
                caller=watch,
                attempts=call.job.attempts,
                runs=call.job.runs,
                ends_s=self.services.stop_guard.ends_s,
            )
        )
        if answer is None:
            return None
        return request_handler.RelayedAnswer(answer.head, answer.chunks)

    def run_plain(
        self, handler: request_handler.RequestHandler
    ) -> request_handler.RelayedAnswer:
        """Runs a call without a claim."""
        return handler.run()

    def run_claimed(
        self, call: incoming.IncomingCall
    ) -> abc.Callable[
        [request_handler.RequestHandler], request_handler.RelayedAnswer
    ]:
        """Returns a function that runs a call under a claim in the ledger."""

        def run(
            handler: request_handler.RequestHandler,
        ) -> request_handler.RelayedAnswer:
            return once.run_once(
                call, handler, self.services.ledger, self._instance
            )

        return run

    def _chunks(
        self,
        environ: dict[str, typing.Any],
        relay: request_handler.RelayedAnswer,
        job: messages.Job,
        sends_error_event: bool,
    ) -> abc.Iterator[bytes]:
        try:
            yield from relay.chunks
        except errors.RouterError as error:
            self.services.metrics.count_error(error.kind, job.class_id)
            logs.decision(
                "cut",
                request_id=job.request_id,
                kind=error.kind.value,
                detail=error.detail,
                caller_protocol=environ["SERVER_PROTOCOL"],
                framed=relay.head.is_framed,
            )
            if not (relay.head.streams and sends_error_event):
                # The caller detects the cut by a missing last chunk, by fewer
                # bytes than announced or by a reset of the connection.
                raise
            yield answers.error_event(error, job.request_id)
        finally:
            close = getattr(relay.chunks, "close", None)
            if close is not None:
                close()
            self._gate.leave(job)


def _decline_if_draining(
    environ: dict[str, typing.Any], error: errors.RouterError
) -> None:
    """Has the forwarding entry ask another one; this one has not run it."""
    if error.kind is errors.ErrorKind.DRAINING and error.not_run:
        environ[forwarded_app.DECLINED_KEY] = error.detail


def _with_history(
    call: incoming.IncomingCall, history: forwarded_app.History
) -> incoming.IncomingCall:
    """Returns a forwarded call whose job goes on where another entry ended."""
    job = dataclasses.replace(
        call.job,
        attempts=history.attempts,
        runs=history.runs,
        may_have_run=history.runs > 0,
        received=history.attempts > 0,
    )
    return dataclasses.replace(call, job=job, is_forwarded=True)
