"""Handling of one request, from admission to settlement.

claim (if unrepeatable) -> wait for a placement -> send -> relay -> settle. All
of it runs on the thread that serves the caller's connection.
"""

from collections import abc
from concurrent import futures
import dataclasses
import itertools
import math

from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import event_order
from cardamombarrow.endpoints import event_stream
from cardamombarrow.entry import metrics as metrics_module
from cardamombarrow.entry.frontend import incoming
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import ticket as ticket_module
from cardamombarrow.entry.requests import answer_stream
from cardamombarrow.entry.requests import (
    crash_detector as crash_detector_module,
)
from cardamombarrow.entry.requests import progress as progress_module
from cardamombarrow.entry.requests import stop_guard as stop_guard_module
from cardamombarrow.forwarding import core as forwarding
from cardamombarrow.forwarding import reachability as reachability_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import held_bytes
from cardamombarrow.kernel import logs
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.metering import meter as meter_module
from cardamombarrow.resumption import core as resumption
from cardamombarrow.resumption import open_streams
from cardamombarrow.resumption import restart_watch

__all__ = [
    "RelayedAnswer",
    "RequestHandler",
    "RequestServices",
    "may_run_elsewhere",
]

CALLER_POLL_S = 0.25
"""Interval at which a waiting caller's connection is checked."""

TAIL_BYTES = 512
"""Size of the answer's tail that is buffered to determine how many tokens it
had."""

_NOT_RETRIED = (errors.ErrorKind.CALLER_GONE, errors.ErrorKind.DEADLINE)
"""Errors after which a request is not retried."""

_NOT_REACHED_ERRORS = (
    errors.ErrorKind.ENDPOINT_UNREACHED,
    errors.ErrorKind.NO_ENDPOINT,
    errors.ErrorKind.OVERLOADED,
    errors.ErrorKind.QUEUE_TIMEOUT,
)
"""Errors of requests that an entry without a path to endpoints can't place."""

_UNANSWERED_ERRORS = (
    *_NOT_REACHED_ERRORS,
    errors.ErrorKind.ENDPOINT_FAILED,
    errors.ErrorKind.CONNECTION_SILENT,
    errors.ErrorKind.STALLED,
)
"""Errors of requests on connections that have lost their path."""


@dataclasses.dataclass(frozen=True)
class RequestServices:
    """Dependencies shared by all requests.

    Attributes:
        kinds: The endpoint protocol of each kind of service.
        reachability: Which services can be connected at all.
        forwarder: Has other entries serve requests of those that can't.
        origins: Which software versions began the streams of late.
        restarts: Which endpoints may run other software than listed.
        stop_guard: What may still be sent once the process is being stopped.
    """

    broker: broker_module.Broker
    ledger: ledger_client.LedgerClient
    kinds: dict[schema.ServiceKind, endpoints_base.EndpointKind]
    time_source: clock.Clock
    crashes: crash_detector_module.CrashDetector
    metrics: metrics_module.Metrics
    meter: meter_module.Meter
    reachability: reachability_module.Reachability = dataclasses.field(
        default_factory=lambda: reachability_module.Reachability(dict)
    )
    forwarder: forwarding.Forwarder = dataclasses.field(
        default_factory=lambda: forwarding.Forwarder(
            forwarding.ForwardSettings()
        )
    )
    origins: resumption.StreamOrigins = dataclasses.field(
        default_factory=lambda: resumption.StreamOrigins(clock.SystemClock())
    )
    restarts: restart_watch.RestartWatch = dataclasses.field(
        default_factory=restart_watch.RestartWatch.inactive
    )
    stop_guard: stop_guard_module.StopGuard = dataclasses.field(
        default_factory=lambda: stop_guard_module.StopGuard(clock.SystemClock())
    )


@dataclasses.dataclass
class RelayedAnswer:
    """An answer that is being relayed.

    Attributes:
        chunks: The body; it must be iterated to its end or closed.
    """

    head: endpoints_base.Head
    chunks: abc.Iterator[bytes]


@dataclasses.dataclass
class _Run:
    """One run on an endpoint whose answer has begun.

    Attributes:
        first: The first piece of the body; the whole body of a short answer.
        rest: The pieces that follow.
        settled: Whether the run's outcome has been recorded.
    """

    ticket: ticket_module.Ticket
    exchange: endpoints_base.Exchange
    head: endpoints_base.Head
    resumable: bool
    first: bytes
    rest: abc.Iterator[bytes]
    settled: bool = False


