"""Applies each document to the parts of an entry that depend on it."""

from cardamombarrow.document import schema
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.peers.gossip import bridge
from cardamombarrow.resumption import core as resumption

__all__ = ["DocumentApplier"]


class DocumentApplier:
    """A listener of `in_force.DocumentInForce`."""

    def __init__(
        self,
        broker: broker_module.Broker,
        membership: bridge.GossipBridge,
        origins: resumption.StreamOrigins,
    ):
        self._broker = broker
        self._membership = membership
        self._origins = origins

    def __call__(self, applied: in_force.AppliedDocument) -> None:
        """Applies one document."""
        document = applied.document
        self._broker.configure(document)
        self._membership.on_document(document)
        longest_s = _longest_answer_s(document)
        if longest_s is not None:
            self._origins.set_longest_answer_s(longest_s)


def _longest_answer_s(document: schema.Document) -> float | None:
    """Returns the longest time of an answer; None without any class."""
    return max(
        (each.target_total_s for each in document.classes.values()),
        default=None,
    )
