"""Commits commands to the log of this process."""

from concurrent import futures

from cardamombarrow.kernel import errors
from cardamombarrow.log import base
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2

__all__ = ["COMMIT_TIMEOUT_S", "commit"]

COMMIT_TIMEOUT_S = 3.0
"""Longer than an election, so that a command that waits for one succeeds."""


def commit(log: base.Log, command: control_pb2.Command) -> control_pb2.Reply:
    """Commits a command and returns its reply.

    Raises:
        errors.RouterError: The command was refused, or not committed in time;
            it may still be committed later.
    """
    future = log.propose(command.SerializeToString())
    try:
        raw = future.result(timeout=COMMIT_TIMEOUT_S)
    except futures.TimeoutError:
        raise errors.UnavailableError(
            errors.ErrorKind.NO_QUORUM, "not committed in time"
        ) from None
    return codec.raise_failure(control_pb2.Reply.FromString(raw))
