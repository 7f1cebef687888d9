"""A small fault-injecting TCP proxy for tests and benchmarks.

A `Proxy` holds links, each with its own listening port and one target. Every
link can be slowed down, cut, or made to go silent while it runs. All links of
a proxy share one thread with an asyncio loop, in the process of the test.

Example:
    >>> with Proxy() as proxy:  # doctest: +SKIP
    ...     link = proxy.link("entry-1", "control-1", "127.0.0.1:7001")
    ...     link.delay_s = 0.03
    ...     link.silence(new_too=False)
    ...     link.mend()

Notes:
    The delay applies to bytes; the handshake of a connection is not slowed
    down. A cut link takes a new connection and resets it at once.
"""

import asyncio
from collections import abc
import contextlib
import enum
import socket
import struct
import threading

__all__ = ["Link", "LinkState", "Proxy"]

READ_SIZE_BYTES = 65_536
CHUNKS_UNDER_WAY = 1_024
"""Chunks that a delayed direction holds before it stops reading."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """What becomes of new connections."""

    OPEN = "open"
    CUT = "cut"
    SILENT = "silent"


class _Connection:
    """One relayed connection; all methods run on the loop.

    Attributes:
        swallowed: Bytes and ends of both sides are dropped, for good.
    """

    def __init__(self, link: "Link", writer: asyncio.StreamWriter):
        self._link = link
        self._writers = [writer]
        self.swallowed = False

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Relays until both sides have ended."""
        if self._link.state is LinkState.SILENT:
            self.swallowed = True
            await self._swallow(reader)
            return
        host, _, port = self._link.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self.reset()
            return
        self._writers.append(far_writer)
        await asyncio.gather(
            self._relay(reader, far_writer),
            self._relay(far_reader, self._writers[0]),
        )

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            CHUNKS_UNDER_WAY
        )
        sender = asyncio.create_task(self._send(queue, writer))
        loop = asyncio.get_running_loop()
        try:
            while not sender.done():
                data = await reader.read(READ_SIZE_BYTES)
                await queue.put((loop.time() + self._link.delay_s, data))
                if not data:
                    break
            await sender
        except OSError:
            if not self.swallowed:
                self.reset()
        finally:
            sender.cancel()

    async def _send(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            if self.swallowed:
                continue
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    async def _swallow(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(READ_SIZE_BYTES):
                pass
        # Whatever lost track of the connection doesn't pass its end on.
        await asyncio.Event().wait()

    def reset(self) -> None:
        """Resets both sides."""
        for writer in self._writers:
            raw = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()

    def close(self) -> None:
        """Closes both sides."""
        for writer in self._writers:
            writer.close()


class Link:
    """One listening port with one target.

    Attributes:
        source: Who uses the link.
        name: Whom it leads to.
        target: Address ``host:port`` that it leads to.
        address: Address ``host:port`` to connect to instead.
        delay_s: One-way delay of bytes, in both directions.
        state: What becomes of new connections.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        source: str,
        name: str,
        target: str,
    ):
        self.source = source
        self.name = name
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.state = LinkState.OPEN
        self._loop = loop
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        """Starts listening on a free port; runs on the loop."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self, writer)
        if self.state is LinkState.CUT:
            connection.reset()
            return
        self._connections.add(connection)
        try:
            await connection.run(reader)
        finally:
            self._connections.discard(connection)
            connection.close()

    def cut(self) -> None:
        """Resets all connections, and each new one."""
        self._call(self._cut)

    def _cut(self) -> None:
        self.state = LinkState.CUT
        for connection in list(self._connections):
            connection.reset()

    def silence(self, *, new_too: bool) -> None:
        """Swallows what comes on existing connections, without an end.

        Args:
            new_too: Whether new connections hang as well; otherwise they
                work, while the existing ones stay silent for good.
        """
        self._call(lambda: self._silence(new_too))

    def _silence(self, new_too: bool) -> None:
        self.state = LinkState.SILENT if new_too else LinkState.OPEN
        for connection in self._connections:
            connection.swallowed = True

    def mend(self) -> None:
        """Lets new connections work; silent ones stay silent."""
        self.state = LinkState.OPEN

    def _call(self, function: abc.Callable[[], None]) -> None:
        done = threading.Event()

        def call() -> None:
            function()
            done.set()

        self._loop.call_soon_threadsafe(call)
        done.wait(timeout=5)


class Proxy(contextlib.AbstractContextManager):
    """Links by source and name, on one loop thread.

    Attributes:
        links: Every link, by source and name.
    """

    def __init__(self):
        self.links: dict[tuple[str, str], Link] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="proxy", daemon=True
        )
        self._thread.start()

    def __exit__(self, *_: object) -> None:
        """Ends all links."""
        self.close()

    def close(self) -> None:
        """Ends all links."""
        if self._loop.is_closed():
            return
        asyncio.run_coroutine_threadsafe(self._cancel(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def link(self, source: str, name: str, target: str) -> Link:
        """Returns the link of a pair; opens it at the first call."""
        key = (source, name)
        if key not in self.links:
            link = Link(self._loop, source, name, target)
            asyncio.run_coroutine_threadsafe(link.listen(), self._loop).result(
                5
            )
            self.links[key] = link
        return self.links[key]

    def between(
        self, one: abc.Collection[str], other: abc.Collection[str]
    ) -> list[Link]:
        """Returns the links that join two groups, in both directions."""
        return [
            link
            for (source, name), link in self.links.items()
            if (source in one and name in other)
            or (source in other and name in one)
        ]
