"""Followers of a control process with narrow links, for tests."""

import asyncio
import contextlib
import threading
import time

from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_grpc
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec
from tools import deployment

__all__ = ["SlowFollowers"]

CONFIRM_INTERVAL_S = 1.0
CONFIRM_TIMEOUT_S = 1.0
LINK_BYTES_PER_S = 625_000.0


class _Follower:
    """Follows and asks for confirmations, as an entry does."""

    def __init__(self, name: str, address: str):
        self.revision = 1
        self.unconfirmed = 0
        self._name = name
        channel = secret_module.channel(address, deployment.SECRET)
        self._stub = control_grpc.ControlStub(channel)

    async def run(self) -> None:
        """Runs until it is cancelled."""
        await asyncio.gather(self._follow(), self._confirm())

    async def _follow(self) -> None:
        async with self._stub.Follow.open() as stream:
            await stream.send_message(
                control_pb2.AppliedReport(
                    instance=self._name,
                    applied_revision=self.revision,
                    takes_packed=True,
                )
            )
            while message := await stream.recv_message():
                self._take(message)

    async def _confirm(self) -> None:
        while True:
            request = control_pb2.ConfirmRequest(
                instance=self._name,
                applied_revision=self.revision,
                takes_packed=True,
            )
            try:
                async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                    reply = await self._stub.Confirm(request)
                self._take(reply.document)
            except control_client.LINK_ERRORS:
                self.unconfirmed += 1
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    def _take(self, message: control_pb2.DocumentMessage) -> None:
        if document_codec.has_text(message):
            self.revision = max(self.revision, message.revision)


class SlowFollowers(contextlib.AbstractContextManager):
    """Followers of one control process, each on a link of 5 Mbit/s."""

    def __init__(self, running: deployment.Deployment, name: str, count: int):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._followers = []
        for number in range(count):
            source = f"follower-{number}"
            link = running.proxy.link(source, name, running.peers[name])
            link.bytes_per_s = LINK_BYTES_PER_S
            self._followers.append((source, link.address))

    def __enter__(self) -> "SlowFollowers":
        """Starts all followers."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(10)
        return self

    async def _start(self) -> None:
        self._followers = [_Follower(*each) for each in self._followers]
        self._tasks = [
            asyncio.create_task(each.run()) for each in self._followers
        ]

    def __exit__(self, *_: object) -> None:
        """Stops all followers."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def wait_for(self, revision: int, timeout_s: float) -> int:
        """Returns how many have a revision, once all do or after a time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s and self._count(revision) < len(
            self._followers
        ):
            time.sleep(0.05)
        return self._count(revision)

    def _count(self, revision: int) -> int:
        return sum(each.revision >= revision for each in self._followers)
