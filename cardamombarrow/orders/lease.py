"""The lease under which orders go to engines that don't check tokens.

Such an engine carries out every order. A holder that was cut off or frozen
must have stopped before the next one starts, and the two can't reach each
other. So a holder sends only within `LEASE_S` of the time at which it
*requested* its last renewal, less a margin for the transfer of the order. A new
holder sends nothing until `LEASE_S` after it has acquired the lease. Each
measures on its own clock since boot, so wall clocks do not matter; the margin
covers clocks that run at different speeds.

Remaining risk: an order that the network delays for longer than
`SEND_TIMEOUT_S` after the connection was closed on this side. Engines that
check tokens refuse it.
"""

from cardamombarrow.orders import machine

__all__ = ["LEASE_S", "SEND_TIMEOUT_S", "Lease"]

LEASE_S = 15.0
"""Far longer than a renewal (one commit), far shorter than a model load."""

SEND_TIMEOUT_S = 3.0
"""Time after which an order is given up and its connection closed."""

DRIFT_SHARE = 0.01
"""Largest difference in speed between working clocks."""


class Lease:
    """The lease of one holder, measured on its own clock."""

    def __init__(self, holder: machine.Holder, acquired_s: float):
        self.holder = holder
        self._acquired_s = acquired_s
        self._requested_s = -LEASE_S

    def record_renewal(self, requested_s: float) -> None:
        """Records a successful renewal that was requested at `requested_s`."""
        self._requested_s = max(self._requested_s, requested_s)

    def may_send(self, now_s: float, *, checks_token: bool) -> bool:
        """Returns whether an order may be sent now.

        Args:
            now_s: Monotonic time.
            checks_token: Whether the engine refuses an old token.
        """
        latest_s = (
            self._requested_s + LEASE_S * (1 - DRIFT_SHARE) - SEND_TIMEOUT_S
        )
        if now_s > latest_s:
            return False
        if checks_token:
            return True
        return now_s >= self._acquired_s + LEASE_S * (1 + DRIFT_SHARE)
