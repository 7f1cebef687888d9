"""The parts of an entry to which each document is applied."""

from collections import abc

from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.peers.gossip import bridge
from cardamombarrow.resumption import core as resumption

__all__ = ["parts"]


def parts(
    broker: broker_module.Broker,
    membership: bridge.GossipBridge,
    origins: resumption.StreamOrigins,
) -> abc.Iterator[in_force.ApplyDocument]:
    """Yields what applies a document to each part, in order."""

    def set_longest_answer(applied: in_force.AppliedDocument) -> None:
        times_s = [
            each.target_total_s for each in applied.document.classes.values()
        ]
        # Without classes, streams of the document before may still be open.
        if times_s:
            origins.set_longest_answer_s(max(times_s))

    yield lambda applied: broker.configure(applied.document)
    yield lambda applied: membership.on_document(applied.document)
    yield set_longest_answer
