"""HTTP protocol of the platform's servers."""

import re
import time

from cardamombarrow.decisions import messages
from cardamombarrow.document import from_routes
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import statements
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["PlatformEngine", "PlatformKind"]

_ID = "attempt-id"
_SEAL = "server-seal"
_NOT_RUN = "not-executed"
_RATE_LIMIT = "server-limit"
_LEAVING = "server-leaving"
_REJECTION_LIMIT = "server-brittle"
"""Rejections a second for want of room above which a server falls over."""

_UNAVAILABLE = 503
_MISDIRECTED = 421
_NOT_RUN_STATUSES = (408, 429, 503)
_LOAD = "instance-load"
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2,}")
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id(?::[ ]?([^\r\n]*))?(?=[\r\n]|\Z)")
_EVENT = re.compile(rb"(?:\A|[\r\n])data:")


@registry.plugin("endpoint-kind", "platform.plain")
class PlatformKind(base.EndpointKind):
    """A service whose requests and answers are relayed unchanged."""

    polled = False
    relays_failures = True

    def open(self, call: base.OutgoingCall) -> base.Exchange:
        """Prepares a request to one server."""
        return transfer.HttpExchange(
            call, lambda: self.request_headers(call), self.probe
        )

    def request_headers(self, call: base.OutgoingCall) -> list[tuple[str, str]]:
        """Returns the header fields of a request that is sent now.

        ``Deadline-Ms`` holds the remaining time, not the caller's original
        limit. A server would otherwise go on with a request that was queued
        or retried after its caller has left.
        """
        headers = list(call.headers)
        left_ms = (call.deadline_s - time.monotonic()) * 1_000
        headers.append(("Deadline-Ms", str(max(int(left_ms), 1))))
        identity = ids.identity_of(call.endpoint)
        if identity:
            headers.append(("Expect-Instance", identity))
        if call.workspace:
            headers.append(("Tenant", call.workspace))
        return headers + self._extra_headers(call)

    def _extra_headers(self, call: base.OutgoingCall) -> list[tuple[str, str]]:
        return []

    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Returns None: answers contain the load, see `read_statement`."""
        return None

    def probe(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether a new connection is accepted; sends no data on it."""
        return base.accepts_connections(endpoint)

    def answers_other(self, head: base.Head, call: base.OutgoingCall) -> bool:
        """Returns whether an answer has the id of another request."""
        return head.headers.get(_ID, call.caller_id) != call.caller_id

    def not_started(self, head: base.Head) -> bool:
        """Returns whether the server states that it did not run the request."""
        return _NOT_RUN in head.headers or head.status == _MISDIRECTED

    def check(self, head: base.Head, call: base.OutgoingCall) -> None:
        """Rejects another request's answer and a success without its seal."""
        problem = None
        if head.headers.get(_ID) != call.caller_id:
            problem = "the answer has the id of another request"
        elif head.status < 300 and not head.headers.get(_SEAL):
            problem = "a success without a seal"
        elif head.headers.get("content-encoding"):
            problem = "the answer has a content encoding"
        elif head.status in _NOT_RUN_STATUSES:
            # The caller would read this status as a guarantee that the
            # request has not run, which the server did not give.
            problem = (
                f"status {head.status} without a statement that it did not run"
            )
        if problem is not None:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED, problem, sent=True
            )

    def is_failure(self, head: base.Head) -> bool:
        """Returns True for status 500 and above."""
        return head.status >= 500

    def read_statement(
        self, head: base.Head, call: base.OutgoingCall
    ) -> messages.EndpointStatement:
        """Reads what an answer states about its server.

        Another server may answer at an address that was reassigned; its
        statement does not apply to this endpoint and is ignored.
        """
        other_request = head.headers.get(_ID) != call.caller_id
        if other_request or head.status == _MISDIRECTED:
            return messages.NO_STATEMENT
        sent_load = head.headers.get(_LOAD)
        load = statements.parse_load(sent_load)
        rate_limit = statements.parse_rate_limit(head.headers.get(_RATE_LIMIT))
        rejection_limit = statements.parse_rejection_limit(
            head.headers.get(_REJECTION_LIMIT)
        )
        invalid = {
            _LOAD: sent_load is not None and load is None,
            _RATE_LIMIT: rate_limit is None,
            _REJECTION_LIMIT: rejection_limit is None,
        }
        return messages.EndpointStatement(
            load=load,
            rate_limit=rate_limit,
            rejection_limit=rejection_limit,
            rejected=head.status == _UNAVAILABLE and _NOT_RUN in head.headers,
            pause_s=base.read_pause(head),
            leaving=head.headers.get(_LEAVING) == "1",
            invalid_fields=tuple(each for each in invalid if invalid[each]),
        )

    def count_tokens(self, chunk: bytes) -> int:
        """Returns 0: answers of plain services have no tokens."""
        return 0


@registry.plugin("endpoint-kind", "platform.engine")
class PlatformEngine(PlatformKind):
    """A model engine with priorities and streams of events with ids."""

    has_event_ids = True

    def _extra_headers(self, call: base.OutgoingCall) -> list[tuple[str, str]]:
        headers = [("Request-Priority", str(_priority(call.rank)))]
        if call.resume_after:
            headers.append(("Last-Event-Id", call.resume_after))
        if call.fetch_from is not None:
            source = ids.address_of(call.fetch_from)
            headers.append(("Kv-Fetch", source))
        return headers

    def resumable(self, head: base.Head) -> bool:
        """Returns whether the answer is a successful stream."""
        return head.streams and head.status == 200

    def count_tokens(self, chunk: bytes) -> int:
        """Counts events."""
        return len(_EVENT.findall(chunk))

    def event_ids(self, chunk: bytes) -> list[str]:
        """Returns the ids of the events in a chunk; empty for none."""
        found = []
        for event in _EVENT_END.split(chunk):
            fields = _EVENT_ID.findall(event)
            if fields:
                found.append(fields[-1].decode("latin-1").strip())
            elif _EVENT.search(event):
                found.append("")
        return found


def _priority(rank: int) -> int:
    """Returns the priority that a server gets, 0 (most urgent) to 9.

    It is the route's rank. A server preempts running requests by it, and has
    too few priorities for all pairs of a route's and a workspace's rank: with
    numbers for some of the pairs, others of different routes share one. A
    workspace's rank affects queueing and placement, not which answer is cut.
    """
    return from_routes.split_rank(rank)[0]
