"""Inputs of a dispatcher: documents, endpoints, loads, other instances."""

from collections import abc
import dataclasses

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import policies
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.decisions.fleet import roster
from cardamombarrow.decisions.queueing import waiting
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["DispatcherState"]


class DispatcherState:
    """The policies in force and the state on which they decide."""

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        self._context = context
        self._policies = policies.Policies(context)
        self._roster = roster.Roster(context, self._policies)
        self._waiting = waiting.WaitingJobs()
        self.configure(context.document, now_s)

    def configure(self, document: schema.Document, now_s: float) -> None:
        """Applies a newer document.

        Endpoints that are no longer listed get no new requests; those running
        on them continue.
        """
        self._context = dataclasses.replace(self._context, document=document)
        self._policies.configure(self._context, now_s)
        self._roster.configure(document, now_s)
        self.refresh_shares(now_s)

    def set_discovered(
        self, found: tuple[messages.KnownEndpoint, ...], now_s: float
    ) -> None:
        """Sets the discovered endpoints, in addition to the document's."""
        self._roster.set_discovered(found, now_s)
        self.refresh_shares(now_s)

    def software_of(self, endpoint: ids.EndpointId) -> ids.SoftwareVersion:
        """Returns the software version of an endpoint; empty if unknown."""
        state = self._roster.endpoints.get(endpoint)
        return ids.UNKNOWN_SOFTWARE if state is None else state.software

    def set_doubted(
        self, doubted: frozenset[ids.EndpointId], now_s: float
    ) -> None:
        """Sets the endpoints that may run other software than listed.

        They get no job that requires a version; waiting ones are checked.
        """
        services = self._roster.set_doubted(doubted)
        for job in self._policies.queue.jobs():
            if job.required_software and job.service in services:
                self._waiting.schedule_check(job, now_s)

    def set_instances(self, count: int) -> None:
        """Sets how many instances share the limits on the whole fleet."""
        self._context.fleet.update_instances(count)

    def set_new(self) -> None:
        """Records that no earlier process of this instance used its parts."""
        self._context.fleet.is_new = True

    def refresh_shares(self, now_s: float) -> None:
        """Recomputes this instance's slots on every endpoint."""
        self._roster.refresh_shares(self.demand(now_s), now_s)

    def report(
        self,
        endpoint: ids.EndpointId,
        report: messages.LoadReport,
    ) -> None:
        """Stores an endpoint's load report."""
        self._roster.report(endpoint, report)

    def count_slow_endpoints(self, now_s: float) -> int:
        """Counts the endpoints that are known to be slow."""
        return self._policies.choice.count_slow_endpoints(now_s)

    def rate_limit_changed(self, endpoint: ids.EndpointId) -> None:
        """Updates an endpoint's service after a change of its rate limit."""
        self._roster.rate_limit_changed(endpoint)

    def rate_limit(self, endpoint: ids.EndpointId) -> messages.RateLimit | None:
        """Returns the rate limit that an endpoint advertises, or None."""
        return self._context.rate_limits.limit(endpoint)

    def pause(
        self,
        endpoint: ids.EndpointId,
        until_s: float,
        request_id: ids.RequestId,
        now_s: float,
    ) -> bool:
        """Pauses an endpoint; returns whether that prolongs its pause.

        Args:
            endpoint: The endpoint.
            until_s: End of the pause.
            request_id: Request whose answer asked for it; empty if another
                instance received the answer.
            now_s: The time.
        """
        prolonged = self._context.restrictions.pause(
            endpoint, until_s, request_id
        )
        if prolonged:
            self._roster.pause(endpoint)
            self._check_if_none_is_available(endpoint, now_s)
        return prolonged

    def _check_if_none_is_available(
        self, endpoint: ids.EndpointId, now_s: float
    ) -> None:
        """Schedules a check of the jobs that no endpoint can take now."""
        state = self._roster.endpoints.get(endpoint)
        if state is None:
            return
        reachable = self._roster.reachable(state.service)
        if not self._roster.pause_wait_s(reachable, now_s):
            return
        for job in self._policies.queue.jobs():
            if job.service == state.service:
                self._waiting.schedule_check(job, now_s)

    def depart(
        self,
        endpoint: ids.EndpointId,
        request_id: ids.RequestId,
        now_s: float,
    ) -> bool:
        """Records that an endpoint states its departure to this instance.

        Returns:
            Whether that is new.
        """
        is_new = self._context.restrictions.set_leaving(
            endpoint, now_s, request_id
        )
        if is_new:
            self._roster.depart(endpoint)
        return is_new

    def may_send(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether an endpoint accepts requests of this instance."""
        return self._context.restrictions.allows(endpoint, now_s)

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Sets whether an endpoint is leaving, from the platform or a peer."""
        self._roster.set_leaving(endpoint, leaving)

    def update_peer(self, demand: messages.PeerDemand) -> None:
        """Stores another instance's demand."""
        self._roster.update_peer(demand)

    def remove_peer(self, instance: ids.InstanceId) -> None:
        """Removes an instance that has left."""
        self._roster.remove_peer(instance)

    def demand(self, now_s: float) -> messages.PeerDemand:
        """Returns this instance's demand, for gossip."""
        return self._roster.demand(self._waiting.demand, now_s)

    def take_cache_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns and clears pending cache announcements to other instances."""
        return self._policies.choice.take_announcements(now_s)

    def merge_cache_announcements(
        self, news: abc.Iterable[messages.CacheAnnouncement], now_s: float
    ) -> None:
        """Merges cache announcements from other instances."""
        self._policies.choice.merge_announcements(news, now_s)

    def quarantine_marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their remaining seconds."""
        return self._policies.quarantine.marks(now_s)

    def merge_quarantine(
        self, marks: dict[ids.Fingerprint, float], now_s: float
    ) -> None:
        """Merges fingerprints that another instance quarantined."""
        self._policies.quarantine.merge(marks, now_s)

    def suspect_reports(self, now_s: float) -> list[messages.SuspectReport]:
        """Returns what all instances have observed of suspects."""
        return self._policies.quarantine.reports(now_s)

    def take_suspect_reports(self) -> list[messages.SuspectReport]:
        """Returns this instance's observations since the last call."""
        return self._policies.quarantine.take_own_reports()

    def merge_suspect_reports(
        self, reports: abc.Iterable[messages.SuspectReport], now_s: float
    ) -> None:
        """Merges other instances' observations of suspects."""
        self._policies.quarantine.merge_reports(reports, now_s)

    def review_quarantine(self, now_s: float) -> None:
        """Revises what is quarantined, as far as time alone changes it."""
        self._policies.quarantine.review(now_s)

    def next_quarantine_review_s(self) -> float:
        """Returns when `review_quarantine` is due; infinity for never."""
        return self._policies.quarantine.next_review_s()

    def culprits(self) -> tuple[part_evidence.Culprit, ...]:
        """Returns the parts of prompts that are quarantined."""
        return self._policies.quarantine.culprits()

    def accused_count(self, now_s: float) -> int:
        """Counts the parts of prompts that are accused of several crashes."""
        return self._policies.quarantine.accused_count(now_s)

    def suspect_count(self) -> int:
        """Returns the number of requests that have to run alone."""
        return self._policies.quarantine.suspect_count()

    def set_peer_loads(
        self,
        instance: ids.InstanceId,
        loads: abc.Mapping[ids.EndpointId, messages.PeerLoad],
    ) -> None:
        """Sets the load on endpoints from another placing instance."""
        self._roster.set_peer_loads(instance, loads)

    def remove_peer_loads(self, instance: ids.InstanceId) -> None:
        """Removes the load of an instance that no longer reports."""
        self._roster.remove_peer_loads(instance)

    def own_loads(
        self, now_s: float
    ) -> dict[ids.EndpointId, messages.PeerLoad]:
        """Returns this instance's load by endpoint, to report to others."""
        return {
            state.endpoint: state.own_load(now_s)
            for state in self._roster.endpoints.values()
            if state.running
        }

    def copy_from(self, other: "DispatcherState", now_s: float) -> None:
        """Copies the state of another dispatcher of the same process."""
        self._roster.copy_from(other._roster, now_s)
        self.merge_quarantine(other.quarantine_marks(now_s), now_s)
        self.merge_suspect_reports(other.suspect_reports(now_s), now_s)
        self.refresh_shares(now_s)

    def is_leaving(self, state: endpoint_module.EndpointState) -> bool:
        """Returns whether an endpoint gets no new requests."""
        return self._roster.is_leaving(state)

    def may_exit(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint is leaving, or is no longer known."""
        state = self._roster.endpoints.get(endpoint)
        return state is None or self._roster.is_leaving(state)

    def reachable_again(self, service: ids.ServiceId) -> None:
        """Drops the failures of a service's endpoints: they had no path."""
        for state in self._roster.reachable(service):
            self._policies.choice.on_reachable(state.endpoint)
        self._roster.changed.add(service)

    def reachable_endpoints(
        self,
    ) -> dict[ids.ServiceId, list[ids.EndpointId]]:
        """Returns the endpoints that may get requests, by service."""
        found = {
            service: [
                state.endpoint
                for state in self._roster.reachable(service)
                if not self.is_leaving(state)
            ]
            for service in self._roster.capacities
        }
        return {service: each for service, each in found.items() if each}

    def endpoints(self) -> list[endpoint_module.EndpointState]:
        """Returns all known endpoints."""
        return list(self._roster.endpoints.values())
