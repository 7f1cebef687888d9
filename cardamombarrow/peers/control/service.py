"""gRPC service of a control process; see `control.proto`."""

import asyncio
from collections import abc
import random
import time

from grpclib import server

from cardamombarrow.document import machine
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.log import base
from cardamombarrow.peers.control import cache_announcement_relay
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import confirmation_batcher as batcher_module
from cardamombarrow.peers.control import control_grpc
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec
from cardamombarrow.peers.control import followers as followers_module
from cardamombarrow.peers.control import metering_collector
from cardamombarrow.peers.control import open_streams_store
from cardamombarrow.peers.control import sends as sends_module
from cardamombarrow.peers.control import stream_origins_store

__all__ = ["ControlService"]

PROPOSE_TIMEOUT_S = 3.0

MAX_ENTRY_ADDRESSES = 5
"""Maximum number of addresses of other entries in a reply to an entry; it
finds the others of its domain by gossip."""


class ControlService(control_grpc.ControlBase):
    """Serves entries; runs on the loop thread.

    Attributes:
        followers: The entries that follow this process and their document.
        kept: What entries share about the caches of engines.
        metered: Usage and demand counted by entries, and the agreed time.
    """

    def __init__(
        self,
        log: base.Log,
        accepted: abc.Callable[[], machine.AcceptedDocument],
        domain: ids.DomainId = ids.DomainId(""),
        *,
        founds: bool = False,
        open_streams_file: open_streams_store.OpenStreamsFile | None = None,
        stream_origins_file: (
            stream_origins_store.StreamOriginsFile | None
        ) = None,
    ):
        self._log = log
        self._accepted = accepted
        self._batcher = batcher_module.ConfirmationBatcher(log)
        self.cache_announcements = (
            cache_announcement_relay.CacheAnnouncementRelay(random.Random())
        )
        self.collector = metering_collector.MeteringCollector()
        self.followers = followers_module.Followers(
            lambda: log.status().has_quorum,
            domain,
            founds=founds,
            count_controls=log.count_members,
            instance=log.status().voter,
            open_streams_file=open_streams_file,
            stream_origins_file=stream_origins_file,
        )

    async def Propose(self, stream: server.Stream) -> None:  # noqa: N802
        """Proposes a command to the log."""
        command = await stream.recv_message()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                answer = await asyncio.wrap_future(
                    self._log.propose(command.SerializeToString())
                )
            reply = control_pb2.Reply.FromString(answer)
        except TimeoutError:
            reply = codec.failure_to_wire(
                errors.UnavailableError(
                    errors.ErrorKind.NO_QUORUM, "not committed in time"
                )
            )
        except errors.RouterError as error:
            reply = codec.failure_to_wire(error)
        await stream.send_message(reply)

    async def Follow(self, stream: server.Stream) -> None:  # noqa: N802
        """Serves the link of an entry."""
        await self.followers.serve(stream)

    async def Document(self, stream: server.Stream) -> None:  # noqa: N802
        """Answers with the newest accepted document."""
        request = await stream.recv_message()
        document = self.followers.document(
            brief=request.brief, takes_packed=request.takes_packed
        )
        with self.followers.sends.sending(sends_module.Way.QUERY, document):
            await stream.send_message(document)

    async def Confirm(self, stream: server.Stream) -> None:  # noqa: N802
        """Answers with the newest revision, confirmed by a majority."""
        request = await stream.recv_message()
        reply = control_pb2.ConfirmReply()
        self.cache_announcements.put(
            request.kept, request.instance, time.monotonic()
        )
        self.collector.merge_request(request)
        if await self._batcher.confirm():
            reply.confirmed = True
            accepted = self._accepted()
            is_newer = accepted.revision > request.applied_revision
            reply.document.revision = accepted.revision
            reply.document.format = accepted.format
            if is_newer and not request.brief:
                document_codec.set_text(
                    reply.document, accepted, takes_packed=request.takes_packed
                )
            domain = ids.DomainId(request.domain)
            reply.controls.extend(self._log.addresses())
            reply.entry_count = self.followers.count_recent()
            reply.entries.extend(
                self.followers.addresses(domain, MAX_ENTRY_ADDRESSES)
            )
            reply.placers.extend(self.followers.placers(domain))
            reports, reply.kept_number = self.cache_announcements.since(
                request.kept_since, request.instance, time.monotonic()
            )
            reply.kept.extend(reports)
            reply.unix_s = self.collector.unix_s()
            reply.boot = self.collector.boot
        with self.followers.sends.sending(
            sends_module.Way.CONFIRM, reply.document
        ):
            await stream.send_message(reply)

    async def Followers(self, stream: server.Stream) -> None:  # noqa: N802
        """Answers with the known entries and the data that they reported."""
        request = await stream.recv_message()
        reply = self.followers.rows()
        reports, reply.kept_number = self.cache_announcements.own_since(
            request.kept_since, time.monotonic()
        )
        reply.kept.extend(reports)
        suspects, reply.suspects_number = self.followers.own_suspects(
            request.suspects_since
        )
        reply.suspects.extend(suspects)
        self.collector.fill_reply(request, reply)
        await stream.send_message(reply)

    async def OpenStreams(self, stream: server.Stream) -> None:  # noqa: N802
        """Stores an entry's open streams and answers with those of all."""
        request = await stream.recv_message()
        reply = await self.followers.exchange_open_streams(request)
        await stream.send_message(reply)
