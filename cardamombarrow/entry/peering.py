"""An entry's links to control processes and to its domain's other entries."""

import collections
from collections import abc
from concurrent import futures
import secrets
import time

from cardamombarrow.decisions import messages
from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import poller as poller_module
from cardamombarrow.entry import metrics as metrics_module
from cardamombarrow.entry import settings as settings_module
from cardamombarrow.entry.documents import control_news
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.placement import placer as placer_module
from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.metering import agreed_time
from cardamombarrow.metering import meter as meter_module
from cardamombarrow.metering import tables
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import server as server_module
from cardamombarrow.peers.control import cache_announcement_codec
from cardamombarrow.peers.control import client as control_client
from cardamombarrow.peers.control import (
    confirmation_loop as confirmation_loop_module,
)
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import document_codec
from cardamombarrow.peers.control import metering_collector
from cardamombarrow.peers.control import open_streams_rounds
from cardamombarrow.peers.gossip import bridge as gossip_bridge_module
from cardamombarrow.peers.gossip import node as gossip_node
from cardamombarrow.peers.placing import client as placing_client
from cardamombarrow.peers.placing import load_publisher
from cardamombarrow.peers.placing import service as placing_service
from cardamombarrow.resumption import core as resumption

__all__ = ["Peering", "probe_controls"]

FIRST_DOCUMENT_TIMEOUT_S = 60.0

PROBE_TRIES = 2
"""How often all control processes are probed before one is followed: they may
still be starting."""

PROBE_WAIT_S = 0.3
"""Longest wait for all their answers: connecting and one query at 30 ms one-way
delay take half of it. A control process without power does not answer at all;
waiting `QUERY_TIMEOUT_S` for it twice delayed a start by 4 s."""

QUERY_TIMEOUT_S = 2.0
"""Longest wait for each source of the first document."""

TEXT_WAIT_S = 1.5
"""How long a newer document may take to arrive by the followed link before its
text is requested with a confirmation."""

ALONE_AFTER_S = 1.0
"""Time without other entries of the domain after which this one counts as the
only one: an entry that starts has not found the others yet."""

BOOT_BYTES = 4
"""Random bytes that distinguish the starts of an entry."""


_PendingReplies = list[futures.Future[control_pb2.DocumentMessage | None]]


def probe_controls(query: abc.Callable[[], _PendingReplies]) -> None:
    """Queries all control processes, to measure which is nearest.

    Args:
        query: Queries each; the result is None for one that does not answer.
    """
    for _ in range(PROBE_TRIES):
        answered, silent = futures.wait(query(), PROBE_WAIT_S)
        if silent or all(each.result() is not None for each in answered):
            return


