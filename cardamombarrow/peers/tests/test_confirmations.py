"""Who asks shares a round of the log, but never one that began before."""

import asyncio
from concurrent import futures

from cardamombarrow.kernel import errors
from cardamombarrow.log import local
from cardamombarrow.peers import confirmations


class _Log(local.LocalLog):
    """Hands out barriers that the test ends."""

    def __init__(self):
        self.barriers = []

    def barrier(self):
        self.barriers.append(futures.Future())
        return self.barriers[-1]


async def _settle():
    for _ in range(5):
        await asyncio.sleep(0)


def test_those_who_ask_during_a_round_share_the_next_one():
    # A change is accepted while a round is under way. An entry that asks then
    # must not be told by that round that nothing newer was accepted.
    async def run():
        log = _Log()
        asked = confirmations.Confirmations(log)
        first = asyncio.create_task(asked.confirm())
        await _settle()
        later = [asyncio.create_task(asked.confirm()) for _ in range(3)]
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


def test_a_round_that_waits_for_a_leader_does_not_hold_up_the_next_one():
    # All were restarted. The first entry asks before there is a leader; its
    # round waits for one. Those who ask a moment later waited for that round
    # and then for one of their own, and their callers with them.
    async def run():
        log = _Log()
        asked = confirmations.Confirmations(log)
        first = asyncio.create_task(asked.confirm())
        await _settle()
        later = asyncio.create_task(asked.confirm())
        await asyncio.sleep(1.5 * confirmations.OVERLAP_S)
        assert len(log.barriers) == 2
        for barrier in log.barriers:
            barrier.set_result(b"")
        assert await first
        assert await later

    asyncio.run(run())


def test_without_a_majority_nothing_is_confirmed():
    async def run():
        log = _Log()
        asked = confirmations.Confirmations(log)
        task = asyncio.create_task(asked.confirm())
        await _settle()
        log.barriers[0].set_exception(
            errors.UnavailableError(errors.ErrorKind.NO_QUORUM, "cut off")
        )
        assert not await task
        again = asyncio.create_task(asked.confirm())
        await asyncio.sleep(0.01)
        log.barriers[1].set_result(b"")
        assert await again

    asyncio.run(run())
