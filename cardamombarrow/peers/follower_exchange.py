"""Control processes tell each other which entries they hear and what these say.

An entry follows one control process; an operator may ask any. Each control
process asks each other one at a fixed interval, one task per peer.
"""

import asyncio
from collections import abc
import time

from grpclib import client

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
    ):
        super().__init__(loop)
        self._controls = controls
        self._secret = secret
        self._table = table
        self._kept = kept

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
        number: int | None = 0
        try:
            while True:
                await asyncio.sleep(INTERVAL_S)
                number = await self._ask(channel, number or 0)
                if number is None:
                    # It may have gone silent: the next request gets a new
                    # connection.
                    channel.close()
                    channel = secret_module.channel(address, self._secret)
        finally:
            channel.close()

    async def _ask(self, channel: client.Channel, number: int) -> int | None:
        """Asks once.

        Args:
            channel: The connection.
            number: The number that the last answer bore.

        Returns:
            The number of this one; None where there was none.
        """
        request = control_pb2.FollowersRequest(kept_since=number)
        try:
            reply = await asyncio.wait_for(
                control_grpc.ControlStub(channel).Followers(request), TIMEOUT_S
            )
        except control_client.LINK_ERRORS:
            return None
        self._table.merge(reply)
        self._kept.put(reply.kept, "", time.monotonic())
        return reply.kept_number
