"""Retries of failed requests, and retry-after times of refused ones.

Load patterns: an endpoint that fails every request, and a wave of refusals.
With immediate retries the first turns each request into three, just when
capacity is short; with a fixed retry-after time the second returns as one
wave, is refused, and returns again.

A failed request is retried only if it certainly did not run, or if it may run
twice and nothing of its answer was delivered (the caller of `may_retry` checks
the latter); at most `ATTEMPTS` times; and only within a budget per class, to
which each success adds `BUDGET_SHARE` of a retry. Delays before a retry are
drawn uniformly from zero to a bound that doubles ("full jitter", M. Brooker,
"Exponential Backoff And Jitter", AWS Architecture Blog, 2015). A preempted run
is not a failure: it is queued again without delay and without using the budget.

The retry-after time of a refused caller is the time to serve the work ahead of
it and the work of its tier that was refused before; it is varied uniformly by
`SPREAD`, so that callers refused together do not return together.

A share of 0.1 bounds the added load at a tenth, the figure that "Addressing
Cascading Failures" in Google's "Site Reliability Engineering" (2016) gives for
its client-side retry budget. `BUDGET_START` lets a class retry before its first
success. The first backoff is about the time after which a failing endpoint is
rarely chosen.
"""

import collections

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import fleet_share as fleet
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["BudgetRetry", "WindowRetry"]

ATTEMPTS = 4
BUDGET_SHARE = 0.1
BUDGET_START = 10.0
BUDGET_MAX = 50.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 2.0

RETRY_AFTER_MIN_S = 1.0
"""Minimum retry-after: an earlier return finds the same queue."""

RETRY_AFTER_MAX_S = 120.0
SPREAD = (0.7, 1.3)


