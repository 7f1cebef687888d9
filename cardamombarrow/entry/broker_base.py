"""Base of the broker: the locked dispatcher, its timer and its state updates.

Updates of documents, endpoints, loads and other instances arrive here.
`broker` adds the handling of requests.
"""

import abc
import collections
from collections import abc as collections_abc
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
from cardamombarrow.entry import decision_lines
from cardamombarrow.entry import remote_placer as remote_placer_module
from cardamombarrow.entry import ticket as ticket_module
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

MAX_INVALID_LOGGED = 2_048
"""Pairs of endpoint and field that are remembered as logged: some three fields
for each endpoint of the largest deployment."""

MAX_OWN_SUSPECTS = 128
"""Reports of suspects that this instance keeps publishing: crashes are rare."""

_ANSWER = "answer"


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
            whole_domain=whole_domain,
            rejection_limits=rejection_limits
            or rejections_module.RejectionLimits(),
        )
        self._rejection_pauses: dict[
            ids.EndpointId, messages.RejectionPause
        ] = {}
        self._invalid_fields: collections.Counter[str] = collections.Counter()
        self._invalid_logged: set[tuple[ids.EndpointId, str]] = set()
        self._remote_placer: remote_placer_module.RemotePlacer = (
            remote_placer_module.NoRemotePlacer()
        )
        self._on_suspects: collections_abc.Callable[[], None] = lambda: None
        self._own_suspects: collections.deque[messages.SuspectReport] = (
            collections.deque(maxlen=MAX_OWN_SUSPECTS)
        )
        self._on_departure: collections_abc.Callable[[ids.EndpointId], None] = (
            lambda _: None
        )
        self._domain_broker: BrokerBase | None = None
        self._dispatcher = core.Dispatcher(context, time_source.now_s())
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._wake_s = 0.0
        self._refreshed_s = -math.inf
        self._stopped = False
        self._tickets: dict[ids.RequestId, ticket_module.Ticket] = {}
        self._thread = threading.Thread(
            target=self._run_timer, name="broker", daemon=True
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
        if self._domain_broker is not None:
            self._domain_broker.stop()

    def set_departure_listener(
        self, on_departure: collections_abc.Callable[[ids.EndpointId], None]
    ) -> None:
        """Sets what is called when an endpoint states its departure."""
        self._on_departure = on_departure

    def set_suspect_listener(
        self, on_suspects: collections_abc.Callable[[], None]
    ) -> None:
        """Sets what is called when this instance has reports of suspects."""
        self._on_suspects = on_suspects

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

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the global bounds."""
        with self._lock:
            self._dispatcher.set_instances(count)

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

    def has_endpoints(self) -> bool:
        """Returns whether any endpoint is known."""
        with self._lock:
            return bool(self._dispatcher.endpoints())

    def report(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Records an endpoint's load report."""
        with self._lock:
            self._dispatcher.report(endpoint, report)
        if self._domain_broker is not None:
            self._domain_broker.report(endpoint, report)

    def answer_statement(
        self,
        endpoint: ids.EndpointId,
        statement: messages.EndpointStatement,
        request_id: ids.RequestId,
    ) -> None:
        """Records what an endpoint states in its answer to a request."""
        for field in statement.invalid_fields:
            self._record_invalid(endpoint, field, request_id)
        if statement.load is not None:
            self.report(endpoint, statement.load)
            self._remote_placer.load_reported(endpoint, statement.load)
        if statement.rate_limit is not None:
            self._record_rate_limit(endpoint, statement.rate_limit, _ANSWER)
        if statement.rejection_limit is not None:
            self._record_rejection_limit(endpoint, statement.rejection_limit)
        pause_s = statement.pause_s
        if statement.rejected:
            pause_s = max(pause_s, self._record_rejection(endpoint))
        if pause_s > 0.0:
            self._record_pause(endpoint, pause_s, request_id)
        if statement.leaving:
            self._record_departure(endpoint, request_id)

    def _record_rejection_limit(
        self, endpoint: ids.EndpointId, limit: messages.RejectionLimit
    ) -> None:
        now_s = self._clock.now_s()
        if self._context.rejection_limits.update(endpoint, limit, now_s):
            logs.decision(
                "rejection limit", endpoint=endpoint, per_s=limit.per_s
            )

    def _record_rejection(self, endpoint: ids.EndpointId) -> float:
        """Records a rejection; returns the pause after it, in seconds."""
        limits = self._context.rejection_limits
        now_s = self._clock.now_s()
        if not limits.is_stated(endpoint, now_s):
            return 0.0
        with self._lock:
            domains = {each.domain for each in self._dispatcher.endpoints()}
        pause_s = limits.reject(endpoint, len(domains), now_s)
        self._rejection_pauses[endpoint] = messages.RejectionPause(
            now_s + pause_s, limits.limit_per_s(endpoint, now_s)
        )
        return pause_s

    def rejection_pauses(
        self,
    ) -> dict[ids.EndpointId, messages.RejectionPause]:
        """Returns the pauses after rejections of this instance's requests."""
        now_s = self._clock.now_s()
        for endpoint, pause in list(self._rejection_pauses.items()):
            if pause.until_s <= now_s:
                self._rejection_pauses.pop(endpoint, None)
        return dict(self._rejection_pauses)

    def merge_rejection_pause(
        self,
        endpoint: ids.EndpointId,
        pause: messages.RejectionPause,
        instance: ids.InstanceId,
    ) -> None:
        """Applies the pause after a rejection of another instance's request."""
        limit = messages.RejectionLimit(pause.limit_per_s)
        self._record_rejection_limit(endpoint, limit)
        left_s = pause.until_s - self._clock.now_s()
        if left_s > 0.0:
            self.pause_reported(endpoint, left_s, instance)
            if self._domain_broker is not None:
                self._domain_broker.pause_reported(endpoint, left_s, instance)

    def _record_invalid(
        self, endpoint: ids.EndpointId, field: str, request_id: ids.RequestId
    ) -> None:
        """Counts a field that can't be parsed; logs it once per endpoint."""
        with self._lock:
            self._invalid_fields[field] += 1
            logged = self._invalid_logged
            is_new = (endpoint, field) not in logged
            if len(logged) >= MAX_INVALID_LOGGED:
                logged.clear()
            logged.add((endpoint, field))
        if is_new:
            logs.event(
                "statement invalid",
                "WARNING",
                endpoint=endpoint,
                field=field,
                request_id=request_id,
            )

    def invalid_fields(self) -> dict[str, int]:
        """Returns how many fields of endpoints' answers could not be parsed."""
        with self._lock:
            return dict(self._invalid_fields)

    def _record_pause(
        self,
        endpoint: ids.EndpointId,
        pause_s: float,
        request_id: ids.RequestId,
    ) -> None:
        prolonged = self._pause(endpoint, pause_s, request_id)
        logs.decision(
            "pause",
            endpoint=endpoint,
            request_id=request_id,
            pause_s=pause_s,
            prolonged=prolonged,
        )
        if prolonged:
            self._remote_placer.pause_reported(endpoint, pause_s)

    def _pause(
        self,
        endpoint: ids.EndpointId,
        pause_s: float,
        request_id: ids.RequestId,
    ) -> bool:
        with self._lock:
            now_s = self._clock.now_s()
            prolonged = self._dispatcher.pause(
                endpoint, now_s + pause_s, request_id, now_s
            )
            lines = self._run_due()
        decision_lines.write(lines)
        return prolonged

    def pause_reported(
        self,
        endpoint: ids.EndpointId,
        pause_s: float,
        instance: ids.InstanceId,
    ) -> None:
        """Records a pause for which an endpoint has asked an entry."""
        if self._pause(endpoint, pause_s, ids.RequestId("")):
            logs.decision(
                "pause",
                endpoint=endpoint,
                source=f"instance {instance}",
                pause_s=round(pause_s, 3),
            )

    def pauses_left_s(self) -> dict[ids.EndpointId, float]:
        """Returns the remaining time of each pause, in seconds."""
        now_s = self._clock.now_s()
        pauses = self._context.restrictions.pauses(now_s)
        return {
            endpoint: until_s - now_s for endpoint, until_s in pauses.items()
        }

    def may_send(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint accepts requests of this instance."""
        return self._dispatcher.may_send(endpoint, self._clock.now_s())

    def is_paused(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint has asked for a pause."""
        return self._context.restrictions.is_paused(
            endpoint, self._clock.now_s()
        )

    def _record_departure(
        self, endpoint: ids.EndpointId, request_id: ids.RequestId
    ) -> None:
        with self._lock:
            now_s = self._clock.now_s()
            is_new = self._dispatcher.depart(endpoint, request_id, now_s)
        if is_new:
            logs.decision("departure", endpoint=endpoint, request_id=request_id)
            self._on_departure(endpoint)

    def update_rate_limit(
        self, endpoint: ids.EndpointId, limit: messages.RateLimit, source: str
    ) -> bool:
        """Records an endpoint's rate limit that another instance reports.

        Returns:
            Whether the limit changed.
        """
        return self._record_rate_limit(endpoint, limit, source)

    def _record_rate_limit(
        self, endpoint: ids.EndpointId, limit: messages.RateLimit, source: str
    ) -> bool:
        before = self._context.rate_limits.update(
            endpoint, limit, is_direct=source == _ANSWER
        )
        if before is None:
            return False
        self.rate_limit_changed(endpoint)
        if self._domain_broker is not None:
            self._domain_broker.rate_limit_changed(endpoint)
        logs.decision(
            "rate limit",
            endpoint=endpoint,
            per_s=limit.per_s,
            before_per_s=before.per_s,
            source=source,
            age_s=round(self._clock.now_s() - limit.received_s, 3),
            delegate=self._context.rate_limits.is_delegate,
        )
        return True

    def rate_limit_changed(self, endpoint: ids.EndpointId) -> None:
        """Re-evaluates an endpoint whose rate limit has changed."""
        with self._lock:
            self._dispatcher.rate_limit_changed(endpoint)

    def rate_limits_to_announce(
        self,
    ) -> dict[ids.EndpointId, messages.RateLimit]:
        """Returns the rate limits to be reported to the domain's instances."""
        return self._context.rate_limits.to_announce(self._clock.now_s())

    def set_delegate(self, is_delegate: bool) -> None:
        """Sets whether this instance uses its domain's share of rate limits."""
        if self._context.rate_limits.set_delegate(is_delegate):
            logs.event(
                "rate limits are managed"
                + (" here" if is_delegate else " by another instance")
            )

    def rate_limited(self) -> int:
        """Counts the endpoints that state a rate limit."""
        return self._context.rate_limits.count()

    def paused(self) -> int:
        """Counts the endpoints that have asked for a pause."""
        return len(self.pauses_left_s())

    def brittle(self) -> int:
        """Counts the endpoints that limit their rejections."""
        return self._context.rejection_limits.count(self._clock.now_s())

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
        """Records that an endpoint crashed while these jobs ran on it.

        One that has fallen over for its rejections makes no job a suspect.
        """
        if self._context.rejection_limits.may_have_fallen(
            endpoint, self._clock.now_s()
        ):
            logs.event("endpoint fell over", "WARNING", endpoint=endpoint)
            return
        self._update_quarantine(
            lambda now_s: self._dispatcher.crashed(endpoint, suspects, now_s),
            f"crash of {endpoint}",
        )
        self._share_suspects()

    def _update_quarantine(
        self, update: collections_abc.Callable[[float], None], source: str
    ) -> None:
        """Updates what is quarantined, and refuses what waits of it."""
        with self._lock:
            now_s = self._clock.now_s()
            before = self._dispatcher.quarantine_marks(now_s)
            update(now_s)
            after = self._dispatcher.quarantine_marks(now_s)
            withdrawn: list[ids.RequestId] = []
            lines: list[decision_lines.DecisionLine] = []
            if after.keys() - before.keys():
                withdrawn = self._dispatcher.refuse_quarantined(now_s)
                lines = self._run_due()
        for request_id in withdrawn:
            self._remote_placer.withdraw(request_id)
        decision_lines.write(lines)
        for fingerprint in after.keys() ^ before.keys():
            is_new = fingerprint in after
            logs.decision(
                "quarantine" if is_new else "quarantine ended",
                fingerprint=fingerprint,
                left_s=round(after.get(fingerprint, 0.0), 3),
                source=source,
            )

    def _share_suspects(self) -> None:
        """Passes this instance's new reports of suspects on."""
        with self._lock:
            reports = self._dispatcher.take_suspect_reports()
            self._own_suspects.extend(reports)
        if not reports:
            return
        if self._domain_broker is not None:
            self._domain_broker.merge_suspects(reports)
        self._on_suspects()

    def own_suspects(self) -> list[messages.SuspectReport]:
        """Returns this instance's latest reports of suspects."""
        with self._lock:
            return list(self._own_suspects)

    def merge_suspects(
        self, reports: collections_abc.Sequence[messages.SuspectReport]
    ) -> None:
        """Adds other instances' reports of suspects."""
        instances = sorted({report.instance for report in reports})
        self._update_quarantine(
            lambda now_s: self._dispatcher.merge_suspect_reports(
                reports, now_s
            ),
            f"reports of {', '.join(instances)}",
        )
        if self._domain_broker is not None:
            self._domain_broker.merge_suspects(reports)

    def suspect_counts(self) -> tuple[int, int]:
        """Counts the suspects and the quarantined requests."""
        with self._lock:
            marks = self._dispatcher.quarantine_marks(self._clock.now_s())
            return self._dispatcher.suspect_count(), len(marks)

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

    def quarantine_marks(self) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their seconds left."""
        with self._lock:
            return self._dispatcher.quarantine_marks(self._clock.now_s())

    def merge_quarantine(self, marks: dict[ids.Fingerprint, float]) -> None:
        """Adds fingerprints that another instance quarantined."""
        self._update_quarantine(
            lambda now_s: self._dispatcher.merge_quarantine(marks, now_s),
            "another instance",
        )
        if self._domain_broker is not None:
            self._domain_broker.merge_quarantine(marks)

    @abc.abstractmethod
    def _run_due(self) -> list[decision_lines.DecisionLine]:
        """Carries out the decisions that are due; returns what to log."""
