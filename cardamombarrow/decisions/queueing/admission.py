"""Admission control: which requests may wait and which are refused.

Load pattern: demand above capacity for longer than the target time. Every
admitted request then waits until its target has passed; the endpoints work at
full rate on answers that come too late, and callers give up and retry.
Refusing requests that cannot be served in time keeps the targets of the
admitted ones, and lets the other callers come back at a better time.

`PredictedWaitAdmission` refuses an arriving request when the predicted wait
plus the predicted time to the first token exceeds the target of its class
times `ARRIVAL_FACTOR`. A class with a long target may wait long. Since the
wait is predicted from the work that is served before it, the lowest tier is
refused first. A tier is not refused while a lower one runs more than its
reserved share, because those slots will soon be free for it. One request of
each tier may always wait: with a reserved share of a few slots the time
between two of them can exceed the target, and a tier without waiting requests
would leave its slots to others and complete nothing.

`QueueAgeAdmission` is an alternative after CoDel (Nichols and Jacobson,
"Controlling Queue Delay", ACM Queue 2012): it needs no prediction, and refuses
at a growing rate once the oldest request of a tier has waited above a part of
its target for an interval. `docs/decisions/queue.md` compares both.

Where the overload controls are enabled, prefill is expected to be short and not
slots, and late jobs wait behind those in time (`lateness`). Then the predicted
wait also counts the prefill ahead (`prefill_forecast`), and an arriving job is
refused if it is late and predicted to start too late to end by its deadline.
One that can be in time overtakes the late ones; refused by their number, it
would be refused in their favour. Refusing all that will be late would waste the
capacity that is left behind a burst, so waiting jobs are given up at their
latest start only. A tier is not refused while more than one job of a lower tier
waits, whose callers may allow more time.

A waiting job is given up as soon as it can no longer meet its deadline, or all
endpoints have failed of late and none may get it before (`failures`), or
when its first token is predicted far beyond its target; it is answered
immediately.

`WAITING_BOUND` follows from the 512 connections that an entry serves at once by
default (`[http] connections`): waiting and running requests leave some for
other uses.
"""

import math

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["PredictedWaitAdmission", "QueueAgeAdmission"]

ARRIVAL_FACTOR = 0.8
"""An arriving request is refused when its first token is predicted later
than this multiple of its target."""

MIN_WAIT_SHARE = 0.2
"""Share of its target that a request may always wait. With endpoints so slow
that the first token alone takes the whole target, nothing would be admitted
otherwise, and endpoints that are fast again would never be noticed."""

WAITING_FACTOR = 2.0
"""A waiting request is given up when its first token is predicted later than
this multiple of its target. It is above `ARRIVAL_FACTOR`, so that a small
change of the prediction does not drop requests that were just admitted."""

CHECKS_PER_TARGET = 4
"""Checks of a waiting job within its target time, or within its whole time if
its caller allows less."""

WAITING_BOUND = 320
"""Maximum number of requests waiting in one instance."""

MAX_SERVICE_SHARE = 0.5
"""Upper bound on the estimated run time of a job, as a share of the time until
its deadline. An estimate above the whole time would refuse every job of the
class on idle endpoints; none would run, so the estimate would stay wrong."""

AGE_TARGET_SHARE = 0.5
"""Share of its class's target that the oldest job may wait."""

AGE_INTERVAL_SHARE = 1.0
"""Time above that before the first refusal, as a share of the target."""


class _DeadlineAdmission(base.Admission):
    """Common base: the waiting bound and the deadline check."""

    def max_waiting(self) -> int:
        """Returns `WAITING_BOUND`."""
        return WAITING_BOUND

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Gives up a job that can no longer end by its deadline.

        At the deadline the answer would come too late to be of use: the caller
        has left, or has no time to try elsewhere.
        """
        latest_s = _latest_start_s(job, backlog)
        if now_s >= latest_s:
            return "it can no longer be answered by its deadline"
        if now_s + backlog.probe_wait_s >= latest_s:
            return (
                "all endpoints have failed of late; none may get it for "
                f"{backlog.probe_wait_s:.2f} s more"
            )
        return None

    def next_check_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns the latest start of the job, or when it may be given up."""
        latest_s = _latest_start_s(job, backlog)
        if backlog.probe_wait_s:
            return min(now_s + _check_step_s(job), latest_s)
        return latest_s


