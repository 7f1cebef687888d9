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
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.control import suspect_codec
from cardamombarrow.peers.control import suspect_relay
from cardamombarrow.peers.placing import origin_codec
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
        self._reported_number = 0
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
        if self._broker is not None:
            self._broker.set_new()

    def on_open_streams(
        self, received: abc.Sequence[control_pb2.OpenStreams], are_all: bool
    ) -> None:
        """Applies what has open streams."""
        items = list(
            open_streams_codec.open_streams_from_wire(
                received, self._clock.now_s()
            )
        )
        if are_all and not self._origins.knows_open_streams():
            logs.event(
                "open streams known",
                versions=sorted(
                    {
                        f"{group.origin.service} {group.origin.software}"
                        for group, _ in items
                    }
                ),
            )
        self._origins.merge_open_streams(items, are_all=are_all)

    def add_open_streams(
        self, report: control_pb2.AppliedReport, *, first: bool
    ) -> None:
        """Adds to a report what control does not know yet of open streams.

        Args:
            report: The report.
            first: Whether it is the first one on a link.
        """
        streams = self._origins.take_report(first=first)
        report.open_streams.extend(
            open_streams_codec.open_streams_to_wire(
                streams.items, self._clock.now_s()
            )
        )
        report.knows_open_streams = streams.are_all
        records, self._reported_number = self._origins.since(
            0 if first else self._reported_number, resumption.Source.OWN
        )
        report.stream_origins.extend(
            origin_codec.origins_to_wire(records, self._clock.now_s())
        )

    def on_entry_count(self, count: int) -> None:
        """Applies the number of entries that share the global bounds.

        Called on the loop thread, with each message of control.
        """
        self._origins.touch()
        if self._broker is None:
            self._early_entry_count = count
            return
        now_s = self._clock.now_s()
        if now_s >= self._counted_s + ENTRY_COUNT_INTERVAL_S:
            self._counted_s = now_s
            self._broker.set_instances(count)
