"""What the instances of a domain tell each other of endpoints' rate limits."""

from cardamombarrow.decisions import messages
from cardamombarrow.entry import broker as broker_module
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids

__all__ = ["RateLimitNews"]

RENEWAL_S = 2.0
"""A limit that an endpoint states again is told again after this long."""


class RateLimitNews:
    """Limits in this instance's row, and those in the others' rows."""

    def __init__(self, broker: broker_module.Broker):
        self._broker = broker
        self._told: dict[ids.EndpointId, messages.RateLimit] = {}

    def collect(self) -> dict[rows.Key, rows.Value]:
        """Returns the items of this instance's row."""
        current = self._broker.rate_limits_to_tell()
        for endpoint, limit in current.items():
            told = self._told.get(endpoint)
            if told is None or _is_due(told, limit):
                self._told[endpoint] = limit
        for endpoint in set(self._told) - set(current):
            del self._told[endpoint]
        return {
            (rows.ItemKind.RATE_LIMIT, rows.endpoint_hash(endpoint)): limit
            for endpoint, limit in self._told.items()
        }

    def is_urgent(self) -> bool:
        """Tells whether a limit has changed that others don't know of yet."""
        current = self._broker.rate_limits_to_tell()
        return any(
            endpoint not in self._told
            or self._told[endpoint].per_s != limit.per_s
            for endpoint, limit in current.items()
        )

    def take(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        instance: ids.InstanceId,
    ) -> bool:
        """Takes what another instance tells; returns whether it is news."""
        source = f"instance {instance}"
        return self._broker.hear_rate_limit(endpoint, limit, source)


def _is_due(told: messages.RateLimit, limit: messages.RateLimit) -> bool:
    changed = told.per_s != limit.per_s
    return changed or limit.received_s - told.received_s >= RENEWAL_S
