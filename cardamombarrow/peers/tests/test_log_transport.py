"""Links between members of the log."""

import asyncio

from cardamombarrow.peers import log_pb2
from cardamombarrow.peers import log_transport


def test_what_is_queued_during_a_reconnect_is_sent(monkeypatch):
    # After a power loss the first attempts to connect fail, and messages that
    # were queued while a link waited for its next attempt were dropped. Votes
    # were requested again only in the next election.
    kept = []

    async def run_stream(link, channel):
        if not link.attempts:
            link.attempts += 1
            link.put(log_pb2.LogEnvelope(source="before"))
            asyncio.get_running_loop().call_later(
                log_transport.RECONNECT_MIN_S / 4,
                link.put,
                log_pb2.LogEnvelope(source="meanwhile"),
            )
            raise OSError("nobody listens yet")
        kept.extend(wire.source for wire in link._queue)
        await asyncio.Event().wait()

    monkeypatch.setattr(log_transport._Link, "attempts", 0, raising=False)
    monkeypatch.setattr(log_transport._Link, "_run_stream", run_stream)

    async def run():
        link = log_transport._Link("127.0.0.1:1", "secret", "A")
        await asyncio.sleep(4 * log_transport.RECONNECT_MIN_S)
        link.task.cancel()

    asyncio.run(run())
    assert kept == ["meanwhile"]
