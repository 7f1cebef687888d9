"""What endpoints state in their answers, applied to the broker's state."""

import collections
from collections import abc as collections_abc
import typing

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker_base
from cardamombarrow.entry.placement import decision_lines
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["StatementBroker"]

MAX_INVALID_LOGGED = 2_048
"""Pairs of endpoint and field that are remembered as logged: some three fields
for each endpoint of the largest deployment."""

_ANSWER = "answer"


class StatementBroker(broker_base.BrokerBase):
    """A broker that records loads, limits, pauses and departures."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any):
        """Builds the broker; see `broker_base.BrokerBase`."""
        super().__init__(*args, **kwargs)
        self._rejection_pauses: dict[
            ids.EndpointId, messages.RejectionPause
        ] = {}
        self._invalid_fields: collections.Counter[str] = collections.Counter()
        self._invalid_logged: set[tuple[ids.EndpointId, str]] = set()
        self._on_departure: collections_abc.Callable[[ids.EndpointId], None] = (
            lambda _: None
        )

    def set_departure_listener(
        self, on_departure: collections_abc.Callable[[ids.EndpointId], None]
    ) -> None:
        """Sets what is called when an endpoint states its departure."""
        self._on_departure = on_departure

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
        if not self._rejection_pauses:
            return {}
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
