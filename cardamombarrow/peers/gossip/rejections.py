"""Sharing of pauses after rejections between the instances of a domain."""

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.gossip import rows
from cardamombarrow.kernel import ids

__all__ = ["RejectionGossip"]


class RejectionGossip:
    """Publishes the pauses after rejections of this instance's requests."""

    def __init__(self, broker: broker_module.Broker):
        self._broker = broker
        self._published: dict[ids.EndpointId, messages.RejectionPause] = {}

    def collect(self) -> dict[rows.Key, rows.Value]:
        """Returns the items of this instance's row."""
        self._published = self._broker.rejection_pauses()
        return {
            (
                rows.ItemKind.REJECTION_PAUSE,
                rows.endpoint_hash(endpoint),
            ): pause
            for endpoint, pause in self._published.items()
        }

    def is_urgent(self) -> bool:
        """Returns whether a pause is not published yet."""
        return any(
            self._published.get(endpoint) != pause
            for endpoint, pause in self._broker.rejection_pauses().items()
        )
