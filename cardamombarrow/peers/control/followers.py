"""A control process's side of the links to entries.

It receives reports of the applied revision and sends accepted documents. Both
sides send at a fixed interval even if nothing changed, and each closes a link
on which it receives nothing: a silent link breaks no connection, so an entry
on it would use an old document unnoticed.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import math
import random
import time

from grpclib import server

from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.document import text as text_module
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.control import open_streams_relay
from cardamombarrow.peers.control import open_streams_store
from cardamombarrow.peers.control import sends as sends_module
from cardamombarrow.peers.control import stream_origins_store
from cardamombarrow.peers.control import suspect_relay

__all__ = ["Follower", "Followers"]

HEARTBEAT_S = 1.0
"""Time between two messages to a follower while nothing changes."""

FOLLOWER_TIMEOUT_S = 10.0
"""A link that received no report for this long is closed."""

FORWARDER_TTL_S = 4.0
"""An entry that has not reported for this long gets no forwarded requests."""

MAX_FORWARDERS = 8
"""Entries of each kind that are named to an entry: others than the few that it
tries are named a second later."""

STORE_WAIT_S = 0.25
"""Longest wait for the disk before an entry is told that its streams are not
stored: it holds a first event back for little longer."""

READ_STORE_WAIT_S = 0.05
"""The same if the entry also asks for the streams of all: attempts wait."""

CACHED_TEXTS = 4
"""Number of texts that are cached to send only changes. Edits come 41 s apart
at the target size, so a follower is rarely further behind; if it is, it gets
the whole text. Four texts take 2.1 MB there."""

MEMORY_S = 60.0
"""After this time without an entry, a control process takes it for a new one: a
window of the bounds that an earlier process of the entry may have used."""

FOLLOWER_TTL_S = 3_600.0
"""How long an instance that disappeared without notice is listed: it may be
alive and cut off, with an old document in force."""


@dataclasses.dataclass(frozen=True)
class Follower:
    """An entry that follows a control process.

    Attributes:
        last_report_s: Monotonic time of its last report.
        address: Where other entries reach it.
        places: Whether it is the placer of its domain.
        direct: Whether it reports to this process.
        forward_address: Where it takes forwarded requests; empty for none.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    applied_revision: ids.Revision
    last_report_s: float
    address: str = ""
    places: bool = False
    direct: bool = False
    forward_address: str = ""


