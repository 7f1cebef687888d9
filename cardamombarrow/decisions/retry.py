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

Figures: a share of 0.1 bounds the added load at a tenth, the figure that
"Addressing Cascading Failures" in Google's "Site Reliability Engineering"
(2016) gives for its client-side retry budget. `BUDGET_START` lets a class
retry before it has had a success. The first backoff is about the time that a
failing endpoint needs to lose its weight in the choice.
"""

from cardamombarrow.decisions import base
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["BudgetRetry"]

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

    def __init__(self, context: base.PolicyContext):
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
        budget = self._budget.get(job.class_id, BUDGET_START)
        if job.attempts >= ATTEMPTS or budget < 1.0:
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
