"""Exchange of the known entries and their data between control processes.

An entry follows one control process, but an operator may query any. Each
control process queries each other one at a fixed interval, one task per peer.
"""

import asyncio
from collections import abc
import functools
import time

from grpclib import client

from cardamombarrow.kernel import clock
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import cache_announcement_relay
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_grpc
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import followers as followers_module
from cardamombarrow.peers.control import metering_collector

__all__ = ["FollowerExchange"]

INTERVAL_S = 1.0
TIMEOUT_S = 2.0


class FollowerExchange(loop_module.LoopPart):
    """Merges the followers and data of the other control processes."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        controls: abc.Callable[[], set[str]],
        secret: str,
        table: followers_module.Followers,
        cache_announcements: cache_announcement_relay.CacheAnnouncementRelay,
        collector: metering_collector.MeteringCollector,
        leads: abc.Callable[[], bool],
    ):
        """Creates the exchange.

        Args:
            loop: The loop on which it runs.
            controls: Returns the addresses of the other control processes.
            secret: Shared secret that authenticates the instances.
            table: The known entries.
            cache_announcements: What entries share about the caches of engines.
            collector: Usage and demand counted by entries.
            leads: Returns whether this process leads the log and therefore
                needs the usage of all entries.
        """
        super().__init__(loop)
        self._controls = controls
        self._secret = secret
        self._table = table
        self._cache_announcements = cache_announcements
        self._collector = collector
        self._leads = leads
        self._boot_clock = clock.BootClock()

    async def _run(self) -> None:
        """Runs one task for each other control process.

        Control processes are replaced while this one runs; a list from the
        settings alone would never include a replacement.
        """
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                wanted = self._controls()
                for address in set(tasks) - wanted:
                    tasks.pop(address).cancel()
                for address in wanted - set(tasks):
                    tasks[address] = asyncio.create_task(
                        loop_module.supervise(
                            "_poll_forever",
                            functools.partial(self._poll_forever, address),
                        )
                    )
                await asyncio.sleep(INTERVAL_S)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _poll_forever(self, address: str) -> None:
        channel = secret_module.channel(address, self._secret)
        request = control_pb2.FollowersRequest()
        try:
            while True:
                await asyncio.sleep(INTERVAL_S)
                request.wants_usage = self._leads()
                asked_s = self._boot_clock.now_s()
                asked_monotonic_s = time.monotonic()
                reply = await self._request_followers(channel, request)
                if reply is not None:
                    self._table.merge(reply, address, asked_monotonic_s)
                    self._apply(address, request, asked_s, reply)
                else:
                    # The link may be silent: use a new connection for the
                    # next request.
                    request = control_pb2.FollowersRequest()
                    channel.close()
                    channel = secret_module.channel(address, self._secret)
        finally:
            channel.close()

    async def _request_followers(
        self, channel: client.Channel, request: control_pb2.FollowersRequest
    ) -> control_pb2.FollowersReply | None:
        """Sends one request; returns None if there is no reply."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                stub = control_grpc.ControlStub(channel)
                return await stub.Followers(request)
        except control_client.LINK_ERRORS:
            return None

    def _apply(
        self,
        address: str,
        request: control_pb2.FollowersRequest,
        asked_s: float,
        reply: control_pb2.FollowersReply,
    ) -> None:
        """Applies a reply and sets its numbers in the next request."""
        self._cache_announcements.put(reply.kept, "", time.monotonic())
        request.kept_since = reply.kept_number
        self._table.put_suspects(reply.suspects, "")
        request.suspects_since = reply.suspects_number
        self._collector.merge_reply(address, asked_s, reply)
        if reply.usage_number:
            request.usage_since = reply.usage_number