class Followers:
    """All known entries; runs on the loop thread.

    Attributes:
        sends: Counts of the documents that are sent to entries.
    """

    def __init__(
        self,
        has_quorum: abc.Callable[[], bool],
        domain: ids.DomainId = ids.DomainId(""),
        *,
        founds: bool = False,
        count_controls: abc.Callable[[], int] = lambda: 1,
        instance: str = "",
        open_streams_file: open_streams_store.OpenStreamsFile | None = None,
        stream_origins_file: (
            stream_origins_store.StreamOriginsFile | None
        ) = None,
    ):
        """Builds an empty table.

        Args:
            has_quorum: Returns whether there is a leader with a majority.
            domain: Failure domain of this process.
            founds: Whether there was no log before this process.
            count_controls: Returns the number of control processes.
            instance: Id of this process.
            open_streams_file: Where open streams are stored; None for memory
                only.
            stream_origins_file: Where the origins of streams are stored; None
                to keep none.
        """
        self._knows_all_s = time.monotonic() + (0.0 if founds else MEMORY_S)
        self._left_s: dict[ids.InstanceId, float] = {}
        started_s = time.monotonic()
        self._open_streams_store: open_streams_store.OpenStreamsStore | None = (
            None
        )
        stored = None
        if open_streams_file is not None:
            stored = open_streams_file.load(started_s)
            logs.event(
                "open streams loaded",
                groups=len(stored.items),
                complete=stored.are_all,
            )
            self._open_streams_store = open_streams_store.OpenStreamsStore(
                open_streams_file, lambda now_s: self._open_streams.table(now_s)
            )
        self._open_streams = open_streams_relay.OpenStreamsRelay(
            founds=founds,
            has_quorum=has_quorum,
            count_controls=count_controls,
            started_s=started_s,
            instance=instance,
            stored=stored,
            on_complete=self._open_streams_store.write_soon
            if self._open_streams_store
            else lambda: None,
        )
        self._stream_origins = (
            None
            if stream_origins_file is None
            else stream_origins_store.StreamOriginsStore(
                stream_origins_file, started_s
            )
        )
        self._suspects = suspect_relay.SuspectRelay(random.Random())
        self._forwarders: dict[ids.DomainId, list[str]] = {}
        self._forwarders_until_s = 0.0
        self._notifications: set[asyncio.Task[None]] = set()
        self._has_quorum = has_quorum
        self._domain = domain
        self._accepted = machine.AcceptedDocument(ids.Revision(0), "", "")
        self._texts: dict[int, str] = {}
        self._changes: dict[int, dict[str, str] | None] = {}
        self._changed = asyncio.Condition()
        self._table: dict[ids.InstanceId, Follower] = {}
        self.sends = sends_module.DocumentSends()

    def document(
        self, *, brief: bool = False, takes_packed: bool = False
    ) -> control_pb2.DocumentMessage:
        """Returns the newest accepted document known here.

        Args:
            brief: Whether the text is left out.
            takes_packed: Whether the receiver reads packed texts.
        """
        message = control_pb2.DocumentMessage(
            revision=self._accepted.revision,
            format=self._accepted.format,
            has_quorum=self._has_quorum(),
            domain=self._domain,
        )
        if not brief:
            document_codec.set_text(
                message, self._accepted, takes_packed=takes_packed
            )
        return message

    def table(self) -> dict[ids.InstanceId, Follower]:
        """Returns the entries that report to any control process."""
        oldest_s = time.monotonic() - FOLLOWER_TTL_S
        return {
            instance: follower
            for instance, follower in list(self._table.items())
            if follower.last_report_s >= oldest_s
        }

    def rows(self) -> control_pb2.FollowersReply:
        """Returns the entries that another control process may not know.

        Control processes query each other, so entries that report to another
        one are left out. Entries that report to none are returned by all,
        because the process that they last reported to may be gone.
        """
        now_s = time.monotonic()
        reply = control_pb2.FollowersReply(
            rows=[
                control_pb2.FollowerRow(
                    instance=follower.instance,
                    domain=follower.domain,
                    applied_revision=follower.applied_revision,
                    heard_ago_s=now_s - follower.last_report_s,
                    address=follower.address,
                    places=follower.places,
                    forward_address=follower.forward_address,
                )
                for follower in self.table().values()
                if follower.direct
                or now_s - follower.last_report_s > FOLLOWER_TIMEOUT_S
            ]
        )
        self._open_streams.fill_reply(reply, now_s)
        return reply

    def merge(
        self,
        reply: control_pb2.FollowersReply,
        source: str = "",
        asked_s: float = -math.inf,
    ) -> None:
        """Applies the newer reports that another control process has.

        Args:
            reply: Its answer.
            source: Its address.
            asked_s: Monotonic time at which it was asked.
        """
        now_s = time.monotonic()
        if self._open_streams.put_reply(reply, source, asked_s, now_s):
            self._notify_soon()
        for row in reply.rows:
            self._update(
                Follower(
                    ids.InstanceId(row.instance),
                    ids.DomainId(row.domain),
                    ids.Revision(row.applied_revision),
                    now_s - row.heard_ago_s,
                    row.address,
                    row.places,
                    forward_address=row.forward_address,
                )
            )

    def _update(self, follower: Follower) -> None:
        known = self._table.get(follower.instance)
        if known is None or follower.last_report_s > known.last_report_s:
            self._table[follower.instance] = follower

    def _is_new(self, instance: ids.InstanceId) -> bool:
        """Returns whether no process of an entry has reported before."""
        now_s = time.monotonic()
        for left, left_s in list(self._left_s.items()):
            if now_s - left_s > MEMORY_S:
                del self._left_s[left]
        is_known = instance in self._table or instance in self._left_s
        return now_s >= self._knows_all_s and not is_known

    def count_recent(self) -> int:
        """Counts the entries of all domains that reported recently."""
        oldest_s = time.monotonic() - FOLLOWER_TIMEOUT_S
        return sum(f.last_report_s >= oldest_s for f in self._table.values())

    def addresses(self, domain: ids.DomainId, max_count: int) -> list[str]:
        """Returns addresses of entries of a domain, the latest report first."""
        followers = sorted(
            (
                follower
                for follower in self.table().values()
                if follower.domain == domain and follower.address
            ),
            key=lambda follower: -follower.last_report_s,
        )
        return [follower.address for follower in followers[:max_count]]

    def placers(self, domain: ids.DomainId) -> list[str]:
        """Returns addresses of the placers of other domains."""
        oldest_s = time.monotonic() - FOLLOWER_TIMEOUT_S
        return sorted(
            follower.address
            for follower in self._table.values()
            if follower.places
            and follower.domain != domain
            and follower.last_report_s >= oldest_s
        )

    def put_suspects(
        self, reports: abc.Iterable[control_pb2.SuspectReport], source: str
    ) -> None:
        """Sends new reports of suspects to every follower.

        Args:
            reports: The reports.
            source: The reporting entry; empty for another control process.
        """
        if self._suspects.put(reports, source, time.monotonic()):
            self._notify_soon()

    async def exchange_open_streams(
        self, request: control_pb2.OpenStreamsRequest
    ) -> control_pb2.OpenStreamsReply:
        """Stores an entry's open streams, and returns those of all."""
        now_s = time.monotonic()
        if self._open_streams.put_request(request, now_s):
            self._notify_soon()
        is_stored = await self._store_streams(request, now_s)
        now_s = time.monotonic()
        reply = self._open_streams.reply(request, now_s, is_stored=is_stored)
        if self._stream_origins is not None:
            reply.stream_origins.extend(
                self._stream_origins.find(request.streams, now_s)
            )
        return reply

    async def _store_streams(
        self, request: control_pb2.OpenStreamsRequest, now_s: float
    ) -> bool:
        """Stores a request's streams; returns whether they are durable."""
        if self._open_streams_store is None:
            return True
        if not self._open_streams.has_room(now_s):
            return False
        items = list(
            open_streams_codec.open_streams_from_wire(
                request.open_streams, now_s
            )
        )
        wait_s = READ_STORE_WAIT_S if request.wants_all else STORE_WAIT_S
        return await self._open_streams_store.store(items, wait_s)

    def _notify_soon(self) -> None:
        task = asyncio.create_task(self._notify())
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def own_suspects(
        self, number: int
    ) -> tuple[list[control_pb2.SuspectReport], int]:
        """Returns the followers' reports after a number, and the next one."""
        reports = self._suspects.since(number, time.monotonic(), own=True)
        return reports, self._suspects.number

    def forwarders(self, domain: ids.DomainId) -> tuple[list[str], list[str]]:
        """Returns where some entries take forwarded requests.

        Returns:
            Addresses in a domain, and in others.
        """
        groups = self._forwarder_groups()
        near = groups.get(domain, [])
        far: list[str] = []
        others = [each for each in groups if each != domain]
        # One domain after the other, so that few of them take all requests.
        for turn in range(MAX_FORWARDERS):
            for other in random.sample(others, len(others)):
                if turn < len(groups[other]) and len(far) < MAX_FORWARDERS:
                    far.append(groups[other][turn])
        return random.sample(near, min(MAX_FORWARDERS, len(near))), far

    def _forwarder_groups(self) -> dict[ids.DomainId, list[str]]:
        """Returns the addresses by domain, in an order drawn every second."""
        now_s = time.monotonic()
        if now_s < self._forwarders_until_s:
            return self._forwarders
        self._forwarders_until_s = now_s + HEARTBEAT_S
        self._forwarders = {}
        for follower in self._table.values():
            is_recent = now_s - follower.last_report_s < FORWARDER_TTL_S
            if follower.forward_address and is_recent:
                group = self._forwarders.setdefault(follower.domain, [])
                group.append(follower.forward_address)
        for group in self._forwarders.values():
            random.shuffle(group)
        return self._forwarders

    async def publish(self, accepted: machine.AcceptedDocument) -> None:
        """Sends an accepted document to every follower."""
        revision = accepted.revision
        async with self._changed:
            if revision > self._accepted.revision:
                self._accepted = accepted
                if formats.is_sectioned(accepted.format):
                    self._texts[revision] = accepted.text
                for old in sorted(self._texts)[:-CACHED_TEXTS]:
                    del self._texts[old]
                self._changes.clear()
                self._changed.notify_all()

    def update_for(
        self, applied: int, *, takes_packed: bool = False
    ) -> control_pb2.DocumentMessage:
        """Returns the update for a follower: nothing, changes or the text."""
        message = self.document(brief=True)
        if message.revision <= applied:
            return message
        if applied not in self._changes:
            base = self._texts.get(applied)
            newest = self._texts.get(message.revision)
            self._changes[applied] = (
                text_module.changes(base, newest) if base and newest else None
            )
        changes = self._changes[applied]
        if changes:
            message.base_revision = applied
            message.changes.update(changes)
        else:
            document_codec.set_text(
                message, self._accepted, takes_packed=takes_packed
            )
        return message

    async def serve(self, stream: server.Stream) -> None:
        """Receives reports and sends documents until the entry leaves."""
        with contextlib.suppress(TimeoutError):
            report = await self._receive(stream)
            if report is None:
                return
            is_new = self._is_new(ids.InstanceId(report.instance))
            self._apply(report)
            # An entry that reconnects mostly has the newest document; which
            # changes are missing is known only after its first report.
            sender = asyncio.create_task(self._send(stream, report, is_new))
            try:
                while (report := await self._receive(stream)) is not None:
                    self._apply(report)
            finally:
                sender.cancel()

    async def _receive(
        self, stream: server.Stream
    ) -> control_pb2.AppliedReport | None:
        async with asyncio.timeout(FOLLOWER_TIMEOUT_S):
            return await stream.recv_message()

    def _apply(self, report: control_pb2.AppliedReport) -> None:
        instance = ids.InstanceId(report.instance)
        self.put_suspects(report.suspects, instance)
        now_s = time.monotonic()
        if self._open_streams.put_report(report, now_s):
            self._notify_soon()
        if self._stream_origins is not None:
            self._stream_origins.put(report.stream_origins, instance, now_s)
        if report.leaving:
            self._left_s[instance] = time.monotonic()
            self._table.pop(instance, None)
        else:
            self._update(
                Follower(
                    instance,
                    ids.DomainId(report.domain),
                    ids.Revision(report.applied_revision),
                    time.monotonic(),
                    report.address,
                    report.places,
                    direct=True,
                    forward_address=report.forward_address,
                )
            )

    async def _send(
        self,
        stream: server.Stream,
        report: control_pb2.AppliedReport,
        is_new: bool,
    ) -> None:
        applied = report.applied_revision
        domain = ids.DomainId(report.domain)
        suspects_sent = 0
        open_streams_sent = open_streams_relay.Sent()
        while True:
            message = self.update_for(applied, takes_packed=report.takes_packed)
            message.suspects.extend(
                self._suspects.since(suspects_sent, time.monotonic())
            )
            suspects_sent = self._suspects.number
            open_streams_sent = self._open_streams.fill(
                message, open_streams_sent, time.monotonic()
            )
            near, far = self.forwarders(domain)
            message.near_forwarders.extend(near)
            message.far_forwarders.extend(far)
            message.entry_count = self.count_recent()
            message.is_new = is_new
            with self.sends.sending(sends_module.Way.FOLLOW, message):
                await stream.send_message(message)
            applied = max(applied, message.revision)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._news(applied, suspects_sent, open_streams_sent)

    async def _news(
        self,
        revision: int,
        suspects_sent: int,
        open_streams_sent: open_streams_relay.Sent,
    ) -> None:
        """Waits for a newer document, reports of suspects, or a new version."""
        async with self._changed:
            await self._changed.wait_for(
                lambda: (
                    self._accepted.revision > revision
                    or self._suspects.number != suspects_sent
                    or self._open_streams.is_news(
                        open_streams_sent, time.monotonic()
                    )
                )
            )
