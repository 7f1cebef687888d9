"""Futures of pending proposals."""

from collections import abc
from concurrent import futures
import dataclasses
import threading

from cardamombarrow.kernel import errors
from cardamombarrow.log import messages

__all__ = ["Waiters"]


@dataclasses.dataclass
class _PendingFuture:
    future: futures.Future[bytes]
    deadline_s: float


class Waiters:
    """Futures by proposal id; shared by the log and the apply thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self._pending: dict[messages.ProposalId, _PendingFuture] = {}

    def add(
        self,
        propose: abc.Callable[[], messages.ProposalId],
        future: futures.Future[bytes],
        deadline_s: float,
    ) -> None:
        """Proposes and registers the future, before any answer is set."""
        with self._lock:
            self._pending[propose()] = _PendingFuture(future, deadline_s)

    def answer(self, number: messages.ProposalId, answer: bytes) -> None:
        """Completes the future of a proposal, if there is one."""
        with self._lock:
            entry = self._pending.pop(number, None)
        if entry is not None:
            entry.future.set_result(answer)

    def expire(
        self, now_s: float, error: errors.RouterError, *, fail_all: bool = False
    ) -> list[messages.ProposalId]:
        """Fails the futures whose deadline has passed.

        Args:
            now_s: Monotonic time.
            error: The exception to set.
            fail_all: Whether to fail all futures, because there is no quorum.

        Returns:
            The ids of their proposals.
        """
        if not self._pending:
            return []
        with self._lock:
            expired = {
                number: entry
                for number, entry in self._pending.items()
                if fail_all or entry.deadline_s < now_s
            }
            for number in expired:
                del self._pending[number]
        for entry in expired.values():
            entry.future.set_exception(error)
        return list(expired)
