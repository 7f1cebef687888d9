"""Requests that one dispatcher may send to rate-limited endpoints.

`rate_limits` stores the limits and token buckets of the whole instance; this
module derives slots, waits and wake-up times of one dispatcher from them.
"""

from collections import abc
import math

from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions.limiting import capacity as capacity_module
from cardamombarrow.decisions.limiting import rate_limits
from cardamombarrow.kernel import ids

__all__ = ["RateBudget"]

_States = abc.Collection[endpoint_module.EndpointState]


class RateBudget:
    """One dispatcher's share of the endpoints' rate limits."""

    def __init__(self, limits: rate_limits.RateLimits, domain: ids.DomainId):
        self._limits = limits
        self._domain = domain
        self._due_s: dict[ids.ServiceId, float] = {}

    def has_limit(self, states: _States) -> bool:
        """Returns whether any of the endpoints advertises a limit."""
        return bool(self._rate_shares(states))

    def wait_s(self, states: _States, ahead: int, now_s: float) -> float:
        """Returns how long rate limits delay a job.

        Args:
            states: The endpoints that could run it.
            ahead: Number of jobs that are served before it.
            now_s: Current time.

        Returns:
            Seconds; 0 if an endpoint has no limit, infinity if all have one
            and another instance is the delegate.
        """
        rate_shares = self._rate_shares(states)
        if not rate_shares or len(rate_shares) < len(states):
            return 0.0
        if not self._limits.is_delegate:
            return math.inf
        ready_s = min(
            self._limits.ready_s(endpoint, rate_share, now_s)
            for endpoint, rate_share in rate_shares.items()
        )
        rate_per_s = sum(
            rate_share.per_s for rate_share in rate_shares.values()
        )
        return ready_s - now_s + ahead / rate_per_s

    def share(
        self,
        state: endpoint_module.EndpointState,
        share: int,
        capacity: capacity_module.Capacity,
    ) -> int:
        """Returns the slots that a rate limit can fill (Little's law).

        J. D. C. Little, "A Proof for the Queuing Formula: L = lambda W", 1961.

        Args:
            state: The endpoint.
            share: Its slots that this instance may use without a limit.
            capacity: Slots of its service.
        """
        rate_share = self._rate_share(state)
        if rate_share is None:
            return share
        if not self._limits.is_delegate:
            return 0
        usable = math.ceil(rate_share.per_s * capacity.mean_hold_s())
        return min(share, max(usable, 1))

    def may_send(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> bool:
        """Returns whether a request may be sent to an endpoint now.

        If not, its service will be returned by `due` once one may be sent.
        """
        rate_share = self._rate_share(state)
        if rate_share is None:
            return True
        if not self._limits.is_delegate:
            return False
        ready_s = self._limits.ready_s(state.endpoint, rate_share, now_s)
        if ready_s <= now_s:
            return True
        due_s = self._due_s.get(state.service, ready_s)
        self._due_s[state.service] = min(due_s, ready_s)
        return False

    def spend(self, state: endpoint_module.EndpointState, now_s: float) -> None:
        """Counts a sent request against its endpoint's limit."""
        rate_share = self._rate_share(state)
        if rate_share is not None:
            self._limits.spend(state.endpoint, rate_share, now_s)

    def due(self, now_s: float) -> abc.Iterator[ids.ServiceId]:
        """Yields the services with an endpoint that may get a request again."""
        for service, due_s in list(self._due_s.items()):
            if due_s <= now_s:
                del self._due_s[service]
                yield service

    def next_s(self) -> float | None:
        """Returns when the next service is due, or None."""
        return min(self._due_s.values(), default=None)

    def _rate_shares(
        self, states: _States
    ) -> dict[ids.EndpointId, rate_limits.RateShare]:
        if not self._limits.count():
            return {}
        rate_shares = {
            state.endpoint: self._rate_share(state) for state in states
        }
        return {
            name: rate_share
            for name, rate_share in rate_shares.items()
            if rate_share is not None
        }

    def _rate_share(
        self, state: endpoint_module.EndpointState
    ) -> rate_limits.RateShare | None:
        limit = self._limits.limit(state.endpoint)
        if limit is None:
            return None
        return rate_limits.delegate_part(
            limit.per_s, state.endpoint, state.domain, self._domain
        )
