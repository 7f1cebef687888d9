"""What a dispatcher is told: documents, endpoints, loads, other instances."""

from collections import abc
import dataclasses

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import policies
from cardamombarrow.decisions import roster
from cardamombarrow.decisions import waiting
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Knowledge"]


class Knowledge:
    """The policies in force, and all that they go by."""

    def __init__(self, context: context_module.PolicyContext, now_s: float):
        self._context = context
        self._policies = policies.Policies(context)
        self._roster = roster.Roster(context, self._policies)
        self._waiting = waiting.WaitingJobs()
        self.configure(context.document, now_s)

    def configure(self, document: schema.Document, now_s: float) -> None:
        """Takes a newer document into force.

        Endpoints that are no longer listed get no new work; what runs on them
        goes on.
        """
        self._context = dataclasses.replace(self._context, document=document)
        self._policies.configure(self._context, now_s)
        self._roster.configure(document, now_s)
        self.refresh_shares(now_s)

    def set_found(
        self, found: tuple[messages.KnownEndpoint, ...], now_s: float
    ) -> None:
        """Takes the endpoints that discovery knows, beside the document's."""
        self._roster.set_found(found, now_s)
        self.refresh_shares(now_s)

    def set_instances(self, count: int) -> None:
        """Learns how many instances share what is bounded over all."""
        self._context.fleet.update_instances(count)

    def refresh_shares(self, now_s: float) -> None:
        """Works out this instance's slots on every endpoint."""
        self._roster.refresh_shares(self.demand(now_s), now_s)

    def report(
        self,
        endpoint: ids.EndpointId,
        report: messages.LoadReport,
    ) -> None:
        """Takes an endpoint's load report."""
        self._roster.report(endpoint, report)

    def hear_rate_limit(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        *,
        first_hand: bool = True,
    ) -> messages.RateLimit | None:
        """Takes what an endpoint states of the rate that it takes.

        Args:
            endpoint: Who stated it.
            limit: What it stated.
            first_hand: Whether this instance had the answer itself.

        Returns:
            What held before, where the limit has changed; otherwise None.
        """
        limits = self._context.rate_limits
        before = limits.hear(endpoint, limit, first_hand=first_hand)
        if before is not None:
            self._roster.rate_limit_changed(endpoint)
        return before

    def rate_limit_changed(self, endpoint: ids.EndpointId) -> None:
        """Looks again at an endpoint's service, as its limit has changed."""
        self._roster.rate_limit_changed(endpoint)

    def rate_limit(self, endpoint: ids.EndpointId) -> messages.RateLimit | None:
        """Returns the limit that an endpoint states; None without one."""
        return self._context.rate_limits.limit(endpoint)

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Takes the platform's or a peer's word that an endpoint leaves."""
        self._roster.set_leaving(endpoint, leaving)

    def peer(self, demand: messages.PeerDemand) -> None:
        """Takes another instance's demand."""
        self._roster.peer(demand)

    def forget_peer(self, instance: ids.InstanceId) -> None:
        """Drops an instance that has left."""
        self._roster.forget_peer(instance)

    def demand(self, now_s: float) -> messages.PeerDemand:
        """Returns what this instance asks for, to be gossiped."""
        return self._roster.demand(self._waiting.demand, now_s)

    def kept_news(self, now_s: float) -> list[messages.CacheAnnouncement]:
        """Returns what is new about engines' caches, for the others."""
        return self._policies.choice.take_announcements(now_s)

    def hear_kept(
        self, news: abc.Iterable[messages.CacheAnnouncement], now_s: float
    ) -> None:
        """Takes what other instances know of engines' caches."""
        self._policies.choice.merge_announcements(news, now_s)

    def quarantine_marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and seconds left, for gossip."""
        return self._policies.quarantine.marks(now_s)

    def merge_quarantine(
        self, marks: dict[ids.Fingerprint, float], now_s: float
    ) -> None:
        """Takes fingerprints that another instance quarantined."""
        self._policies.quarantine.merge(marks, now_s)

    def set_others(
        self,
        instance: ids.InstanceId,
        loads: abc.Mapping[ids.EndpointId, messages.PeerLoad],
    ) -> None:
        """Takes what another deciding instance has on some endpoints."""
        self._roster.set_others(instance, loads)

    def forget_others(self, instance: ids.InstanceId) -> None:
        """Drops what an instance had told that is heard of no longer."""
        self._roster.forget_others(instance)

    def own_loads(
        self, now_s: float
    ) -> dict[ids.EndpointId, messages.PeerLoad]:
        """Returns what this instance has on endpoints, to be told."""
        return {
            state.endpoint: state.own_load(now_s)
            for state in self._roster.endpoints.values()
            if state.running
        }

    def learn_from(self, other: "Knowledge", now_s: float) -> None:
        """Takes what another dispatcher of the same process knows."""
        self._roster.learn_from(other._roster, now_s)
        self.merge_quarantine(other.quarantine_marks(now_s), now_s)
        self.refresh_shares(now_s)

    def endpoints(self) -> list[endpoint_module.EndpointState]:
        """Returns all known endpoints."""
        return list(self._roster.endpoints.values())
