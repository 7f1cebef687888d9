"""Selects a running request to preempt for a waiting one.

Load pattern: long answers hold every slot when a short, urgent request arrives.
The next slot is released only when one of them ends, after seconds, whatever
the queue order; the urgent request misses its target although the queue is
otherwise empty.

A request is preempted only for a higher tier, only while its own tier holds
more than its reserved share of these slots, and only if it is repeatable. The
order of preference is: requests without delivered tokens (they are queued
again, and their callers only wait longer), then resumable ones, then those
with the fewest tokens, because these are lost. The waiting request must be at
risk of missing its target: otherwise a slot may be released without any loss.

The loss is bounded: each served token adds `WASTE_SHARE` of a token to a
budget, and tiers below the highest preempt only within the budget. The highest
tier may overdraw it, because its target is the tightest.

`RISK_SHARE` leaves the rest of the target for the end of the cancelled
request, which takes the time of one token on a stream, and for the first token;
a smaller share increases the loss without benefit. `WASTE_SHARE` is the goal
for wasted work, 2 %.
"""

import collections
import math

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.document import schema
from cardamombarrow.kernel import registry

__all__ = ["LeastProgressPreemption"]

RISK_SHARE = 0.65
"""Share of its target after which a waiting request is at risk."""

WASTE_SHARE = 0.02
"""Tokens added to the budget per served token."""

MAX_BUDGET_TOKENS = 2_000.0
"""Maximum budget: an hour of low load must not pay for a wasteful minute."""


@registry.plugin("preemption", "least-progress")
class LeastProgressPreemption(base.PreemptionPolicy):
    """Preempts the request with the least loss for one at risk."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._tiers = _by_rank(context.document)
        self._budget_tokens = 0.0

    def configure(self, document: schema.Document) -> None:
        """Applies the reserved shares of a newer document."""
        super().configure(document)
        self._tiers = _by_rank(document)

    def preemption_check_s(self, job: messages.Job) -> float:
        """Returns when a waiting job's target is at risk."""
        return job.arrived_s + RISK_SHARE * job.target_first_token_s

    def victim(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Running | None:
        """Returns the request with the least loss, or None."""
        if now_s < self.preemption_check_s(job):
            return None
        running = [
            item
            for state in states
            for item in state.running.values()
            if item.job.rank > job.rank and not item.preempted
        ]
        ranks_over = self._ranks_over_reserve(
            running, sum(s.share for s in states)
        )
        preemptible = [
            item
            for item in running
            if item.job.rank in ranks_over and item.job.repeatable
        ]
        cheapest = min(preemptible, key=_loss_order, default=None)
        if cheapest is None or not self._is_within_budget(job, cheapest):
            return None
        self._budget_tokens -= cheapest.tokens
        return cheapest

    def _is_within_budget(
        self, job: messages.Job, victim: messages.Running
    ) -> bool:
        highest = min(self._tiers, default=0)
        return job.rank == highest or victim.tokens <= self._budget_tokens

    def on_finish(
        self, running: messages.Running, outcome: messages.Outcome
    ) -> None:
        """Adds a share of the served tokens to the budget."""
        if outcome is messages.Outcome.DONE:
            earned = WASTE_SHARE * running.tokens
            self._budget_tokens = min(
                self._budget_tokens + earned, MAX_BUDGET_TOKENS
            )

    def _ranks_over_reserve(
        self, running: list[messages.Running], slots: int
    ) -> set[int]:
        """Returns the ranks that hold more than their reserved slots."""
        held = collections.Counter(item.job.rank for item in running)
        return {
            rank
            for rank, count in held.items()
            if rank in self._tiers
            and count
            > math.ceil(
                capacity_module.reserved_slots(self._tiers[rank], slots)
            )
        }


def _by_rank(document: schema.Document) -> dict[int, schema.Tier]:
    return {tier.rank: tier for tier in document.tiers.values()}


def _loss_order(item: messages.Running) -> tuple[bool, bool, int, int, float]:
    delivered = item.first_token_s is not None
    return (
        delivered,
        not item.job.resumable,
        item.tokens,
        -item.job.rank,
        -item.placed_s,
    )
