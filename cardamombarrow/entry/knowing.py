"""A dispatcher behind a lock, its timer, and what it is told.

What an entry hears of documents, endpoints, loads and other instances comes
here. `broker` adds what happens to requests.
"""

import abc
import dataclasses
import random
import threading
import time

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import core
from cardamombarrow.decisions import messages
from cardamombarrow.decisions import rate_limits as rate_limits_module
from cardamombarrow.document import schema
from cardamombarrow.entry import asking as asking_module
from cardamombarrow.entry import decision_lines
from cardamombarrow.entry import ticket as ticket_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs

__all__ = ["EndpointView", "KnowingBroker"]

SHARES_S = 0.25
"""Time between two looks at this instance's slots.

Peers' demand and load reports come about once a second; four looks within
that time follow them closely enough.
"""


_ANSWER = "answer"


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


class KnowingBroker(lifecycle.Part):
    """A dispatcher that is told things from several threads."""

    def __init__(
        self,
        document: schema.Document,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        time_source: clock.Clock,
        retries: context_module.RetryBounds | None = None,
        rate_limits: rate_limits_module.RateLimits | None = None,
        whole_domain: bool = False,
    ):
        self._clock = time_source
        self._context = context = context_module.PolicyContext(
            document,
            instance,
            domain,
            random.Random(),
            retries or context_module.RetryBounds(),
            rate_limits=rate_limits or rate_limits_module.RateLimits(),
            whole_domain=whole_domain,
        )
        self._asking: asking_module.Asking = asking_module.NobodyAsked()
        self._mirror: KnowingBroker | None = None
        self._dispatcher = core.Dispatcher(context, time_source.now_s())
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._wake_s = 0.0
        self._stopped = False
        self._tickets: dict[ids.RequestId, ticket_module.Ticket] = {}
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
        if self._mirror is not None:
            self._mirror.stop()

    def set_asking(self, asking: asking_module.Asking) -> None:
        """Sets who is asked from now on."""
        self._asking = asking

    def for_domain(self) -> "KnowingBroker":
        """Returns a started broker for all requests of the domain.

        It is built at the first call, knows what this one knows of documents,
        endpoints and quarantined requests, and is told what this one is told.
        """
        if self._mirror is None:
            context = self._context
            mirror = type(self)(
                context.document,
                context.instance,
                context.domain,
                self._clock,
                context.retries,
                rate_limits=context.rate_limits,
                whole_domain=True,
            )
            with self._lock:
                now_s = self._clock.now_s()
                mirror._dispatcher.learn_from(self._dispatcher, now_s)
                self._mirror = mirror
            mirror.start()
        return self._mirror

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
            self._context = dataclasses.replace(
                self._context, document=document
            )
            self._dispatcher.configure(document, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)
        if self._mirror is not None:
            self._mirror.configure(document)

    def set_found(self, found: tuple[messages.KnownEndpoint, ...]) -> None:
        """Takes the endpoints that discovery knows."""
        with self._lock:
            self._dispatcher.set_found(found, self._clock.now_s())
            lines = self._run_due()
        decision_lines.write(lines)
        if self._mirror is not None:
            self._mirror.set_found(found)

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
        if self._mirror is not None:
            self._mirror.report(endpoint, report)

    def answer_load(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Takes the load that came with an endpoint's answer."""
        self.report(endpoint, report)
        self._asking.loaded(endpoint, report)

    def answer_rate_limit(
        self, endpoint: ids.EndpointId, limit: messages.RateLimit
    ) -> None:
        """Takes what an endpoint's answer states of the rate it takes."""
        self._hear_rate_limit(endpoint, limit, _ANSWER)

    def hear_rate_limit(
        self, endpoint: ids.EndpointId, limit: messages.RateLimit, source: str
    ) -> bool:
        """Takes what another instance says of an endpoint's limit.

        Returns:
            Whether that is news.
        """
        return self._hear_rate_limit(endpoint, limit, source)

    def _hear_rate_limit(
        self, endpoint: ids.EndpointId, limit: messages.RateLimit, source: str
    ) -> bool:
        with self._lock:
            before = self._dispatcher.hear_rate_limit(
                endpoint, limit, first_hand=source == _ANSWER
            )
        if before is None:
            return False
        if self._mirror is not None:
            self._mirror.rate_limit_changed(endpoint)
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
        """Looks again at an endpoint whose limit has changed."""
        with self._lock:
            self._dispatcher.rate_limit_changed(endpoint)

    def rate_limits_to_tell(self) -> dict[ids.EndpointId, messages.RateLimit]:
        """Returns what others of the domain are told of endpoints' limits."""
        return self._context.rate_limits.to_tell(self._clock.now_s())

    def set_delegate(self, is_delegate: bool) -> None:
        """Learns whether this instance spends its domain's parts of limits."""
        if self._context.rate_limits.set_delegate(is_delegate):
            logs.event(
                "rate limits are spent"
                + (" here" if is_delegate else " by another instance")
            )

    def rate_limited(self) -> int:
        """Counts the endpoints that state a rate limit."""
        return self._context.rate_limits.count()

    def set_leaving(self, endpoint: ids.EndpointId, leaving: bool) -> None:
        """Takes the word that an endpoint leaves, or is back."""
        with self._lock:
            self._dispatcher.set_leaving(endpoint, leaving)
        if self._mirror is not None:
            self._mirror.set_leaving(endpoint, leaving)

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

    def kept_news(self) -> list[messages.CacheAnnouncement]:
        """Returns what is new about engines' caches, for the others."""
        with self._lock:
            return self._dispatcher.kept_news(self._clock.now_s())

    def hear_kept(self, news: list[messages.CacheAnnouncement]) -> None:
        """Takes what other instances know of engines' caches."""
        with self._lock:
            self._dispatcher.hear_kept(news, self._clock.now_s())
        if self._mirror is not None:
            self._mirror.hear_kept(news)

    def quarantine_marks(self) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and seconds left, for gossip."""
        with self._lock:
            return self._dispatcher.quarantine_marks(self._clock.now_s())

    def merge_quarantine(self, marks: dict[ids.Fingerprint, float]) -> None:
        """Takes fingerprints that another instance quarantined."""
        with self._lock:
            self._dispatcher.merge_quarantine(marks, self._clock.now_s())
        if self._mirror is not None:
            self._mirror.merge_quarantine(marks)

    @abc.abstractmethod
    def _run_due(self) -> list[decision_lines.Line]:
        """Carries out the decisions that are due; returns what to log."""
