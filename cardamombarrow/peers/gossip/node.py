"""Transports gossip between the entries of a failure domain.

One task runs a round every second: it increments the version of the own row,
drops instances that timed out, and exchanges rows with a random partner over a
long-lived stream. Urgent changes start a round at once.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random

from grpclib import client
from grpclib import server

from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import addresses
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import left_out
from cardamombarrow.kernel import logs
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.gossip import codec as gossip_codec
from cardamombarrow.peers.gossip import gossip_grpc
from cardamombarrow.peers.gossip import gossip_pb2

__all__ = ["GossipHooks", "GossipNode", "GossipSettings", "fetch_document"]

INTERVAL_S = 1.0
"""Time between two rounds."""

FAN_OUT = 1
"""Partners in one round; see docs/gossip.md for measurements with two."""

URGENT_FAN_OUT = 3
"""Partners in an urgent round: each instance that receives the changes passes
them on to this many others, so that hardly any instance is missed."""

EXCHANGE_TIMEOUT_S = 1.5
"""An exchange that takes longer means a dead or silent link."""

MIN_ROUND_GAP_S = 0.05
"""Minimum time between two rounds; batches bursts of urgent changes."""

URGENT_CHECK_S = 0.2
"""Time between two checks for urgent changes."""

SEED_INTERVAL_S = 5.0
"""Time between two connection attempts to seeds at which no live instance is
known: after a partition, neither side knows the other any more."""

IDLE_TIMEOUT_S = 600.0
"""An incoming stream that is idle for this long is closed: the other side may
be gone without closing it, and connections would accumulate. With 36 instances
a stream is used every 35 s on average."""

LATE_S = 1.0
"""Delay of a round from which this process itself stood still."""

RETURN_S = 6.0
"""Time after it in which no instance is dropped: the rows of all of them arrive
within about 6 rounds."""

PULL_GRACE_S = 1.0
"""How long to wait for a newer document from a control process before it is
fetched from another instance."""

PULL_TIMEOUT_S = 5.0

ROUND_TIMEOUT_S = EXCHANGE_TIMEOUT_S + PULL_TIMEOUT_S
"""Longest time that a round takes while its process runs."""


@dataclasses.dataclass(frozen=True)
class GossipSettings:
    """Settings of a node.

    Attributes:
        domain: Failure domain of the instance.
        address: ``host:port`` at which the instance listens for others.
        seeds: Addresses of instances to contact first.
        secret: Shared secret that authenticates the instances.
    """

    domain: ids.DomainId
    address: str
    seeds: tuple[str, ...]
    secret: str


@dataclasses.dataclass(frozen=True)
class GossipHooks:
    """Callbacks from the node to the process; they must not block.

    Attributes:
        collect: Returns the items of the own row at the given time.
        has_urgent_changes: Returns whether there are urgent changes.
        on_changes: Called with received changes after the table has applied
            them. Returns whether to pass them on at once.
        on_members: Called when the live instances have changed, with all live
            instances and those that are gone.
        revision: Returns the revision of the document in force.
        document: Returns the document in force, packed for receivers that
            read packed texts.
        on_document: Called with a newer document; runs in a thread.
    """

    collect: abc.Callable[[float], dict[rows.Key, rows.Value]]
    has_urgent_changes: abc.Callable[[], bool]
    on_changes: abc.Callable[[rows.Changes, float], bool]
    on_members: abc.Callable[
        [frozenset[ids.InstanceId], list[ids.InstanceId]], None
    ]
    revision: abc.Callable[[], ids.Revision]
    document: abc.Callable[[bool], control_pb2.DocumentMessage]
    on_document: abc.Callable[[control_pb2.DocumentMessage], object]


class _Partner:
    """A long-lived stream to one address."""

    def __init__(self, address: str, secret: str):
        self._channel = secret_module.channel(address, secret)
        self._stream: client.Stream | None = None
        self.stub = gossip_grpc.GossipStub(self._channel)
        self.lock = asyncio.Lock()

    async def stream(self) -> client.Stream:
        """Returns the stream; opens it at the first call."""
        if self._stream is None:
            stream = self.stub.Exchange.open()
            self._stream = await stream.__aenter__()
        return self._stream

    def close(self) -> None:
        """Closes the connection."""
        self._channel.close()


class GossipNode(gossip_grpc.GossipBase, loop_module.LoopPart):
    """The gossip node of one instance; runs on the loop thread."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        table: table_module.Table,
        settings: GossipSettings,
        hooks: GossipHooks,
        time_source: clock.Clock,
    ):
        super().__init__(loop)
        self.table = table
        self._settings = settings
        self._seeds = settings.seeds
        self._hooks = hooks
        self._clock = time_source
        self._partners: dict[str, _Partner] = {}
        self._seed_of: dict[ids.InstanceId, str] = {}
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._next_seed_s = 0.0
        self._drops_from_s = 0.0
        self._newer_since_s: float | None = None
        self._left = False
        self._urgent = False
        self._wake = asyncio.Event()

    def stop(self) -> None:
        """Announces the shutdown to some instances and ends the rounds."""
        super().stop()
        self._loop.call(self._announce_shutdown()).result(
            timeout=2 * EXCHANGE_TIMEOUT_S
        )

    async def _announce_shutdown(self) -> None:
        self._left = self._urgent = True
        await self._round(self._clock.now_s())
        for partner in self._partners.values():
            partner.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds; may be called from any thread."""
        self._seeds = seeds

    def addresses(self) -> dict[ids.InstanceId, str]:
        """Returns the addresses of all live instances, including this one."""
        return {row.instance: self._address(row) for row in self.table.live()}

    def wake(self) -> None:
        """Starts a round at once; may be called from any thread."""
        self._loop.call(self._set_wake())

    async def _set_wake(self) -> None:
        self._wake.set()

    # -- rounds ----------------------------------------------------------------

    async def _run(self) -> None:
        next_s = self._clock.now_s()
        while True:
            begin_s = self._clock.now_s()
            self._note_delay(begin_s - next_s, begin_s)
            await self._round(begin_s)
            now_s = self._clock.now_s()
            self._note_delay(now_s - begin_s - ROUND_TIMEOUT_S, now_s)
            next_s = max(next_s + INTERVAL_S, now_s)
            await self._pause(next_s)

    def _note_delay(self, delay_s: float, now_s: float) -> None:
        """Keeps all instances for a while after this process stood still.

        It could not receive their rows meanwhile. Without them it would take
        itself for the only instance of its domain.
        """
        if delay_s > LATE_S:
            self._drops_from_s = now_s + RETURN_S
            logs.event(
                "process stood still", "WARNING", delay_s=round(delay_s, 3)
            )

    async def _pause(self, until_s: float) -> None:
        await asyncio.sleep(MIN_ROUND_GAP_S)
        while (left_s := until_s - self._clock.now_s()) > 0:
            if self._wake.is_set() or self._hooks.has_urgent_changes():
                self._urgent = True
                break
            try:
                async with asyncio.timeout(min(left_s, URGENT_CHECK_S)):
                    await self._wake.wait()
            except TimeoutError:
                continue
        self._wake.clear()

    async def _round(self, now_s: float) -> None:
        revision = self._hooks.revision()
        head = rows.RowHeader(self._settings.address, revision, self._left)
        self.table.update(head, self._hooks.collect(now_s), now_s)
        gone = self.table.expire(now_s) if now_s >= self._drops_from_s else []
        self._update_members(gone)
        addresses = self._choose_partners(now_s)
        await asyncio.gather(*(self._exchange(each) for each in addresses))
        exchanged_s = self._clock.now_s()
        self._note_delay(exchanged_s - now_s - EXCHANGE_TIMEOUT_S, exchanged_s)
        await self._pull_newer(revision)

    def _update_members(self, gone: list[ids.InstanceId]) -> None:
        members = frozenset(row.instance for row in self.table.live())
        if members != self._members or gone:
            logs.event("members", members=sorted(members), gone=gone)
            self._hooks.on_members(members, gone)
        self._members = members

    def _address(self, row: table_module.Row) -> str:
        return self._seed_of.get(row.instance, row.head.address)

    def _choose_partners(self, now_s: float) -> list[str]:
        known = [self._address(row) for row in self.table.others()]
        known = [each for each in known if addresses.is_valid(each)]
        self._close_unused({*known, *self._seeds})
        fan_out = URGENT_FAN_OUT if self._urgent else FAN_OUT
        self._urgent = False
        chosen = random.sample(known, min(fan_out, len(known)))
        unknown = set(self._seeds) - set(known)
        unknown -= {self._settings.address}
        unknown.discard(self._seed_of.get(self.table.own.instance, ""))
        if unknown and (not known or now_s >= self._next_seed_s):
            self._next_seed_s = now_s + SEED_INTERVAL_S
            chosen.append(random.choice(sorted(unknown)))
        return chosen

    def _close_unused(self, used: set[str]) -> None:
        """Closes streams to instances that are gone, so none accumulate."""
        for address in set(self._partners) - used:
            self._partners.pop(address).close()

    async def _exchange(self, address: str) -> None:
        partner = self._partners.get(address)
        if partner is None:
            partner = _Partner(address, self._settings.secret)
            self._partners[address] = partner
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S), partner.lock:
                await self._exchange_rows(partner, address)
        except control_client.LINK_ERRORS as error:
            logs.event(
                "gossip exchange failed",
                "DEBUG",
                address=address,
                detail=repr(error),
            )
            partner.close()
            self._partners.pop(address, None)

    async def _exchange_rows(self, partner: _Partner, address: str) -> None:
        stream = await partner.stream()
        asked_s = self._clock.now_s()
        await stream.send_message(self._message(self.table.digest()))
        reply = await stream.recv_message()
        if reply is None:
            raise ConnectionError("the gossip stream ended")
        if address in self._seeds:
            self._seed_of[ids.InstanceId(reply.instance)] = address
        if not self._accept(reply, asked_s):
            return
        answer = self._message()
        self._add_rows(answer, gossip_codec.digest_from_wire(reply.digest))
        if answer.rows:
            await stream.send_message(answer)

    # -- messages --------------------------------------------------------------

    def _message(
        self, digest: rows.Digest | None = None
    ) -> gossip_pb2.GossipMessage:
        return gossip_pb2.GossipMessage(
            instance=self.table.own.instance,
            domain=self._settings.domain,
            digest=gossip_codec.digest_to_wire(digest or {}),
        )

    def _add_rows(
        self, message: gossip_pb2.GossipMessage, known: rows.Digest
    ) -> None:
        now_s = self._clock.now_s()
        message.rows.extend(
            gossip_codec.delta_to_wire(delta, now_s)
            for delta in self.table.deltas(known, now_s)
        )

    def _accept(
        self, message: gossip_pb2.GossipMessage, asked_s: float
    ) -> bool:
        """Applies the rows of a message.

        Args:
            message: The message, which may have waited in a socket.
            asked_s: When it was asked for. The ages that it states may count
                from then.

        Returns:
            False if the message is from another failure domain or from this
            instance itself.
        """
        if message.instance == self.table.own.instance:
            return False
        if message.domain != self._settings.domain:
            logs.event(
                "gossip from another failure domain",
                "WARNING",
                instance=message.instance,
                domain=message.domain,
            )
            return False
        now_s = self._clock.now_s()
        deltas = self._deltas(message, now_s, waited_s=now_s - asked_s)
        changes = self.table.apply(deltas, now_s)
        if changes.refreshed or changes.items:
            self._update_members(changes.left)
            if self._hooks.on_changes(changes, now_s):
                self._wake.set()
        return True

    def _deltas(
        self, message: gossip_pb2.GossipMessage, now_s: float, waited_s: float
    ) -> abc.Iterator[rows.RowDelta]:
        """Yields the rows of a message; odd ones are left out."""
        for row in message.rows:
            try:
                delta = gossip_codec.delta_from_wire(row, now_s, waited_s)
            except ValueError as error:
                left_out.record("gossip", "row")
                logs.event(
                    "gossip row left out",
                    "DEBUG",
                    instance=row.instance[:64],
                    sender=message.instance[:64],
                    detail=str(error),
                )
                continue
            yield delta

    async def Exchange(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves the stream of another instance."""
        with contextlib.suppress(TimeoutError):
            await self._serve(stream)

    async def _serve(self, stream: server.Stream) -> None:
        replied_s = self._clock.now_s()
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                message = await stream.recv_message()
            # Rows come only in answer to a reply.
            if message is None or not self._accept(message, replied_s):
                return
            if message.digest:
                replied_s = self._clock.now_s()
                known = gossip_codec.digest_from_wire(message.digest)
                reply = self._message(self.table.digest())
                self._add_rows(reply, known)
                await stream.send_message(reply)

    # -- documents -------------------------------------------------------------

    async def Document(self, stream: server.Stream) -> None:  # noqa: N802
        """Answers with the document in force."""
        request = await stream.recv_message()
        document = self._hooks.document(request.takes_packed)
        await stream.send_message(document)

    async def _pull_newer(self, revision: ids.Revision) -> None:
        newer = [
            row
            for row in self.table.others()
            if row.head.applied_revision > revision
        ]
        now_s = self._clock.now_s()
        if not newer:
            self._newer_since_s = None
        elif self._newer_since_s is None:
            self._newer_since_s = now_s
        elif now_s - self._newer_since_s >= PULL_GRACE_S:
            self._newer_since_s = None
            row = max(newer, key=lambda each: each.head.applied_revision)
            message = await self.fetch(self._address(row))
            if message is not None:
                await asyncio.to_thread(self._hooks.on_document, message)

    async def fetch(self, address: str) -> control_pb2.DocumentMessage | None:
        """Fetches the document of an instance; None if it doesn't answer."""
        return await fetch_document(address, self._settings.secret)


async def fetch_document(
    address: str, secret: str, timeout_s: float = PULL_TIMEOUT_S
) -> control_pb2.DocumentMessage | None:
    """Fetches the document of an entry; None if it doesn't answer."""
    channel = secret_module.channel(address, secret)
    try:
        async with asyncio.timeout(timeout_s):
            return await gossip_grpc.GossipStub(channel).Document(
                control_pb2.DocumentRequest(takes_packed=True)
            )
    except control_client.LINK_ERRORS:
        return None
    finally:
        channel.close()
