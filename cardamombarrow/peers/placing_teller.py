"""Tells the placers of other domains what this one has on endpoints.

Load pattern answered: a burst in all domains. The placer of one domain knows
its own domain's engines well and the others' not at all, so that the others'
look idle to it; all placers then send to each other's engines, away from those
that they know to be loaded.

What crosses domains are sums by endpoint, and only those that changed. Their
number grows with domains and endpoints, not with entries.
"""

import asyncio
from collections import abc
import time

from grpclib import client

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import control_client
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import placing_codec
from cardamombarrow.peers import placing_grpc
from cardamombarrow.peers import secret as secret_module

__all__ = ["PULSE_S", "LoadTeller"]

INTERVAL_S = 0.1
"""Time between two messages while something changes."""

PULSE_S = 1.0
"""Time between two messages while nothing does."""

SILENT_S = 4.0
"""A stream without a pulse for this long is opened anew."""

RETRY_S = 1.0

IDLE_LOOK_S = 0.5
"""Time between two looks at whether this instance places."""

_Loads = dict[ids.EndpointId, messages.PeerLoad]
_NOTHING = messages.PeerLoad((), 0, 0.0, 0.0)


def changed(before: _Loads, now: _Loads) -> _Loads:
    """Returns what has to be told of loads that were told before.

    What runs on an endpoint no longer is told as nothing.
    """
    gone = dict.fromkeys(before.keys() - now.keys(), _NOTHING)
    news = {
        endpoint: load
        for endpoint, load in now.items()
        if _figures(before.get(endpoint, _NOTHING)) != _figures(load)
    }
    return gone | news


def _figures(
    load: messages.PeerLoad,
) -> tuple[tuple[int, ...], int, int]:
    return load.ranks, load.unread, round(load.unread_tokens)


class LoadTeller(loop_module.LoopPart):
    """Keeps a stream to each other placer while this instance places."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        instance: ids.InstanceId,
        secret: str,
        own_loads: abc.Callable[[], _Loads],
        places: abc.Callable[[], bool],
    ):
        super().__init__(loop)
        self._instance = instance
        self._secret = secret
        self._own_loads = own_loads
        self._places = places
        self._placers: frozenset[str] = frozenset()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._loads: _Loads = {}

    def set_placers(self, addresses: abc.Iterable[str]) -> None:
        """Takes the addresses of other domains' placers; from any thread."""
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
                        self._tell_forever(address)
                    )
                await asyncio.sleep(INTERVAL_S if wanted else IDLE_LOOK_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _tell_forever(self, address: str) -> None:
        while True:
            channel = secret_module.channel(address, self._secret)
            try:
                async with placing_grpc.PlacingStub(channel).Tell.open() as out:
                    logs.event("tells loads", to=address)
                    await self._tell(out)
            except control_client.LINK_ERRORS as error:
                logs.event(
                    "loads not told", "DEBUG", to=address, detail=repr(error)
                )
            finally:
                channel.close()
            await asyncio.sleep(RETRY_S)

    async def _tell(self, stream: client.Stream) -> None:
        told: _Loads = {}
        told_s = time.monotonic()
        # grpclib opens a stream with its first message; nothing can be read
        # before.
        hello = placing_codec.loads_to_wire(self._instance, {})
        async with asyncio.timeout(SILENT_S):
            await stream.send_message(hello)
        reader = asyncio.create_task(self._read(stream))
        try:
            while not reader.done():
                loads = self._loads
                news = changed(told, loads)
                now_s = time.monotonic()
                if news or now_s - told_s >= PULSE_S:
                    await stream.send_message(
                        placing_codec.loads_to_wire(self._instance, news)
                    )
                    told, told_s = loads, now_s
                await asyncio.sleep(INTERVAL_S)
        finally:
            reader.cancel()
        # A stream that is left without an error waits for the other side's
        # last word, which never comes over a silent link.
        raise TimeoutError("the other side is silent, or has ended")

    async def _read(self, stream: client.Stream) -> None:
        """Ends when the other side has been silent for too long."""
        try:
            while await asyncio.wait_for(stream.recv_message(), SILENT_S):
                pass
        except control_client.LINK_ERRORS:
            return
