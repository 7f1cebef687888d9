"""Places the requests of all entries of a domain: the answering side.

Each connected entry is an owner. Its questions and running requests are stored
per owner, so that all of them can be released when the entry disconnects: a
slot that is never released would look taken until a restart.
"""

from collections import abc

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import ticket as ticket_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.placing import messages as placing_messages

__all__ = ["Owner", "Placer"]

MOST_OPEN = 1_024
"""Maximum of waiting and running requests per owner: twice the connections
that an entry serves at once."""

Send = abc.Callable[[placing_messages.Answer | placing_messages.Queued], None]


class Owner:
    """An entry whose requests are placed here.

    Attributes:
        epoch: Increases with each stream that the instance opens.
        tickets: Its requests that wait here or run by a decision made here.
        runs: Its requests that run by a decision of the entry itself.
    """

    def __init__(self, instance: ids.InstanceId, epoch: int, send: Send):
        self.instance = instance
        self.epoch = epoch
        self.send = send
        self.tickets: dict[ids.RequestId, ticket_module.Ticket] = {}
        self.runs: set[ids.RequestId] = set()

    @property
    def is_full(self) -> bool:
        """Whether it has the maximum number of requests here."""
        return len(self.tickets) + len(self.runs) >= MOST_OPEN


class Placer:
    """Decides for all owners; all methods run on the loop thread."""

    def __init__(
        self,
        broker: abc.Callable[[], broker_module.Broker],
        post: abc.Callable[[abc.Callable[[], None]], None],
    ):
        """Builds the placer.

        Args:
            broker: Returns the broker for the whole domain; called when the
                first owner joins.
            post: Schedules a call on the loop thread.
        """
        self._open_broker = broker
        self._post = post
        self._broker: broker_module.Broker | None = None
        self._owners: dict[ids.InstanceId, Owner] = {}

    @property
    def owners(self) -> int:
        """The number of connected entries."""
        return len(self._owners)

    def join(
        self, instance: ids.InstanceId, epoch: int, send: Send
    ) -> Owner | None:
        """Adds an entry; returns None if a later stream of it is connected.

        A silent link may still be open when its entry has reconnected. The new
        stream reports all running requests again.
        """
        known = self._owners.get(instance)
        if known is not None:
            if known.epoch >= epoch:
                return None
            self.leave(known)
        if self._broker is None:
            self._broker = self._open_broker()
        owner = Owner(instance, epoch, send)
        self._owners[instance] = owner
        logs.event(
            "entry joined placer",
            instance=instance,
            owners=len(self._owners),
        )
        return owner

    def leave(self, owner: Owner) -> None:
        """Removes an entry that disconnected, and all its requests."""
        if self._owners.get(owner.instance) is not owner:
            return
        del self._owners[owner.instance]
        held = len(owner.tickets) + len(owner.runs)
        for request_id in list(owner.tickets):
            self.withdrawn(owner, request_id)
        for request_id in list(owner.runs):
            self.ended(owner, request_id, messages.Outcome.CALLER_GONE, 0)
        logs.event("entry left placer", instance=owner.instance, held=held)

    def handle_question(self, owner: Owner, job: messages.Job) -> None:
        """Handles a question; the answer is sent to the owner."""
        refusal = None
        if owner.is_full or job.request_id in owner.tickets:
            refusal = messages.Refusal(
                job.request_id,
                errors.ErrorKind.NOT_READY,
                f"{len(owner.tickets)} requests of the entry are at the placer",
                None,
                check=errors.RefusalCheck.PLACER,
            )
        else:
            try:
                ticket = self._broker.submit(job)
            except errors.RefusedError as error:
                refusal = _refusal(job, error)
        if refusal is not None:
            owner.send(placing_messages.Answer(refusal))
            return
        owner.tickets[job.request_id] = ticket
        ticket.on_preempted = lambda decision: self._post(
            lambda: owner.send(placing_messages.Answer(decision))
        )
        if not ticket.placed.done():
            owner.send(placing_messages.Queued(job.request_id))
        ticket.placed.add_done_callback(
            lambda _: self._post(lambda: self._answer(owner, ticket))
        )

    def _answer(self, owner: Owner, ticket: ticket_module.Ticket) -> None:
        job = ticket.job
        if owner.tickets.get(job.request_id) is not ticket:
            return
        error = ticket.placed.exception()
        if error is None:
            answer = placing_messages.Answer(
                ticket.placed.result(), job.unread_tokens, job.expected_tokens
            )
        else:
            del owner.tickets[job.request_id]
            answer = placing_messages.Answer(_refusal(job, error))
        owner.send(answer)

    def run(self, owner: Owner, run: placing_messages.Run) -> None:
        """Records a request that its entry placed by its own decision."""
        if owner.is_full or run.job.request_id in owner.tickets:
            return
        if self._broker.add_remote_run(run):
            owner.runs.add(run.job.request_id)

    def first_token_received(
        self, owner: Owner, request_id: ids.RequestId
    ) -> None:
        """Records that a request's first event has arrived."""
        if request_id in owner.tickets or request_id in owner.runs:
            self._broker.first_token(request_id)

    def ended(
        self,
        owner: Owner,
        request_id: ids.RequestId,
        outcome: messages.Outcome,
        tokens: int,
    ) -> None:
        """Records that a request's run on its endpoint has ended."""
        if request_id in owner.runs:
            owner.runs.discard(request_id)
        else:
            ticket = owner.tickets.pop(request_id, None)
            if ticket is None:
                return
            if not ticket.placed.done():
                self._broker.withdraw(ticket)
                return
            if ticket.placed.exception() is not None:
                return
        self._broker.progress(request_id, tokens)
        self._broker.finish(request_id, outcome)

    def withdrawn(self, owner: Owner, request_id: ids.RequestId) -> None:
        """Withdraws a request that its entry no longer wants placed."""
        ticket = owner.tickets.pop(request_id, None)
        if ticket is None:
            return
        if ticket.placed.done() and ticket.placed.exception() is not None:
            return
        self._broker.withdraw(ticket)

    def own_loads(self) -> dict[ids.EndpointId, messages.PeerLoad]:
        """Returns the load from decisions made here; empty without owners."""
        return self._broker.own_loads() if self._owners else {}

    def set_peer_loads(
        self,
        instance: ids.InstanceId,
        loads: dict[ids.EndpointId, messages.PeerLoad],
    ) -> None:
        """Sets the load that another domain's placer has on endpoints."""
        if self._broker is not None:
            self._broker.set_peer_loads(instance, loads)

    def remove_peer_loads(self, instance: ids.InstanceId) -> None:
        """Drops the load of a placer that no longer reports."""
        if self._broker is not None:
            self._broker.remove_peer_loads(instance)

    def load_reported(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Records the load report that came with an answer to an entry."""
        self._broker.report(endpoint, report)

    def pause_reported(
        self, owner: Owner, endpoint: ids.EndpointId, pause_s: float
    ) -> None:
        """Records that an endpoint has asked an entry for a pause.

        It turns away the requests of the other entries, too.
        """
        self._broker.pause_reported(endpoint, pause_s, owner.instance)


def _refusal(job: messages.Job, error: BaseException) -> messages.Refusal:
    if isinstance(error, ticket_module.JobRefusedError):
        return error.refusal
    if not isinstance(error, errors.RefusedError):
        return messages.Refusal(
            job.request_id, errors.ErrorKind.NOT_READY, repr(error), None
        )
    return messages.Refusal(
        job.request_id,
        error.kind,
        error.detail,
        error.retry_after_s,
        check=error.check,
    )
