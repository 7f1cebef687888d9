"""What one dispatcher may send to endpoints that state rate limits.

`rate_limits` keeps the limits and their buckets for the whole instance;
here they become slots, waits and wake-ups of one dispatcher.
"""

from collections import abc
import math

from cardamombarrow.decisions import capacity as capacity_module
from cardamombarrow.decisions import endpoint as endpoint_module
from cardamombarrow.decisions import rate_limits
from cardamombarrow.kernel import ids

__all__ = ["RateBudget"]

_States = abc.Collection[endpoint_module.EndpointState]


class RateBudget:
    """Requests that limited endpoints take from this dispatcher."""

    def __init__(self, limits: rate_limits.RateLimits, domain: ids.DomainId):
        self._limits = limits
        self._domain = domain
        self._due_s: dict[ids.ServiceId, float] = {}

    def has_limit(self, states: _States) -> bool:
        """Tells whether any of some endpoints states a limit."""
        return bool(self._parts(states))

    def wait_s(self, states: _States, ahead: int, now_s: float) -> float:
        """Returns how long a job waits until a limit lets it through.

        Args:
            states: The endpoints that could take it.
            ahead: Jobs that are served before it.
            now_s: The time.

        Returns:
            0 where an endpoint states no limit; infinity where all do and
            another instance spends them.
        """
        parts = self._parts(states)
        if not parts or len(parts) < len(states):
            return 0.0
        if not self._limits.is_delegate:
            return math.inf
        ready_s = min(
            self._limits.ready_s(endpoint, part, now_s)
            for endpoint, part in parts.items()
        )
        rate_per_s = sum(part.per_s for part in parts.values())
        return ready_s - now_s + ahead / rate_per_s

    def share(
        self,
        state: endpoint_module.EndpointState,
        share: int,
        capacity: capacity_module.Capacity,
    ) -> int:
        """Returns the slots that a limit keeps in use (Little's law).

        J. D. C. Little, "A Proof for the Queuing Formula: L = lambda W", 1961.

        Args:
            state: The endpoint.
            share: Its slots that this instance may use without a limit.
            capacity: What is known of its service's slots.
        """
        part = self._part(state)
        if part is None:
            return share
        if not self._limits.is_delegate:
            return 0
        used = math.ceil(part.per_s * capacity.mean_hold_s())
        return min(share, max(used, 1))

    def may_send(
        self, state: endpoint_module.EndpointState, now_s: float
    ) -> bool:
        """Tells whether an endpoint takes a request now.

        Where it does not, its service is `due` when it does.
        """
        part = self._part(state)
        if part is None:
            return True
        if not self._limits.is_delegate:
            return False
        ready_s = self._limits.ready_s(state.endpoint, part, now_s)
        if ready_s <= now_s:
            return True
        due_s = self._due_s.get(state.service, ready_s)
        self._due_s[state.service] = min(due_s, ready_s)
        return False

    def spend(self, state: endpoint_module.EndpointState, now_s: float) -> None:
        """Counts a request that is sent to an endpoint against its limit."""
        part = self._part(state)
        if part is not None:
            self._limits.spend(state.endpoint, part, now_s)

    def due(self, now_s: float) -> abc.Iterator[ids.ServiceId]:
        """Yields the services of which an endpoint takes a request again."""
        for service, due_s in list(self._due_s.items()):
            if due_s <= now_s:
                del self._due_s[service]
                yield service

    def next_s(self) -> float | None:
        """Returns when the next service is due, or None."""
        return min(self._due_s.values(), default=None)

    def _parts(self, states: _States) -> dict[ids.EndpointId, rate_limits.Part]:
        if not self._limits.count():
            return {}
        parts = {state.endpoint: self._part(state) for state in states}
        return {name: part for name, part in parts.items() if part is not None}

    def _part(
        self, state: endpoint_module.EndpointState
    ) -> rate_limits.Part | None:
        limit = self._limits.limit(state.endpoint)
        if limit is None:
            return None
        return rate_limits.delegate_part(
            limit.per_s, state.endpoint, state.domain, self._domain
        )
