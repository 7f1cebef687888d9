"""Interfaces of the log and of the state machine that it replicates."""

import abc
from concurrent import futures
import dataclasses

from cardamombarrow.log import membership

__all__ = ["Log", "LogStatus", "StateMachine"]


class StateMachine(abc.ABC):
    """State that is identical at all voters after the same commands.

    All methods are called by one thread. `apply` must be deterministic: it may
    depend on the state and its arguments only, not on a clock, random numbers
    or the environment.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command and returns its answer.

        Args:
            index: Position in the log, from 1, without gaps.
            command: The proposed bytes.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state."""

    @abc.abstractmethod
    def restore(self, snapshot: bytes) -> None:
        """Replaces the whole state by a snapshot."""


@dataclasses.dataclass(frozen=True)
class LogStatus:
    """The state of the log as seen by one voter.

    Attributes:
        voter: This voter's identity.
        leader: Identity of the leader it follows, or empty.
        term: Its current term.
        commit_index: Last index known to be committed.
        voters: Identities that count for a quorum.
        learners: Identities that receive the log but do not vote yet.
        has_quorum: Whether there is a leader with a majority, as far as this
            voter can see.
        redundant: Whether the group would keep its majority after the loss of
            another voter.
        role: ``leader``, ``follower``, ``learner`` or ``outside``.
        applied_index: Last index applied by this voter.
        applicants: Identities that have requested to join and wait for an
            operator to add them.
        wakeups: Iterations of the log thread's loop since its start.
    """

    voter: str
    leader: str
    term: int
    commit_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    has_quorum: bool
    redundant: bool
    role: str = "follower"
    applied_index: int = 0
    applicants: tuple[str, ...] = ()
    wakeups: int = 0


class Log(abc.ABC):
    """A running log at one control process."""

    @abc.abstractmethod
    def propose(self, command: bytes) -> futures.Future[bytes]:
        """Proposes a command; works at leaders and followers alike.

        Returns:
            A future of the state machine's answer, done once this process has
            applied the committed command. It fails with
            `errors.UnavailableError` (kind `NO_QUORUM`) if no quorum is
            reached in time; the command may still be committed later.
        """

    @abc.abstractmethod
    def barrier(self) -> futures.Future[bytes]:
        """Waits until everything committed before this call is applied.

        A read after the barrier is linearizable: it sees every change that
        was acknowledged to any client before. A barrier costs one log entry.

        Returns:
            A future that fails like that of `propose`.
        """

    @abc.abstractmethod
    def change(self, change: membership.Change) -> futures.Future[bytes]:
        """Adds, promotes or removes one member.

        Returns:
            A future of the reason for which the change was refused, empty if
            it was made. It fails like that of `propose`.
        """

    @abc.abstractmethod
    def find(self, name: str) -> membership.Member | None:
        """Returns the member or applicant with this identity or name."""

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of all known members."""
        return ()

    def count_members(self) -> int:
        """Returns the number of members; 0 while it is not known."""
        return 1

    @abc.abstractmethod
    def status(self) -> LogStatus:
        """Returns the current status."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts participating in the group."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops participating; pending futures fail."""
