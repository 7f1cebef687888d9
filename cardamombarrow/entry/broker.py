"""The dispatcher behind a lock: threads wait here for a place.

Each request's thread hands in a job and waits on a future. Whenever a job
arrives, a slot is released, or something that waits is due, the decisions are
carried out by resolving the futures of the jobs that they concern.
"""

from concurrent import futures
import dataclasses
import random
import threading
import time

from cardamombarrow.decisions import base
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.entry import decision_lines
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["Broker", "EndpointView", "Ticket"]

SHARES_S = 0.25
"""Time between two looks at this instance's slots.

Peers' demand and load reports come about once a second; four looks within
that time follow them closely enough.
"""


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


@dataclasses.dataclass(frozen=True)
class EndpointView:
    """What one entry believes of an endpoint.

    Attributes:
        running: This entry's requests on it.
        share: Slots of it that this entry may use.
        report_age_s: Age of its last load report; None without one.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    leaving: bool
    running: int
    share: int
    report_age_s: float | None


class Broker(lifecycle.Part):
    """One dispatcher, shared by the threads of an entry."""

    def __init__(
        self,
        document: schema.Document,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        time_source: clock.Clock,
        retries: base.RetryBounds | None = None,
    ):
        self._clock = time_source
        context = base.PolicyContext(
            document,
            instance,
            domain,
            random.Random(),
            retries or base.RetryBounds(),
        )
        self._dispatcher = core.Dispatcher(context, time_source.now_s())
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._wake_s = 0.0
        self._stopped = False
        self._tickets: dict[ids.RequestId, Ticket] = {}
        self._thread = threading.Thread(
            target=self._tick, name="broker", daemon=True
        )

    def start(self) -> None:
        """Starts the timer."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the timer."""
        with self._lock:
            self._stopped = True
            self._wake.notify()
        self._thread.join()

    def _tick(self) -> None:
        shares_s = self._clock.now_s()
        while self._sleep(shares_s):
            now_s = self._clock.now_s()
            refresh = now_s >= shares_s
            if refresh:
                shares_s = now_s + SHARES_S
            try:
                self._look(refresh, now_s)
            except Exception as error:
                # Without its timer an entry would go on serving, but nobody
                # who waits would be answered at a deadline.
                logs.event("timer failed", "ERROR", detail=repr(error))
                time.sleep(SHARES_S)

    def _look(self, refresh: bool, now_s: float) -> None:
        with self._lock:
            if refresh:
                self._dispatcher.refresh_shares(now_s)
            lines = self._run_due()
        decision_lines.write(lines)

    def _sleep(self, until_s: float) -> bool:
        """Waits until something is due; returns False at the stop."""
        with self._lock:
            while not self._stopped:
                due_s = self._dispatcher.next_s()
                self._wake_s = until_s if due_s is None else min(due_s, until_s)
                wait_s = self._wake_s - self._clock.now_s()
                if wait_s <= 0.0:
                    return True
                self._wake.wait(wait_s)
            return False

    def _wake_if_earlier(self) -> None:
        """Wakes the timer where what has come is due before its wake-up."""
        due_s = self._dispatcher.next_s()
        if due_s is not None and due_s < self._wake_s:
            self._wake.notify()

    def configure(self, document: schema.Document) -> None:
        """Takes a newer document into force."""
        with self._lock:
            self._dispatcher.configure(document, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)

    def set_found(self, found: tuple[messages.KnownEndpoint, ...]) -> None:
        """Takes the endpoints that discovery knows."""
        with self._lock:
            self._dispatcher.set_found(found, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)

    def set_instances(self, count: int) -> None:
        """Learns how many instances share what is bounded over all."""
        with self._lock:
            self._dispatcher.set_instances(count)

    def views(self) -> list[EndpointView]:
        """Returns what is believed of each endpoint, for operators."""
        now_s = self._clock.now_s()
        with self._lock:
            return [
                EndpointView(
                    endpoint=state.endpoint,
                    service=state.service,
                    domain=state.domain,
                    leaving=state.leaving,
                    running=len(state.running),
                    share=state.share,
                    report_age_s=None
                    if state.report is None
                    else round(now_s - state.report.measured_at_s, 3),
                )
                for state in self._dispatcher.endpoints()
            ]

    def has_endpoints(self) -> bool:
        """Tells whether any endpoint is known."""
        with self._lock:
            return bool(self._dispatcher.endpoints())

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

    def in_flight(self, endpoint: ids.EndpointId) -> list[messages.Job]:
        """Returns the jobs that run on an endpoint now."""
        with self._lock:
            return [
                running.job
                for state in self._dispatcher.endpoints()
                if state.endpoint == endpoint
                for running in state.running.values()
            ]

    def crashed(
        self, endpoint: ids.EndpointId, suspects: list[messages.Job]
    ) -> None:
        """Tells that an endpoint died while these jobs ran on it."""
        with self._lock:
            now_s = self._clock.now_s()
            self._dispatcher.crashed(endpoint, suspects, now_s)

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

    def kept_news(self) -> list[messages.KeptNews]:
        """Returns what is new about engines' caches, for the others."""
        with self._lock:
            return self._dispatcher.kept_news(self._clock.now_s())

    def hear_kept(self, news: list[messages.KeptNews]) -> None:
        """Takes what other instances know of engines' caches."""
        with self._lock:
            self._dispatcher.hear_kept(news, self._clock.now_s())

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
            if refusal is None:
                self._tickets[job.request_id] = ticket
                lines = self._run_due()
                self._wake_if_earlier()
        if refusal is not None:
            decision_lines.write([decision_lines.Line(job, refusal)])
            raise _refused(job, refusal)
        decision_lines.write(lines)
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
            attempts = job.attempts
            lines = self._run_due()
            self._wake_if_earlier()
        logs.decision(
            "retry",
            request_id=job.request_id,
            outcome=outcome.value,
            attempts=attempts,
            tried=job.tried,
        )
        decision_lines.write(lines)
        return again

    def may_redo(self, job: messages.Job) -> bool:
        """Tells whether a running job could be sent elsewhere now."""
        with self._lock:
            return self._dispatcher.may_redo(job, self._clock.now_s())

    def withdraw(self, ticket: Ticket) -> None:
        """Takes a job back whose caller left before it saw its place.

        The caller may leave at the moment when the job is placed. Decisions
        are carried out under the lock, so the job either waits still, or its
        future tells what became of it; a placed one is finished here, because
        nobody else will: its slot would be lost until a restart.
        """
        lines: list[decision_lines.Line] = []
        with self._lock:
            request_id = ticket.job.request_id
            if self._dispatcher.withdraw(request_id):
                del self._tickets[request_id]
            elif not ticket.placed.exception(timeout=0):
                lines = self._finish(request_id, messages.Outcome.CALLER_GONE)
        decision_lines.write(lines)

    def first_token(self, request_id: ids.RequestId) -> None:
        """Tells that the first token came."""
        with self._lock:
            self._dispatcher.first_token(request_id, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)

    def progress(self, request_id: ids.RequestId, tokens: int) -> None:
        """Tells how many tokens were relayed so far."""
        self._dispatcher.progress(request_id, tokens)

    def finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> None:
        """Releases the slot of a placed job."""
        with self._lock:
            lines = self._finish(request_id, outcome)
        decision_lines.write(lines)

    def _finish(
        self, request_id: ids.RequestId, outcome: messages.Outcome
    ) -> list[decision_lines.Line]:
        self._tickets.pop(request_id, None)
        self._dispatcher.finish(request_id, outcome, self._clock.now_s())
        return self._run_due()

    def _run_due(self) -> list[decision_lines.Line]:
        """Carries out the decisions that are due; returns what to log."""
        lines = []
        for decision in self._dispatcher.place(self._clock.now_s()):
            ticket = self._tickets[decision.request_id]
            lines.append(
                decision_lines.Line(ticket.job, decision, ticket.job.attempts)
            )
            if isinstance(decision, messages.Placement):
                ticket.placed.set_result(decision)
            elif isinstance(decision, messages.Refusal):
                del self._tickets[decision.request_id]
                ticket.placed.set_exception(_refused(ticket.job, decision))
            else:
                ticket.preempted = decision
        return lines


def _refused(
    job: messages.Job, refusal: messages.Refusal
) -> errors.RefusedError:
    # A job that was placed before and is given up while it waits for another
    # run may have run: only the first wait can end in "not run".
    return errors.RefusedError(
        refusal.kind,
        refusal.detail,
        retry_after_s=refusal.retry_after_s,
        not_run=not job.may_have_run,
    )
