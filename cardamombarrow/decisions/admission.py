"""Who waits and who is refused, at once.

Load pattern: demand above capacity for longer than a target lasts. Whoever
is let in then waits until the target has passed; the endpoints work at full
rate on answers that come too late for everybody, and callers give up and ask
again. Refusing what cannot be served in time keeps the targets of those who
are let in, and tells the others early enough to come back at a better time.

`PredictedWaitAdmission` refuses an arriving request when the predicted wait
and the predicted time to the first token exceed its class's own target by
`ARRIVAL_FACTOR`. A class with a long target may wait long. Since the wait is
predicted from the work that is served before it, the lowest tier is refused
first; and a tier is not refused while a lower one runs more than its reserved
share, because those slots are about to be its own. One request of each tier
may always wait: with the reserved share of a few slots the time between two
of them can be above the target, and with nobody waiting the tier would leave
them to others and complete nothing.

`QueueAgeAdmission` is the other way that was weighed, after CoDel (Nichols
and Jacobson, "Controlling Queue Delay", ACM Queue 2012): it needs no
prediction, and refuses at a growing rate once the oldest request of a tier
has waited above a part of its target for an interval.
`docs/decisions/queue.md` has the figures of both.

A job that waits is given up as soon as it can no longer meet its deadline,
or when its first token is predicted far beyond its target; it is answered at
that moment, never held back.

`WAITING_BOUND` follows from the 512 connections that an entry serves at once by
default (`[http] connections`): what waits and what runs leave some for
everything else.
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
than this many times its target."""

LEAST_WAIT_SHARE = 0.2
"""Part of its target that a request may always wait. With endpoints so slow
that the first token alone takes the target, nobody would be let in otherwise,
and nothing would ever be learned of endpoints that have become fast again."""

WAITING_FACTOR = 2.0
"""A waiting one is given up when it is predicted later than this many times
its target; above `ARRIVAL_FACTOR`, or a prediction that moves a little would
throw out those who were just let in."""

LOOKS_PER_TARGET = 4
"""How often within its target a waiting job is looked at."""

WAITING_BOUND = 320
"""Most requests that wait in one instance."""

MOST_SERVICE_SHARE = 0.5
"""Part of a job's whole time that its run is reckoned to take at most. A guess
above the whole time would refuse every job of the class on idle endpoints;
none would run, so the guess would never be mended."""

AGE_TARGET_SHARE = 0.5
"""Part of its class's target that the oldest job may wait."""

AGE_INTERVAL_SHARE = 1.0
"""Time above that before anybody is refused, as a part of the target."""


class _DeadlineAdmission(base.Admission):
    """What both ways share: the bound and the deadline."""

    def waiting_bound(self) -> int:
        """Returns `WAITING_BOUND`."""
        return WAITING_BOUND

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Gives up a job that cannot end by its deadline any more."""
        if now_s >= _last_start_s(job, backlog):
            return "it can no longer be answered by its deadline"
        return None

    def look_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns the last moment at which the job could be started."""
        return _last_start_s(job, backlog)


@registry.plugin("admission", "predicted-wait")
class PredictedWaitAdmission(_DeadlineAdmission):
    """Refuses what would miss its target by a prediction."""

    def refuse(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Refuses a job whose first token is predicted too late."""
        if backlog.lower_over_reserve or not backlog.tier_waiting:
            return None
        return _too_late(job, backlog, ARRIVAL_FACTOR, now_s)

    def give_up(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> str | None:
        """Gives up a job past its last start, or far behind its target.

        Jobs let in while a lower tier held more than its share can be too
        many once those slots are back; they are told now rather than at
        their deadline.
        """
        reason = super().give_up(job, backlog, now_s)
        if reason is not None or backlog.lower_over_reserve:
            return reason
        if not backlog.tier_waiting or job.attempts:
            return None
        return _too_late(job, backlog, WAITING_FACTOR, now_s)

    def look_s(
        self, job: messages.Job, backlog: messages.Backlog, now_s: float
    ) -> float:
        """Returns when it is due for a look."""
        step_s = job.target_first_token_s / LOOKS_PER_TARGET
        return min(now_s + step_s, _last_start_s(job, backlog))


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
        """Tells whether the request that arrives now is refused."""
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


def _last_start_s(job: messages.Job, backlog: messages.Backlog) -> float:
    whole_s = job.deadline_s - job.arrived_s
    return job.deadline_s - min(backlog.service_s, MOST_SERVICE_SHARE * whole_s)


def _too_late(
    job: messages.Job,
    backlog: messages.Backlog,
    factor: float,
    now_s: float,
) -> str | None:
    target_s = job.target_first_token_s
    allowed_s = max(
        factor * target_s - backlog.first_token_s, LEAST_WAIT_SHARE * target_s
    )
    wait_s = now_s - job.arrived_s + backlog.predicted_wait_s
    if wait_s <= allowed_s:
        return None
    return (
        f"a wait of {wait_s:.2f} s is predicted, "
        f"at most {allowed_s:.2f} s are allowed"
    )
