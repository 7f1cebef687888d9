"""Buffering of relayed answers, and the outcomes of runs."""

from collections import abc

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import held_bytes

__all__ = [
    "BUFFERED_ANSWER_BYTES",
    "MAX_FAILURE_BYTES",
    "failure_body",
    "failure_of",
    "is_buffered",
    "joined",
    "outcome_of",
]

_OUTCOMES = {
    errors.ErrorKind.ENDPOINT_UNREACHED: messages.Outcome.NOT_STARTED,
    errors.ErrorKind.ENDPOINT_REFUSED: messages.Outcome.REFUSED_BY_ENDPOINT,
    errors.ErrorKind.ENDPOINT_RESTRICTED: messages.Outcome.WITHHELD,
    errors.ErrorKind.ENDPOINT_FAILED: messages.Outcome.CRASHED,
    errors.ErrorKind.ANSWER_CUT: messages.Outcome.CRASHED,
    errors.ErrorKind.STALLED: messages.Outcome.STALLED,
    errors.ErrorKind.CONNECTION_SILENT: messages.Outcome.CONNECTION_SILENT,
    errors.ErrorKind.DEADLINE: messages.Outcome.FAILED,
    errors.ErrorKind.CALLER_GONE: messages.Outcome.CALLER_GONE,
    errors.ErrorKind.PREEMPTED: messages.Outcome.PREEMPTED,
}

BUFFERED_ANSWER_BYTES = 65_536
"""Answers with an announced length up to this are read completely before any
of it is sent: one that is cut off can then be retried, or is reported as a
failure instead of a partial answer."""


MAX_FAILURE_BYTES = 1_048_576
"""Maximum body of a failure answer, which is read completely so that the
request can be retried. Faulty endpoints may send without end."""


def failure_body(
    chunks: abc.Iterable[bytes], held: held_bytes.HeldBuffer
) -> bytes:
    """Returns the whole body of a failure answer.

    Args:
        chunks: The body.
        held: Counts the body's size.

    Raises:
        errors.EndpointError: It is over `MAX_FAILURE_BYTES`, or too many bytes
            are held.
    """
    body = bytearray()
    try:
        for chunk in chunks:
            body += chunk
            if len(body) > MAX_FAILURE_BYTES or not held.resize(len(body)):
                raise errors.EndpointError(
                    errors.ErrorKind.ANSWER_CUT,
                    f"a failure answer of {len(body)} bytes or more",
                    sent=True,
                )
    except BaseException:
        held.release()
        raise
    return bytes(body)


def joined(chunks: abc.Iterable[bytes]) -> bytes:
    """Returns a body; a list of small chunks would take a multiple of it."""
    body = bytearray()
    for chunk in chunks:
        body += chunk
    return bytes(body)


def failure_of(head: endpoints_base.Head) -> errors.EndpointError:
    """Returns the error for a failure answer of an endpoint."""
    return errors.EndpointError(
        errors.ErrorKind.ENDPOINT_FAILED,
        f"the endpoint answered {head.status}",
        sent=True,
    )


def outcome_of(error: errors.RouterError | None) -> messages.Outcome:
    """Returns the outcome of a run that ended with an error, or with none.

    Errors of other kinds are those of a run that was to resume an answer and
    never began; the answer has failed.
    """
    if error is None:
        return messages.Outcome.DONE
    return _OUTCOMES.get(error.kind, messages.Outcome.FAILED)


def is_buffered(head: endpoints_base.Head) -> bool:
    """Returns whether an answer is read completely before any of it is sent."""
    length = head.headers.get("content-length", "")
    return (
        not head.streams
        and length.isascii()
        and length.isdigit()
        and int(length) <= BUFFERED_ANSWER_BYTES
    )
