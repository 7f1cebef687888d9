"""Collection of usage, demand and time at a control process.

Entries report usage and demand with each request for a confirmation. Control
processes query each other once a second for what their own entries reported;
only the leader of the log needs it.
"""

import random
import time

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.metering import agreed_time
from cardamombarrow.metering import meter
from cardamombarrow.metering import tables
from cardamombarrow.peers.control import control_pb2

__all__ = ["MeteringCollector", "demand_to_wire", "usage_to_wire"]

WINDOWS_AHEAD = 1
"""Number of windows after the current one that are accepted, because clocks
differ."""


class MeteringCollector:
    """Usage and demand reported by entries; runs on one loop.

    Attributes:
        boot: Random number that identifies this start of the process.
        usage: Usage counts by window.
        demand: Demand by failure domain and service.
    """

    def __init__(self):
        self.boot = random.getrandbits(63)
        self.usage = tables.UsageTable(random.getrandbits(31) << 32)
        self.demand = tables.DemandTable()
        self._clocks = agreed_time.PeerClocks(clock.BootClock())
        self._window_s = 0.0

    def set_window_length(self, window_s: float) -> None:
        """Sets the length of windows; without it all windows are accepted."""
        self._window_s = window_s

    def unix_s(self) -> float:
        """Returns the Unix time that control processes agree on."""
        return self._clocks.unix_s()

    def merge_request(self, request: control_pb2.ConfirmRequest) -> None:
        """Applies the usage and demand in an entry's request."""
        now_s = time.monotonic()
        for row in request.usage:
            self._put(row, direct=True)
        for row in request.demand:
            self.demand.put(
                request.instance,
                ids.DomainId(row.domain),
                ids.ServiceId(row.service),
                row.reading,
                int(row.running),
                now_s,
            )

    def fill_reply(
        self,
        request: control_pb2.FollowersRequest,
        reply: control_pb2.FollowersReply,
    ) -> None:
        """Adds the data that another control process requests to its reply."""
        reply.unix_s = time.time()
        if not request.wants_usage:
            return
        counts, reply.usage_number = self.usage.own_since(request.usage_since)
        reply.usage.extend(map(usage_to_wire, counts))
        own = self.demand.own_demand(time.monotonic())
        reply.demand.extend(map(demand_to_wire, own))

    def merge_reply(
        self, peer: str, asked_s: float, reply: control_pb2.FollowersReply
    ) -> None:
        """Applies the reply of another control process.

        Args:
            peer: Address of the control process.
            asked_s: Time of the request, by the boot clock.
            reply: The reply.
        """
        if reply.unix_s:
            self._clocks.add_sample(peer, reply.unix_s, asked_s)
        for row in reply.usage:
            self._put(row, direct=False)
        if reply.usage_number:
            demands = [
                tables.Demand(
                    ids.DomainId(row.domain),
                    ids.ServiceId(row.service),
                    row.reading,
                    row.running,
                )
                for row in reply.demand
            ]
            self.demand.put_peer_demand(peer, demands, time.monotonic())

    def _put(self, row: control_pb2.UsageRow, *, direct: bool) -> None:
        if self._window_s:
            newest = meter.window_of(self.unix_s(), self._window_s)
            if row.window > newest + WINDOWS_AHEAD:
                return
        counts = dict(
            zip(map(ids.WorkspaceId, row.workspaces), row.counts, strict=False)
        )
        source_counts = tables.SourceCounts(row.source, row.window, counts)
        self.usage.put(source_counts, direct=direct)


def usage_to_wire(usage: tables.SourceCounts) -> control_pb2.UsageRow:
    """Converts the totals of one window."""
    return control_pb2.UsageRow(
        source=usage.source,
        window=usage.window,
        workspaces=list(usage.counts),
        counts=list(usage.counts.values()),
    )


def demand_to_wire(demand: tables.Demand) -> control_pb2.DemandRow:
    """Converts the demand of a failure domain for a service."""
    return control_pb2.DemandRow(
        domain=demand.domain,
        service=demand.service,
        reading=demand.reading,
        running=demand.running,
    )
