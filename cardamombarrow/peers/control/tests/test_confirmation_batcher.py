"""Confirmations share a round of the log that begins after the request."""

import asyncio
from concurrent import futures

from cardamombarrow.kernel import errors
from cardamombarrow.log import local
from cardamombarrow.peers.control import confirmation_batcher


class _Log(local.LocalLog):
    """Returns barriers that the test completes."""

    def __init__(self):
        self.barriers = []

    def barrier(self):
        self.barriers.append(futures.Future())
        return self.barriers[-1]


async def _settle():
    for _ in range(5):
        await asyncio.sleep(0)


def test_requests_during_a_round_share_the_next_one():
    # A change is accepted during a round. A request after that must not be
    # answered by this round, which does not cover the change.
    async def run():
        log = _Log()
        batcher = confirmation_batcher.ConfirmationBatcher(log)
        first = asyncio.create_task(batcher.confirm())
        await _settle()
        later = [asyncio.create_task(batcher.confirm()) for _ in range(3)]
        await _settle()
        assert len(log.barriers) == 1
        log.barriers[0].set_result(b"")
        assert await first
        await asyncio.sleep(0.01)
        assert len(log.barriers) == 2
        assert not any(task.done() for task in later)
        log.barriers[1].set_result(b"")
        assert all(await asyncio.gather(*later))

    asyncio.run(run())


def test_a_round_that_waits_for_a_leader_does_not_delay_the_next_one():
    # After a restart of all processes, the first request comes before there is
    # a leader and its round waits for one. Requests shortly after that waited
    # for this round and then for another one, and so did their callers.
    async def run():
        log = _Log()
        batcher = confirmation_batcher.ConfirmationBatcher(log)
        first = asyncio.create_task(batcher.confirm())
        await _settle()
        later = asyncio.create_task(batcher.confirm())
        await asyncio.sleep(1.5 * confirmation_batcher.OVERLAP_S)
        assert len(log.barriers) == 2
        for barrier in log.barriers:
            barrier.set_result(b"")
        assert await first
        assert await later

    asyncio.run(run())


def test_without_a_majority_nothing_is_confirmed():
    async def run():
        log = _Log()
        batcher = confirmation_batcher.ConfirmationBatcher(log)
        task = asyncio.create_task(batcher.confirm())
        await _settle()
        log.barriers[0].set_exception(
            errors.UnavailableError(errors.ErrorKind.NO_QUORUM, "cut off")
        )
        assert not await task
        again = asyncio.create_task(batcher.confirm())
        await asyncio.sleep(0.01)
        log.barriers[1].set_result(b"")
        assert await again

    asyncio.run(run())
