"""One HTTP exchange with an endpoint, driven by the thread that relays it.

This is a separate HTTP client, based on h11's parser, because libraries with
connection pools send a request again if a pooled connection turns out to be
dead. An unrepeatable request would then run twice, and one that crashes
endpoints would cause a second crash. Here nothing is sent twice, and a
connection serves another request only after an answer that was complete and
valid (`Exchange.release`); see `pool`.
"""

from collections import abc
import select
import time

from cardamombarrow.endpoints import answer_body
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import connection as connection_module
from cardamombarrow.endpoints import pool as pool_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import held_bytes
from cardamombarrow.kernel import ids

__all__ = ["POOL", "HttpExchange"]

CONNECT_TIMEOUT_S = 0.5
"""Time after which an endpoint that does not accept is unreachable. It covers
some round trips between regions. Nothing was sent yet, so that every request
can still go elsewhere; with 2 s, callers had left by then."""

WAIT_SLICE_S = 0.25
"""Longest time between two checks for cancellation by the dispatcher."""

POOL = pool_module.Pool(clock.BootClock())
"""Idle connections of this process."""

_BODY_METHODS = ("POST", "PUT", "PATCH")


class HttpExchange(base.Exchange):
    """An exchange over a new or a pooled connection."""

    def __init__(
        self,
        call: base.OutgoingCall,
        headers: abc.Callable[[], list[tuple[str, str]]],
        probe: abc.Callable[[ids.EndpointId], bool],
        pool: pool_module.Pool = POOL,
        ends_stream: abc.Callable[[bytes], bool] | None = None,
    ):
        """Prepares an exchange.

        Args:
            call: The request.
            headers: Returns its header fields, without those for framing. It is
                called once there is a connection: a time left is exact then.
            probe: Returns whether an endpoint answers on a new connection.
            pool: Pool of idle connections.
            ends_stream: Returns whether a stream with this end is complete;
                None if its end shows nothing.
        """
        self._call = call
        self._headers = headers
        self._probe = probe
        self._pool = pool
        self._ends_stream = ends_stream
        self._connection: connection_module.Connection | None = None
        self._error: str | None = None
        self._accepted = False
        self._connecting = False
        self._stalled_s: float | None = None
        self._held = held_bytes.ENDPOINT_BYTES.buffer()
        self._started_s = self._progress_s = time.monotonic()
        self._poll = select.poll()
        caller_fd = call.caller.fileno()
        if caller_fd >= 0:
            self._poll.register(caller_fd, select.POLLRDHUP)

    @property
    def has_head(self) -> bool:
        """Whether status and headers have arrived."""
        return self._connection is not None and (
            self._connection.head is not None
        )

    # -- the exchange ------------------------------------------------------

    def head(self) -> base.Head:
        """Sends the request and waits for status and headers."""
        self._started_s = self._progress_s = time.monotonic()
        connection = self._connect()
        while connection.head is None:
            if self._error is not None:
                raise self._failure()
            if self._step():
                self._progress_s = time.monotonic()
            self._check_held(connection.unparsed_bytes)
            self._check_connect()
            self._check_first_byte()
            if self._silent_s() > self._call.stall_limit_s:
                self._check_alive()
        return connection.head

    def chunks(self) -> abc.Iterator[bytes]:
        """Yields the body; data that is available together is one chunk."""
        connection = self._connection
        assert connection is not None, "call head first"
        assert connection.head is not None, "call head first"
        self._progress_s = time.monotonic()
        body = answer_body.AnswerBody(
            connection.head, self._ends_stream or (lambda tail: True)
        )
        while True:
            self._check_length(connection)
            data = connection.take_body()
            if data:
                complete = body.feed(data)
                self._check_held(connection.unparsed_bytes + body.held_bytes)
                if body.progressed:
                    self._progress_s = time.monotonic()
                    self._stalled_s = None
                else:
                    self._check_stall()
                if complete:
                    yielded_s = time.monotonic()
                    yield complete
                    # A caller that reads slowly is not the endpoint's silence.
                    self._progress_s += time.monotonic() - yielded_s
            elif connection.whole:
                if self._call.method == "HEAD":
                    return
                rest = body.finish()
                self._check_exit(connection)
                if rest:
                    yield rest
                return
            elif self._error is not None:
                raise self._failure()
            else:
                self._step()
                self._check_held(connection.unparsed_bytes + body.held_bytes)
                if not connection.has_body:
                    self._check_stall()

    def release(self) -> None:
        """Allows the pool to reuse the connection after `close`."""
        self._accepted = True

    def close(self) -> None:
        """Ends the exchange; cancels the request if it has not finished."""
        self._held.release()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._accepted and connection.whole and self._error is None:
            self._pool.add(self._call.endpoint, connection)
        else:
            connection.close()

    def _connect(self) -> connection_module.Connection:
        call = self._call
        connection = self._pool.take(call.endpoint, repeatable=call.repeatable)
        try:
            if connection is None:
                address = ids.address_of(call.endpoint)
                self._connecting = True
                connection = connection_module.Connection(address)
        except OSError as error:
            self._record_connect(False)
            if connection_module.is_end(error.errno):
                self._pool.connections.report_break(call.endpoint)
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_UNREACHED, str(error), sent=False
            ) from None
        self._connection = connection
        if connection.connected:
            self._start_request(connection)
        self._poll.register(connection.fileno(), connection.events)
        return connection

    def _start_request(self, connection: connection_module.Connection) -> None:
        call = self._call
        connection.start_request(
            call.method, call.path, self._fields(), call.body
        )

    def _fields(self) -> list[tuple[str, str]]:
        """Returns the header fields, including those for framing."""
        call = self._call
        fields = [
            (name, value)
            for name, value in self._headers()
            if name.lower() != "content-length"
        ]
        if not any(name.lower() == "host" for name, _ in fields):
            fields.insert(0, ("Host", ids.address_of(call.endpoint)))
        if call.body or call.method in _BODY_METHODS:
            fields.append(("Content-Length", str(len(call.body))))
        return fields

    def _step(self) -> bool:
        """Waits for the endpoint; returns whether it has sent anything."""
        now_s = time.monotonic()
        call, connection = self._call, self._connection
        assert connection is not None
        if now_s >= call.deadline_s:
            raise self._endpoint_error(
                errors.ErrorKind.DEADLINE, "the answer did not end in time"
            )
        ends_s = call.ends_s()
        if now_s >= ends_s:
            raise self._endpoint_error(
                errors.ErrorKind.DEADLINE,
                "this instance stops before the answer",
            )
        if call.cancelled():
            raise errors.RefusedError(
                errors.ErrorKind.PREEMPTED, "preempted by a higher tier"
            )
        wait_s = min(WAIT_SLICE_S, call.deadline_s - now_s, ends_s - now_s)
        self._poll.modify(connection.fileno(), connection.events)
        received = False
        for fd, mask in self._poll.poll(wait_s * 1_000):
            if fd == call.caller.fileno():
                raise errors.RefusedError(
                    errors.ErrorKind.CALLER_GONE, "the caller left"
                )
            self._process_events(connection, mask)
            received = bool(mask & select.POLLIN)
        return received

    def _process_events(
        self, connection: connection_module.Connection, mask: int
    ) -> None:
        if not connection.sent and not self._call.may_send():
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_RESTRICTED,
                "the endpoint has stated that it wants no request now",
                sent=False,
            )
        try:
            if not connection.connected:
                connection.finish_connect()
                self._start_request(connection)
            connection.handle_events(mask)
        except connection_module.BrokenError as error:
            self._error = str(error)
            if error.ended:
                self._pool.connections.report_break(
                    self._call.endpoint,
                    connection if connection.connected else None,
                )
        self._record_connect(connection.connected)

    def _record_connect(self, connected: bool) -> None:
        if self._connecting:
            self._connecting = False
            if connected:
                self._pool.connections.add(
                    self._call.endpoint, self._connection
                )
            self._call.on_connect(connected)

    def _silent_s(self) -> float:
        if self._error is not None or self._connection.whole:
            return 0.0
        return time.monotonic() - self._progress_s

    def _check_held(self, size_bytes: int) -> None:
        if not self._held.resize(size_bytes):
            raise self._endpoint_error(
                errors.ErrorKind.ENDPOINT_FAILED
                if self._connection.head is None
                else errors.ErrorKind.ANSWER_CUT,
                f"{size_bytes} bytes without the end of a head or an event, "
                "and too many are held for all answers",
            )

    def _check_connect(self) -> None:
        late = time.monotonic() - self._started_s > CONNECT_TIMEOUT_S
        if late and not self._connection.connected:
            self._record_connect(False)
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_UNREACHED,
                f"not connected within {CONNECT_TIMEOUT_S} s",
                sent=False,
            )

    def _check_first_byte(self) -> None:
        """Gives up if the answer is far too late and can be redone elsewhere.

        An endpoint that accepts requests and never answers passes every probe,
        so the caller would wait until its deadline.
        """
        limit_s = self._call.first_byte_limit_s
        if self._error is not None or self._connection.head is not None:
            return
        late = time.monotonic() - self._started_s > limit_s
        if late and self._call.may_redo():
            raise self._endpoint_error(
                errors.ErrorKind.STALLED, f"no answer within {limit_s:.2f} s"
            )

    def _check_alive(self) -> None:
        # An answer that does not stream sends nothing until it is complete, so
        # only a failed probe ends the wait.
        silent_s = self._silent_s()
        call = self._call
        probe = base.accepts_connections if call.is_paused() else self._probe
        if not probe(call.endpoint):
            raise self._endpoint_error(
                errors.ErrorKind.STALLED,
                f"silent for {silent_s:.1f} s; the endpoint does not answer "
                "a new connection either",
            )
        self._progress_s = time.monotonic()

    def _check_stall(self) -> None:
        """Gives up a stream that has brought no event for the stall limit.

        What arrives while the endpoint is probed still counts: one more slice
        is waited for.
        """
        limit_s = self._call.stall_limit_s
        silent_s = self._silent_s()
        if silent_s <= limit_s:
            return
        if self._stalled_s is not None:
            raise self._endpoint_error(
                errors.ErrorKind.CONNECTION_SILENT,
                f"no event for {self._stalled_s:.1f} s; the endpoint answers "
                "a new connection, so this one stalled",
            )
        self._check_alive()
        head = self._connection.head
        if head is not None and head.streams:
            self._stalled_s = silent_s
            self._progress_s -= max(limit_s - WAIT_SLICE_S, 0.0)

    def _check_length(self, connection: connection_module.Connection) -> None:
        """Gives up an answer before the end of a body that is cut short."""
        if connection.exceeds_length and self._call.method != "HEAD":
            raise self._endpoint_error(
                errors.ErrorKind.ANSWER_CUT,
                "the body is longer than the head states",
            )

    def _check_exit(self, connection: connection_module.Connection) -> None:
        """Checks that a process still stands behind an answer that has ended.

        The connections of a process that is killed are closed in order, which
        is also how an answer without a length or chunks ends.
        """
        head = connection.head
        assert head is not None, "the answer has ended"
        has_end_mark = head.streams and self._ends_stream is not None
        if not connection.ended_by_close or has_end_mark:
            return
        call = self._call
        if not call.may_exit() and base.refuses_connections(call.endpoint):
            self._pool.connections.report_break(call.endpoint)
            raise errors.EndpointError(
                errors.ErrorKind.ANSWER_CUT,
                "the connection ended, and the endpoint refuses a new one",
                sent=True,
                connection_broke=True,
            )

    def _failure(self) -> errors.EndpointError:
        text = self._error or "no answer"
        if not self._connection.sent:
            # No part of the request was sent.
            return errors.EndpointError(
                errors.ErrorKind.ENDPOINT_UNREACHED, text, sent=False
            )
        kind = (
            errors.ErrorKind.ENDPOINT_FAILED
            if self._connection.head is None
            else errors.ErrorKind.ANSWER_CUT
        )
        return errors.EndpointError(
            kind, text, sent=True, connection_broke=True
        )

    def _endpoint_error(
        self, kind: errors.ErrorKind, detail: str
    ) -> errors.EndpointError:
        return errors.EndpointError(kind, detail, sent=self._connection.sent)
