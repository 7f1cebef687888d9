"""Who waits for the answer to a proposal."""

from collections import abc
from concurrent import futures
import dataclasses
import threading

from cardamombarrow.kernel import errors
from cardamombarrow.log import messages

__all__ = ["Waiters"]


@dataclasses.dataclass
class _Waiting:
    future: futures.Future[bytes]
    deadline_s: float


class Waiters:
    """Futures by proposal; used by the log thread and the one that applies."""

    def __init__(self):
        self._lock = threading.Lock()
        self._waiting: dict[messages.ProposalId, _Waiting] = {}

    def add(
        self,
        propose: abc.Callable[[], messages.ProposalId],
        future: futures.Future[bytes],
        deadline_s: float,
    ) -> None:
        """Proposes and notes who waits; no answer can come in between."""
        with self._lock:
            self._waiting[propose()] = _Waiting(future, deadline_s)

    def answer(self, number: messages.ProposalId, answer: bytes) -> None:
        """Hands an answer to whoever waits for it."""
        with self._lock:
            waiting = self._waiting.pop(number, None)
        if waiting is not None:
            waiting.future.set_result(answer)

    def expire(
        self, now_s: float, error: errors.RouterError, *, lost: bool = False
    ) -> list[messages.ProposalId]:
        """Fails those whose time is over.

        Args:
            now_s: Monotonic time.
            error: What they are told.
            lost: Whether all are failed, because there is no quorum.

        Returns:
            Their proposals.
        """
        if not self._waiting:
            return []
        with self._lock:
            late = {
                number: waiting
                for number, waiting in self._waiting.items()
                if lost or waiting.deadline_s < now_s
            }
            for number in late:
                del self._waiting[number]
        for waiting in late.values():
            waiting.future.set_exception(error)
        return list(late)
