"""What the log asks of the state it replicates, and what it offers."""

import abc
from concurrent import futures
import dataclasses

from cardamombarrow.log import membership

__all__ = ["Log", "LogStatus", "StateMachine"]


class StateMachine(abc.ABC):
    """State that is the same at every voter after the same commands.

    All methods are called by one thread. `apply` must depend on nothing but
    the state and its arguments: no clock, no random number, no environment.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command and returns its answer.

        Args:
            index: Position in the log, from 1, without gaps.
            command: What was proposed.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state."""

    @abc.abstractmethod
    def restore(self, snapshot: bytes) -> None:
        """Replaces the whole state by a snapshot."""


@dataclasses.dataclass(frozen=True)
class LogStatus:
    """What one voter knows of the log.

    Attributes:
        voter: This voter's identity.
        leader: Identity of the leader it follows, or empty.
        term: Its current term.
        commit_index: Last index known to be committed.
        voters: Identities that count for a quorum.
        learners: Identities that catch up and do not count yet.
        has_quorum: Whether a leader with a majority is known to be there.
        redundant: Whether a second loss would be survived.
        role: ``leader``, ``follower``, ``learner`` or ``outside``.
        applied_index: Last index applied here.
        applicants: Identities that asked to be let in, and wait for an
            operator.
        wakeups: How often the log thread has come round since its start.
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
        """Hands in a command, at whichever voter this is.

        Returns:
            A future of the state machine's answer, done once the command is
            committed and applied here. It fails with `errors.UnavailableError`
            (kind `NO_QUORUM`) when no quorum is reached in time: the command
            may then still be committed later.
        """

    @abc.abstractmethod
    def barrier(self) -> futures.Future[bytes]:
        """Waits until all that was accepted before this call is applied here.

        A read after it is linearizable: it sees every change that anyone was
        told of before. It costs one entry of the log.

        Returns:
            A future that fails as that of `propose` does.
        """

    @abc.abstractmethod
    def change(self, change: membership.Change) -> futures.Future[bytes]:
        """Changes the membership by one member.

        Returns:
            A future of the reason why the change was refused, empty when it
            is done; it fails as that of `propose` does.
        """

    @abc.abstractmethod
    def find(self, name: str) -> membership.Member | None:
        """Returns the member or applicant of an identity or a name."""

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of all members that are known here."""
        return ()

    @abc.abstractmethod
    def status(self) -> LogStatus:
        """Returns what this voter knows."""

    @abc.abstractmethod
    def start(self) -> None:
        """Starts taking part."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stops taking part; pending futures fail."""
