"""The process that may send orders, as a state machine on the replicated log.

Two control processes that both act as leader could make an engine load models
back and forth; each load takes minutes and a share of the weight store's rate.
So orders carry a fencing token that grows with each new holder, and engines
that check tokens refuse the smaller one. For other engines see `lease`.
"""

import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["Holder", "HolderState"]


@dataclasses.dataclass(frozen=True)
class Holder:
    """The control process that may send orders.

    Attributes:
        fencing: Fencing token; grows by one with each new holder.
    """

    instance: ids.InstanceId
    fencing: int


class HolderState:
    """The current holder; the same at every voter."""

    def __init__(self):
        self.holder = Holder(ids.InstanceId(""), 0)

    def take(self, instance: ids.InstanceId) -> Holder:
        """Makes a control process the holder, under a new token.

        The token is new even if the process is the holder already: after a
        restart it does not have its earlier orders.
        """
        self.holder = Holder(instance, self.holder.fencing + 1)
        return self.holder

    def renew(self, holder: Holder) -> bool:
        """Returns whether this is still the holder.

        The call goes through the log, so it returns True only if a majority
        still followed the leader when it was committed.
        """
        return holder == self.holder

    def to_json(self) -> dict:
        """Returns the state as plain JSON values, for a snapshot."""
        return dataclasses.asdict(self.holder)

    @classmethod
    def from_json(cls, raw: dict) -> "HolderState":
        """Reads what `to_json` wrote."""
        state = cls()
        state.holder = Holder(ids.InstanceId(raw["instance"]), raw["fencing"])
        return state
