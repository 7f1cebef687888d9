"""One instance's view of the endpoints and of the other instances.

The endpoints that take work are grouped by service and by local or remote
domain, so that a decision considers only those of its own service.
"""

from collections import abc
import dataclasses

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import policies as policies_module
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.decisions.limiting import rate_budget
from cardamombarrow.decisions.queueing import lateness
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = ["Roster"]

PEER_VIEW_MAX_AGE_S = 600.0
"""A peer without news for this long no longer counts.

A peer that has left is dropped by `remove_peer`. A peer that is only cut off
goes on using its slots: if it were dropped within seconds, all peers would
use the whole limit.
"""


class Roster:
    """The endpoints, this instance's slots on them, and its peers.

    Attributes:
        endpoints: All known endpoints, also those that take no new work.
        capacities: This instance's slots by service.
        changed: Services with changes since their last check.
        rate_budget: The rates that may be sent to endpoints with rate limits.
        lateness: Predicts whether jobs can still meet their targets.
        doubted: Endpoints that may run other software than listed.
    """

    def __init__(
        self,
        context: context_module.PolicyContext,
        policies: policies_module.Policies,
    ):
        self._context = context
        self._policies = policies
        self._peers: dict[ids.InstanceId, messages.PeerDemand] = {}
        self._unlisted: set[ids.EndpointId] = set()
        self._departed: set[ids.EndpointId] = set()
        self._discovered: tuple[messages.KnownEndpoint, ...] = ()
        self.endpoints: dict[ids.EndpointId, endpoint_module.EndpointState] = {}
        self.capacities: dict[ids.ServiceId, capacity_module.Capacity] = {}
        self.changed: set[ids.ServiceId] = set()
        self.doubted: frozenset[ids.EndpointId] = frozenset()
        self.rate_budget = rate_budget.RateBudget(
            context.rate_limits, context.domain
        )
        self.lateness = lateness.Lateness(self._expected_first_token_s)

    def configure(self, document: schema.Document, now_s: float) -> None:
        """Applies a newer document.

        Endpoints that are no longer listed get no new work; requests running
        on them continue.
        """
        self._context = dataclasses.replace(self._context, document=document)
        self._update_endpoints(now_s)

    def set_discovered(
        self, found: tuple[messages.KnownEndpoint, ...], now_s: float
    ) -> None:
        """Sets the endpoints from discovery, in addition to the document's."""
        self._discovered = found
        self._update_endpoints(now_s)

    def copy_from(self, other: "Roster", now_s: float) -> None:
        """Copies the endpoints and loads of another view."""
        self.set_discovered(other._discovered, now_s)
        self.set_doubted(other.doubted)
        for endpoint, state in other.endpoints.items():
            if state.leaving:
                self.set_leaving(endpoint, True)
            if state.report is not None:
                self.report(endpoint, state.report)

    def _listed(self) -> dict[ids.EndpointId, messages.KnownEndpoint]:
        services = self._context.document.services
        listed = {
            endpoint: messages.KnownEndpoint(
                endpoint, service.service, domain, service.slots_per_endpoint
            )
            for service in services.values()
            for domain, endpoints in service.endpoints.items()
            for endpoint in endpoints
        }
        for known in self._discovered:
            service = services.get(known.service)
            if service is not None:
                slots = known.slots or service.slots_per_endpoint
                listed[known.endpoint] = dataclasses.replace(known, slots=slots)
        return listed

    def _update_endpoints(self, now_s: float) -> None:
        document = self._context.document
        listed = self._listed()
        for endpoint, known in listed.items():
            state = self.endpoints.get(endpoint)
            if state is None:
                self.endpoints[endpoint] = endpoint_module.EndpointState(
                    endpoint,
                    known.service,
                    known.domain,
                    known.slots,
                    known.software,
                )
            else:
                state.configured_slots = known.slots
                state.software = known.software
                if endpoint in self._unlisted:
                    state.leaving = False
        self._unlisted -= set(listed)
        for endpoint in set(self.endpoints) - set(listed):
            state = self.endpoints[endpoint]
            state.leaving = True
            self._unlisted.add(endpoint)
            if not state.running:
                del self.endpoints[endpoint]
                self._unlisted.discard(endpoint)
                self._policies.choice.on_endpoint_removed(endpoint)
        for service in {*document.services, *self.capacities}:
            self._capacity(service, now_s).set_initial_hold_times(
                document.classes
            )
            self._regroup(service)

    def _capacity(
        self, service: ids.ServiceId, now_s: float
    ) -> capacity_module.Capacity:
        capacity = self.capacities.get(service)
        if capacity is None:
            capacity = capacity_module.Capacity(
                service, self._context.domain, now_s
            )
            self.capacities[service] = capacity
        return capacity

    def _regroup(self, service: ids.ServiceId) -> None:
        """Groups a service's endpoints that take work by domain."""
        open_states = [
            state
            for state in self.endpoints.values()
            if state.service == service
            and not state.leaving
            and state.endpoint not in self._departed
        ]
        own = self._context.domain
        joins = self._policies.spill.joins_domains
        self.capacities[service].set_endpoints(
            [state for state in open_states if joins or state.domain == own],
            [
                state
                for state in open_states
                if not joins and state.domain != own
            ],
        )
        self.changed.add(service)

    def refresh_shares(self, own: messages.PeerDemand, now_s: float) -> None:
        """Recomputes this instance's slots on every endpoint."""
        self._end_departures(now_s)
        oldest_s = now_s - PEER_VIEW_MAX_AGE_S
        peers = [p for p in self._peers.values() if p.seen_at_s >= oldest_s]
        for state in self.endpoints.values():
            share = self._share(state, own, peers, now_s)
            share = min(share, self._max_connections(state.service, share))
            capacity = self.capacities[state.service]
            if self._is_paused(state, now_s):
                state.share = 0
            else:
                state.share = self.rate_budget.share(state, share, capacity)
        for capacity in self.capacities.values():
            capacity.count()
        self.changed.update(self.capacities)

    def depart(self, endpoint: ids.EndpointId) -> None:
        """Takes an endpoint out of use that states its departure.

        Unlike `set_leaving`, no other source can undo it.
        """
        self._departed.add(endpoint)
        state = self.endpoints.get(endpoint)
        if state is not None:
            self._regroup(state.service)

    def _end_departures(self, now_s: float) -> None:
        restrictions = self._context.restrictions
        for endpoint in list(self._departed):
            if restrictions.is_leaving(endpoint, now_s):
                continue
            self._departed.discard(endpoint)
            state = self.endpoints.get(endpoint)
            if state is not None:
                self._regroup(state.service)

    def is_leaving(self, state: endpoint_module.EndpointState) -> bool:
        """Returns whether an endpoint gets no new requests."""
        return state.leaving or state.endpoint in self._departed

    def _share(
        self,
        state: endpoint_module.EndpointState,
        own: messages.PeerDemand,
        peers: abc.Sequence[messages.PeerDemand],
        now_s: float,
    ) -> int:
        limit = self._policies.limits.limit(state, now_s)
        if self._context.whole_domain:
            return limit
        is_local = state.domain == self._context.domain
        return self._policies.shares.share(
            state, limit, own, peers if is_local else [], now_s
        )

    def _max_connections(self, service: ids.ServiceId, share: int) -> int:
        """Returns how many connections this instance may have to an endpoint.

        Each request has a connection of its own. Above its bound an endpoint
        resets connections, including those with a request, which may have
        run. Slots are split within a domain only: in a burst the instances of
        all domains together could exceed the bound.
        """
        known = self._context.document.services.get(service)
        if known is None or not known.max_connections:
            return share
        if self._context.whole_domain:
            domains = {state.domain for state in self.endpoints.values()}
            return max(known.max_connections // max(len(domains), 1), 1)
        return self._context.fleet.integer_part_of(known.max_connections)

    def reachable(
        self, service: ids.ServiceId
    ) -> list[endpoint_module.EndpointState]:
        """Returns the endpoints that could take a job of a service."""
        capacity = self.capacities.get(service)
        if capacity is None:
            return []
        if self._policies.spill.crosses_domains:
            return [*capacity.local, *capacity.remote]
        return capacity.local

    def _is_paused(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> bool:
        return self._context.restrictions.is_paused(state.endpoint, now_s)

    def available(
        self,
        states: list[endpoint_module.EndpointState],
        now_s: float,
    ) -> list[endpoint_module.EndpointState]:
        """Returns those endpoints that have not asked for a pause."""
        if not self._context.restrictions.any_paused(now_s):
            return states
        return [state for state in states if not self._is_paused(state, now_s)]

    def paused(
        self, service: ids.ServiceId, now_s: float
    ) -> list[ids.EndpointId]:
        """Returns the reachable endpoints that have asked for a pause."""
        if not self._context.restrictions.any_paused(now_s):
            return []
        return [
            state.endpoint
            for state in self.reachable(service)
            if self._is_paused(state, now_s)
        ]

    def pause_wait_s(
        self,
        states: abc.Collection[endpoint_module.EndpointState],
        now_s: float,
    ) -> float:
        """Returns the time until an endpoint's pause ends; 0 if one has none.

        Args:
            states: The endpoints that could run a job.
            now_s: The time.
        """
        restrictions = self._context.restrictions
        if not states or not restrictions.any_paused(now_s):
            return 0.0
        end_s = min(
            restrictions.of(state.endpoint).paused_until_s for state in states
        )
        return max(end_s - now_s, 0.0)

    def set_doubted(
        self, doubted: frozenset[ids.EndpointId]
    ) -> set[ids.ServiceId]:
        """Sets the endpoints in doubt; returns the services concerned."""
        changed = doubted ^ self.doubted
        self.doubted = doubted
        services = {
            state.service
            for endpoint in changed
            if (state := self.endpoints.get(endpoint)) is not None
        }
        self.changed.update(services)
        return services

    def may_run(
        self, job: messages.Job, state: endpoint_module.EndpointState
    ) -> bool:
        """Returns whether an endpoint's software may run a job."""
        is_doubted = job.required_software and state.endpoint in self.doubted
        return job.may_run_on(state.software) and not is_doubted

    def with_required_software(
        self, job: messages.Job, states: list[endpoint_module.EndpointState]
    ) -> list[endpoint_module.EndpointState]:
        """Returns the endpoints whose software may run a job."""
        if job.required_software is None:
            return states
        return [state for state in states if self.may_run(job, state)]

    def pause(self, endpoint: ids.EndpointId) -> None:
        """Takes away the slots of an endpoint that has asked for a pause."""
        state = self.endpoints.get(endpoint)
        if state is not None:
            state.share = 0
            self.capacities[state.service].count()
            self.changed.add(state.service)

    def rate_limit_changed(self, endpoint: ids.EndpointId) -> None:
        """Marks the service of an endpoint as changed."""
        state = self.endpoints.get(endpoint)
        if state is not None:
            self.changed.add(state.service)

    def report(
        self,
        endpoint: ids.EndpointId,
        report: messages.LoadReport,
    ) -> None:
        """Records an endpoint's load report."""
        state = self.endpoints.get(endpoint)
        if state is not None:
            state.report = report
            if report.work_time_factor is not None:
                self._context.overload.record_work_time(state.service)
            self._policies.choice.on_report(state, report)
            if report.leaving and not state.leaving:
                self.set_leaving(endpoint, True)

    def set_peer_loads(
        self,
        instance: ids.InstanceId,
        loads: abc.Mapping[ids.EndpointId, messages.PeerLoad],
    ) -> None:
        """Records the load of another deciding instance on endpoints."""
        for endpoint, load in loads.items():
            state = self.endpoints.get(endpoint)
            if state is None:
                continue
            state.set_peer_load(instance, load if load.ranks else None)
            self.changed.add(state.service)

    def remove_peer_loads(self, instance: ids.InstanceId) -> None:
        """Drops the load of an instance that no longer reports."""
        for state in self.endpoints.values():
            if state.set_peer_load(instance, None):
                self.changed.add(state.service)

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Records whether the platform or a peer says an endpoint leaves."""
        state = self.endpoints.get(endpoint)
        if state is not None and state.leaving != leaving:
            state.leaving = leaving
            self._regroup(state.service)

    def update_peer(self, demand: messages.PeerDemand) -> None:
        """Records another instance's demand."""
        self._peers[demand.instance] = demand

    def remove_peer(self, instance: ids.InstanceId) -> None:
        """Drops an instance that has left."""
        self._peers.pop(instance, None)

    def demand(
        self, jobs: abc.Mapping[ids.ServiceId, int], now_s: float
    ) -> messages.PeerDemand:
        """Returns the demand of this instance, for gossip.

        Args:
            jobs: Waiting and running jobs by service.
            now_s: The time.
        """
        in_flight = {
            state.endpoint: len(state.running)
            for state in self.endpoints.values()
            if state.running
        }
        demand = {name: float(count) for name, count in jobs.items() if count}
        return messages.PeerDemand(
            self._context.instance, demand, in_flight, now_s
        )

    def orders_late_jobs(self, service: ids.ServiceId) -> bool:
        """Returns whether late jobs of a service go behind the others."""
        return self._context.overload.orders_by_prefill

    def prefill_tokens_per_s(self, job: messages.Job, now_s: float) -> float:
        """Returns the prefill rate that this instance has for a job."""
        states = self.available(self.reachable(job.service), now_s)
        return self._policies.choice.prefill_tokens_per_s(job, states, now_s)

    def _expected_first_token_s(self, job: messages.Job, now_s: float) -> float:
        states = self.available(self.capacities[job.service].local, now_s)
        return self._policies.choice.expected_first_token_s(job, states, now_s)