def may_run_elsewhere(error: errors.RouterError, job: messages.Job) -> bool:
    """Returns whether another entry may run a request that has failed here.

    No part of an answer may have been relayed yet.
    """
    if error.not_run and not job.may_have_run:
        return error.kind in _NOT_REACHED_ERRORS
    return job.repeatable and error.kind in _UNANSWERED_ERRORS


class RequestHandler:
    """One request from admission to settlement."""

    def __init__(
        self,
        call: incoming.IncomingCall,
        caller: endpoints_base.CallerWatch,
        services: RequestServices,
    ):
        self._call = call
        self._caller = caller
        self._services = services
        self._kind = services.kinds[call.kind]
        self._progress = progress_module.Progress(
            call.job, services.time_source, services.meter
        )
        self._order = event_order.EventOrder(call.resume_after)
        self._relaying = False
        self._held = held_bytes.ENDPOINT_BYTES.buffer()

    def left_s(self) -> float:
        """Returns the time until the request's deadline, in seconds."""
        return self._call.job.deadline_s - self._services.time_source.now_s()

    def run(self) -> RelayedAnswer:
        """Runs the request until its answer begins.

        Returns:
            The answer's head, and its body still to be relayed.

        Raises:
            errors.RouterError: It was refused or failed; `not_run` is True if
                it has certainly not run.
        """
        if self._call.job.required_software:
            self._services.restarts.wait_judged()
        ticket = self._services.broker.submit(self._call.job)
        run = self._begin(ticket)
        self._relaying = True
        head = run.head.without_length() if run.resumable else run.head
        return RelayedAnswer(head, self._relay(run))

    def _begin(self, ticket: ticket_module.Ticket) -> _Run:
        """Runs a placed or waiting job until an answer begins."""
        while True:
            self._services.metrics.add_waiting(1)
            try:
                self._wait(ticket)
            finally:
                self._services.metrics.add_waiting(-1)
            self._check_stop(ticket)
            try:
                exchange = self._open(ticket)
            except BaseException:
                # Without this the slot would never be released, and after
                # some failures the endpoint would look full while idle.
                self._services.broker.finish(
                    ticket.job.request_id, messages.Outcome.NOT_STARTED
                )
                raise
            try:
                run = self._first_piece(ticket, exchange)
                if not self._kind.is_failure(run.head):
                    return run
            except errors.RouterError as error:
                exchange.close()
                self._fail(ticket, error)
                ticket = self._retry(ticket, error)
            except BaseException:
                exchange.close()
                self._services.broker.finish(
                    ticket.job.request_id, messages.Outcome.FAILED
                )
                raise
            else:
                new_ticket = self._retry_failure(run)
                if new_ticket is None:
                    return run
                ticket = new_ticket

    def _check_stop(self, ticket: ticket_module.Ticket) -> None:
        """Releases the slot of a request that must not be sent any more.

        Raises:
            errors.RefusedError: The process ends before its answer is expected.
        """
        if not self._may_send():
            self._services.broker.finish(
                ticket.job.request_id, messages.Outcome.WITHHELD
            )
            raise self._services.stop_guard.refusal(ticket.job)

    def _may_send(self) -> bool:
        return self._services.stop_guard.may_send(
            self._call.job, self._progress.relayed_s
        )

    def _may_redo(self) -> bool:
        return self._may_send() and self._services.broker.may_redo(
            self._call.job
        )

    def _retry_failure(self, run: _Run) -> ticket_module.Ticket | None:
        """Queues a request again after a failure answer of its endpoint.

        Returns:
            The ticket of the new attempt; None if no retry is allowed, and
            the endpoint's failure answer is relayed to the caller unchanged.
        """
        ticket = run.ticket
        run.exchange.release()
        run.exchange.close()
        error = answer_stream.failure_of(run.head)
        outcome = messages.Outcome.FAILURE_ANSWERED
        self._settle(ticket, error, outcome)
        new_ticket = self._resubmit(ticket, outcome)
        if new_ticket is None:
            run.settled = True
        else:
            self._held.release()
        return new_ticket

    def _first_piece(
        self, ticket: ticket_module.Ticket, exchange: endpoints_base.Exchange
    ) -> _Run:
        """Waits for the first piece of the body.

        Until then nothing has been sent to the caller, and a request whose
        endpoint fails can still be retried.
        """
        head = exchange.head()
        outgoing = self._outgoing(ticket)
        self._services.broker.answer_statement(
            outgoing.endpoint,
            self._kind.read_statement(head, outgoing),
            outgoing.request_id,
        )
        if self._kind.not_started(head) and not self._kind.answers_other(
            head, outgoing
        ):
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_REFUSED,
                f"the endpoint answered {head.status}",
                sent=True,
            )
        if not self._call.streams:
            self._progress.began()
        self._kind.check(head, outgoing)
        if self._kind.is_failure(head) and not self._kind.relays_failures:
            raise answer_stream.failure_of(head)
        if self._relaying and not (head.status == 200 and head.streams):
            # The head of the stream has been sent: any other answer would be
            # read as the stream's next events.
            raise answer_stream.failure_of(head)
        resumable = (
            self._kind.resumable(head)
            and ticket.job.repeatable
            and self._call.resumable
        )
        ticket.job.resumable = resumable
        chunks = exchange.chunks()
        if self._kind.is_failure(head):
            first = answer_stream.failure_body(chunks, self._held)
        elif answer_stream.is_buffered(head):
            first = answer_stream.joined(chunks)
        else:
            first = next(chunks, b"")
        self._check_software(ticket)
        if resumable:
            self._order.begin_run()
            self._check_order(self._kind.event_ids(first))
        return _Run(ticket, exchange, head, resumable, first, chunks)

    def _check_software(self, ticket: ticket_module.Ticket) -> None:
        """Checks that a stream goes on at the software version it has to.

        The endpoint may have restarted since the job was placed.

        Raises:
            errors.EndpointError: That is not certain.
        """
        software = ticket.job.required_software
        endpoint = ticket.placed.result().endpoint
        if software and self._services.restarts.is_in_doubt(endpoint):
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"the endpoint may not run software {software!r} any more",
                sent=True,
            )

    def _check_order(self, event_ids: list[str]) -> None:
        """Checks that events go on where the ones before them ended.

        Raises:
            errors.EndpointError: They do not.
        """
        if not self._order.follows(event_ids):
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"the stream goes on with event {event_ids[0]!r} after "
                f"{self._order.last_id!r}",
                sent=True,
            )

    def _fail(
        self, ticket: ticket_module.Ticket, error: errors.RouterError
    ) -> None:
        if isinstance(error, errors.EndpointError):
            placement = ticket.placed.result()
            self._services.crashes.on_failure(
                placement.endpoint, ticket.job, error, self._kind
            )
            refused = error.kind is errors.ErrorKind.ENDPOINT_REFUSED
            if error.sent and not refused and not self._call.streams:
                self._progress.began()
        self._settle(ticket, error)

    def _wait(self, ticket: ticket_module.Ticket) -> messages.Placement:
        while True:
            try:
                return ticket.placed.result(timeout=CALLER_POLL_S)
            except futures.TimeoutError:
                if not self._may_wait(ticket.job):
                    # A job that is placed just now counts as run once it is
                    # withdrawn, though it has not been sent.
                    refusal = self._services.stop_guard.refusal(ticket.job)
                    raise self._withdrawn(ticket, refusal) from None
                if self._may_forward():
                    refusal = errors.RefusedError(
                        errors.ErrorKind.ENDPOINT_UNREACHED,
                        "no endpoint can be connected",
                        not_run=not ticket.job.may_have_run,
                        check=errors.RefusalCheck.REACHABILITY,
                    )
                    raise self._withdrawn(ticket, refusal) from None
                if self._caller.gone():
                    refusal = errors.RefusedError(
                        errors.ErrorKind.CALLER_GONE,
                        "the caller left",
                        not_run=not ticket.job.may_have_run,
                    )
                    raise self._withdrawn(ticket, refusal) from None

    def _withdrawn(
        self, ticket: ticket_module.Ticket, refusal: errors.RefusedError
    ) -> errors.RefusedError:
        """Withdraws a waiting job; returns the refusal with its wait."""
        wait = self._services.broker.withdraw(ticket)
        if wait is not None:
            refusal.wait_fields = wait.fields()
        return refusal

    def _may_wait(self, job: messages.Job) -> bool:
        guard = self._services.stop_guard
        if not guard.is_ending:
            return True
        backlog = self._services.broker.backlog(job)
        return backlog is not None and guard.may_wait(job, backlog)

    def _open(self, ticket: ticket_module.Ticket) -> endpoints_base.Exchange:
        self._progress.record_sent()
        if ticket.placed.result().limit_per_s is not None:
            self._services.metrics.count_sent_under_limit()
        return self._kind.open(self._outgoing(ticket))

    def _outgoing(
        self, ticket: ticket_module.Ticket
    ) -> endpoints_base.OutgoingCall:
        call = self._call
        placement = ticket.placed.result()
        endpoint = placement.endpoint
        return endpoints_base.OutgoingCall(
            request_id=call.job.request_id,
            endpoint=endpoint,
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            rank=call.job.rank,
            deadline_s=call.job.deadline_s,
            stall_limit_s=call.stall_limit_s,
            caller=self._caller,
            cancelled=lambda: ticket.preempted is not None,
            first_byte_limit_s=call.first_byte_limit_s,
            may_redo=self._may_redo,
            may_send=lambda: self._services.broker.may_send(endpoint),
            is_paused=lambda: self._services.broker.is_paused(endpoint),
            may_exit=lambda: self._may_exit(ticket),
            on_connect=lambda connected: self._services.reachability.record(
                call.job.service, endpoint, connected=connected
            ),
            resume_tokens=self._progress.tokens,
            resume_after=self._order.last_id,
            caller_id=call.caller_id,
            workspace=call.job.workspace,
            headers=call.headers,
            repeatable=call.job.repeatable,
            fetch_from=placement.fetch and placement.fetch.source,
            ends_s=self._ends_s,
        )

    def _may_exit(self, ticket: ticket_module.Ticket) -> bool:
        """Returns whether the endpoint may have ended after its answer.

        An endpoint that leaves ends its process in order. It may also be killed
        at the end of its time; what can be resumed goes on in either case.
        """
        endpoint = ticket.placed.result().endpoint
        return not ticket.job.resumable and self._services.broker.may_exit(
            endpoint
        )

    def _ends_s(self) -> float:
        # An answer that has begun can only be cut off, so it may go on.
        if self._relaying:
            return math.inf
        return self._services.stop_guard.ends_s()

    def _may_forward(self) -> bool:
        """Returns whether another entry may serve the request instead."""
        if self._relaying or self._call.is_forwarded:
            return False
        return self._services.forwarder.is_proven(self._call.job.service)

    def _retry(
        self, ticket: ticket_module.Ticket, error: errors.RouterError
    ) -> ticket_module.Ticket:
        outcome = answer_stream.outcome_of(error)
        if error.kind in _NOT_RETRIED:
            raise error
        if self._may_forward() and may_run_elsewhere(error, ticket.job):
            raise error
        new_ticket = self._resubmit(ticket, outcome)
        if new_ticket is None:
            if error.not_run and error.retry_after_s is None:
                error.retry_after_s = self._retry_after_s(ticket.job)
            raise error
        return new_ticket

    def _retry_after_s(self, job: messages.Job) -> float | None:
        if self._services.stop_guard.is_ending:
            return stop_guard_module.DRAINING_RETRY_S
        return self._services.broker.blocked_for_s(job)

    def _resubmit(
        self, ticket: ticket_module.Ticket, outcome: messages.Outcome
    ) -> ticket_module.Ticket | None:
        new_ticket = None
        if self._may_send():
            new_ticket = self._services.broker.resubmit(ticket, outcome)
        self._services.metrics.count_retry(allowed=new_ticket is not None)
        return new_ticket

    def _relay(self, run: _Run) -> abc.Iterator[bytes]:
        try:
            while True:
                try:
                    yield from self._relay_run(run)
                    return
                except errors.RouterError as error:
                    run = self._resume(run, error)
        except errors.RouterError as error:
            # Until here a resumed run could still have used these tokens.
            self._services.metrics.count_wasted(
                answer_stream.outcome_of(error), self._progress.tokens
            )
            raise
        except GeneratorExit:
            outcome = messages.Outcome.CALLER_GONE
            self._services.metrics.count_wasted(outcome, self._progress.tokens)
            raise

    def _has_known_place(self) -> bool:
        """Returns whether it is known after which event the stream goes on."""
        key = self._call.stream_key
        if key is not None and not self._services.origins.confirms(
            key, self._call.job.required_software
        ):
            return False
        return self._order.can_go_on or not self._kind.has_event_ids

    def _resume(self, run: _Run, error: errors.RouterError) -> _Run:
        """Resumes an answer that was cut off, or raises `error`.

        One that has brought no event yet begins anew.
        """
        progress = self._progress
        has_events = progress.first_token_s is not None
        if not run.resumable or (has_events and not progress.tokens):
            raise error
        if has_events:
            self._services.restarts.wait_judged()
            if not self._has_known_place():
                raise error
        resumed = self._begin(self._retry(run.ticket, error))
        logs.decision(
            "resume",
            request_id=self._call.job.request_id,
            tokens=self._progress.tokens,
            reason=error.detail,
            endpoint=resumed.ticket.placed.result().endpoint,
            software=self._call.job.required_software,
        )
        return resumed

    def _relay_run(self, run: _Run) -> abc.Iterator[bytes]:
        if run.settled:
            try:
                yield run.first
            finally:
                self._held.release()
            return
        request_id = run.ticket.job.request_id
        broker = self._services.broker
        progress = self._progress
        tail = b""
        failure: errors.RouterError | None = errors.RefusedError(
            errors.ErrorKind.CALLER_GONE, "the caller left", not_run=False
        )
        first = [run.first] if run.first else []
        try:
            for chunk in itertools.chain(first, run.rest):
                if run.resumable:
                    event_ids = self._kind.event_ids(chunk)
                    self._check_order(event_ids)
                    self._order.add(event_ids)
                if not run.head.streams or event_stream.has_event(chunk):
                    if progress.first_token_s is None:
                        self._require_software(run)
                        progress.first_piece(run.ticket.job)
                        broker.first_token(request_id)
                    progress.add_piece()
                tail = (tail + chunk)[-TAIL_BYTES:]
                progress.tokens += self._kind.count_tokens(chunk)
                broker.progress(request_id, progress.tokens)
                yield chunk
            progress.tokens = progress.tokens or self._kind.tokens_at_end(tail)
            broker.progress(request_id, progress.tokens)
            failure = None
            run.exchange.release()
        except errors.RouterError as error:
            failure = error
            raise
        finally:
            run.exchange.close()
            if failure is None:
                self._settle(run.ticket, None)
            else:
                self._fail(run.ticket, failure)

    def _require_software(self, run: _Run) -> None:
        """Binds a stream to the software version that wrote its first event.

        Events of different versions do not fit together, and endpoints do not
        check which version wrote the ones before.
        """
        job = run.ticket.job
        if not run.head.streams:
            return
        endpoint = run.ticket.placed.result().endpoint
        if job.required_software is None:
            job.required_software = self._services.broker.software_of(endpoint)
        if self._call.stream_until_s is not None:
            origin = resumption.Origin(job.service, job.required_software)
            begun = self._services.origins.add_own(
                self._call.stream_key,
                origin,
                self._call.stream_until_s,
                job.class_id,
                endpoint,
            )
            self._wait_acknowledged(begun)

    def _wait_acknowledged(self, begun: open_streams.GroupEnd) -> None:
        """Holds the first event back until control has stored its origin.

        Raises:
            errors.RefusedError: Control did not in time, and does not know the
                origin: the event must not go out.
        """
        origins = self._services.origins
        if origins.wait_acknowledged(begun, max(self.left_s(), 0.0)):
            return
        if not origins.is_established(begun):
            raise errors.RefusedError(
                errors.ErrorKind.DEADLINE,
                "control has not stored which software began the stream",
                not_run=False,
            )
        self._services.metrics.count_unacknowledged_stream()
        group, until_s = begun
        logs.decision(
            "unacknowledged_stream",
            request_id=self._call.job.request_id,
            class_id=group.class_id,
            service=group.origin.service,
            software=group.origin.software,
            open_s=round(until_s - self._services.time_source.now_s(), 3),
        )

    def _settle(
        self,
        ticket: ticket_module.Ticket,
        error: errors.RouterError | None,
        outcome: messages.Outcome | None = None,
    ) -> None:
        if outcome is None:
            outcome = answer_stream.outcome_of(error)
        job = ticket.job
        self._services.broker.finish(job.request_id, outcome)
        progress = self._progress
        first_s, age_s = progress.first_token_s, progress.age_s
        if error is None:
            self._services.stop_guard.run_times.record(job, progress.run_s)
            self._services.metrics.count_answer(
                job, first_s or age_s, age_s, progress.tokens
            )
        logs.decision(
            "settle",
            request_id=job.request_id,
            workspace=job.workspace,
            class_id=job.class_id,
            rank=job.rank,
            endpoint=ticket.placed.result().endpoint,
            outcome=outcome.value,
            detail=error.detail if error else "",
            tokens=progress.tokens,
            first_token_s=None if first_s is None else round(first_s, 4),
            target_first_token_s=job.target_first_token_s,
            longest_pause_s=round(progress.longest_pause_s, 4),
            total_s=round(age_s, 4),
        )
