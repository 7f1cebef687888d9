"""Handle with which a request's thread waits for decisions on its job."""

from collections import abc
from concurrent import futures
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import errors

__all__ = ["JobRefusedError", "Ticket"]


class JobRefusedError(errors.RefusedError):
    """A dispatcher refused a job.

    Attributes:
        refusal: Its decision.
    """

    def __init__(self, job: messages.Job, refusal: messages.Refusal):
        # A job that is refused while it waits for another attempt may have run
        # before; only a refusal during the first wait means "not run".
        super().__init__(
            refusal.kind,
            refusal.detail,
            retry_after_s=refusal.retry_after_s,
            not_run=not job.may_have_run,
            check=refusal.check,
        )
        self.refusal = refusal
        if refusal.wait is not None:
            self.wait_fields = refusal.wait.fields()


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

    def refuse(self, refusal: messages.Refusal) -> None:
        """Fails the placement with a refusal."""
        self.placed.set_exception(JobRefusedError(self.job, refusal))

    def preempt(self, preemption: messages.Preemption) -> None:
        """Preempts the running request."""
        self.preempted = preemption
        if self.on_preempted is not None:
            self.on_preempted(preemption)
