"""The dispatcher: puts the policies together, in pure code.

An arriving job goes quarantine -> admission -> queue; `place` then takes jobs
out in the queue's order while there is room, and picks an endpoint for each.
The entry wraps one dispatcher in a lock; benchmarks drive it in virtual time.
"""

import dataclasses
import typing

from cardamombarrow.decisions import base
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.document import schema
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["POLICY_MODULES", "Dispatcher"]

POLICY_MODULES = ("cardamombarrow.decisions.baselines",)
"""Modules whose import registers the policies."""

PEER_VIEW_MAX_AGE_S = 10.0
"""A peer not heard for this long counts as not there."""

SERVICE_TIME_WEIGHT = 0.05
"""Weight of one finished job in the mean time that a job holds a slot."""

FIRST_SERVICE_S = 1.0
"""Mean time that a job holds a slot, before any has finished."""


class _Policies:
    """One policy object per slot, rebuilt when its name changes."""

    queue: base.Queue
    admission: base.Admission
    limits: base.Limits
    choice: base.Choice
    shares: base.Shares
    retry: base.Retry
    quarantine: base.Quarantine
    spill: base.Spill
    preemption: base.PreemptionPolicy
    estimate: base.Estimate

    def __init__(self, context: base.PolicyContext):
        self._names = context.document.policies
        for field in dataclasses.fields(schema.Policies):
            self._build(field.name, context)

    def _build(self, slot: str, context: base.PolicyContext) -> None:
        cls = registry.lookup(slot, getattr(context.document.policies, slot))
        setattr(self, slot, cls(context))

    def configure(self, context: base.PolicyContext, now_s: float) -> None:
        """Takes a newer document; a renamed policy starts afresh."""
        new = context.document.policies
        for field in dataclasses.fields(schema.Policies):
            slot = field.name
            if getattr(new, slot) == getattr(self._names, slot):
                getattr(self, slot).configure(context.document)
                continue
            waiting = list(self.queue.jobs()) if slot == "queue" else []
            self._build(slot, context)
            for job in waiting:
                self.queue.push(job, now_s)
        self._names = new


