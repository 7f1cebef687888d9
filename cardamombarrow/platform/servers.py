"""How the platform's servers are spoken to."""

import re
import socket
import time

from cardamombarrow.decisions import messages
from cardamombarrow.document import from_routes
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["PlatformEngine", "PlatformKind"]

_ID = "attempt-id"
_SEAL = "server-seal"
_NOT_RUN = "not-executed"
_RATE_LIMIT = "server-limit"
_OTHER_INSTANCE = 421
_PROMISES = (408, 429, 503)
_LEAST_URGENT = 9

_STEPS = 3
"""Workspace ranks that a server tells apart within one route rank."""

_LOAD = re.compile(r"(\d{1,6}),(\d{1,6}),(\d{1,6})")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]+)", re.M)
_EVENT = re.compile(rb"^data:", re.M)


@registry.plugin("endpoint-kind", "platform.plain")
class PlatformKind(base.EndpointKind):
    """A service whose requests and answers pass unchanged."""

    polled = False
    relays_failures = True

    def open(self, call: base.OutgoingCall) -> base.Exchange:
        """Prepares a request to one server."""
        headers = self.request_headers(call)
        return transfer.HttpExchange(call, headers, self.probe)

    def request_headers(self, call: base.OutgoingCall) -> list[tuple[str, str]]:
        """Returns the header fields of a request that is sent now.

        A server works until the time that it is told is over. What is told is
        what is left now, not what the caller allowed at first: a request that
        waited here, or is sent once more, would otherwise be worked on after
        its caller has gone.
        """
        headers = list(call.headers)
        left_ms = (call.deadline_s - time.monotonic()) * 1_000
        headers.append(("Deadline-Ms", str(max(int(left_ms), 1))))
        identity = ids.identity_of(call.endpoint)
        if identity:
            headers.append(("Expect-Instance", identity))
        if call.workspace:
            headers.append(("Tenant", call.workspace))
        return headers + self._more_headers(call)

    def _more_headers(self, call: base.OutgoingCall) -> list[tuple[str, str]]:
        return []

    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Asks nothing: the answers tell the load."""
        return None

    def probe(self, endpoint: ids.EndpointId) -> bool:
        """Tells whether a new connection is taken; sends nothing on it."""
        host, _, port = ids.address_of(endpoint).rpartition(":")
        try:
            with socket.create_connection(
                (host, int(port)), base.PROBE_TIMEOUT_S
            ):
                return True
        except OSError:
            return False

    def not_started(self, head: base.Head) -> bool:
        """Tells whether a server says that it did not run the request."""
        return _NOT_RUN in head.headers or head.status == _OTHER_INSTANCE

    def check(self, head: base.Head, call: base.OutgoingCall) -> None:
        """Refuses another request's answer, and a success without seal."""
        problem = None
        if head.headers.get(_ID) != call.caller_id:
            problem = "the answer bears another id"
        elif head.status < 300 and not head.headers.get(_SEAL):
            problem = "a success without its seal"
        elif head.headers.get("content-encoding"):
            problem = "the answer bears an encoding"
        elif head.status in _PROMISES:
            # To the caller this status would be a promise that the server
            # has not made.
            problem = (
                f"status {head.status} without the word that it did not run"
            )
        if problem is not None:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED, problem, sent=True
            )

    def failed(self, head: base.Head) -> bool:
        """Any status from 500 on is a failure."""
        return head.status >= 500

    def load_in(self, head: base.Head) -> messages.LoadReport | None:
        """Reads running and waiting requests from an answer."""
        match = _LOAD.fullmatch(head.headers.get("instance-load", ""))
        if match is None:
            return None
        return messages.LoadReport(
            running=int(match[1]),
            waiting=int(match[2]),
            cache_used_share=0.0,
            leaving=False,
            measured_at_s=time.monotonic(),
        )

    def rate_limit_in(
        self, head: base.Head, call: base.OutgoingCall
    ) -> messages.RateLimit | None:
        """Reads the request rate limit that the answer advertises.

        At an address that is in use again another server answers: what it
        says is not the endpoint's word.
        """
        foreign = head.headers.get(_ID) != call.caller_id
        if foreign or head.status == _OTHER_INSTANCE:
            return None
        return base.parse_rate_limit(head.headers.get(_RATE_LIMIT))

    def count_tokens(self, chunk: bytes) -> int:
        """Counts nothing: there are no tokens."""
        return 0

    def is_whole(self, head: base.Head, tail: bytes) -> bool:
        """HTTP framing alone tells, and the transfer has checked it."""
        return True


@registry.plugin("endpoint-kind", "platform.engine")
class PlatformEngine(PlatformKind):
    """A model engine: streams of events with ids, and priorities."""

    def _more_headers(self, call: base.OutgoingCall) -> list[tuple[str, str]]:
        headers = [("Request-Priority", str(_priority(call.rank)))]
        if call.resume_after:
            headers.append(("Last-Event-Id", call.resume_after))
        if call.fetch_from is not None:
            source = ids.address_of(call.fetch_from)
            headers.append(("Kv-Fetch", source))
        return headers

    def resumable(self, head: base.Head) -> bool:
        """Every stream may go on elsewhere where its route allows it."""
        return head.streams and head.status == 200

    def count_tokens(self, chunk: bytes) -> int:
        """Counts events."""
        return len(_EVENT.findall(chunk))

    def last_event(self, chunk: bytes) -> str:
        """Returns the id of the last event in a chunk."""
        found = _EVENT_ID.findall(chunk)
        return found[-1].decode("latin-1").strip() if found else ""


def _priority(rank: int) -> int:
    """Returns the priority that a server is told, 0 to 9.

    Servers know ten priorities and ranks are a hundred. A server puts running
    requests back, and there the route's rank goes first: a workspace's rank
    decides who waits and who is placed, not whose answer is cut.
    """
    workspace_rank, route_rank = from_routes.split_rank(rank)
    step = min(workspace_rank, _STEPS - 1)
    return min(_STEPS * route_rank + step, _LEAST_URGENT)
