"""Who may give orders, as a state machine on the replicated log.

Two control processes that both believe to lead could order an engine back and
forth, and each load costs minutes and a turn at the weight store. So orders
carry a fencing token that grows with each new holder: an engine that checks
refuses the smaller one. For engines that do not check, see `lease`.
"""

import dataclasses

from cardamombarrow.kernel import ids

__all__ = ["Holder", "OrdersState"]


@dataclasses.dataclass(frozen=True)
class Holder:
    """The control process that may give orders.

    Attributes:
        fencing: Token of its term; grows by one with each new holder.
    """

    instance: ids.InstanceId
    fencing: int


class OrdersState:
    """The present holder; the same at every voter."""

    def __init__(self):
        self.holder = Holder(ids.InstanceId(""), 0)

    def take(self, instance: ids.InstanceId) -> Holder:
        """Makes a control process the holder, under a new token.

        It takes a new token even if it held the last one: after a restart it
        does not know what it ordered before.
        """
        self.holder = Holder(instance, self.holder.fencing + 1)
        return self.holder

    def renew(self, holder: Holder) -> bool:
        """Tells whether a holder is still the one.

        Going through the log, the answer is true only if a majority still
        followed when it was committed.
        """
        return holder == self.holder

    def to_json(self) -> dict:
        """Returns the state as plain JSON values, for a snapshot."""
        return dataclasses.asdict(self.holder)

    @classmethod
    def from_json(cls, raw: dict) -> "OrdersState":
        """Reads what `to_json` wrote."""
        state = cls()
        state.holder = Holder(ids.InstanceId(raw["instance"]), raw["fencing"])
        return state
