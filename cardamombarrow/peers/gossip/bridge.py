"""Connects the gossip of a failure domain to an entry's broker.

Publishes this instance's demand, its requests in flight, the load reports that
it polled, leaving endpoints and quarantined requests; passes the same data of
the other instances to the broker.
"""

from collections import abc
import dataclasses
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.discovery import core as discovery
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import poller as poller_module
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.gossip import leaving as leaving_module
from cardamombarrow.gossip import rendezvous
from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers.gossip import rate_limits as rate_limit_gossip
from cardamombarrow.peers.gossip import rejections as rejection_gossip
from cardamombarrow.peers.gossip import suspects as suspect_gossip
from cardamombarrow.placing import ranking as ranking_module

__all__ = ["GossipBridge"]

QUARANTINE_STEP_S = 1.0
"""A quarantine whose end moved by less than this is not published again: each
time it is passed on, its end shifts by the time in transit."""

CACHED_LIST_TEXTS = 8
"""Number of list texts that are cached for stamps that arrive later."""

_PLATFORM_LIST = "platform list"
_OWN_REPORT = "own report"
_SHARED_REPORT = "shared report"
_ANSWER = "answer"
_URGENT_KINDS = (
    rows.ItemKind.LEAVING,
    rows.ItemKind.QUARANTINE,
    rows.ItemKind.LISTED,
    rows.ItemKind.SUSPECTS,
    rows.ItemKind.REJECTION_PAUSE,
)
"""Kinds of items that are passed on at once."""

_LISTING_STAMP = rows.ItemKind.LISTING
_DEMAND_KINDS = (rows.ItemKind.DEMAND, rows.ItemKind.IN_FLIGHT)
_OWN_SOURCES = frozenset((_PLATFORM_LIST, _OWN_REPORT, _ANSWER))


def _peer_source(instance: ids.InstanceId) -> str:
    return f"instance {instance}"


