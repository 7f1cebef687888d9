"""Long-lived streams between control processes, for the replicated log.

One task per peer maintains one stream: it connects, sends queued envelopes and
pings, and reconnects when the link breaks or goes silent. Envelopes queued for
a broken link are dropped; the log resends what is still needed.
"""

import asyncio
import collections
from concurrent import futures
import contextlib
import random

from grpclib import client
from grpclib import server

from cardamombarrow.kernel import logs
from cardamombarrow.log import codec
from cardamombarrow.log import driver
from cardamombarrow.log import membership
from cardamombarrow.log import messages
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.log import log_grpc
from cardamombarrow.peers.log import log_pb2

__all__ = ["LogService", "LogTransport"]

PING_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 2.5
"""A link without an answer to its pings for this long, two pings, is replaced.
Until then a third voter relays messages."""

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 15.0
"""A stream that received nothing for this long, not even a ping, is closed."""

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0

QUEUE_LIMIT = 2_000
"""Maximum number of queued envelopes per link; the oldest are dropped."""

PACKET_LIMIT = 64
"""Maximum number of envelopes in one packet. With entries of at most 256 KB,
packets usually stay far below the message limit of 4 MB; an envelope of any
size is sent at least by itself."""

PACKET_LIMIT_BYTES = 1_000_000


class LogService(log_grpc.LogBase):
    """Receives the packets of other members; runs on the loop thread."""

    def __init__(self):
        self._receive: driver.Receive | None = None

    def attach(self, receive: driver.Receive | None) -> None:
        """Sets the receiver of the envelopes."""
        self._receive = receive

    async def Exchange(self, stream: server.Stream) -> None:  # noqa: N802
        """Receives packets until the peer closes the stream or times out."""
        with contextlib.suppress(TimeoutError):
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    packet = await stream.recv_message()
                if packet is None:
                    return
                if packet.envelopes and self._receive is not None:
                    self._receive(
                        [codec.envelope_from_wire(w) for w in packet.envelopes],
                        membership.VoterId(packet.sender),
                    )
                if packet.ping:
                    await stream.send_message(log_pb2.LogPong(ping=packet.ping))


class _Link:
    """The stream to one address, run by one task."""

    def __init__(self, address: str, secret: str, sender: str):
        self._address = address
        self._secret = secret
        self._sender = sender
        self._queue: collections.deque[log_pb2.LogEnvelope] = collections.deque(
            maxlen=QUEUE_LIMIT
        )
        self._wake = asyncio.Event()
        self._answered_s = 0.0
        self.task = asyncio.create_task(self._run())

    def put(self, wire: log_pb2.LogEnvelope) -> None:
        """Queues one envelope."""
        self._queue.append(wire)
        self._wake.set()

    async def _run(self) -> None:
        pause_s = RECONNECT_MIN_S
        while True:
            channel = secret_module.channel(self._address, self._secret)
            started_s = asyncio.get_running_loop().time()
            try:
                await self._run_stream(channel)
            except control_client.LINK_ERRORS as error:
                logs.event(
                    "log link lost",
                    "DEBUG",
                    address=self._address,
                    detail=repr(error),
                )
            finally:
                channel.close()
            if (
                asyncio.get_running_loop().time() - started_s
                > SILENCE_TIMEOUT_S
            ):
                pause_s = RECONNECT_MIN_S
            await asyncio.sleep(random.uniform(RECONNECT_MIN_S / 2, pause_s))
            pause_s = min(pause_s * 2, RECONNECT_MAX_S)
            self._queue.clear()

    async def _run_stream(self, channel: client.Channel) -> None:
        stub = log_grpc.LogStub(channel)
        async with stub.Exchange.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_message(self._packet(ping=1))
            self._answered_s = asyncio.get_running_loop().time()
            reader = asyncio.create_task(self._read(stream))
            try:
                await self._send_all(stream, reader)
            finally:
                reader.cancel()
                await stream.cancel()

    async def _read(self, stream: client.Stream) -> None:
        async for _ in stream:
            self._answered_s = asyncio.get_running_loop().time()

    async def _send_all(
        self, stream: client.Stream, reader: asyncio.Task
    ) -> None:
        loop = asyncio.get_running_loop()
        ping, ping_due_s = 1, loop.time() + PING_INTERVAL_S
        while not reader.done():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ping_due_s):
                    await self._wake.wait()
            is_due = loop.time() >= ping_due_s
            if is_due:
                ping, ping_due_s = ping + 1, loop.time() + PING_INTERVAL_S
            if loop.time() - self._answered_s > SILENCE_TIMEOUT_S:
                raise TimeoutError("no answer to pings")
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await stream.send_message(self._packet(ping if is_due else 0))
        reader.result()

    def _packet(self, ping: int) -> log_pb2.LogPacket:
        packet = log_pb2.LogPacket(sender=self._sender, ping=ping)
        size_bytes = 0
        while self._queue and len(packet.envelopes) < PACKET_LIMIT:
            size_bytes += self._queue[0].ByteSize()
            if packet.envelopes and size_bytes > PACKET_LIMIT_BYTES:
                break
            packet.envelopes.append(self._queue.popleft())
        if not self._queue:
            self._wake.clear()
        return packet


class LogTransport(driver.Transport):
    """Sends envelopes over long-lived streams, one per peer."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        secret: str,
        service: LogService,
        addresses: dict[str, str],
    ):
        """Creates a transport.

        Args:
            loop: The loop thread.
            secret: The shared secret.
            service: Receives the envelopes of other members.
            addresses: Addresses by instance name, from the settings. They
                override those of the membership, since a peer may have another
                address when reached from here.
        """
        self._loop = loop
        self._secret = secret
        self._service = service
        self._addresses = addresses
        self._links: dict[str, _Link] = {}
        self._own_id = ""

    def start(self, me: membership.Member, receive: driver.Receive) -> None:
        """See `driver.Transport.start`."""
        self._own_id = me.id
        self._service.attach(receive)

    def stop(self) -> None:
        """See `driver.Transport.stop`."""
        self._service.attach(None)
        with contextlib.suppress(futures.TimeoutError):
            self._loop.call(self._close()).result(timeout=5)

    async def _close(self) -> None:
        for link in self._links.values():
            link.task.cancel()
        self._links.clear()

    def send(
        self,
        envelopes: list[messages.Envelope],
        members: tuple[membership.Member, ...],
    ) -> None:
        """See `driver.Transport.send`."""
        by_address = []
        known = {member.id: member.address for member in members}
        for envelope in envelopes:
            name = membership.name_of(envelope.hop)
            address = self._addresses.get(name)
            address = address or known.get(envelope.hop) or envelope.address
            if address:
                wire = codec.envelope_to_wire(envelope)
                by_address.append((address, wire))
        self._loop.call(self._put(by_address))

    async def _put(
        self, by_address: list[tuple[str, log_pb2.LogEnvelope]]
    ) -> None:
        for address, wire in by_address:
            if address not in self._links:
                self._links[address] = _Link(
                    address, self._secret, self._own_id
                )
            self._links[address].put(wire)
