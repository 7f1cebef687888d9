"""Keeps an entry that is being stopped from sending requests too late."""

import math

from cardamombarrow.decisions import draining
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors

__all__ = ["DRAINING_RETRY_S", "StopGuard"]

DRAINING_RETRY_S = 0.3
"""Retry delay of callers that reach a stopping instance: enough time to reach
another one."""


class StopGuard:
    """Allows everything until a stop begins; thread-safe.

    Attributes:
        run_times: How long the last runs took.
    """

    def __init__(self, time_source: clock.Clock):
        self.run_times = draining.RunTimes()
        self._clock = time_source
        self._draining: draining.Draining | None = None

    def begin(self, schedule: draining.DrainSchedule) -> None:
        """Begins a stop."""
        self._draining = draining.Draining(
            schedule, self._clock.now_s(), self.run_times
        )

    @property
    def is_ending(self) -> bool:
        """Whether the process is about to be killed."""
        return self._draining is not None and self._draining.is_bounded

    def ends_s(self) -> float:
        """Returns when unanswered requests fail; infinity for never."""
        stop = self._draining
        return math.inf if stop is None else stop.error_s

    def may_send(self, job: messages.Job, done_s: float = 0.0) -> bool:
        """Returns whether a request may be sent now.

        Args:
            job: The request.
            done_s: For how long its answer has been relayed already.
        """
        stop = self._draining
        return stop is None or stop.may_send(job, self._clock.now_s(), done_s)

    def may_wait(self, job: messages.Job, backlog: messages.Backlog) -> bool:
        """Returns whether a request may go on waiting for a place."""
        stop = self._draining
        return stop is None or stop.may_wait(job, backlog, self._clock.now_s())

    def refusal(self, job: messages.Job) -> errors.RefusedError:
        """Returns the error of a request that is not sent."""
        return errors.RefusedError(
            errors.ErrorKind.DRAINING,
            "this instance is stopping before an answer is expected",
            retry_after_s=DRAINING_RETRY_S,
            not_run=not job.may_have_run,
            check=errors.RefusalCheck.DRAINING,
        )
