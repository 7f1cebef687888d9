"""One HTTP exchange with an endpoint, driven by the thread that relays it.

The client is our own, over h11's parser, because of what must not happen. A
library that keeps connections sends a request again by itself when a kept one
turns out to be dead; for an unrepeatable request that is a second run, and for
one that crashes endpoints a second crash. Here nothing is sent twice, and a
connection serves another request only after an answer that was whole and
believed (`Exchange.release`); see `pool`.
"""

from collections import abc
import select
import time

from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import connection as connection_module
from cardamombarrow.endpoints import pool as pool_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["POOL", "HttpExchange"]

CONNECT_TIMEOUT_S = 0.5
"""An endpoint that does not accept within this is not reached. Some round
trips between regions; nothing was sent, so that every request can still go
elsewhere, and with 2 s its caller had left by then."""

WAIT_SLICE_S = 0.25
"""Longest wait before cancellation by the dispatcher is looked at again."""

POOL = pool_module.Pool(clock.BootClock())
"""The idle connections of this process."""

_BODY_METHODS = ("POST", "PUT", "PATCH")


class HttpExchange(base.Exchange):
    """An exchange over a new or a kept connection."""

    def __init__(
        self,
        call: base.OutgoingCall,
        headers: list[tuple[str, str]],
        probe: abc.Callable[[ids.EndpointId], bool],
        pool: pool_module.Pool = POOL,
    ):
        """Prepares an exchange.

        Args:
            call: The request.
            headers: Its header fields, without those of the framing.
            probe: Tells whether an endpoint takes a new connection.
            pool: Where connections are kept.
        """
        self._call = call
        self._headers = headers
        self._probe = probe
        self._pool = pool
        self._connection: connection_module.Connection | None = None
        self._broken: str | None = None
        self._believed = False
        self._begin_s = self._heard_s = time.monotonic()
        self._poll = select.poll()
        caller_fd = call.caller.fileno()
        if caller_fd >= 0:
            self._poll.register(caller_fd, select.POLLRDHUP)

    # -- the exchange ------------------------------------------------------

    def head(self) -> base.Head:
        """Sends the request and waits for status and headers."""
        self._begin_s = self._heard_s = time.monotonic()
        connection = self._connect()
        while connection.head is None:
            if self._broken is not None:
                raise self._failure()
            self._step()
            self._check_connect()
            self._check_first_byte()
            if self._silent_s() > self._call.stall_limit_s:
                self._check_alive()
        return connection.head

    def chunks(self) -> abc.Iterator[bytes]:
        """Yields the body; data that is ready together comes together."""
        connection = self._connection
        assert connection is not None, "head comes first"
        self._heard_s = time.monotonic()
        while True:
            data = connection.take()
            if data:
                yield data
            elif connection.whole:
                return
            elif self._broken is not None:
                raise self._failure()
            else:
                self._step()
                if self._silent_s() > self._call.stall_limit_s:
                    self._check_stall()

    def release(self) -> None:
        """Lets the connection serve another request once this has ended."""
        self._believed = True

    def close(self) -> None:
        """Ends the exchange; one that has not finished is cancelled."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._believed and connection.whole and self._broken is None:
            self._pool.give(self._call.endpoint, connection)
        else:
            connection.close()

    def _connect(self) -> connection_module.Connection:
        call = self._call
        connection = self._pool.take(call.endpoint, repeatable=call.repeatable)
        try:
            if connection is None:
                address = ids.address_of(call.endpoint)
                connection = connection_module.Connection(address)
        except OSError as error:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_UNREACHED, str(error), sent=False
            ) from None
        self._connection = connection
        connection.begin(call.method, call.path, self._fields(), call.body)
        self._poll.register(connection.fileno(), connection.events)
        return connection

    def _fields(self) -> list[tuple[str, str]]:
        """Returns the header fields with those of the framing."""
        call = self._call
        fields = [
            (name, value)
            for name, value in self._headers
            if name.lower() != "content-length"
        ]
        if not any(name.lower() == "host" for name, _ in fields):
            fields.insert(0, ("Host", ids.address_of(call.endpoint)))
        if call.body or call.method in _BODY_METHODS:
            fields.append(("Content-Length", str(len(call.body))))
        return fields

    def _step(self) -> None:
        now_s = time.monotonic()
        call, connection = self._call, self._connection
        assert connection is not None
        if now_s >= call.deadline_s:
            raise self._endpoint_error(
                errors.ErrorKind.DEADLINE, "the answer did not end in time"
            )
        if call.cancelled():
            raise errors.RefusedError(
                errors.ErrorKind.PREEMPTED, "gave way to a higher tier"
            )
        wait_s = min(WAIT_SLICE_S, call.deadline_s - now_s)
        self._poll.modify(connection.fileno(), connection.events)
        for fd, mask in self._poll.poll(wait_s * 1_000):
            if fd == call.caller.fileno():
                raise errors.RefusedError(
                    errors.ErrorKind.CALLER_GONE, "the caller left"
                )
            self._go_on(connection, mask)

    def _go_on(
        self, connection: connection_module.Connection, mask: int
    ) -> None:
        try:
            connection.ready(mask)
        except connection_module.BrokenError as error:
            self._broken = str(error)
        if mask & select.POLLIN:
            self._heard_s = time.monotonic()

    def _silent_s(self) -> float:
        if self._broken is not None or self._connection.whole:
            return 0.0
        return time.monotonic() - self._heard_s

    def _check_connect(self) -> None:
        late = time.monotonic() - self._begin_s > CONNECT_TIMEOUT_S
        if late and not self._connection.connected:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_UNREACHED,
                f"not connected within {CONNECT_TIMEOUT_S} s",
                sent=False,
            )

    def _check_first_byte(self) -> None:
        """Gives up an endpoint that is far too late, where another can help.

        One that takes requests and never answers looks alive to every probe;
        the caller would wait for it until its deadline.
        """
        limit_s = self._call.first_byte_limit_s
        if self._broken is not None or self._connection.head is not None:
            return
        late = time.monotonic() - self._begin_s > limit_s
        if late and self._call.may_redo():
            raise self._endpoint_error(
                errors.ErrorKind.STALLED, f"no answer within {limit_s:.2f} s"
            )

    def _check_alive(self) -> None:
        # An answer that does not stream is silent until it is whole, so that
        # its silence alone says nothing; only a dead endpoint ends the wait.
        silent_s = self._silent_s()
        if not self._probe(self._call.endpoint):
            raise self._endpoint_error(
                errors.ErrorKind.STALLED,
                f"silent for {silent_s:.1f} s; a new connection is not "
                "answered either",
            )
        self._heard_s = time.monotonic()

    def _check_stall(self) -> None:
        silent_s = self._silent_s()
        head = self._connection.head
        self._check_alive()
        self._step()
        if self._silent_s() > 0 and head is not None and head.streams:
            raise self._endpoint_error(
                errors.ErrorKind.CONNECTION_SILENT,
                f"silent for {silent_s:.1f} s; the endpoint answers a new "
                "connection, so this one went silent",
            )

    def _failure(self) -> errors.EndpointError:
        text = self._broken or "no answer"
        if not self._connection.sent:
            # Nothing of the request left this instance.
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
