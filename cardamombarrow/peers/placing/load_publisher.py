"""Publishes the loads of a domain's placer to the placers of other domains.

Handles a burst in all domains at once. The placer of one domain knows the load
of its own domain's engines only, so those of other domains look idle to it;
without this exchange, all placers would send to each other's engines, away
from those that they know to be loaded.

Only sums per endpoint that changed are sent between domains. Their number
grows with domains and endpoints, not with entries.
"""

import asyncio
from collections import abc
import functools
import time

from grpclib import client

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.placing import codec as placing_codec
from cardamombarrow.peers.placing import origin_codec
from cardamombarrow.peers.placing import placing_grpc
from cardamombarrow.resumption import core as resumption

__all__ = ["KEEPALIVE_S", "LoadPublisher"]

INTERVAL_S = 0.1
"""Time between two messages while loads change."""

KEEPALIVE_S = 1.0
"""Time between two messages while they don't."""

SILENCE_TIMEOUT_S = 4.0
"""A stream that received nothing for this long is reopened."""

RETRY_S = 1.0

MAX_ORIGINS = 20
"""Most origins of streams in one message, the newest ones: each is passed on to
all entries of the other domain, whose callers rarely resume it there."""

MAX_ORIGINS_WAITING = 500
"""Most origins that wait for later messages; the oldest ones are left out."""

IDLE_CHECK_S = 0.5
"""Time between two checks of whether this instance is a placer."""

_Loads = dict[ids.EndpointId, messages.PeerLoad]
_NO_LOAD = messages.PeerLoad((), 0, 0.0, 0.0)


def changed(before: _Loads, now: _Loads) -> _Loads:
    """Returns the loads that differ; endpoints without load get an empty one.

    Args:
        before: The loads that were sent last.
        now: The current loads.
    """
    gone = dict.fromkeys(before.keys() - now.keys(), _NO_LOAD)
    updated = {
        endpoint: load
        for endpoint, load in now.items()
        if _figures(before.get(endpoint, _NO_LOAD)) != _figures(load)
    }
    return gone | updated


def _figures(
    load: messages.PeerLoad,
) -> tuple[tuple[int, ...], int, int]:
    return load.ranks, load.unread, round(load.unread_tokens)


class LoadPublisher(loop_module.LoopPart):
    """Maintains a stream to each other placer while this instance places."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        instance: ids.InstanceId,
        secret: str,
        own_loads: abc.Callable[[], _Loads],
        places: abc.Callable[[], bool],
        origins: resumption.StreamOrigins,
    ):
        super().__init__(loop)
        self._instance = instance
        self._secret = secret
        self._own_loads = own_loads
        self._places = places
        self._origins = origins
        self._placers: frozenset[str] = frozenset()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._loads: _Loads = {}

    def set_placers(self, addresses: abc.Iterable[str]) -> None:
        """Sets the addresses of other domains' placers; thread-safe."""
        self._placers = frozenset(addresses)

    async def _run(self) -> None:
        try:
            while True:
                wanted = self._placers if self._places() else frozenset()
                self._loads = self._own_loads() if wanted else {}
                for address in set(self._tasks) - wanted:
                    self._tasks.pop(address).cancel()
                for address in wanted - set(self._tasks):
                    self._tasks[address] = asyncio.create_task(
                        loop_module.supervise(
                            "_publish_forever",
                            functools.partial(self._publish_forever, address),
                        )
                    )
                await asyncio.sleep(INTERVAL_S if wanted else IDLE_CHECK_S)
        finally:
            while self._tasks:
                self._tasks.popitem()[1].cancel()

    async def _publish_forever(self, address: str) -> None:
        while True:
            channel = secret_module.channel(address, self._secret)
            try:
                async with placing_grpc.PlacingStub(channel).Tell.open() as out:
                    logs.event("load stream opened", to=address)
                    await self._publish(out)
            except control_client.LINK_ERRORS as error:
                logs.event(
                    "load stream lost", "DEBUG", to=address, detail=repr(error)
                )
            finally:
                channel.close()
            await asyncio.sleep(RETRY_S)

    async def _publish(self, stream: client.Stream) -> None:
        sent: _Loads = {}
        sent_s = time.monotonic()
        number = 0
        waiting: list[resumption.Record] = []
        # grpclib opens a stream with the first message; nothing can be read
        # before that.
        hello = placing_codec.loads_to_wire(self._instance, {})
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            await stream.send_message(hello)
        reader = asyncio.create_task(self._read(stream))
        try:
            while not reader.done():
                loads = self._loads
                updates = changed(sent, loads)
                now_s = time.monotonic()
                records, number = self._origins.since(
                    number, resumption.Source.DOMAIN
                )
                waiting = [*records, *waiting][:MAX_ORIGINS_WAITING]
                if updates or waiting or now_s - sent_s >= KEEPALIVE_S:
                    news = placing_codec.loads_to_wire(self._instance, updates)
                    news.origins.extend(
                        origin_codec.origins_to_wire(
                            waiting[:MAX_ORIGINS], now_s
                        )
                    )
                    del waiting[:MAX_ORIGINS]
                    await stream.send_message(news)
                    sent, sent_s = loads, now_s
                await asyncio.sleep(INTERVAL_S)
        finally:
            reader.cancel()
        # Leaving the stream's context without an error waits for the other
        # side to end the stream, which never happens over a silent link.
        raise TimeoutError(
            "the other placer is silent or has closed the stream"
        )

    async def _read(self, stream: client.Stream) -> None:
        """Returns once the other side has been silent for too long."""
        try:
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    if await stream.recv_message() is None:
                        return
        except control_client.LINK_ERRORS:
            return
