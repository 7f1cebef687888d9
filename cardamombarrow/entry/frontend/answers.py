"""Error answers for callers."""

import json
import math

from werkzeug import wrappers

from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = [
    "error_body",
    "error_event",
    "error_response",
    "internal_error",
    "log_refusal",
]


def error_body(error: errors.RouterError, request_id: ids.RequestId) -> bytes:
    """Returns the JSON body for an error.

    Returns:
        ``{"error": {"code", "message", "not_run", "retryable",
        "retry_after_s", "request_id"}}``.
    """
    return json.dumps(
        {
            "error": {
                "code": error.kind.value,
                "message": error.detail,
                "not_run": error.not_run,
                "retryable": error.answer.retryable,
                "retry_after_s": error.retry_after_s,
                "request_id": request_id,
            }
        }
    ).encode()


def error_response(
    error: errors.RouterError, request_id: ids.RequestId
) -> wrappers.Response:
    """Returns the complete HTTP answer for an error."""
    headers = {"X-Request-Id": request_id}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return wrappers.Response(
        error_body(error, request_id),
        status=error.answer.status,
        headers=headers,
        content_type="application/json",
    )


def log_refusal(
    error: errors.RouterError,
    request_id: ids.RequestId,
    status: int,
    **fields: object,
) -> None:
    """Logs an answer of the router's own to a caller by route."""
    logs.decision(
        "answer",
        request_id=request_id,
        status=status,
        kind=error.kind.value,
        detail=error.detail,
        not_run=error.not_run,
        retry_after_s=error.retry_after_s,
        **fields,
    )


def internal_error(
    cause: Exception, request_id: ids.RequestId
) -> errors.RouterError:
    """Logs an unexpected error and returns the error for the caller."""
    logs.event(
        "internal error", "ERROR", request_id=request_id, detail=repr(cause)
    )
    return errors.RouterError(
        errors.ErrorKind.INTERNAL, "see the log of this instance"
    )


def error_event(error: errors.RouterError, request_id: ids.RequestId) -> bytes:
    """Returns the event that ends a stream that was cut off.

    Without it a caller that reads until the connection closes would take a cut
    answer for a complete one.
    """
    return b"event: error\ndata: " + error_body(error, request_id) + b"\n\n"
