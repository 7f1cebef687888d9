"""What is read of an answer on its way, and how its end is called."""

from collections import abc

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.kernel import errors

__all__ = [
    "EVENT_END",
    "OUTCOMES",
    "WHOLE_BYTES",
    "failure_of",
    "is_short",
    "outcome_of",
    "whole_events",
]

OUTCOMES = {
    errors.ErrorKind.ENDPOINT_UNREACHED: messages.Outcome.NOT_STARTED,
    errors.ErrorKind.ENDPOINT_REFUSED: messages.Outcome.REFUSED_BY_ENDPOINT,
    errors.ErrorKind.ENDPOINT_FAILED: messages.Outcome.CRASHED,
    errors.ErrorKind.ANSWER_CUT: messages.Outcome.CRASHED,
    errors.ErrorKind.STALLED: messages.Outcome.STALLED,
    errors.ErrorKind.CONNECTION_SILENT: messages.Outcome.CONNECTION_SILENT,
    errors.ErrorKind.DEADLINE: messages.Outcome.FAILED,
    errors.ErrorKind.CALLER_GONE: messages.Outcome.CALLER_GONE,
    errors.ErrorKind.PREEMPTED: messages.Outcome.PREEMPTED,
}


EVENT_END = b"\n\n"

WHOLE_BYTES = 65_536
"""Answers of an announced length up to this are read whole before any of it
goes out: one that breaks off can then be redone, and one that can't is told as
a failure, not as half an answer."""


def failure_of(head: endpoints_base.Head) -> errors.EndpointError:
    """Returns the error for an endpoint's own failure answer."""
    return errors.EndpointError(
        errors.ErrorKind.ENDPOINT_FAILED,
        f"the endpoint answered {head.status}",
        sent=True,
    )


def outcome_of(error: errors.RouterError | None) -> messages.Outcome:
    """Returns how a run ended that ended with an error, or with none."""
    return messages.Outcome.DONE if error is None else OUTCOMES[error.kind]


def is_short(head: endpoints_base.Head) -> bool:
    """Tells whether an answer is read whole before any of it goes out."""
    length = head.headers.get("content-length", "")
    return (
        not head.streams
        and length.isascii()
        and length.isdigit()
        and int(length) <= WHOLE_BYTES
    )


def whole_events(chunks: abc.Iterator[bytes]) -> abc.Iterator[bytes]:
    """Holds back what follows the last whole event.

    A stream that is resumed goes on with a whole event. Had half of one been
    relayed before the cut, the caller would read both as one.
    """
    held = b""
    for chunk in chunks:
        whole, end, held = (held + chunk).rpartition(EVENT_END)
        if end:
            yield whole + end
    if held:
        yield held
