"""The batch of a stand-in engine."""

import heapq
import itertools
import threading

from tools.standin import engine_behaviour

__all__ = ["Batch"]


class Batch:
    """Slots of the batch; waiting requests enter by priority, then age."""

    def __init__(self, behaviour: engine_behaviour.Behaviour):
        self._behaviour = behaviour
        self._lock = threading.Condition()
        self._order = itertools.count()
        self._waiting: list[tuple[int, int]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def enter(self, rank: int) -> None:
        """Waits for a slot."""
        with self._lock:
            entry = (rank, next(self._order))
            heapq.heappush(self._waiting, entry)
            self._lock.wait_for(
                lambda: (
                    self._waiting[0] == entry
                    and self.running < self._behaviour.slots
                )
            )
            heapq.heappop(self._waiting)
            self.running += 1
            self._lock.notify_all()

    def leave(self) -> None:
        """Frees the slot."""
        with self._lock:
            self.running -= 1
            self._lock.notify_all()
