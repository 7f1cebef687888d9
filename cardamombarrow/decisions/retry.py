"""When a failed request runs again, and when a refused caller comes back.

Load patterns: an endpoint that fails whatever it is given, and a wave of
refusals. With immediate retries the first turns each request into three, at
the very moment when capacity is short; with a fixed time to come back the
second returns as one wave, is refused, and returns again.

A failed request runs again only where it certainly did not run, or where it
may run twice and nothing of its answer was delivered (the caller of
`may_retry` has seen to the latter); at most `ATTEMPTS` times; and only out of
a budget per class, into which each success pays `BUDGET_SHARE` of a retry.
Waits before a retry are drawn evenly from zero to a bound that doubles ("full
jitter", M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
2015). A run that was preempted is no failure: it goes back without delay and
without cost to the budget.

A refused caller is told to come back when the work before it, and the work of
those of its tier who were refused before it, will have been served; times are
spread evenly over `SPREAD` around that, so that callers refused together do
not return together.

A share of 0.1 bounds the added load at a tenth, the figure that "Addressing
Cascading Failures" in Google's "Site Reliability Engineering" (2016) gives for
its client-side retry budget. `BUDGET_START` lets a class retry before it has
had a success. The first backoff is about the time that a failing endpoint needs
to lose its weight in the choice.
"""

import collections

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import fleet
from cardamombarrow.decisions import messages
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
"""Least time to come back: an earlier return finds the same queue."""

RETRY_AFTER_MAX_S = 120.0
SPREAD = (0.7, 1.3)


@registry.plugin("retry", "budget")
class BudgetRetry(base.Retry):
    """Retries out of a budget; spreads the returns of refused callers."""

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
        if outcome is messages.Outcome.PREEMPTED:
            return True
        return job.attempts < ATTEMPTS and self._spend(job, now_s)

    def _spend(self, job: messages.Job, now_s: float) -> bool:
        """Takes a retry out of the budget; False where it is empty."""
        budget = self._budget.get(job.class_id, BUDGET_START)
        if budget < 1.0:
            return False
        self._budget[job.class_id] = budget - 1.0
        return True

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns a wait drawn from zero to the bound of this attempt."""
        if outcome is messages.Outcome.PREEMPTED:
            return 0.0
        bound_s = BACKOFF_FIRST_S * 2 ** max(job.attempts - 1, 0)
        return self.context.rng.uniform(0.0, min(bound_s, BACKOFF_MAX_S))

    def retry_after_s(self, backlog: messages.Backlog) -> float:
        """Returns when what stands before the caller should be done."""
        ready_s = backlog.predicted_wait_s + backlog.returning_s
        ready_s = min(max(ready_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return ready_s * self.context.rng.uniform(*SPREAD)

    def on_finish(self, job: messages.Job, outcome: messages.Outcome) -> None:
        """Pays a success into the budget of its class."""
        if outcome is messages.Outcome.DONE:
            budget = self._budget.get(job.class_id, BUDGET_START)
            self._budget[job.class_id] = min(budget + BUDGET_SHARE, BUDGET_MAX)


class _Window:
    """Arrivals and retries of one service within the last seconds."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._arrivals: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def arrived(self, now_s: float) -> None:
        self._arrivals.append(now_s)
        self._forget(now_s)

    def has_room(self, share: float, slack: float, now_s: float) -> bool:
        self._forget(now_s)
        allowed = share * len(self._arrivals) + slack
        return len(self._retries) + 1 <= allowed

    def spend(self, share: float, slack: float, now_s: float) -> bool:
        if not self.has_room(share, slack, now_s):
            return False
        self._retries.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._arrivals, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()


@registry.plugin("retry", "window")
class WindowRetry(BudgetRetry):
    """Retries within a bound that all instances keep together.

    Load pattern: every endpoint of a service fails part of its requests, and
    seven or eighty instances each spend a budget of their own; what was meant
    as a tenth more load is as much again. Each instance takes its part of the
    bound: the share of its own requests, and of the slack one part in as many
    as there are instances. The parts add up to the bound, also while the
    instances can't hear one another; see `fleet`.
    """

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._windows: dict[ids.ServiceId, _Window] = {}

    def _spend(self, job: messages.Job, now_s: float) -> bool:
        return self._window(job).spend(*self._part(), now_s)

    def _part(self) -> tuple[float, float]:
        """Returns the share and the slack that are this instance's own."""
        bounds = self.context.retries
        return (
            fleet.MARGIN * bounds.share,
            self.context.fleet.of(bounds.slack),
        )

    def delay_s(self, job: messages.Job, outcome: messages.Outcome) -> float:
        """Returns no wait for the first retry, and backs off later ones.

        The bound keeps the load of retries small whenever they come, and the
        endpoint that failed is tried last. A call whose target is a quarter
        of a second would spend a fifth of it waiting.
        """
        if job.attempts <= 1:
            return 0.0
        return super().delay_s(job, outcome)

    def may_redo(self, job: messages.Job, now_s: float) -> bool:
        """Tells whether a run that is given up now could be run again."""
        if not job.repeatable or job.attempts >= ATTEMPTS:
            return False
        if job.max_runs and job.runs + 1 >= job.max_runs:
            return False
        return self._window(job).has_room(*self._part(), now_s)

    def on_arrival(self, job: messages.Job, now_s: float) -> None:
        """Counts a request into its service's window."""
        self._window(job).arrived(now_s)

    def _window(self, job: messages.Job) -> _Window:
        window = self._windows.get(job.service)
        if window is None:
            window = _Window(self.context.retries.window_s)
            self._windows[job.service] = window
        return window
