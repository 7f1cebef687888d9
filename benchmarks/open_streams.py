"""Cost of telling what has open streams.

``python -m benchmarks.open_streams`` prints, for steady traffic with one
version of each service, the bytes that an entry sends to and gets from its
control process, and the processor time of that process, by the number of
classes.
"""

import random
import time

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.control import open_streams_relay
from cardamombarrow.resumption import core

__all__ = ["main"]

CLASSES = (20, 60, 200, 1_000)
ENTRIES = 134
"""Followers of one of three control processes at the target size."""

STREAMS_PER_S = 19
"""Streams that an entry begins."""

LIMIT_S = 15.0
RUN_S = 30
_WARM_UP_S = 15


class _Costs:
    """Bytes and processor time after the warm-up, of all entries."""

    def __init__(self):
        self.up_bytes = self.down_bytes = 0
        self.control_s = 0.0


def _second(
    entries: list[core.StreamOrigins],
    sent: list[open_streams_relay.Sent],
    relay: open_streams_relay.OpenStreamsRelay,
    begin: list[tuple[ids.ClassId, core.Origin]],
    now_s: float,
    rng: random.Random,
) -> _Costs:
    costs = _Costs()
    for index, entry in enumerate(entries):
        for class_id, origin in rng.choices(begin, k=STREAMS_PER_S):
            entry.add_own(None, origin, now_s + LIMIT_S, class_id)
        report = control_pb2.AppliedReport(
            open_streams=open_streams_codec.open_streams_to_wire(
                entry.take_report(first=False).items, now_s
            )
        )
        message = control_pb2.DocumentMessage()
        start_s = time.process_time()
        relay.put(report, now_s)
        sent[index] = relay.fill(message, sent[index], now_s)
        costs.control_s += time.process_time() - start_s
        costs.up_bytes += report.ByteSize()
        costs.down_bytes += message.ByteSize()
    return costs


def _print_row(classes: int) -> None:
    time_source = clock.ManualClock(1_000.0)
    rng = random.Random(1)
    relay = open_streams_relay.OpenStreamsRelay(founds=True)
    entries = [core.StreamOrigins(time_source) for _ in range(ENTRIES)]
    sent = [open_streams_relay.Sent() for _ in range(ENTRIES)]
    begin = [
        (
            ids.ClassId(f"class-{number}"),
            core.Origin(
                ids.ServiceId(f"service-{number % 21}"),
                ids.SoftwareVersion("v1"),
            ),
        )
        for number in range(classes)
    ]
    total = _Costs()
    for second in range(RUN_S):
        time_source.advance(1.0)
        costs = _second(entries, sent, relay, begin, time_source.now_s(), rng)
        if second >= _WARM_UP_S:
            total.up_bytes += costs.up_bytes
            total.down_bytes += costs.down_bytes
            total.control_s += costs.control_s
    measured_s = RUN_S - _WARM_UP_S
    each = 1 / (ENTRIES * measured_s * 1_000)
    print(
        f"{classes} classes: an entry {total.up_bytes * each:.2f} kB/s up, "
        f"{total.down_bytes * each:.2f} kB/s down; control "
        f"{100 * total.control_s / measured_s:.2f} % of a core"
    )


def main() -> None:
    """Prints a row for each number of classes."""
    for classes in CLASSES:
        _print_row(classes)


if __name__ == "__main__":
    main()
