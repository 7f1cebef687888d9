"""The dispatcher behind a lock: threads wait here for a place.

Each request's thread hands in a job and waits on a future. Whenever a job
arrives, a slot is released, or the timer ticks, the decisions that are due
are carried out by resolving the futures of the jobs that they concern.
"""

from concurrent import futures
import dataclasses
import random
import threading

from cardamombarrow.decisions import base
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["Broker", "Ticket"]

TICK_S = 0.05
"""Time between two looks at jobs whose time is up."""


@dataclasses.dataclass
class Ticket:
    """A request's side of its job.

    Attributes:
        placed: Resolves with a placement, or fails with the refusal.
        preempted: Set when the running request must give way.
    """

    job: messages.Job
    placed: futures.Future[messages.Placement]
    preempted: messages.Preemption | None = None


class Broker(lifecycle.Part):
    """One dispatcher, shared by the threads of an entry."""

    def __init__(
        self,
        document: schema.Document,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        time_source: clock.Clock,
    ):
        self._clock = time_source
        context = base.PolicyContext(
            document, instance, domain, random.Random()
        )
        self._dispatcher = core.Dispatcher(context, time_source.now_s())
        self._lock = threading.Lock()
        self._tickets: dict[ids.RequestId, Ticket] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._tick, name="broker", daemon=True
        )

    def start(self) -> None:
        """Starts the timer."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the timer."""
        self._stop.set()
        self._thread.join()

    def _tick(self) -> None:
        while not self._stop.wait(TICK_S):
            with self._lock:
                self._dispatcher.refresh_shares(self._clock.now_s())
                self._run_due()

    def configure(self, document: schema.Document) -> None:
        """Takes a newer document into force."""
        with self._lock:
            self._dispatcher.configure(document, self._clock.now_s())
            self._run_due()

    def report(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Takes an endpoint's load report."""
        with self._lock:
            self._dispatcher.report(endpoint, report)

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Takes the word that an endpoint leaves, or is back."""
        with self._lock:
            self._dispatcher.set_leaving(endpoint, leaving)

    def demand(self) -> messages.PeerDemand:
        """Returns what this instance asks for, to be gossiped."""
        with self._lock:
            return self._dispatcher.demand(self._clock.now_s())

    def peer(self, demand: messages.PeerDemand) -> None:
        """Takes another instance's demand."""
        with self._lock:
            self._dispatcher.peer(demand)

    def forget_peer(self, instance: ids.InstanceId) -> None:
        """Drops an instance that has left."""
        with self._lock:
            self._dispatcher.forget_peer(instance)

    def quarantine_marks(self) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and seconds left, for gossip."""
        with self._lock:
            return self._dispatcher.quarantine_marks(self._clock.now_s())

    def merge_quarantine(self, marks: dict[ids.Fingerprint, float]) -> None:
        """Takes fingerprints that another instance quarantined."""
        with self._lock:
            self._dispatcher.merge_quarantine(marks, self._clock.now_s())

    def submit(self, job: messages.Job) -> Ticket:
        """Hands in an arriving job.

        Raises:
            errors.RefusedError: It is refused at once.
        """
        ticket = Ticket(job, futures.Future())
        with self._lock:
            refusal = self._dispatcher.offer(job, self._clock.now_s())
            if refusal is not None:
                raise _refuse(job, refusal)
            self._tickets[job.request_id] = ticket
            self._run_due()
        return ticket

    def resubmit(
        self, ticket: Ticket, outcome: messages.Outcome
    ) -> Ticket | None:
        """Queues a failed job again; None where that is not allowed."""
        job = ticket.job
        again = Ticket(job, futures.Future())
        with self._lock:
            now_s = self._clock.now_s()
            if not self._dispatcher.retry(job, outcome, now_s):
                return None
            self._tickets[job.request_id] = again
            self._run_due()
        logs.decision(
            "retry",
            request_id=job.request_id,
            outcome=outcome.value,
            attempts=job.attempts,
            tried=job.tried,
        )
        return again

    def withdraw(self, ticket: Ticket) -> None:
        """Takes a job back whose caller left before it was placed."""
        with self._lock:
            request_id = ticket.job.request_id
            if self._dispatcher.withdraw(request_id):
                self._tickets.pop(request_id, None)
            elif ticket.placed.done() and not ticket.placed.exception():
                self._finish(request_id, messages.Outcome.CALLER_GONE)

    def first_token(self, request_id: ids.RequestId) -> None:
        """Tells that the first token came."""
        with self._lock:
            self._dispatcher.first_token(request_id, self._clock.now_s())

    def progress(self, request_id: ids.RequestId, tokens: int) -> None:
        """Tells how many tokens were relayed so far."""
        self._dispatcher.progress(request_id, tokens)

    def finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> None:
        """Releases the slot of a placed job."""
        with self._lock:
            self._finish(request_id, outcome)

    def _finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> None:
        self._tickets.pop(request_id, None)
        self._dispatcher.finish(request_id, outcome, self._clock.now_s())
        self._run_due()

    def _run_due(self) -> None:
        for decision in self._dispatcher.place(self._clock.now_s()):
            ticket = self._tickets[decision.request_id]
            if isinstance(decision, messages.Placement):
                _log_placement(ticket.job, decision)
                ticket.placed.set_result(decision)
            elif isinstance(decision, messages.Refusal):
                del self._tickets[decision.request_id]
                ticket.placed.set_exception(_refuse(ticket.job, decision))
            else:
                ticket.preempted = decision


def _log_placement(job: messages.Job, placement: messages.Placement) -> None:
    logs.decision(
        "place",
        request_id=job.request_id,
        workspace=job.workspace,
        class_id=job.class_id,
        rank=job.rank,
        service=job.service,
        endpoint=placement.endpoint,
        candidates=placement.candidates,
        reason=placement.reason,
        wait_s=round(placement.wait_s, 4),
        attempt=job.attempts,
    )


def _refuse(
    job: messages.Job, refusal: messages.Refusal
) -> errors.RefusedError:
    logs.decision(
        "refuse",
        request_id=job.request_id,
        workspace=job.workspace,
        class_id=job.class_id,
        rank=job.rank,
        service=job.service,
        kind=refusal.kind.value,
        reason=refusal.detail,
        retry_after_s=refusal.retry_after_s,
    )
    # A job that was placed before and is given up while it waits for another
    # run may have run: only the first wait can end in "not run".
    return errors.RefusedError(
        refusal.kind,
        refusal.detail,
        retry_after_s=refusal.retry_after_s,
        not_run=not job.may_have_run,
    )
