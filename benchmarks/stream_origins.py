"""Cost of telling which software version began each stream.

``python -m benchmarks.stream_origins`` prints, for one failure domain at the
target size with two versions of a service, the processor time and bytes of an
entry and of the placer, and the memory of the table.
"""

import time
import tracemalloc

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_pb2
from cardamombarrow.resumption import core

__all__ = ["main"]

ENTRIES = 36
STREAMS_PER_S = 690
BATCHES_PER_S = 10
LONGEST_ANSWER_S = 15.0
_SERVICE = ids.ServiceId("models")
_ORIGINS = [
    core.Origin(_SERVICE, ids.SoftwareVersion(name)) for name in ("v1", "v2")
]


def _table(time_source: clock.Clock) -> core.StreamOrigins:
    table = core.StreamOrigins(time_source)
    table.set_longest_answer_s(LONGEST_ANSWER_S)
    table.set_listed(
        messages.KnownEndpoint(
            ids.EndpointId(f"10.0.0.{number}:80"),
            _SERVICE,
            ids.DomainId("a"),
            software=origin.software,
        )
        for number, origin in enumerate(_ORIGINS)
    )
    return table


def _begin(table: core.StreamOrigins, numbers: range) -> None:
    for number in numbers:
        key = core.stream_key(ids.WorkspaceId("w"), str(number))
        table.add_own(key, _ORIGINS[number % 2])


class _Costs:
    """Processor time and bytes of all batches.

    Attributes:
        merge_s: Time in which an entry decodes and merges them.
        encode_s: Time in which the placer encodes them once.
        send_s: Time in which it serializes them for one entry.
        sent_bytes: Bytes for one entry.
    """

    def __init__(self):
        self.merge_s = self.encode_s = self.send_s = 0.0
        self.sent_bytes = 0

    def pass_on(
        self,
        records: list[core.Record],
        entry: core.StreamOrigins,
        now_s: float,
    ) -> None:
        """Tells an entry of streams, as the placer does."""
        start_s = time.process_time()
        origins = origin_codec.origins_to_wire(records, now_s)
        encoded_s = time.process_time()
        reply = placing_pb2.PlacingReply(origins=origins).SerializeToString()
        sent_s = time.process_time()
        received = placing_pb2.PlacingReply.FromString(reply).origins
        entry.merge(
            origin_codec.origins_from_wire(received, now_s, core.Source.DOMAIN)
        )
        self.merge_s += time.process_time() - sent_s
        self.encode_s += encoded_s - start_s
        self.send_s += sent_s - encoded_s
        self.sent_bytes += len(reply)


def _memory_bytes(streams: int) -> int:
    table = _table(clock.ManualClock(1_000.0))
    tracemalloc.start()
    _begin(table, range(streams))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


def main() -> None:
    """Prints the costs."""
    time_source = clock.ManualClock(1_000.0)
    placer, entry = _table(time_source), _table(time_source)
    per_batch = STREAMS_PER_S // BATCHES_PER_S
    batches = round(LONGEST_ANSWER_S * BATCHES_PER_S)
    costs = _Costs()
    number = 0
    for batch in range(batches):
        time_source.advance(1 / BATCHES_PER_S)
        _begin(placer, range(batch * per_batch, (batch + 1) * per_batch))
        records, number = placer.since(number, core.Source.OTHER_DOMAIN)
        costs.pass_on(records, entry, time_source.now_s())
    count = per_batch * batches
    share = 100 / LONGEST_ANSWER_S
    kilobytes_per_s = costs.sent_bytes / LONGEST_ANSWER_S / 1_000
    placer_s = costs.encode_s + ENTRIES * costs.send_s
    print(f"{count} streams, {costs.sent_bytes / count:.1f} bytes each")
    print(f"entry: {share * costs.merge_s:.2f} % of a core")
    print(f"entry: {kilobytes_per_s:.1f} kB/s in")
    print(f"placer: {share * placer_s:.2f} % of a core")
    print(f"placer: {ENTRIES * kilobytes_per_s:.0f} kB/s out")
    print(f"memory: {_memory_bytes(count) / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
