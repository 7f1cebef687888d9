"""One HTTP exchange by pycurl, driven by the thread that relays it.

Every exchange uses a connection of its own. libcurl silently sends a request
again when a reused connection turns out to be dead; for an unrepeatable
request that is a second run, and for one that crashes endpoints a second
crash. A fresh connection each time also cannot be one of those that went
silent while idle. `docs/endpoints.md` has the measured cost.
"""

import collections
from collections import abc
import select
import time

import pycurl

from cardamombarrow.endpoints import base
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["CurlExchange"]

CONNECT_TIMEOUT_S = 0.5
"""An endpoint that does not accept within this is not reached. Some round
trips between regions; nothing was sent, so that every request can still go
elsewhere, and with 2 s its caller had left by then."""

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 3

WAIT_SLICE_S = 0.25
"""Longest wait before cancellation by the dispatcher is looked at again."""

_NOT_REACHED = {
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
}


class CurlExchange(base.Exchange):
    """An exchange over one fresh connection."""

    def __init__(
        self,
        call: base.OutgoingCall,
        headers: list[str],
        probe: abc.Callable[[ids.EndpointId], bool],
    ):
        self._call = call
        self._probe = probe
        self._chunks: collections.deque[bytes] = collections.deque()
        self._header_lines: list[bytes] = []
        self._head: base.Head | None = None
        self._finished = False
        self._error: tuple[int, str] | None = None
        self._timer_s: float | None = 0.0
        self._heard_s = time.monotonic()
        self._poll = select.poll()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._easy = self._build(headers)
        caller_fd = call.caller.fileno()
        if caller_fd >= 0:
            self._poll.register(caller_fd, select.POLLRDHUP)

    def _build(self, headers: list[str]) -> pycurl.Curl:
        call = self._call
        easy = pycurl.Curl()
        easy.setopt(pycurl.URL, f"http://{ids.address_of(call.endpoint)}/")
        # Put into the address, a path with dots or odd letters would be
        # rewritten, and the endpoint would run another request.
        easy.setopt(pycurl.REQUEST_TARGET, call.path)
        easy.setopt(pycurl.CUSTOMREQUEST, call.method)
        if call.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            easy.setopt(pycurl.POSTFIELDS, call.body)
        easy.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        easy.setopt(pycurl.FRESH_CONNECT, 1)
        easy.setopt(pycurl.FORBID_REUSE, 1)
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.NOPROXY, "*")
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.TCP_KEEPALIVE, 1)
        easy.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        easy.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, round(CONNECT_TIMEOUT_S * 1_000))
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
        return easy

    # -- called back by libcurl --------------------------------------------

    def _on_socket(self, what: int, fd: int, multi: object, _: object) -> None:
        del multi
        if what == pycurl.POLL_REMOVE:
            self._poll.unregister(fd)
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= select.POLLIN
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= select.POLLOUT
        self._poll.register(fd, mask)

    def _on_timer(self, timeout_ms: int) -> None:
        self._timer_s = (
            None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1_000
        )

    def _on_header(self, line: bytes) -> None:
        if line.startswith(b"HTTP/"):
            self._header_lines.clear()
        if line.strip():
            self._header_lines.append(line.strip())
            return
        _, _, status_text = self._header_lines[0].partition(b" ")
        code, _, reason = status_text.decode("latin-1").partition(" ")
        status = int(code)
        if status < 200:
            return
        pairs = (
            line.decode("latin-1").split(":", 1)
            for line in self._header_lines[1:]
        )
        self._head = base.Head(
            status,
            {name.lower(): value.strip() for name, value in pairs},
            reason,
        )

    def _on_body(self, data: bytes) -> None:
        self._chunks.append(data)
        self._heard_s = time.monotonic()

    # -- the exchange ------------------------------------------------------

    def head(self) -> base.Head:
        """Sends the request and waits for status and headers."""
        self._multi.add_handle(self._easy)
        begin_s = self._heard_s = time.monotonic()
        while self._head is None:
            if self._finished:
                raise self._failure()
            self._step()
            self._check_first_byte(begin_s)
            if self._silent_s() > self._call.stall_limit_s:
                self._check_alive()
        return self._head

    def chunks(self) -> abc.Iterator[bytes]:
        """Yields the body; data that is ready together comes together."""
        self._heard_s = time.monotonic()
        while True:
            if self._chunks:
                data = b"".join(self._chunks)
                self._chunks.clear()
                yield data
            elif self._finished:
                break
            else:
                self._step()
                if self._silent_s() > self._call.stall_limit_s:
                    self._check_stall()
        if self._error is not None:
            raise self._failure()

    def close(self) -> None:
        """Closes the connection, whatever state it is in."""
        self._multi.close()
        self._easy.close()

    def _step(self) -> None:
        now_s = time.monotonic()
        call = self._call
        if now_s >= call.deadline_s:
            raise self._endpoint_error(
                errors.ErrorKind.DEADLINE, "the answer did not end in time"
            )
        if call.cancelled():
            raise errors.RefusedError(
                errors.ErrorKind.PREEMPTED, "gave way to a higher tier"
            )
        wait_s = min(WAIT_SLICE_S, call.deadline_s - now_s)
        if self._timer_s is not None:
            wait_s = min(wait_s, max(0.0, self._timer_s - now_s))
        ready = self._poll.poll(wait_s * 1_000)
        for fd, mask in ready:
            if fd == call.caller.fileno():
                raise errors.RefusedError(
                    errors.ErrorKind.CALLER_GONE, "the caller left"
                )
            self._multi.socket_action(fd, _to_curl(mask))
        if self._timer_s is not None and time.monotonic() >= self._timer_s:
            self._timer_s = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._collect()

    def _collect(self) -> None:
        _, done, failed = self._multi.info_read()
        if done:
            self._finished = True
        for _, code, text in failed:
            self._finished = True
            self._error = (code, text)

    def _silent_s(self) -> float:
        if self._finished or self._chunks:
            return 0.0
        return time.monotonic() - self._heard_s

    def _check_first_byte(self, begin_s: float) -> None:
        """Gives up an endpoint that is far too late, where another can help.

        One that takes requests and never answers looks alive to every probe;
        the caller would wait for it until its deadline.
        """
        limit_s = self._call.first_byte_limit_s
        late = time.monotonic() - begin_s > limit_s and self._head is None
        if late and not self._finished and self._call.may_redo():
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
        head = self._head
        self._check_alive()
        self._step()
        if self._silent_s() > 0 and head is not None and head.streams:
            raise self._endpoint_error(
                errors.ErrorKind.CONNECTION_SILENT,
                f"silent for {silent_s:.1f} s; the endpoint answers a new "
                "connection, so this one went silent",
            )

    def _failure(self) -> errors.EndpointError:
        code, text = self._error or (0, "no answer")
        if code in _NOT_REACHED or not self._sent():
            # Nothing of the request left this instance.
            return errors.EndpointError(
                errors.ErrorKind.ENDPOINT_UNREACHED, text, sent=False
            )
        kind = (
            errors.ErrorKind.ENDPOINT_FAILED
            if self._head is None
            else errors.ErrorKind.ANSWER_CUT
        )
        return errors.EndpointError(kind, text, sent=True, broke=True)

    def _endpoint_error(
        self, kind: errors.ErrorKind, detail: str
    ) -> errors.EndpointError:
        return errors.EndpointError(kind, detail, sent=self._sent())

    def _sent(self) -> bool:
        return self._easy.getinfo(pycurl.REQUEST_SIZE) > 0


def _to_curl(mask: int) -> int:
    flags = 0
    if mask & (select.POLLIN | select.POLLHUP):
        flags |= pycurl.CSELECT_IN
    if mask & select.POLLOUT:
        flags |= pycurl.CSELECT_OUT
    if mask & select.POLLERR:
        flags |= pycurl.CSELECT_ERR
    return flags
