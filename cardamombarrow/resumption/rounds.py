"""Round trips to a majority of the control processes, as attempts see them.

An attempt to resume an unknown stream is decided by what was asked after it
arrived: knowledge of any age may lack a version that has begun streams since.
"""

from collections import abc
from concurrent import futures
import enum

__all__ = ["Barrier", "BeginRound", "Round", "RoundResult"]


class RoundResult(enum.Enum):
    """What a round trip has shown.

    `ALL_KNOWN`: control processes that know all open streams answered, and are
    a majority. `STORED`: a majority answered, but too few of it know all.
    """

    ALL_KNOWN = "all_known"
    STORED = "stored"
    NO_MAJORITY = "no_majority"


Round = futures.Future[RoundResult]
"""A round trip; done when what it has brought has been applied."""

BeginRound = abc.Callable[..., Round]
"""Begins a round trip, or joins one that has not begun; called with whether all
open streams are asked for, and with a stream whose origin is asked for, too."""


class Barrier:
    """The round trips of one attempt; not thread-safe.

    Attributes:
        result: Result of the last one that has ended; None for none.
    """

    def __init__(self, begin: BeginRound | None):
        """Builds a barrier.

        Args:
            begin: None if there are no control processes to ask.
        """
        self._begin = begin
        self._round: Round | None = None
        self._has_asked_origin = False
        self.result: RoundResult | None = None

    @property
    def has_passed(self) -> bool:
        """Whether everything is known that was open as the attempt arrived."""
        return self.result is RoundResult.ALL_KNOWN

    @property
    def has_begun(self) -> bool:
        """Whether a round trip has ever begun."""
        return self._round is not None or self.result is not None

    @property
    def is_done(self) -> bool:
        """Whether a round trip has ended whose result was not taken."""
        return self._round is not None and self._round.done()

    def begin(self, stream: int | None = None) -> None:
        """Begins a round trip, if none is under way and one is needed.

        Args:
            stream: The stream, if its origin is asked for; once is enough.
        """
        is_needed = not self.has_passed or (
            stream is not None and not self._has_asked_origin
        )
        if self._begin is None or self._round is not None or not is_needed:
            return
        if stream is None:
            self._round = self._begin(True)
        else:
            self._has_asked_origin = True
            self._round = self._begin(True, stream)

    def take(self) -> None:
        """Takes the result of a round trip that has ended."""
        if not self.is_done:
            return
        ended, self._round = self._round, None
        self.result = ended.result()
