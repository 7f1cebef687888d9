"""Which requests an instance that is being stopped still sends to endpoints.

Load pattern: planned stops under load. The balancer goes on sending for some
seconds after the signal, endpoints are full, and the process is killed at the
end of its grace. Without a bound, a request that was taken early waits for a
place, retries or resumes late, is sent when its answer can't come in time any
more, and is cut off without an answer; one that must not run twice is lost.

A request is sent only if its answer is expected before the instance ends. How
long it will run is taken from the last runs of its class: the median for
requests that may be repeated, which lose time if they are cut off; the longest
one for the others, or all the time that its caller waits while there were none.

A request that waits is refused as soon as it is not expected to be placed in
time, and otherwise after `WAIT_SHARE` of the time that its caller has left, so
that the caller has most of it for another instance.

Where the runs of its class take longer than the forecast's mean, which follows
slowly, the predicted wait is longer by the same factor.

`END_MARGIN_S` covers a signal that is noticed half a second late, and another
half a second for answers that take longer than expected. Requests that are
still unanswered get an error `ERROR_MARGIN_S` before the end: later ones would
not be written before the process is killed, and earlier ones would replace
answers that are about to come. `NOTICE_SHARE` keeps most of a short grace for
the answers; callers that a balancer still sends are then refused.
"""

import collections
import dataclasses
import math
import statistics
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["DrainSchedule", "Draining", "RunTimes"]

END_MARGIN_S = 1.0
"""Time before the end of the grace at which the last answers are expected."""

ERROR_MARGIN_S = 0.4
"""Time before the end of the grace at which unanswered requests fail."""

MIN_END_SHARE = 0.5
"""Least share of the grace in which requests are served."""

NOTICE_SHARE = 1 / 3
"""Largest share of the grace in which new requests are accepted."""

WAIT_SHARE = 0.25
"""Share of a caller's time left, from the first refusals on, for which its
request may go on waiting."""

RECENT_RUNS = 16

MAX_CLASSES = 256
"""Most classes whose runs are kept; the least recently seen are removed first.
Documents may rename their classes all day long."""


@dataclasses.dataclass(frozen=True)
class DrainSchedule:
    """The course of a stop, in seconds from its begin.

    Attributes:
        notice_s: New requests are accepted until then.
        port_s: The port is open until then, while requests are held.
        end_s: Requests are sent if their answers are expected by then; infinity
            if the process is not killed.
        error_s: Requests that have no answer by then fail.
    """

    notice_s: float
    port_s: float
    end_s: float = math.inf
    error_s: float = math.inf

    @classmethod
    def within(
        cls, grace_s: float, notice_s: float, port_s: float
    ) -> "DrainSchedule":
        """Returns the schedule for a grace.

        Args:
            grace_s: Time from the signal until the process is killed; 0 if it
                is not.
            notice_s: Time until a balancer has noticed.
            port_s: How long the port stays open without a grace.
        """
        if not grace_s:
            return cls(notice_s, port_s)
        end_s = max(grace_s - END_MARGIN_S, MIN_END_SHARE * grace_s)
        notice_s = min(notice_s, NOTICE_SHARE * grace_s)
        error_s = max(grace_s - ERROR_MARGIN_S, end_s)
        return cls(notice_s, end_s, end_s, error_s)


class RunTimes:
    """How long the last runs of each class took; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._runs_s: dict[
            tuple[ids.ServiceId, ids.ClassId], collections.deque[float]
        ] = {}

    def record(self, job: messages.Job, run_s: float) -> None:
        """Records a run that has been answered in full."""
        key = (job.service, job.class_id)
        with self._lock:
            runs_s = self._runs_s.pop(key, None)
            if runs_s is None:
                runs_s = collections.deque(maxlen=RECENT_RUNS)
            runs_s.append(run_s)
            self._runs_s[key] = runs_s
            if len(self._runs_s) > MAX_CLASSES:
                del self._runs_s[next(iter(self._runs_s))]

    def expected_s(self, job: messages.Job) -> float:
        """Returns how long a job is expected to run."""
        with self._lock:
            runs_s = list(self._runs_s.get((job.service, job.class_id), ()))
        if job.repeatable:
            return statistics.median(runs_s) if runs_s else 0.0
        return max(runs_s, default=math.inf)


class Draining:
    """Decides for a stop that has begun.

    Attributes:
        error_s: When requests that have no answer fail, on the clock of the
            jobs; infinity for never.
    """

    def __init__(
        self, schedule: DrainSchedule, begin_s: float, run_times: RunTimes
    ):
        """Begins a stop.

        Args:
            schedule: Its course.
            begin_s: When it begins, on the clock of the jobs.
            run_times: How long requests run.
        """
        self.error_s = begin_s + schedule.error_s
        self._end_s = begin_s + schedule.end_s
        self._refuse_s = begin_s + schedule.notice_s
        self._run_times = run_times

    @property
    def is_bounded(self) -> bool:
        """Whether the process is killed at the end."""
        return math.isfinite(self._end_s)

    def may_send(
        self, job: messages.Job, now_s: float, done_s: float = 0.0
    ) -> bool:
        """Returns whether a job's answer is expected in time.

        Args:
            job: The job.
            now_s: When it is sent.
            done_s: For how long its answer has been relayed already.
        """
        run_s = max(self._run_times.expected_s(job) - done_s, 0.0)
        return min(now_s + run_s, job.deadline_s) <= self._end_s

    def may_wait(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> bool:
        """Returns whether a waiting job may go on waiting.

        Args:
            job: The job.
            backlog: The work ahead of it.
            now_s: The time.
        """
        if not self.is_bounded:
            return True
        left_s = max(job.deadline_s - self._refuse_s, 0.0)
        if now_s > self._refuse_s + WAIT_SHARE * left_s:
            return False
        wait_s = backlog.predicted_wait_s
        run_s = self._run_times.expected_s(job)
        if wait_s and math.isfinite(run_s) and run_s > backlog.service_s > 0.0:
            wait_s *= run_s / backlog.service_s
        return self.may_send(job, now_s + wait_s)
