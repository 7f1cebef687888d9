"""When a holder may send an order to an engine that checks no token.

Such an engine obeys whoever speaks last. A holder that was cut off or frozen
must have stopped before the next one starts, and the two cannot ask each
other. Both keep to a lease: a holder sends only within `LEASE_S` of the
moment at which it *asked* for its last renewal, less a margin for the order's
own way; a new holder sends nothing until `LEASE_S` has passed since it
learned that it holds. Each measures on its own monotonic clock, so wall
clocks do not matter; the margin covers clocks that run at different speeds.

What is left: an order that the network holds back for longer than
`SEND_TIMEOUT_S` after the connection was closed on our side. Engines that
check tokens have no such gap.
"""

from cardamombarrow.orders import machine

__all__ = ["LEASE_S", "SEND_TIMEOUT_S", "Lease"]

LEASE_S = 15.0
"""Long beside a renewal (one commit), short beside the loading of a model."""

SEND_TIMEOUT_S = 3.0
"""An order that is not answered by then is given up and its link closed."""

DRIFT_SHARE = 0.01
"""Clocks that run apart by more than this are broken."""


class Lease:
    """One holder's view of its lease."""

    def __init__(self, holder: machine.Holder, learned_s: float):
        self.holder = holder
        self._learned_s = learned_s
        self._asked_s = -LEASE_S

    def renewed(self, asked_s: float) -> None:
        """Takes a renewal that was asked for at `asked_s`."""
        self._asked_s = max(self._asked_s, asked_s)

    def may_send(self, now_s: float, *, checks_token: bool) -> bool:
        """Tells whether an order may be sent now.

        Args:
            now_s: Monotonic time.
            checks_token: Whether the engine refuses an old token.
        """
        last_s = self._asked_s + LEASE_S * (1 - DRIFT_SHARE) - SEND_TIMEOUT_S
        if now_s > last_s:
            return False
        if checks_token:
            return True
        return now_s >= self._learned_s + LEASE_S * (1 + DRIFT_SHARE)