class Dispatcher:
    """All decisions of one instance."""

    def __init__(self, context: base.PolicyContext, now_s: float):
        registry.load(*POLICY_MODULES)
        self._context = context
        self._policies = _Policies(context)
        self._endpoints: dict[
            ids.EndpointId, endpoint_module.EndpointState
        ] = {}
        self._running: dict[ids.RequestId, messages.Running] = {}
        self._peers: dict[ids.InstanceId, messages.PeerDemand] = {}
        self._service_s: dict[ids.ServiceId, float] = {}
        self._retries: list[messages.Job] = []
        self.configure(context.document, now_s)

    # -- what is known -----------------------------------------------------

    def configure(self, document: schema.Document, now_s: float) -> None:
        """Takes a newer document into force.

        Endpoints that are no longer listed get no new work; what runs on them
        goes on.
        """
        self._context = dataclasses.replace(self._context, document=document)
        self._policies.configure(self._context, now_s)
        listed = {}
        for service in document.services.values():
            for domain, endpoints in service.endpoints.items():
                for endpoint in endpoints:
                    listed[endpoint] = (service, domain)
        for endpoint, (service, domain) in listed.items():
            state = self._endpoints.get(endpoint)
            if state is None:
                self._endpoints[endpoint] = endpoint_module.EndpointState(
                    endpoint,
                    service.service,
                    domain,
                    service.slots_per_endpoint,
                )
            else:
                state.configured_slots = service.slots_per_endpoint
        for endpoint in set(self._endpoints) - set(listed):
            state = self._endpoints[endpoint]
            state.leaving = True
            if not state.running:
                del self._endpoints[endpoint]
        self.refresh_shares(now_s)

    def refresh_shares(self, now_s: float) -> None:
        """Works out this instance's slots on every endpoint."""
        own = self.demand(now_s)
        for state in self._endpoints.values():
            peers = self._peers_of(state.domain, now_s)
            limit = self._policies.limits.limit(state, now_s)
            state.share = self._policies.shares.share(
                state, limit, own, peers, now_s
            )

    def _peers_of(
        self, domain: ids.DomainId, now_s: float
    ) -> list[messages.PeerDemand]:
        if domain != self._context.domain:
            return []
        oldest_s = now_s - PEER_VIEW_MAX_AGE_S
        return [p for p in self._peers.values() if p.seen_at_s >= oldest_s]

    def report(
        self,
        endpoint: ids.EndpointId,
        report: messages.LoadReport,
    ) -> None:
        """Takes an endpoint's load report."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.report = report
            state.leaving = state.leaving or report.leaving

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Takes the platform's or a peer's word that an endpoint leaves."""
        state = self._endpoints.get(endpoint)
        if state is not None:
            state.leaving = leaving

    def peer(self, demand: messages.PeerDemand) -> None:
        """Takes another instance's demand."""
        self._peers[demand.instance] = demand

    def forget_peer(self, instance: ids.InstanceId) -> None:
        """Drops an instance that has left."""
        self._peers.pop(instance, None)

    def demand(self, now_s: float) -> messages.PeerDemand:
        """Returns what this instance asks for, to be gossiped."""
        demand: dict[ids.ServiceId, float] = {}
        for job in self._policies.queue.jobs():
            demand[job.service] = demand.get(job.service, 0.0) + 1.0
        for running in self._running.values():
            service = running.job.service
            demand[service] = demand.get(service, 0.0) + 1.0
        in_flight = {
            state.endpoint: len(state.running)
            for state in self._endpoints.values()
            if state.running
        }
        return messages.PeerDemand(
            self._context.instance, demand, in_flight, now_s
        )

    def quarantine_marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and seconds left, for gossip."""
        return self._policies.quarantine.marks(now_s)

    def merge_quarantine(
        self, marks: dict[ids.Fingerprint, float], now_s: float
    ) -> None:
        """Takes fingerprints that another instance quarantined."""
        self._policies.quarantine.merge(marks, now_s)

    def endpoints(self) -> list[endpoint_module.EndpointState]:
        """Returns all known endpoints."""
        return list(self._endpoints.values())

    # -- a job's life --------------------------------------------------------

    def offer(self, job: messages.Job, now_s: float) -> messages.Refusal | None:
        """Takes an arriving job into the queue, or refuses it at once."""
        job.expected_tokens = self._policies.estimate.expected_tokens(job)
        if not any(s.service == job.service for s in self._endpoints.values()):
            return messages.Refusal(
                job.request_id,
                errors.ErrorKind.NO_ENDPOINT,
                f"no endpoint serves {job.service}",
                FIRST_SERVICE_S,
            )
        reason = self._policies.quarantine.refuse(job, now_s)
        if reason is not None:
            return messages.Refusal(
                job.request_id, errors.ErrorKind.QUARANTINED, reason, None
            )
        backlog = self.backlog(job)
        reason = self._policies.admission.refuse(job, backlog, now_s)
        if reason is not None:
            return self._refusal(
                job, errors.ErrorKind.OVERLOADED, reason, backlog
            )
        self._policies.queue.push(job, now_s)
        return None

    def withdraw(self, request_id: ids.RequestId) -> bool:
        """Takes a queued job out, because its caller left."""
        return self._policies.queue.remove(request_id) is not None

    def place(self, now_s: float) -> typing.Iterator[messages.Decision]:
        """Yields every decision that is due now."""
        yield from self._give_up(now_s)
        room = _Room(self, now_s)
        while True:
            job = self._policies.queue.take(room, now_s)
            if job is None:
                break
            yield self._send(job, room.candidates(job), now_s)

    def _give_up(self, now_s: float) -> typing.Iterator[messages.Refusal]:
        for job in list(self._policies.queue.jobs()):
            backlog = self.backlog(job)
            reason = self._policies.admission.give_up(job, backlog, now_s)
            if reason is not None:
                self._policies.queue.remove(job.request_id)
                yield self._refusal(
                    job, errors.ErrorKind.QUEUE_TIMEOUT, reason, backlog
                )

    def _refusal(
        self,
        job: messages.Job,
        kind: errors.ErrorKind,
        reason: str,
        backlog: messages.Backlog,
    ) -> messages.Refusal:
        retry_after_s = self._policies.retry.retry_after_s(backlog)
        return messages.Refusal(job.request_id, kind, reason, retry_after_s)

    def _send(
        self,
        job: messages.Job,
        candidates: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> messages.Placement:
        state, reason = self._policies.choice.choose(job, candidates, now_s)
        job.attempts += 1
        running = messages.Running(job, state.endpoint, now_s)
        state.running[job.request_id] = running
        self._running[job.request_id] = running
        if state.domain != self._context.domain:
            self._policies.spill.on_place(job, state, now_s)
        return messages.Placement(
            request_id=job.request_id,
            endpoint=state.endpoint,
            wait_s=now_s - job.arrived_s,
            candidates=tuple(candidate.endpoint for candidate in candidates),
            reason=reason,
        )

    def first_token(self, request_id: ids.RequestId, now_s: float) -> None:
        """Learns that a placed job's first token came."""
        running = self._running.get(request_id)
        if running is None or running.first_token_s is not None:
            return
        running.first_token_s = now_s
        state = self._endpoints[running.endpoint]
        self._policies.limits.on_first_token(state, running, now_s)
        self._policies.choice.on_first_token(state, running, now_s)

    def progress(self, request_id: ids.RequestId, tokens: int) -> None:
        """Learns how many tokens of a placed job were relayed so far."""
        running = self._running.get(request_id)
        if running is not None:
            running.tokens = tokens

    def finish(
        self,
        request_id: ids.RequestId,
        outcome: messages.Outcome,
        now_s: float,
    ) -> None:
        """Releases a placed job's slot and learns from its end."""
        running = self._running.pop(request_id)
        job = running.job
        state = self._endpoints[running.endpoint]
        del state.running[request_id]
        self._policies.limits.on_finish(state, running, outcome, now_s)
        self._policies.choice.on_finish(state, running, outcome, now_s)
        self._policies.retry.on_finish(job, outcome)
        self._policies.quarantine.on_finish(job, outcome, now_s)
        if outcome is messages.Outcome.DONE:
            self._policies.estimate.learn(job, running.tokens)
            held_s = now_s - running.placed_s
            mean_s = self._service_s.get(job.service, held_s)
            self._service_s[job.service] = mean_s + SERVICE_TIME_WEIGHT * (
                held_s - mean_s
            )
            return
        job.tried = (*job.tried, running.endpoint)
        job.may_have_run = job.may_have_run or not outcome.not_run

    def crashed(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Learns that an endpoint died while these jobs ran on it."""
        self._policies.quarantine.on_crash(endpoint, suspects, now_s)

    def retry(
        self,
        job: messages.Job,
        outcome: messages.Outcome,
        now_s: float,
    ) -> bool:
        """Queues a failed job again, if that is allowed and of use."""
        if self._policies.quarantine.refuse(job, now_s) is not None:
            return False
        if not self._policies.retry.may_retry(job, outcome, now_s):
            return False
        self._policies.queue.push(job, now_s)
        return True

    def backlog(self, job: messages.Job) -> messages.Backlog:
        """Returns what stands before a job in its own domain."""
        slots = sum(
            state.share
            for state in self._endpoints.values()
            if state.service == job.service
            and state.domain == self._context.domain
            and not state.leaving
        )
        ahead = self._policies.queue.jobs_ahead(job)
        service_s = self._service_s.get(job.service, FIRST_SERVICE_S)
        wait_s = ahead * service_s / max(slots, 1)
        return messages.Backlog(ahead, slots, service_s, wait_s)

    def candidates(
        self, job: messages.Job, now_s: float
    ) -> list[endpoint_module.EndpointState]:
        """Returns the endpoints with a slot that a job may take now."""
        local = [
            state
            for state in self._endpoints.values()
            if state.service == job.service
            and not state.leaving
            and state.free_slots > 0
        ]
        backlog = self.backlog(job)
        allowed = [
            state
            for state in local
            if state.domain == self._context.domain
            or self._policies.spill.allow(job, state, backlog, now_s)
        ]
        untried = [s for s in allowed if s.endpoint not in job.tried]
        return untried or allowed


class _Room(base.Room):
    """The dispatcher's free slots at one moment."""

    def __init__(self, dispatcher: Dispatcher, now_s: float):
        self._dispatcher = dispatcher
        self._now_s = now_s

    def candidates(
        self, job: messages.Job
    ) -> list[endpoint_module.EndpointState]:
        """Returns the endpoints with a slot that the job may take."""
        return self._dispatcher.candidates(job, self._now_s)
