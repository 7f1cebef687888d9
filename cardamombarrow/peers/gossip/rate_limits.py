"""Sharing of endpoints' rate limits between the instances of a domain."""

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids

__all__ = ["RateLimitGossip"]

RENEWAL_S = 2.0
"""An unchanged limit that an endpoint states again is published again after
this long."""


class RateLimitGossip:
    """Publishes this instance's limits and receives those of the others."""

    def __init__(self, broker: broker_module.Broker):
        self._broker = broker
        self._published: dict[ids.EndpointId, messages.RateLimit] = {}

    def collect(self) -> dict[rows.Key, rows.Value]:
        """Returns the items of this instance's row."""
        current = self._broker.rate_limits_to_announce()
        for endpoint, limit in current.items():
            published = self._published.get(endpoint)
            if published is None or _is_due(published, limit):
                self._published[endpoint] = limit
        for endpoint in set(self._published) - set(current):
            del self._published[endpoint]
        return {
            (rows.ItemKind.RATE_LIMIT, rows.endpoint_hash(endpoint)): limit
            for endpoint, limit in self._published.items()
        }

    def is_urgent(self) -> bool:
        """Returns whether a changed limit is not published yet."""
        current = self._broker.rate_limits_to_announce()
        return any(
            endpoint not in self._published
            or self._published[endpoint].per_s != limit.per_s
            for endpoint, limit in current.items()
        )

    def apply_remote(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        instance: ids.InstanceId,
    ) -> bool:
        """Applies a limit of another instance; returns whether it is new."""
        source = f"instance {instance}"
        return self._broker.update_rate_limit(endpoint, limit, source)


def _is_due(published: messages.RateLimit, limit: messages.RateLimit) -> bool:
    changed = published.per_s != limit.per_s
    return changed or limit.received_s - published.received_s >= RENEWAL_S