@registry.plugin("admission", "predicted-wait")
class PredictedWaitAdmission(_DeadlineAdmission):
    """Refuses requests that are predicted to miss their target."""

    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Refuses a job whose first token is predicted too late."""
        if backlog.lower_over_reserve or not backlog.tier_waiting:
            return None
        if backlog.prefill_wait_s is not None:
            return _beyond_limit(job, backlog, now_s)
        return _too_late(job, backlog, ARRIVAL_FACTOR, now_s)

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Gives up a job past its latest start, or far behind its target.

        Jobs that were admitted while a lower tier held more than its share can
        be too many once those slots are free; they are refused now rather
        than at their deadline.
        """
        reason = super().give_up(job, backlog, now_s)
        if reason is not None or backlog.lower_over_reserve:
            return reason
        if not backlog.tier_waiting or job.attempts:
            return None
        if backlog.prefill_wait_s is not None:
            return None
        return _too_late(job, backlog, WAITING_FACTOR, now_s)

    def next_check_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns the time of the next check, or the latest start."""
        return min(now_s + _check_step_s(job), _latest_start_s(job, backlog))


@registry.plugin("admission", "queue-age")
class QueueAgeAdmission(_DeadlineAdmission):
    """Refuses at a growing rate while the oldest job has waited too long."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._control: dict[tuple[ids.ServiceId, int], _AgeControl] = {}

    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Refuses by the age of the oldest job of the same tier."""
        key = (job.service, job.rank)
        control = self._control.setdefault(key, _AgeControl())
        target_s = job.target_first_token_s
        late = backlog.oldest_wait_s > AGE_TARGET_SHARE * target_s
        refused = control.refuses(late, AGE_INTERVAL_SHARE * target_s, now_s)
        if not refused or backlog.lower_over_reserve:
            return None
        return (
            f"the oldest request of its tier has waited "
            f"{backlog.oldest_wait_s:.2f} s"
        )


class _AgeControl:
    """CoDel's control law for one tier of one service."""

    def __init__(self):
        self._late_since_s: float | None = None
        self._next_s = 0.0
        self._count = 0

    def refuses(self, late: bool, interval_s: float, now_s: float) -> bool:
        """Returns whether the request that arrives now is refused."""
        if not late:
            self._late_since_s = None
            self._count = 0
            return False
        if self._late_since_s is None:
            self._late_since_s = now_s
            self._next_s = now_s + interval_s
        if now_s < self._next_s:
            return False
        self._count += 1
        self._next_s = now_s + interval_s / math.sqrt(self._count)
        return True


def _check_step_s(job: messages.Job) -> float:
    total_s = job.deadline_s - job.arrived_s
    return min(job.target_first_token_s, total_s) / CHECKS_PER_TARGET


def _latest_start_s(job: messages.Job, backlog: messages.Backlog) -> float:
    total_s = job.deadline_s - job.arrived_s
    return job.deadline_s - min(backlog.service_s, MAX_SERVICE_SHARE * total_s)


def _beyond_limit(
    job: messages.Job, backlog: messages.Backlog, now_s: float
) -> str | None:
    """Returns the reason if a job is predicted to start too late to end."""
    if backlog.lower_waiting or not backlog.is_late:
        return None
    left_s = _latest_start_s(job, backlog) - now_s
    if backlog.predicted_wait_s <= left_s:
        return None
    return (
        f"a wait of {backlog.predicted_wait_s:.2f} s is predicted, of which "
        f"{backlog.prefill_wait_s:.2f} s for the prefill ahead; "
        f"{left_s:.2f} s are left until it can no longer end in time"
    )


def _too_late(
    job: messages.Job,
    backlog: messages.Backlog,
    factor: float,
    now_s: float,
) -> str | None:
    target_s = job.target_first_token_s
    allowed_s = max(
        factor * target_s - backlog.first_token_s, MIN_WAIT_SHARE * target_s
    )
    wait_s = now_s - job.arrived_s + backlog.predicted_wait_s
    if wait_s <= allowed_s:
        return None
    return (
        f"a wait of {wait_s:.2f} s is predicted, "
        f"at most {allowed_s:.2f} s are allowed"
    )
