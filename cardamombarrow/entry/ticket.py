"""Handle with which a request's thread waits for decisions on its job."""

from collections import abc
from concurrent import futures
import dataclasses

from cardamombarrow.decisions import messages

__all__ = ["Ticket"]


@dataclasses.dataclass
class Ticket:
    """A submitted job and the decisions on it.

    Attributes:
        placed: Resolves with the placement, or fails with the refusal.
        preempted: Set when the running request is preempted.
        on_preempted: Called with the preemption; must return immediately.
    """

    job: messages.Job
    placed: futures.Future[messages.Placement]
    preempted: messages.Preemption | None = None
    on_preempted: abc.Callable[[messages.Preemption], None] | None = None

    def preempt(self, preemption: messages.Preemption) -> None:
        """Preempts the running request."""
        self.preempted = preemption
        if self.on_preempted is not None:
            self.on_preempted(preemption)
