"""The closed list of error kinds, the answer to each, and the exceptions.

Every failure that a caller or an operator can see is one `ErrorKind`. The
table `ANSWERS` gives the response to each: the HTTP status, whether the request
is known not to have run, and whether a retry may succeed. A kind that is not in
the table can't be answered, so each new kind needs a row there.
"""

import dataclasses
import enum

from cardamombarrow.kernel import ids

__all__ = [
    "ANSWERS",
    "Answer",
    "ConfigError",
    "EndpointError",
    "ErrorKind",
    "RefusalCheck",
    "RefusedError",
    "RouterError",
    "UnavailableError",
]


class ErrorKind(enum.Enum):
    """Every kind of failure; the value is the code that callers receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_VERSION = "unknown_version"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_FLIGHT = "idempotency_key_in_flight"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    WORKSPACE_LIMIT = "workspace_limit"
    QUEUE_TIMEOUT = "queue_timeout"
    PREEMPTED = "preempted"
    QUARANTINED = "quarantined"
    NO_ENDPOINT = "no_endpoint"
    STREAM_UNKNOWN = "stream_unknown"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    CALLER_GONE = "caller_gone"
    ENDPOINT_UNREACHED = "endpoint_unreached"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_RESTRICTED = "endpoint_restricted"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_CUT = "answer_cut"
    STALLED = "stalled"
    CONNECTION_SILENT = "connection_silent"
    DEADLINE = "deadline"
    NO_QUORUM = "no_quorum"
    CONFLICT = "conflict"
    EDIT_ID_REUSED = "edit_id_reused"
    INVALID_DOCUMENT = "invalid_document"
    INTERNAL = "internal"


class RefusalCheck(enum.Enum):
    """The check that refused a request, for logs and metrics."""

    UNKNOWN = "unknown"
    DOCUMENT_MISSING = "document_missing"
    DOCUMENT_UNCONFIRMED = "document_unconfirmed"
    DOCUMENT_OUTDATED = "document_outdated"
    DRAINING = "draining"
    FORWARDED_SERVICE = "forwarded_service"
    HELD_REQUESTS = "held_requests"
    WORKSPACE_LIMIT = "workspace_limit"
    ENDPOINTS = "endpoints"
    QUARANTINE = "quarantine"
    ENDPOINT_PAUSES = "endpoint_pauses"
    ADMISSION = "admission"
    QUEUE_LENGTH = "queue_length"
    EVICTION = "eviction"
    WAITING = "waiting"
    PLACER = "placer"
    REACHABILITY = "reachability"
    BODY_MEMORY = "body_memory"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer to one kind of failure.

    Attributes:
        status: HTTP status code.
        not_run: True only if the request certainly did not run. Callers
            rely on it to resend requests that must not run twice.
        retryable: Whether the same request may succeed later.
    """

    status: int
    not_run: bool
    retryable: bool


def _never(status: int) -> Answer:
    return Answer(status, not_run=True, retryable=False)


def _later(status: int) -> Answer:
    return Answer(status, not_run=True, retryable=True)


def _may_have_run(status: int) -> Answer:
    return Answer(status, not_run=False, retryable=False)


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _never(400),
    ErrorKind.BODY_TOO_LARGE: _never(413),
    ErrorKind.HEADERS_TOO_LARGE: _never(431),
    ErrorKind.UNKNOWN_VERSION: _never(505),
    ErrorKind.UNAUTHENTICATED: _never(401),
    ErrorKind.FORBIDDEN: _never(403),
    ErrorKind.NOT_FOUND: _never(404),
    ErrorKind.UNKNOWN_CLASS: _never(400),
    ErrorKind.UNKNOWN_MODEL: _never(404),
    ErrorKind.KEY_REQUIRED: _never(400),
    ErrorKind.KEY_REUSED: _never(422),
    ErrorKind.KEY_IN_FLIGHT: Answer(409, not_run=False, retryable=True),
    ErrorKind.OUTCOME_UNKNOWN: _may_have_run(409),
    ErrorKind.OVERLOADED: _later(429),
    ErrorKind.WORKSPACE_LIMIT: _later(429),
    ErrorKind.QUEUE_TIMEOUT: _later(503),
    ErrorKind.PREEMPTED: Answer(503, not_run=False, retryable=True),
    ErrorKind.QUARANTINED: _never(422),
    ErrorKind.NO_ENDPOINT: _later(503),
    ErrorKind.STREAM_UNKNOWN: _later(503),
    ErrorKind.DRAINING: _later(503),
    ErrorKind.NOT_READY: _later(503),
    ErrorKind.CALLER_GONE: _may_have_run(499),
    ErrorKind.ENDPOINT_UNREACHED: _later(503),
    ErrorKind.ENDPOINT_REFUSED: _later(503),
    ErrorKind.ENDPOINT_RESTRICTED: _later(503),
    ErrorKind.ENDPOINT_FAILED: _may_have_run(502),
    ErrorKind.ANSWER_CUT: _may_have_run(502),
    ErrorKind.STALLED: _may_have_run(504),
    ErrorKind.CONNECTION_SILENT: _may_have_run(504),
    ErrorKind.DEADLINE: _may_have_run(504),
    ErrorKind.NO_QUORUM: _later(503),
    ErrorKind.CONFLICT: _never(409),
    ErrorKind.EDIT_ID_REUSED: _never(422),
    ErrorKind.INVALID_DOCUMENT: _never(422),
    ErrorKind.INTERNAL: _may_have_run(500),
}


class RouterError(Exception):
    """Base of all errors of the router.

    Attributes:
        kind: Which row of `ANSWERS` applies.
        detail: What went wrong, for the answer and the log.
        retry_after_s: Time after which the caller should retry, or None.
        not_run: Whether the request certainly did not run; overrides the
            table's `not_run` if passed to the constructor.
        class_id: The class of the failed request, or None if unknown.
        check: The check that refused the request.
        wait_fields: Fields of a log line with the state in which the request
            waited; empty if it did not.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_s: float | None = None,
        not_run: bool | None = None,
        check: RefusalCheck = RefusalCheck.UNKNOWN,
    ):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.class_id: ids.ClassId | None = None
        self.check = check
        self.wait_fields: dict[str, object] = {}
        self._not_run = not_run

    @property
    def answer(self) -> Answer:
        """The row of `ANSWERS` for this error."""
        return ANSWERS[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        if self._not_run is not None:
            return self._not_run
        return self.answer.not_run


class RefusedError(RouterError):
    """The router rejected a request before sending it to an endpoint."""


class EndpointError(RouterError):
    """An endpoint failed a request or could not be reached.

    Attributes:
        sent: Whether any byte of the request may have reached the endpoint.
        connection_broke: Whether the connection broke, as it does if the
            endpoint crashes.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        sent: bool,
        connection_broke: bool = False,
        retry_after_s: float | None = None,
    ):
        super().__init__(
            kind,
            detail,
            retry_after_s=retry_after_s,
            not_run=not sent or ANSWERS[kind].not_run,
        )
        self.sent = sent
        self.connection_broke = connection_broke


class UnavailableError(RouterError):
    """The control processes are unreachable or have no quorum."""


class ConfigError(RouterError):
    """Settings or a document are invalid; holds every mistake found.

    Attributes:
        mistakes: One line per mistake, with its location.
    """

    def __init__(self, mistakes: list[str]):
        super().__init__(ErrorKind.INVALID_DOCUMENT, "; ".join(mistakes))
        self.mistakes = mistakes