@registry.plugin("retry", "budget")
class BudgetRetry(base.Retry):
    """Retries within a budget per class, with jittered retry-after times."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._budget: dict[ids.ClassId, float] = {}

    def may_retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
    ) -> bool:
        """Allows a retry that is safe, in time and within the budget."""
        if not (outcome.not_run or job.repeatable):
            return False
        if now_s >= job.deadline_s:
            return False
        if job.max_runs and job.runs >= job.max_runs:
            return False
        if outcome.says_nothing:
            return True
        return job.attempts < ATTEMPTS and self._spend(job, now_s)

    def _spend(self, job: messages.Job, now_s: float) -> bool:
        """Takes a retry from the budget; returns False if it is empty."""
        budget = self._budget.get(job.class_id, BUDGET_START)
        if budget < 1.0:
            return False
        self._budget[job.class_id] = budget - 1.0
        return True

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns a random delay up to the bound of this attempt."""
        if outcome.says_nothing:
            return 0.0
        bound_s = BACKOFF_FIRST_S * 2 ** max(job.attempts - 1, 0)
        return self.context.rng.uniform(0.0, min(bound_s, BACKOFF_MAX_S))

    def retry_after_s(self, backlog: messages.Backlog) -> float:
        """Returns when the work ahead of the caller should be done."""
        ready_s = backlog.predicted_wait_s + backlog.returning_s
        ready_s = min(max(ready_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        earliest, latest = SPREAD
        if backlog.pause_wait_s > 0.0:
            # Before the pause ends it would be refused again.
            earliest = 1.0
        return ready_s * self.context.rng.uniform(earliest, latest)

    def on_finish(self, job: messages.Job, outcome: messages.Outcome) -> None:
        """Adds a success to the budget of its class."""
        if outcome is messages.Outcome.DONE:
            budget = self._budget.get(job.class_id, BUDGET_START)
            self._budget[job.class_id] = min(budget + BUDGET_SHARE, BUDGET_MAX)


class _Window:
    """Arrivals and retries of one service within a sliding window.

    A retry is counted from when it is allowed until a window after it was sent.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._arrivals: collections.deque[float] = collections.deque()
        self._sent: collections.deque[float] = collections.deque()
        self._deadlines_s: dict[ids.RequestId, float] = {}

    def record_arrival(self, now_s: float) -> None:
        self._arrivals.append(now_s)
        self._expire(now_s)

    def use(
        self, share: float, slack: float, now_s: float
    ) -> messages.RetryUse:
        self._expire(now_s)
        allowed = share * len(self._arrivals) + slack
        spent = len(self._sent) + len(self._deadlines_s)
        return messages.RetryUse(spent, allowed)

    def allows(self, share: float, slack: float, now_s: float) -> bool:
        use = self.use(share, slack, now_s)
        return use.spent + 1 <= use.allowed

    def spend(
        self, job: messages.Job, share: float, slack: float, now_s: float
    ) -> bool:
        if not self.allows(share, slack, now_s):
            return False
        self.record_sent(job.request_id, now_s)
        self._deadlines_s[job.request_id] = job.deadline_s
        return True

    def record_sent(self, request_id: ids.RequestId, now_s: float) -> None:
        if self._deadlines_s.pop(request_id, None) is not None:
            self._sent.append(now_s)

    def _expire(self, now_s: float) -> None:
        for times in (self._arrivals, self._sent):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
        for request_id, deadline_s in list(self._deadlines_s.items()):
            if deadline_s <= now_s:
                del self._deadlines_s[request_id]


@registry.plugin("retry", "window")
class WindowRetry(BudgetRetry):
    """Retries within a bound over all instances.

    Load pattern: every endpoint of a service fails part of its requests, and
    seven or eighty instances each spend a budget of their own; instead of a
    tenth, the added load is as much again. Each instance takes its part of the
    bound: the share of its own requests, and the slack divided by the number
    of instances. The parts add up to the bound, even while the instances are
    partitioned; see `fleet`.

    A run that is preempted before its first token takes its retry when it is
    preempted, so that preemptions end with the bound.

    An instance that has just started takes no part of the slack for one window,
    unless it is new: the process before it may have used that part.
    """

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._windows: dict[ids.ServiceId, _Window] = {}

    def reserve(self, job: messages.Job, now_s: float) -> bool:
        """Takes a retry from this instance's part of the bound."""
        return self._spend(job, now_s)

    def _spend(self, job: messages.Job, now_s: float) -> bool:
        return self._window(job).spend(job, *self._part(now_s), now_s)

    def _part(self, now_s: float) -> tuple[float, float]:
        """Returns this instance's part of the share and the slack."""
        bounds = self.context.retries
        share = fleet.MARGIN * bounds.share
        is_settled = now_s >= self.context.started_s + bounds.window_s
        if not is_settled and not self.context.fleet.is_new:
            return share, 0.0
        return share, self.context.fleet.part_of(bounds.slack)

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns no delay for the first retry, and a backoff for later ones.

        The bound limits the load of retries in any case, and the endpoint that
        failed is tried last. A call whose target is a quarter of a second
        would spend a fifth of it on the delay.
        """
        if job.attempts <= 1:
            return 0.0
        return super().delay_s(job, outcome)

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a run that is cancelled now could be retried."""
        if not job.repeatable or job.attempts >= ATTEMPTS:
            return False
        if job.max_runs and job.runs + 1 >= job.max_runs:
            return False
        return self._window(job).allows(*self._part(now_s), now_s)

    def on_place(self, job: messages.Job, now_s: float) -> None:
        """Counts a retry from now on, if this is one."""
        self._window(job).record_sent(job.request_id, now_s)

    def use(self, job: messages.Job, now_s: float) -> messages.RetryUse:
        """Returns what is used of this instance's part of the bound."""
        return self._window(job).use(*self._part(now_s), now_s)

    def on_arrival(self, job: messages.Job, now_s: float) -> None:
        """Adds a request to the window of its service.

        One that another entry has sent before is in the window there.
        """
        if job.attempts:
            return
        self._window(job).record_arrival(now_s)

    def _window(self, job: messages.Job) -> _Window:
        window = self._windows.get(job.service)
        if window is None:
            window = _Window(self.context.retries.window_s)
            self._windows[job.service] = window
        return window
