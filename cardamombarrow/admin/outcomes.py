"""Waiting for the outcome of a command on the replicated log."""

from concurrent import futures

from cardamombarrow.kernel import errors

__all__ = ["wait"]


def wait(future: futures.Future[bytes], timeout_s: float) -> bytes:
    """Returns the outcome of a command that was proposed to the log.

    Raises:
        errors.UnavailableError: It was not committed in time. It may still be
            committed, and the same command may be sent again.
    """
    try:
        return future.result(timeout=timeout_s)
    except futures.TimeoutError:
        raise errors.UnavailableError(
            errors.ErrorKind.NO_QUORUM,
            "not committed by a majority in time; send the same again",
        ) from None
