"""What control processes tell an entry about the whole fleet.

The link to control is up before the broker exists: what arrives earlier is kept
until then.
"""

from collections import abc
import math

from cardamombarrow.decisions import messages
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import logs
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import suspect_codec
from cardamombarrow.peers.control import suspect_relay
from cardamombarrow.resumption import core as resumption

__all__ = ["ControlNews"]

SUSPECTS_SENT_S = 10.0
"""How long each report to control contains the same suspects: a broken link is
replaced within this time."""

ENTRY_COUNT_INTERVAL_S = 0.9
"""Shortest time between two counts of entries that are applied: a part of a
global bound grows by a hundredth at most with each."""


class ControlNews:
    """Passes news on to the broker, and the broker's own to control."""

    def __init__(
        self, time_source: clock.Clock, origins: resumption.StreamOrigins
    ):
        self._clock = time_source
        self._origins = origins
        self._broker: broker_module.Broker | None = None
        self._early_suspects: list[messages.SuspectReport] = []
        self._early_entry_count = 0
        self._is_new = False
        self._counted_s = -math.inf

    def join(self, broker: broker_module.Broker) -> None:
        """Gives a broker what has arrived, and what will."""
        self._broker = broker
        if self._early_suspects:
            broker.merge_suspects(self._early_suspects)
        if self._is_new:
            broker.set_new()
        if self._early_entry_count:
            broker.set_instances(self._early_entry_count)

    def suspects(self, *, all_known: bool) -> list[control_pb2.SuspectReport]:
        """Returns reports of suspects for control.

        Args:
            all_known: Whether those of all instances are returned, in place of
                this entry's own of late.
        """
        reports = self._known_suspects() if all_known else self._own_suspects()
        return suspect_codec.suspects_to_wire(reports, self._clock.now_s())

    def _known_suspects(self) -> list[messages.SuspectReport]:
        if self._broker is None:
            return self._early_suspects
        return self._broker.known_suspects()[-suspect_relay.MAX_REPORTS :]

    def _own_suspects(self) -> list[messages.SuspectReport]:
        if self._broker is None:
            return []
        oldest_s = self._clock.now_s() - SUSPECTS_SENT_S
        return [
            report
            for report in self._broker.own_suspects()
            if report.seen_s >= oldest_s
        ]

    def on_suspects(
        self, reports: abc.Sequence[control_pb2.SuspectReport]
    ) -> None:
        """Handles other entries' reports of suspects."""
        suspects = suspect_codec.suspects_from_wire(
            reports, self._clock.now_s()
        )
        if self._broker is not None:
            self._broker.merge_suspects(suspects)
        else:
            self._early_suspects.extend(suspects)

    def on_new(self) -> None:
        """Records that this entry had no process before; on the loop thread."""
        if self._is_new:
            return
        self._is_new = True
        logs.event("new entry")
        self._origins.set_complete()
        if self._broker is not None:
            self._broker.set_new()

    def on_entry_count(self, count: int) -> None:
        """Applies the number of entries that share the global bounds.

        Called on the loop thread.
        """
        if self._broker is None:
            self._early_entry_count = count
            return
        now_s = self._clock.now_s()
        if now_s >= self._counted_s + ENTRY_COUNT_INTERVAL_S:
            self._counted_s = now_s
            self._broker.set_instances(count)
