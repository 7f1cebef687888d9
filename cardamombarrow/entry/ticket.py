"""A request's side of the decisions on it."""

from collections import abc
from concurrent import futures
import dataclasses

from cardamombarrow.decisions import messages

__all__ = ["Ticket"]


@dataclasses.dataclass
class Ticket:
    """A request's side of its job.

    Attributes:
        placed: Resolves with a placement, or fails with the refusal.
        preempted: Set when the running request must give way.
        on_preempted: Called with it, if set; must return at once.
    """

    job: messages.Job
    placed: futures.Future[messages.Placement]
    preempted: messages.Preemption | None = None
    on_preempted: abc.Callable[[messages.Preemption], None] | None = None

    def preempt(self, preemption: messages.Preemption) -> None:
        """Has the running request give way."""
        self.preempted = preemption
        if self.on_preempted is not None:
            self.on_preempted(preemption)