class Peering(lifecycle.Part):
    """An entry's communication with other instances.

    Attributes:
        membership: The members of the domain; None before `join`.
        control: The link to the control processes.
        lease: The age of the last confirmation of the document.
        time: The time agreed with the control processes.
        meter: Counts usage by workspace.
        origins: Which software versions began the streams of late.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        documents: in_force.DocumentInForce,
        time_source: clock.Clock,
    ):
        self._settings = settings
        self._documents = documents
        self._clock = time_source
        self._instance = ids.InstanceId(settings.instance.id)
        self._domain = ids.DomainId(settings.instance.domain)
        self._loop = loop_module.LoopThread()
        self._node: gossip_node.GossipNode | None = None
        self._server: server_module.PeerServer | None = None
        self.membership: gossip_bridge_module.GossipBridge | None = None
        self._broker: broker_module.Broker | None = None
        self._remote_placer: placing_client.PlacingClient | None = None
        self._placer: placer_module.Placer | None = None
        self._load_publisher: load_publisher.LoadPublisher | None = None
        self._alone_since_s = time_source.now_s()
        self._found_endpoints: tuple[messages.KnownEndpoint, ...] = ()
        self._forward_address: abc.Callable[[], str] = lambda: ""
        self._on_forwarding_entries: abc.Callable[
            [abc.Iterable[str], abc.Iterable[str]], None
        ] = lambda near, far: None
        self._cache_announcement_number = 0
        self.origins = resumption.StreamOrigins(time_source)
        self._news = control_news.ControlNews(time_source, self.origins)
        self.control = control_client.ControlClient(
            self._loop,
            settings.peers.control_addresses(),
            settings.peers.secret,
            self._report,
            documents.offer,
            documents.revision_and_text,
            settings.peers.report_interval_s,
            self._domain,
            self._news.on_suspects,
            self._on_forwarders,
            self._news.on_entry_count,
            self._news.on_new,
            self._news.on_open_streams,
            self.origins.doubt,
        )
        self.origins.set_report_listener(self.control.report_now)
        self.origins.set_round_starter(
            open_streams_rounds.OpenStreamsRounds(
                self._loop,
                self.control,
                self._instance,
                self.origins,
                time_source,
            ).begin
        )
        boot_clock = clock.BootClock()
        self.lease = lease_module.DocumentLease(
            settings.document.max_age_s, boot_clock
        )
        documents.add_listener(
            lambda applied: self.lease.put_in_force(applied.revision)
        )
        self._usage_numbers: dict[str, int] = {}
        self._boot = secrets.token_hex(BOOT_BYTES)
        self.time = agreed_time.AgreedTime(boot_clock)
        self.meter = meter_module.Meter(
            settings.metering.window_s, self.time.unix_s
        )
        self._confirmation_loop = confirmation_loop_module.ConfirmationLoop(
            self._loop,
            self.control,
            self._confirm_request,
            self._on_confirmed,
            boot_clock,
        )

    def _report(self, first: bool) -> control_pb2.AppliedReport:
        """Returns the report to control.

        The first one on a link has all known reports of suspects: the control
        process may have restarted, and others only pass on those of their own
        followers.
        """
        report = control_pb2.AppliedReport(
            instance=self._instance,
            domain=self._domain,
            applied_revision=self._documents.revision,
            address=self._address(),
            places=self._places(),
            forward_address=self._forward_address(),
            takes_packed=True,
            suspects=self._news.suspects(all_known=first),
        )
        self._news.add_open_streams(report, first=first)
        return report

    def _places(self) -> bool:
        """Returns whether this entry represents its domain to others.

        It does as the placer and as the only entry, which asks no placer.
        """
        if self._placer is None or self._node is None:
            return False
        now_s = self._clock.now_s()
        if len(self._node.addresses()) > 1:
            self._alone_since_s = now_s
        is_alone = now_s - self._alone_since_s >= ALONE_AFTER_S
        return is_alone or self._placer.owners > 0

    def set_forwarding(
        self,
        address: abc.Callable[[], str],
        on_entries: abc.Callable[[abc.Iterable[str], abc.Iterable[str]], None],
    ) -> None:
        """Sets how requests of other entries reach this one.

        Args:
            address: Returns the address for forwarded requests; empty while
                this entry takes none.
            on_entries: Called with the addresses of other entries, those of
                the own domain and those of others.
        """
        self._forward_address = address
        self._on_forwarding_entries = on_entries

    def _on_forwarders(
        self, near: abc.Sequence[str], far: abc.Sequence[str]
    ) -> None:
        self._on_forwarding_entries(near, far)

    def _address(self) -> str:
        peers = self._settings.peers
        return peers.address or f"{peers.host}:{peers.port}"

    def _confirm_request(self, address: str) -> control_pb2.ConfirmRequest:
        usage, self._usage_numbers[address] = self.meter.unconfirmed(address)
        cache_changes = (
            []
            if self._broker is None
            else self._broker.take_cache_announcements()
        )
        return control_pb2.ConfirmRequest(
            instance=self._instance,
            domain=self._domain,
            applied_revision=self._documents.revision,
            takes_packed=True,
            brief=self.control.is_following
            and self.lease.behind_s < TEXT_WAIT_S,
            kept=cache_announcement_codec.cache_announcements_to_wire(
                cache_changes
            ),
            kept_since=self._cache_announcement_number,
            usage=[
                metering_collector.usage_to_wire(
                    tables.SourceCounts(
                        f"{self._instance}.{self._boot}",
                        each.window,
                        each.counts,
                    )
                )
                for each in usage
            ],
            demand=[
                control_pb2.DemandRow(
                    domain=self._domain,
                    service=each.service,
                    reading=each.prefill_s,
                    running=each.running,
                )
                for each in self.meter.demand(self._running())
            ],
        )

    def _running(self) -> collections.Counter[ids.ServiceId]:
        runs = [] if self._broker is None else self._broker.runs()
        return collections.Counter(run.job.service for run in runs)

    def _on_confirmed(
        self, address: str, asked_s: float, reply: control_pb2.ConfirmReply
    ) -> None:
        self.meter.acknowledge(
            address, reply.boot, self._usage_numbers[address]
        )
        if reply.unix_s:
            self.time.synchronize(reply.unix_s)
        document = reply.document
        if document_codec.has_text(document):
            self._take_document(document)
        self.lease.confirm(asked_s, ids.Revision(document.revision))
        if reply.controls and set(reply.controls) != set(
            self.control.addresses()
        ):
            self.control.set_controls(tuple(reply.controls))
        self._news.on_entry_count(max(reply.entry_count, 1))
        if self._broker is not None:
            self._cache_announcement_number = reply.kept_number
            known = self.membership.endpoints_by_hash()
            self._broker.merge_cache_announcements(
                cache_announcement_codec.cache_announcements_from_wire(
                    reply.kept, known
                )
            )
        if self._load_publisher is not None:
            self._load_publisher.set_placers(reply.placers)
        if self._node is not None:
            self._node.set_seeds((*self._settings.peers.seeds, *reply.entries))

    def fetch_first_document(self) -> None:
        """Starts the links to control processes and waits for a document.

        If documents have to be confirmed, any revision may be the first one:
        no request is admitted before a majority has confirmed it.

        Raises:
            errors.UnavailableError: No instance provided a document in time.
        """
        self._loop.start()
        if self.lease.max_age_s:
            probe_controls(
                lambda: self.control.documents(QUERY_TIMEOUT_S, brief=True)
            )
            self.control.start()
            self._confirmation_loop.start()
            while not self._documents.wait_first(FIRST_DOCUMENT_TIMEOUT_S):
                logs.event("no document yet", "WARNING")
            return
        if not in_force.fetch_first(
            self._documents, self._query_sources, FIRST_DOCUMENT_TIMEOUT_S
        ):
            raise errors.UnavailableError(
                errors.ErrorKind.NOT_READY,
                "neither a control process nor an entry provided a document; "
                "see [peers] controls and seeds",
            )
        self.control.start()

    def _query_sources(self) -> _PendingReplies:
        peers = self._settings.peers
        return self.control.documents(QUERY_TIMEOUT_S) + [
            self._loop.call(
                gossip_node.fetch_document(seed, peers.secret, QUERY_TIMEOUT_S)
            )
            for seed in peers.seeds
        ]

    def join(
        self,
        kinds: dict[schema.ServiceKind, endpoints_base.EndpointKind],
        broker: broker_module.Broker,
        counts: metrics_module.Metrics,
    ) -> poller_module.Poller:
        """Builds the gossip; returns the poller that it controls.

        Args:
            kinds: The endpoint protocol of each kind of service.
            broker: The broker whose state is exchanged with other instances.
            counts: Where questions to the placer are counted.
        """
        self.membership = gossip_bridge_module.GossipBridge(
            self._instance, self._domain, kinds, broker, self._clock
        )
        broker.set_departure_listener(self.membership.on_departure)
        broker.set_suspect_listener(self.control.report_now)
        # Replies of control processes arrive meanwhile; handling them with the
        # broker requires the membership.
        self._broker = broker
        self._news.join(broker)
        poller = poller_module.Poller(
            self._settings.platform.report_interval_s,
            self.membership.on_report,
            broker.is_paused,
        )
        peers = self._settings.peers
        address = self._address()
        table = table_module.Table(
            self._instance,
            time.time_ns() // 1_000_000,
            rows.RowHeader(address, self._documents.revision),
            self._clock.now_s(),
        )
        self.membership.attach(table, poller)
        self._node = gossip_node.GossipNode(
            self._loop,
            table,
            gossip_node.GossipSettings(
                self._domain, address, peers.seeds, peers.secret
            ),
            self._hooks(),
            self._clock,
        )
        placer = placer_module.Placer(broker.for_domain, self._loop.call_soon)
        self._placer = placer
        self._load_publisher = load_publisher.LoadPublisher(
            self._loop,
            self._instance,
            peers.secret,
            placer.own_loads,
            self._places,
            self.origins,
        )
        self._server = server_module.PeerServer(
            self._loop,
            peers.host,
            peers.port,
            peers.secret,
            [
                self._node,
                placing_service.PlacingService(
                    placer, self.membership.endpoints_by_hash, self.origins
                ),
            ],
        )
        if peers.ask_placer:
            self._remote_placer = placing_client.PlacingClient(
                self._loop,
                self._instance,
                peers.secret,
                placing_client.ClientHooks(
                    members=self._node.addresses,
                    runs=broker.runs,
                    on_answer=broker.on_answer,
                    fall_back=broker.fall_back,
                    count=counts.count_question,
                    pauses_left_s=broker.pauses_left_s,
                ),
                self.origins,
            )
            broker.set_remote_placer(self._remote_placer)
        return poller

    def _hooks(self) -> gossip_node.GossipHooks:
        return gossip_node.GossipHooks(
            collect=self.membership.collect,
            has_urgent_changes=self.membership.has_urgent_changes,
            on_changes=self.membership.on_changes,
            on_members=self.membership.on_members,
            revision=lambda: self._documents.revision,
            document=self._document,
            on_document=self._take_document,
        )

    def _document(self, takes_packed: bool) -> control_pb2.DocumentMessage:
        if not self._documents.revision:
            return control_pb2.DocumentMessage()
        return document_codec.document_to_wire(
            self._documents.current().accepted, takes_packed=takes_packed
        )

    def _take_document(self, message: control_pb2.DocumentMessage) -> None:
        if in_force.offer_message(self._documents, message):
            logs.event("document from another entry", revision=message.revision)
            self.control.report_now()

    def on_listing(
        self, items: list[discovery.ListedEndpoint], names_endpoints: bool
    ) -> None:
        """Applies the platform's list of endpoints.

        Args:
            items: Its items.
            names_endpoints: Whether the list defines which endpoints exist.
        """
        self.membership.on_listing(
            (item.endpoint, item.state is discovery.ListedState.LEAVING)
            for item in items
        )
        if not names_endpoints:
            return
        self.origins.touch_list()
        found = tuple(
            messages.KnownEndpoint(
                item.endpoint,
                item.service,
                item.domain,
                item.slots,
                item.software,
            )
            for item in items
        )
        if found != self._found_endpoints:
            self._found_endpoints = found
            logs.decision(
                "endpoints", endpoints=[each.endpoint for each in found]
            )
            self.origins.set_listed(found)
            self._broker.set_discovered(found)
            self.membership.on_discovered(found)

    def on_settings(self, settings: settings_module.EntrySettings) -> None:
        """Applies a changed list of control processes."""
        self.control.set_controls(settings.peers.control_addresses())

    def start(self) -> None:
        """Starts gossip; call after `join`."""
        self._server.start()
        self._node.start()
        self._load_publisher.start()
        if self._remote_placer is not None:
            self._remote_placer.start()

    def stop(self) -> None:
        """Announces the departure to other instances and closes all links."""
        if self._remote_placer is not None:
            self._remote_placer.stop()
        self._load_publisher.stop()
        self._node.stop()
        if self.lease.max_age_s:
            self._confirmation_loop.stop()
            self._confirmation_loop.flush()
        self.control.stop()
        self._server.stop()
        self._loop.stop()
