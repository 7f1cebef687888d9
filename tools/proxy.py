"""A small fault-injecting TCP proxy for tests and benchmarks.

A `Proxy` has links, each with its own listening port and one target. Every
link can be delayed, slowed, cut or silenced while it runs. All links of a proxy
share one thread with an asyncio loop, in the process of the test.

Example:
    >>> with Proxy() as proxy:  # doctest: +SKIP
    ...     link = proxy.link("entry-1", "control-1", "127.0.0.1:7001")
    ...     link.delay_s = 0.03
    ...     link.silence(new_too=False)
    ...     link.restore()

Notes:
    The delay applies to bytes, not to the handshake of a connection. A cut link
    accepts new connections and resets them at once.
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
LIMITED_READ_BYTES = 4_096
"""The same on a link with a bandwidth, which buffers little."""

MAX_QUEUED_CHUNKS = 1_024
"""Chunks that a delayed direction buffers before it stops reading."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """How a link handles new connections."""

    OPEN = "open"
    CUT = "cut"
    SILENT = "silent"


class _Connection:
    """One relayed connection; all methods run on the loop.

    Attributes:
        is_silent: Whether bytes and closes of both sides are dropped. It is
            never unset.
    """

    def __init__(self, link: "Link", writer: asyncio.StreamWriter):
        self._link = link
        self._writers = [writer]
        self.is_silent = False

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Relays until both sides have closed."""
        if self._link.state is LinkState.SILENT:
            self.is_silent = True
            await self._discard(reader)
            return
        host, _, port = self._link.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self.reset()
            return
        self._writers.append(target_writer)
        await asyncio.gather(
            self._relay(reader, target_writer),
            self._relay(target_reader, self._writers[0]),
        )

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_QUEUED_CHUNKS
        )
        sender = asyncio.create_task(self._send(queue, writer))
        loop = asyncio.get_running_loop()
        try:
            while not sender.done():
                bytes_per_s = self._link.bytes_per_s
                data = await reader.read(
                    LIMITED_READ_BYTES if bytes_per_s else READ_SIZE_BYTES
                )
                if bytes_per_s:
                    await asyncio.sleep(len(data) / bytes_per_s)
                await queue.put((loop.time() + self._link.delay_s, data))
                if not data:
                    break
            await sender
        except OSError:
            if not self.is_silent:
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
            if self.is_silent:
                continue
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    async def _discard(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(READ_SIZE_BYTES):
                pass
        # A middlebox that lost the connection's state doesn't forward its
        # close.
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
        source: Name of the process that connects.
        name: Name of the target process.
        target: Address ``host:port`` of the target.
        address: Address ``host:port`` on which the link listens.
        delay_s: One-way delay of bytes, in both directions.
        bytes_per_s: Bandwidth of each connection in each direction; 0 for no
            limit.
        state: How the link handles new connections.
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
        self.bytes_per_s = 0.0
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
        """Resets all connections, and each new one at once."""
        self._call(self._cut)

    def _cut(self) -> None:
        self.state = LinkState.CUT
        for connection in list(self._connections):
            connection.reset()

    def silence(self, *, new_too: bool) -> None:
        """Drops all data of existing connections without closing them.

        Args:
            new_too: Whether new connections are silent as well; otherwise
                they work, while the existing ones stay silent.
        """
        self._call(lambda: self._silence(new_too))

    def _silence(self, new_too: bool) -> None:
        self.state = LinkState.SILENT if new_too else LinkState.OPEN
        for connection in self._connections:
            connection.is_silent = True

    def restore(self) -> None:
        """Relays new connections; silent ones stay silent."""
        self.state = LinkState.OPEN

    def _call(self, function: abc.Callable[[], None]) -> None:
        done = threading.Event()

        def call() -> None:
            function()
            done.set()

        self._loop.call_soon_threadsafe(call)
        done.wait(timeout=5)


class Proxy(contextlib.AbstractContextManager):
    """Links that share one loop thread.

    Attributes:
        links: Links by source and name.
    """

    def __init__(self):
        self.links: dict[tuple[str, str], Link] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="proxy", daemon=True
        )
        self._thread.start()

    def __exit__(self, *_: object) -> None:
        """Closes all links."""
        self.close()

    def close(self) -> None:
        """Closes all links."""
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
        """Returns the link of a source and a target; opens it on first use."""
        key = (source, name)
        if key not in self.links:
            link = Link(self._loop, source, name, target)
            asyncio.run_coroutine_threadsafe(link.listen(), self._loop).result(
                5
            )
            self.links[key] = link
        return self.links[key]

    def between(
        self, first: abc.Collection[str], second: abc.Collection[str]
    ) -> list[Link]:
        """Returns the links between two groups, in both directions."""
        return [
            link
            for (source, name), link in self.links.items()
            if (source in first and name in second)
            or (source in second and name in first)
        ]
