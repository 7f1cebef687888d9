"""Control processes tell each other which entries they hear and what these say.

An entry follows one control process; an operator may ask any. Each control
process asks each other one at a fixed interval, one task per peer.
"""

import asyncio
from collections import abc
import time

from grpclib import client

from cardamombarrow.kernel import clock
from cardamombarrow.peers import collecting
from cardamombarrow.peers import control_client
from cardamombarrow.peers import control_grpc
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import followers as followers_module
from cardamombarrow.peers import kept_board
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module

__all__ = ["FollowerExchange"]

INTERVAL_S = 1.0
TIMEOUT_S = 2.0


class FollowerExchange(loop_module.LoopPart):
    """Keeps a table of followers in step with the other controls'."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        controls: abc.Callable[[], set[str]],
        secret: str,
        table: followers_module.Followers,
        kept: kept_board.KeptBoard,
        metered: collecting.MeteringCollector,
        leads: abc.Callable[[], bool],
    ):
        """Builds the exchange.

        Args:
            loop: Where it runs.
            controls: Returns the addresses of the others.
            secret: What instances authenticate each other by.
            table: The entries heard of.
            kept: What entries tell of engines' caches.
            metered: What entries count.
            leads: Whether this process needs what other entries count.
        """
        super().__init__(loop)
        self._controls = controls
        self._secret = secret
        self._table = table
        self._kept = kept
        self._metered = metered
        self._leads = leads
        self._boot_clock = clock.BootClock()

    async def _run(self) -> None:
        """Keeps one task for each other control process.

        They come and go while this process runs; asked by the settings alone,
        one that took the place of another would never be heard.
        """
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                wanted = self._controls()
                for address in set(tasks) - wanted:
                    tasks.pop(address).cancel()
                for address in wanted - set(tasks):
                    tasks[address] = asyncio.create_task(
                        self._ask_forever(address)
                    )
                await asyncio.sleep(INTERVAL_S)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _ask_forever(self, address: str) -> None:
        channel = secret_module.channel(address, self._secret)
        asked = control_pb2.FollowersRequest()
        try:
            while True:
                await asyncio.sleep(INTERVAL_S)
                asked.wants_usage = self._leads()
                asked_s = self._boot_clock.now_s()
                reply = await self._ask(channel, asked)
                if reply is not None:
                    self._take(address, asked, asked_s, reply)
                else:
                    # It may have gone silent: the next request gets a new
                    # connection.
                    asked = control_pb2.FollowersRequest()
                    channel.close()
                    channel = secret_module.channel(address, self._secret)
        finally:
            channel.close()

    async def _ask(
        self, channel: client.Channel, request: control_pb2.FollowersRequest
    ) -> control_pb2.FollowersReply | None:
        """Asks once; None where there was no answer."""
        try:
            return await asyncio.wait_for(
                control_grpc.ControlStub(channel).Followers(request), TIMEOUT_S
            )
        except control_client.LINK_ERRORS:
            return None

    def _take(
        self,
        address: str,
        asked: control_pb2.FollowersRequest,
        asked_s: float,
        reply: control_pb2.FollowersReply,
    ) -> None:
        """Takes an answer, and notes in the question what it has told."""
        self._table.merge(reply)
        self._kept.put(reply.kept, "", time.monotonic())
        asked.kept_since = reply.kept_number
        self._metered.merge_reply(address, asked_s, reply)
        if reply.usage_number:
            asked.usage_since = reply.usage_number
