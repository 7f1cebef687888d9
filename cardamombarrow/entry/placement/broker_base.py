"""Base of the broker: the locked dispatcher, its timer and its state updates.

Updates of documents, endpoints, loads and other instances arrive here.
`broker_statements` adds what endpoints state, `broker_quarantine` requests that
crash endpoints, and `broker` the handling of requests.
"""

import abc
import dataclasses
import math
import random
import threading
import time

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.decisions.limiting import rate_limits as rate_limits_module
from cardamombarrow.decisions.limiting import rejections as rejections_module
from cardamombarrow.document import schema
from cardamombarrow.entry.placement import decision_lines
from cardamombarrow.entry.placement import remote_placer as remote_placer_module
from cardamombarrow.entry.placement import ticket as ticket_module
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["BrokerBase", "EndpointView"]

SHARE_REFRESH_S = 0.25
"""Interval at which this instance's slots are recomputed while jobs wait.

Peers' demand and load reports arrive about once a second; four updates in
that time follow them closely enough. Without waiting jobs the slots are
recomputed when the next job arrives.
"""


@dataclasses.dataclass(frozen=True)
class EndpointView:
    """The state of an endpoint as one entry knows it.

    Attributes:
        running: This entry's requests on it.
        share: Slots of it that this entry may use.
        report_age_s: Age of its last load report in seconds; None without one.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    domain: ids.DomainId
    leaving: bool
    running: int
    share: int
    report_age_s: float | None


class BrokerBase(lifecycle.Part):
    """A dispatcher whose state is updated from several threads."""

    def __init__(
        self,
        document: schema.Document,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        time_source: clock.Clock,
        retries: context_module.RetryBounds | None = None,
        rate_limits: rate_limits_module.RateLimits | None = None,
        whole_domain: bool = False,
        overload: overload_module.OverloadControl | None = None,
        rejection_limits: rejections_module.RejectionLimits | None = None,
    ):
        self._clock = time_source
        self._context = context = context_module.PolicyContext(
            document,
            instance,
            domain,
            random.Random(),
            retries or context_module.RetryBounds(),
            rate_limits=rate_limits or rate_limits_module.RateLimits(),
            overload=overload or overload_module.OverloadControl(),
            started_s=time_source.now_s(),
            whole_domain=whole_domain,
            rejection_limits=rejection_limits
            or rejections_module.RejectionLimits(),
        )
        self._remote_placer: remote_placer_module.RemotePlacer = (
            remote_placer_module.NoRemotePlacer()
        )
        self._domain_broker: BrokerBase | None = None
        self._dispatcher = core.Dispatcher(context, time_source.now_s())
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._wake_s = 0.0
        self._refreshed_s = -math.inf
        self._stopped = False
        self._tickets: dict[ids.RequestId, ticket_module.Ticket] = {}
        self._thread = background.supervised_thread(self._run_timer, "broker")

    def start(self) -> None:
        """Starts the timer."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the timer."""
        with self._lock:
            self._stopped = True
            self._wake.notify()
        self._thread.join()
        if self._domain_broker is not None:
            self._domain_broker.stop()

    def set_remote_placer(
        self, remote_placer: remote_placer_module.RemotePlacer
    ) -> None:
        """Sets the placer to be asked from now on."""
        self._remote_placer = remote_placer

    def for_domain(self) -> "BrokerBase":
        """Returns a started broker for all requests of the domain.

        It is built at the first call from this broker's documents, endpoints
        and quarantined requests, and receives the same updates afterwards.
        """
        if self._domain_broker is None:
            context = self._context
            domain_broker = type(self)(
                context.document,
                context.instance,
                context.domain,
                self._clock,
                context.retries,
                rate_limits=context.rate_limits,
                whole_domain=True,
                overload=context.overload,
                rejection_limits=context.rejection_limits,
            )
            with self._lock:
                now_s = self._clock.now_s()
                domain_broker._dispatcher.copy_from(self._dispatcher, now_s)
                self._domain_broker = domain_broker
            domain_broker.start()
        return self._domain_broker

    def _run_timer(self) -> None:
        while self._sleep():
            try:
                self._look()
            except Exception as error:
                # Without the timer thread, waiting requests would get no
                # answer at their deadlines while the entry goes on serving.
                logs.event("broker timer failed", "ERROR", detail=repr(error))
                time.sleep(SHARE_REFRESH_S)

    def _look(self) -> None:
        with self._lock:
            self._refresh_shares(self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)

    def _refresh_shares(self, now_s: float) -> None:
        """Recomputes this instance's slots if they are out of date."""
        if now_s >= self._refreshed_s + SHARE_REFRESH_S:
            self._refreshed_s = now_s
            self._dispatcher.refresh_shares(now_s)

    def _sleep(self) -> bool:
        """Waits until something is due; returns False once stopped."""
        with self._lock:
            while not self._stopped:
                self._wake_s = self._next_s()
                wait_s = self._wake_s - self._clock.now_s()
                if wait_s <= 0.0:
                    return True
                self._wake.wait(None if math.isinf(wait_s) else wait_s)
            return False

    def _next_s(self) -> float:
        """Returns when something is due; infinity while nothing waits."""
        due_s = self._dispatcher.next_s()
        if due_s is None:
            return math.inf
        if self._dispatcher.has_queued_jobs():
            return min(due_s, self._refreshed_s + SHARE_REFRESH_S)
        return due_s

    def _wake_if_earlier(self) -> None:
        """Wakes the timer if something is due before its next wake-up."""
        if self._next_s() < self._wake_s:
            self._wake.notify()

    def configure(self, document: schema.Document) -> None:
        """Puts a newer document into force."""
        with self._lock:
            self._context = dataclasses.replace(
                self._context, document=document
            )
            self._dispatcher.configure(document, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)
        if self._domain_broker is not None:
            self._domain_broker.configure(document)

    def set_discovered(self, found: tuple[messages.KnownEndpoint, ...]) -> None:
        """Sets the endpoints found by discovery."""
        with self._lock:
            self._dispatcher.set_discovered(found, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)
        if self._domain_broker is not None:
            self._domain_broker.set_discovered(found)

    def set_doubted(self, doubted: frozenset[ids.EndpointId]) -> None:
        """Sets the endpoints that may run other software than listed."""
        with self._lock:
            self._dispatcher.set_doubted(doubted, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)
        if self._domain_broker is not None:
            self._domain_broker.set_doubted(doubted)

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the global bounds."""
        with self._lock:
            self._dispatcher.set_instances(count)

    def set_new(self) -> None:
        """Records that no earlier process of this instance used its parts."""
        with self._lock:
            self._dispatcher.set_new()

    def views(self) -> list[EndpointView]:
        """Returns the known state of each endpoint, for operators."""
        now_s = self._clock.now_s()
        with self._lock:
            self._refresh_shares(now_s)
            return [
                EndpointView(
                    endpoint=state.endpoint,
                    service=state.service,
                    domain=state.domain,
                    leaving=self._dispatcher.is_leaving(state),
                    running=len(state.running),
                    share=state.share,
                    report_age_s=None
                    if state.report is None
                    else round(now_s - state.report.measured_at_s, 3),
                )
                for state in self._dispatcher.endpoints()
            ]

    def endpoints_in_use(self) -> dict[ids.ServiceId, list[ids.EndpointId]]:
        """Returns the endpoints that may get requests, by service."""
        with self._lock:
            return self._dispatcher.reachable_endpoints()

    def software_of(self, endpoint: ids.EndpointId) -> ids.SoftwareVersion:
        """Returns the software version of an endpoint; empty if unknown."""
        with self._lock:
            return self._dispatcher.software_of(endpoint)

    def may_exit(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint is leaving, or is no longer known."""
        with self._lock:
            return self._dispatcher.may_exit(endpoint)

    def reachable_again(self, service: ids.ServiceId) -> None:
        """Drops the failures of endpoints that this entry could not connect."""
        with self._lock:
            self._dispatcher.reachable_again(service)
            lines = self._run_due()
        decision_lines.write(lines)
        if self._domain_broker is not None:
            self._domain_broker.reachable_again(service)

    def lacks_endpoints(self) -> bool:
        """Returns whether there are services but no endpoint of any."""
        with self._lock:
            has_services = bool(self._context.document.services)
            return has_services and not self._dispatcher.endpoints()

    def report(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Records an endpoint's load report."""
        with self._lock:
            self._dispatcher.report(endpoint, report)
        if self._domain_broker is not None:
            self._domain_broker.report(endpoint, report)

    def slow(self) -> int:
        """Counts the endpoints that are known to be slow."""
        with self._lock:
            return self._dispatcher.count_slow_endpoints(self._clock.now_s())

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Marks an endpoint as leaving, or as available again."""
        with self._lock:
            self._dispatcher.set_leaving(endpoint, leaving)
        if self._domain_broker is not None:
            self._domain_broker.set_leaving(endpoint, leaving)

    def now_s(self) -> float:
        """Returns the time by which decisions are made."""
        return self._clock.now_s()

    def in_flight(self, endpoint: ids.EndpointId) -> list[messages.Job]:
        """Returns the jobs that run on an endpoint now."""
        with self._lock:
            return [
                running.job
                for state in self._dispatcher.endpoints()
                if state.endpoint == endpoint
                for running in state.running.values()
            ]

    def demand(self) -> messages.PeerDemand:
        """Returns this instance's demand, to be gossiped."""
        with self._lock:
            return self._dispatcher.demand(self._clock.now_s())

    def update_peer(self, demand: messages.PeerDemand) -> None:
        """Records another instance's demand."""
        with self._lock:
            self._dispatcher.update_peer(demand)

    def remove_peer(self, instance: ids.InstanceId) -> None:
        """Drops an instance that has left."""
        with self._lock:
            self._dispatcher.remove_peer(instance)

    def take_cache_announcements(self) -> list[messages.CacheAnnouncement]:
        """Returns changes in engines' caches, to be sent to other instances."""
        with self._lock:
            return self._dispatcher.take_cache_announcements(
                self._clock.now_s()
            )

    def merge_cache_announcements(
        self, news: list[messages.CacheAnnouncement]
    ) -> None:
        """Records changes in engines' caches that other instances report."""
        with self._lock:
            self._dispatcher.merge_cache_announcements(
                news, self._clock.now_s()
            )
        if self._domain_broker is not None:
            self._domain_broker.merge_cache_announcements(news)

    @abc.abstractmethod
    def _run_due(self) -> list[decision_lines.DecisionLine]:
        """Carries out the decisions that are due; returns what to log."""
