"""An in-memory log with one voter, for tests and measurements."""

from concurrent import futures
import threading

from cardamombarrow.log import base
from cardamombarrow.log import membership

__all__ = ["LocalLog"]


class LocalLog(base.Log):
    """Applies each command at once and persists nothing."""

    def __init__(self, voter: str, machine: base.StateMachine):
        self._voter = voter
        self._machine = machine
        self._lock = threading.Lock()
        self._index = 0

    def propose(self, command: bytes) -> futures.Future[bytes]:
        """Applies the command and returns a finished future."""
        future: futures.Future[bytes] = futures.Future()
        with self._lock:
            self._index += 1
            future.set_result(self._machine.apply(self._index, command))
        return future

    def barrier(self) -> futures.Future[bytes]:
        """Returns a finished future: all accepted commands are applied."""
        future: futures.Future[bytes] = futures.Future()
        future.set_result(b"")
        return future

    def change(self, change: membership.Change) -> futures.Future[bytes]:
        """Refuses the change: the group has exactly one voter."""
        future: futures.Future[bytes] = futures.Future()
        future.set_result(b"a log in memory has one voter only")
        return future

    def find(self, name: str) -> membership.Member | None:
        """Returns None: there are no other members."""
        return None

    def status(self) -> base.LogStatus:
        """Returns the status of a group of one."""
        return base.LogStatus(
            voter=self._voter,
            leader=self._voter,
            term=1,
            commit_index=self._index,
            voters=(self._voter,),
            learners=(),
            has_quorum=True,
            redundant=False,
            role="leader",
        )

    def start(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""