@dataclasses.dataclass
class _Reports:
    """Load reports by endpoint.

    Attributes:
        newest_s: When the newest report of the endpoint was measured.
        own: The reports that this instance polled.
    """

    newest_s: dict[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    own: dict[ids.EndpointId, messages.LoadReport] = dataclasses.field(
        default_factory=dict
    )


class GossipBridge:
    """One entry's side of the gossip; methods are thread-safe."""

    def __init__(
        self,
        instance: ids.InstanceId,
        domain: ids.DomainId,
        kinds: dict[schema.ServiceKind, endpoints_base.EndpointKind],
        broker: broker_module.Broker,
        time_source: clock.Clock,
    ):
        self._instance = instance
        self._domain = domain
        self._kinds = kinds
        self._broker = broker
        self._clock = time_source
        self._lock = threading.RLock()
        self._leaving = leaving_module.LeavingView()
        self._reports = _Reports()
        self._rate_limits = rate_limit_gossip.RateLimitGossip(broker)
        self._suspects = suspect_gossip.SuspectGossip(broker)
        self._rejections = rejection_gossip.RejectionGossip(broker)
        self._members = frozenset((instance,))
        self._endpoints: dict[ids.EndpointId, endpoints_base.EndpointKind] = {}
        self._by_hash: dict[int, ids.EndpointId] = {}
        self._sorted_endpoints: tuple[ids.EndpointId, ...] = ()
        self._list_hash = 0
        self._document: schema.Document | None = None
        self._discovered: tuple[messages.KnownEndpoint, ...] = ()
        self._quarantine: dict[ids.Fingerprint, float] = {}
        self._published_leaving: frozenset[ids.EndpointId] = frozenset()
        self._listing: discovery.ListingWatch | None = None
        self._list_texts: dict[int, str] = {}
        self._published_read_s = float("-inf")
        self._table: table_module.Table | None = None
        self._poller: poller_module.Poller | None = None

    def attach(
        self, table: table_module.Table, poller: poller_module.Poller
    ) -> None:
        """Sets the gossip table and the poller whose targets are assigned."""
        self._table = table
        self._poller = poller

    def share_listing(self, listing: discovery.ListingWatch) -> None:
        """Shares fetched lists of endpoints with the other entries."""
        self._listing = listing

    def is_list_reader(self) -> bool:
        """Returns whether this entry fetches the list for its domain."""
        return rendezvous.list_reader(self._members) == self._instance

    # -- local observations --------------------------------------------------

    def on_document(self, document: schema.Document) -> None:
        """Applies a new document, which may list other endpoints."""
        with self._lock:
            self._document = document
        self._rebuild_endpoints()

    def on_discovered(self, found: tuple[messages.KnownEndpoint, ...]) -> None:
        """Applies the endpoints that discovery found."""
        with self._lock:
            self._discovered = found
        self._rebuild_endpoints()

    def _known_endpoints(self) -> abc.Iterator[messages.KnownEndpoint]:
        services = self._document.services if self._document else {}
        for service in services.values():
            for domain, endpoints in service.endpoints.items():
                for endpoint in endpoints:
                    yield messages.KnownEndpoint(
                        endpoint, service.service, domain
                    )
        yield from (
            each for each in self._discovered if each.service in services
        )

    def _rebuild_endpoints(self) -> None:
        with self._lock:
            known = list(self._known_endpoints())
            self._endpoints = {
                each.endpoint: self._kinds[
                    self._document.services[each.service].kind
                ]
                for each in known
                if each.domain == self._domain
            }
            self._by_hash = {
                rows.endpoint_hash(each.endpoint): each.endpoint
                for each in known
            }
            self._sorted_endpoints = tuple(sorted(self._endpoints))
            self._list_hash = rows.endpoint_hash(
                " ".join(self._sorted_endpoints)
            )
            for endpoint in self._leaving.reported_by(frozenset((_ANSWER,))):
                if rows.endpoint_hash(endpoint) not in self._by_hash:
                    self._leaving.record(endpoint, _ANSWER, False)
            leaving = set(self._leaving.leaving())
        for endpoint in leaving & set(self._by_hash.values()):
            self._broker.set_leaving(endpoint, True)
        self._update_poll_targets()

    def endpoints_by_hash(self) -> dict[int, ids.EndpointId]:
        """Returns the known endpoints by their `rows.endpoint_hash`."""
        with self._lock:
            return self._by_hash

    def on_listing(
        self, listed: abc.Iterable[tuple[ids.EndpointId, bool]]
    ) -> None:
        """Applies the platform's list: endpoints and whether they leave."""
        for endpoint, leaving in listed:
            self._update_leaving(endpoint, _PLATFORM_LIST, leaving)

    def on_report(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Applies a load report that this instance polled."""
        with self._lock:
            self._reports.own[endpoint] = report
            self._reports.newest_s[endpoint] = report.measured_at_s
        self._broker.report(endpoint, report)
        self._update_leaving(endpoint, _SHARED_REPORT, False)
        self._update_leaving(endpoint, _OWN_REPORT, report.leaving)

    def on_departure(self, endpoint: ids.EndpointId) -> None:
        """Announces an endpoint that stated its departure to this instance.

        Without an identity its successor has the same id; the other instances
        then rely on load reports.
        """
        if ids.identity_of(endpoint):
            self._update_leaving(endpoint, _ANSWER, True)

    def _update_leaving(
        self, endpoint: ids.EndpointId, source: str, leaving: bool
    ) -> None:
        with self._lock:
            changed = self._leaving.record(endpoint, source, leaving)
        if changed is not None:
            logs.decision(
                "leaving" if changed else "back in use",
                endpoint=endpoint,
                source=source,
            )
            self._broker.set_leaving(endpoint, changed)

    # -- hooks of the gossip node --------------------------------------------

    def collect(self, now_s: float) -> dict[rows.Key, rows.Value]:
        """Returns the items of this instance's row."""
        kind = rows.ItemKind
        items: dict[rows.Key, rows.Value] = {}
        own = self._broker.demand()
        for service, demand in own.demand_tokens_per_s.items():
            items[kind.DEMAND, service] = demand
        with self._lock:
            counts = tuple(
                own.in_flight.get(each, 0) for each in self._sorted_endpoints
            )
            items[kind.IN_FLIGHT, ""] = rows.InFlight(self._list_hash, counts)
            self._published_leaving = frozenset(
                self._leaving.reported_by(_OWN_SOURCES)
            )
            for endpoint in self._published_leaving:
                items[kind.LEAVING, endpoint] = True
            for endpoint, report in self._reports.own.items():
                items[kind.REPORT, rows.endpoint_hash(endpoint)] = report
            self._collect_listing(items)
            self._refresh_quarantine(now_s)
            for fingerprint, end_s in self._quarantine.items():
                items[kind.QUARANTINE, fingerprint] = end_s
            items.update(self._rate_limits.collect())
            items.update(self._suspects.collect())
            items.update(self._rejections.collect())
        return items

    def _collect_listing(self, items: dict[rows.Key, rows.Value]) -> None:
        fetched = self._listing.last_fetched() if self._listing else None
        if fetched is None:
            return
        text, self._published_read_s = fetched
        text_hash = rows.endpoint_hash(ids.EndpointId(text))
        stamp = rows.ListingStamp(text_hash, self._published_read_s)
        items[rows.ItemKind.LISTING, ""] = stamp
        items[rows.ItemKind.LISTED, ""] = text

    def _has_new_listing(self) -> bool:
        fetched = self._listing.last_fetched() if self._listing else None
        if fetched is None:
            return False
        return fetched[1] > self._published_read_s

    def _apply_listing(self, stamp: rows.ListingStamp) -> bool:
        """Applies a list that another entry fetched, if its text is cached.

        Returns:
            Whether it is newer than the list here.
        """
        text = self._list_texts.get(stamp.text_hash)
        if text is None or self._listing is None:
            return False
        return self._listing.receive(text, stamp.read_s)

    def _cache_list_text(self, text: str) -> None:
        text_hash = rows.endpoint_hash(ids.EndpointId(text))
        self._list_texts[text_hash] = text
        while len(self._list_texts) > CACHED_LIST_TEXTS:
            del self._list_texts[next(iter(self._list_texts))]

    def _refresh_quarantine(self, now_s: float) -> None:
        quarantined = self._broker.quarantine_marks()
        for fingerprint, left_s in quarantined.items():
            end_s = now_s + left_s
            known_s = self._quarantine.get(fingerprint, 0.0)
            if abs(end_s - known_s) > QUARANTINE_STEP_S:
                self._quarantine[fingerprint] = end_s
        for fingerprint in set(self._quarantine) - set(quarantined):
            del self._quarantine[fingerprint]

    def has_urgent_changes(self) -> bool:
        """Returns whether changes have to be published at once.

        These are a leaving endpoint, a changed rate limit, a quarantined
        request, a report of suspects and a fetched list. The regular rounds
        take some seconds to reach a domain of 36 instances, during which all
        keep sending to the endpoint. Instances whose list gets too old
        meanwhile fetch it themselves: in a domain of 12 entries, three of four
        fetches were theirs.
        """
        if self._has_new_listing():
            return True
        with self._lock:
            leaving = self._leaving.reported_by(_OWN_SOURCES)
            if not self._published_leaving.issuperset(leaving):
                return True
            known = self._quarantine.keys()
        if any(
            each.is_urgent()
            for each in (self._rate_limits, self._suspects, self._rejections)
        ):
            return True
        return not known >= self._broker.quarantine_marks().keys()

    def on_changes(self, changes: rows.Changes, now_s: float) -> bool:
        """Applies changes of other rows.

        Returns:
            Whether to pass them on at once.
        """
        pass_on = bool(changes.left)
        quarantined: dict[ids.Fingerprint, float] = {}
        # The text of a list goes before its stamp: a stamp without a known
        # text is ignored, so a changed list would be applied only after the
        # next fetch.
        for instance, (kind, name), value in sorted(
            changes.items, key=lambda item: item[1][0] is _LISTING_STAMP
        ):
            if instance in changes.left:
                continue
            pass_on = pass_on or kind in _URGENT_KINDS
            if kind is rows.ItemKind.LEAVING:
                endpoint = ids.EndpointId(name)
                self._update_leaving(
                    endpoint, _peer_source(instance), bool(value)
                )
            elif value is None:
                continue
            elif kind is rows.ItemKind.QUARANTINE:
                quarantined[ids.Fingerprint(name)] = value - now_s
            else:
                is_urgent = self._apply_item(instance, kind, name, value)
                pass_on = pass_on or is_urgent
        if quarantined:
            self._broker.merge_quarantine(quarantined)
        for row in self._table.others():
            if row.instance in changes.refreshed:
                self._broker.update_peer(self._peer_demand(row))
        return pass_on

    def _apply_rate_limit(
        self,
        endpoint_hash: int,
        limit: messages.RateLimit,
        instance: ids.InstanceId,
    ) -> bool:
        endpoint = self.endpoints_by_hash().get(endpoint_hash)
        if endpoint is None:
            return False
        return self._rate_limits.apply_remote(endpoint, limit, instance)

    def _apply_item(
        self,
        instance: ids.InstanceId,
        kind: rows.ItemKind,
        name: str | int,
        value: rows.Value,
    ) -> bool:
        """Applies one item; returns whether to pass it on at once."""
        if kind is rows.ItemKind.LISTING:
            return self._apply_listing(value)
        if kind is rows.ItemKind.RATE_LIMIT:
            return self._apply_rate_limit(name, value, instance)
        if kind is rows.ItemKind.REJECTION_PAUSE:
            endpoint = self.endpoints_by_hash().get(name)
            if endpoint is not None:
                self._broker.merge_rejection_pause(endpoint, value, instance)
        elif kind is rows.ItemKind.SUSPECTS:
            self._broker.merge_suspects([value])
        elif kind is rows.ItemKind.LISTED:
            self._cache_list_text(value)
        elif kind is rows.ItemKind.REPORT:
            self._apply_report(name, value)
        return False

    def _apply_report(
        self, endpoint_hash: int, report: messages.LoadReport
    ) -> None:
        with self._lock:
            endpoint = self._by_hash.get(endpoint_hash)
            if endpoint is None:
                return
            newest_s = self._reports.newest_s.get(endpoint, float("-inf"))
            if report.measured_at_s <= newest_s:
                return
            self._reports.newest_s[endpoint] = report.measured_at_s
        self._broker.report(endpoint, report)
        self._update_leaving(endpoint, _SHARED_REPORT, report.leaving)

    def _peer_demand(self, row: table_module.Row) -> messages.PeerDemand:
        demand: dict[ids.ServiceId, float] = {}
        in_flight: dict[ids.EndpointId, int] = {}
        with self._lock:
            listed, list_hash = self._sorted_endpoints, self._list_hash
        for (kind, name), item in row.items.items():
            if item.value is None or kind not in _DEMAND_KINDS:
                continue
            if kind is rows.ItemKind.DEMAND:
                demand[ids.ServiceId(name)] = item.value
            elif item.value.list_hash == list_hash and len(
                item.value.counts
            ) == len(listed):
                pairs = zip(listed, item.value.counts, strict=True)
                in_flight = {each: n for each, n in pairs if n}
        return messages.PeerDemand(
            row.instance, demand, in_flight, row.refreshed_s
        )

    def on_members(
        self,
        members: frozenset[ids.InstanceId],
        gone: list[ids.InstanceId],
    ) -> None:
        """Applies a change of the live instances.

        Args:
            members: All live instances.
            gone: Instances that left or were dropped.
        """
        self._members = members | {self._instance}
        delegate = ranking_module.default_placer(self._members)
        self._broker.set_delegate(delegate == self._instance)
        for instance in gone:
            self._broker.remove_peer(instance)
            with self._lock:
                restored = self._leaving.forget_source(_peer_source(instance))
            for endpoint in restored:
                self._broker.set_leaving(endpoint, False)
        self._update_poll_targets()

    def _update_poll_targets(self) -> None:
        """Determines which endpoints this instance polls."""
        with self._lock:
            targets = {
                endpoint: kind
                for endpoint, kind in self._endpoints.items()
                if kind.polled
                and self._instance
                in rendezvous.pollers(endpoint, self._members)
            }
            dropped = set(self._reports.own) - set(targets)
            for endpoint in dropped:
                del self._reports.own[endpoint]
        for endpoint in dropped:
            self._update_leaving(endpoint, _OWN_REPORT, False)
        self._poller.watch(targets)
