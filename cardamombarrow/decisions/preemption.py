"""Which running request gives way to a waiting one.

Load pattern: long answers hold every slot when a short, urgent request comes.
The next slot comes free only when one of them ends, after seconds, whatever
the order of the queue; the urgent one misses its target in an idle queue.

A request gives way only to a higher tier, only while its own tier runs more
than its reserved share of these slots, and only if it may run twice. Among
those one of whose answer nothing has been delivered goes first (it goes back
into the queue, and its caller notices a wait), then one that can be resumed,
then the one with the least tokens, for those are thrown away. And only when
the waiting request is in danger: a slot may come free by itself, and then
nothing has to be thrown away.

What is thrown away is bounded: each served token pays `WASTE_SHARE` of a
token into a budget, and tiers below the highest preempt only out of what the
budget holds. The highest may overdraw it, for its promise is the tightest.

`DANGER_SHARE` leaves the rest of the target for the cancelled request's end,
which takes one token's time on a stream, and for the first token; a smaller one
throws away more and gains nothing. `WASTE_SHARE` is the 2 % of wasted work that
is aimed at.
"""

import collections
import math

from cardamombarrow.decisions import base
from cardamombarrow.decisions import capacity as capacity_module
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import registry

__all__ = ["LeastProgressPreemption"]

DANGER_SHARE = 0.65
"""Part of its target after which a waiting request is in danger."""

WASTE_SHARE = 0.02
"""Part of a token that each served token pays for those thrown away."""

BUDGET_MAX_TOKENS = 2_000.0
"""Most that is saved up: a quiet hour must not pay for a wasteful minute."""


@registry.plugin("preemption", "least-progress")
class LeastProgressPreemption(base.PreemptionPolicy):
    """Cancels what costs least, for a request whose target is in danger."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._tiers = _by_rank(context.document)
        self._budget_tokens = 0.0

    def configure(self, document: schema.Document) -> None:
        """Takes newer shares."""
        super().configure(document)
        self._tiers = _by_rank(document)

    def preemption_check_s(self, job: messages.Job) -> float:
        """Returns when a waiting job's target is in danger."""
        return job.arrived_s + DANGER_SHARE * job.target_first_token_s

    def victim(
        self,
        job: messages.Job,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Running | None:
        """Returns the request that costs least, or None."""
        if now_s < self.preemption_check_s(job):
            return None
        running = [
            item
            for state in states
            for item in state.running.values()
            if item.job.rank > job.rank and not item.preempted
        ]
        over = self._ranks_over(running, sum(s.share for s in states))
        willing = [
            item
            for item in running
            if item.job.rank in over and item.job.repeatable
        ]
        least = min(willing, key=_cost, default=None)
        if least is None or not self._affords(job, least):
            return None
        self._budget_tokens -= least.tokens
        return least

    def _affords(self, job: messages.Job, victim: messages.Running) -> bool:
        highest = min(self._tiers, default=0)
        return job.rank == highest or victim.tokens <= self._budget_tokens

    def on_finish(
        self, running: messages.Running, outcome: messages.Outcome
    ) -> None:
        """Pays served tokens into the budget."""
        if outcome is messages.Outcome.DONE:
            paid = WASTE_SHARE * running.tokens
            self._budget_tokens = min(
                self._budget_tokens + paid, BUDGET_MAX_TOKENS
            )

    def _ranks_over(
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


def _cost(item: messages.Running) -> tuple[bool, bool, int, int, float]:
    delivered = item.first_token_s is not None
    return (
        delivered,
        not item.job.resumable,
        item.tokens,
        -item.job.rank,
        -item.placed_s,
    )
