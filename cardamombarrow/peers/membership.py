"""Joins the gossip of a failure domain to an entry's decisions.

Out go this instance's demand, what it has in flight, the load reports that it
polled, endpoints that leave and quarantined requests; what others tell comes
in and is handed to the broker.
"""

from collections import abc
import dataclasses
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.discovery import core as discovery
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import poller as poller_module
from cardamombarrow.entry import broker as broker_module
from cardamombarrow.gossip import leaving as leaving_module
from cardamombarrow.gossip import rendezvous
from cardamombarrow.gossip import rows
from cardamombarrow.gossip import table as table_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs
from cardamombarrow.peers import rate_limit_news
from cardamombarrow.placing import ranking as ranking_module

__all__ = ["Membership"]

QUARANTINE_STEP_S = 1.0
"""A quarantine that ends later by less than this is not told again; what is
passed on from instance to instance gains the time it was under way."""

LISTS_KEPT = 8
"""Texts of lists that are remembered, for marks that come later."""

_LIST = "platform list"
_OWN_REPORT = "own report"
_SHARED_REPORT = "shared report"
_NEWS_KINDS = (
    rows.ItemKind.LEAVING,
    rows.ItemKind.QUARANTINE,
    rows.ItemKind.LISTED,
)
"""What is passed on at once."""

_MARK = rows.ItemKind.LISTING
_DEMAND_KINDS = (rows.ItemKind.DEMAND, rows.ItemKind.IN_FLIGHT)
_FIRST_HAND = frozenset((_LIST, _OWN_REPORT))


def _by_peer(instance: ids.InstanceId) -> str:
    return f"instance {instance}"


@dataclasses.dataclass
class _Reports:
    """Load reports: the newest of each endpoint, and those polled here."""

    newest_s: dict[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    own: dict[ids.EndpointId, messages.LoadReport] = dataclasses.field(
        default_factory=dict
    )


class Membership:
    """What one entry tells and hears; called from several threads."""

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
        self._limits = rate_limit_news.RateLimitNews(broker)
        self._members = frozenset((instance,))
        self._endpoints: dict[ids.EndpointId, endpoints_base.EndpointKind] = {}
        self._by_hash: dict[int, ids.EndpointId] = {}
        self._listed: tuple[ids.EndpointId, ...] = ()
        self._list_hash = 0
        self._document: schema.Document | None = None
        self._found: tuple[messages.KnownEndpoint, ...] = ()
        self._quarantine: dict[ids.Fingerprint, float] = {}
        self._told_leaving: frozenset[ids.EndpointId] = frozenset()
        self._listing: discovery.ListingWatch | None = None
        self._listed_texts: dict[int, str] = {}
        self._told_read_s = float("-inf")
        self._table: table_module.Table | None = None
        self._poller: poller_module.Poller | None = None

    def attach(
        self, table: table_module.Table, poller: poller_module.Poller
    ) -> None:
        """Sets the table that is read and the poller that is steered."""
        self._table = table
        self._poller = poller

    def share_listing(self, listing: discovery.ListingWatch) -> None:
        """Tells others of the lists that this entry reads, and hears theirs."""
        self._listing = listing

    def is_list_reader(self) -> bool:
        """Tells whether this entry reads the list for its domain."""
        return rendezvous.list_reader(self._members) == self._instance

    # -- what this instance sees ---------------------------------------------

    def on_document(self, document: schema.Document) -> None:
        """Takes another document: other endpoints may be listed."""
        with self._lock:
            self._document = document
        self._relist()

    def on_found(self, found: tuple[messages.KnownEndpoint, ...]) -> None:
        """Takes the endpoints that discovery knows."""
        with self._lock:
            self._found = found
        self._relist()

    def _known(self) -> abc.Iterator[messages.KnownEndpoint]:
        services = self._document.services if self._document else {}
        for service in services.values():
            for domain, endpoints in service.endpoints.items():
                for endpoint in endpoints:
                    yield messages.KnownEndpoint(
                        endpoint, service.service, domain
                    )
        yield from (each for each in self._found if each.service in services)

    def _relist(self) -> None:
        with self._lock:
            known = list(self._known())
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
            self._listed = tuple(sorted(self._endpoints))
            self._list_hash = rows.endpoint_hash(" ".join(self._listed))
            left = set(self._leaving.leaving())
        for endpoint in left & set(self._by_hash.values()):
            self._broker.set_leaving(endpoint, True)
        self._retarget()

    def endpoints_by_hash(self) -> dict[int, ids.EndpointId]:
        """Returns the known endpoints by the hashes that name them."""
        with self._lock:
            return self._by_hash

    def on_listing(
        self, listed: abc.Iterable[tuple[ids.EndpointId, bool]]
    ) -> None:
        """Takes the platform's list: endpoints and whether they leave."""
        for endpoint, leaving in listed:
            self._tell_leaving(endpoint, _LIST, leaving)

    def on_report(
        self, endpoint: ids.EndpointId, report: messages.LoadReport
    ) -> None:
        """Takes a load report that this instance polled."""
        with self._lock:
            self._reports.own[endpoint] = report
            self._reports.newest_s[endpoint] = report.measured_at_s
        self._broker.report(endpoint, report)
        self._tell_leaving(endpoint, _SHARED_REPORT, False)
        self._tell_leaving(endpoint, _OWN_REPORT, report.leaving)

    def _tell_leaving(
        self, endpoint: ids.EndpointId, source: str, leaving: bool
    ) -> None:
        with self._lock:
            changed = self._leaving.tell(endpoint, source, leaving)
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
            counts = tuple(own.in_flight.get(each, 0) for each in self._listed)
            items[kind.IN_FLIGHT, ""] = rows.InFlight(self._list_hash, counts)
            self._told_leaving = frozenset(self._leaving.said_by(_FIRST_HAND))
            for endpoint in self._told_leaving:
                items[kind.LEAVING, endpoint] = True
            for endpoint, report in self._reports.own.items():
                items[kind.REPORT, rows.endpoint_hash(endpoint)] = report
            self._collect_listing(items)
            self._renew_quarantine(now_s)
            for fingerprint, end_s in self._quarantine.items():
                items[kind.QUARANTINE, fingerprint] = end_s
            items.update(self._limits.collect())
        return items

    def _collect_listing(self, items: dict[rows.Key, rows.Value]) -> None:
        own_list = self._listing.own() if self._listing else None
        if own_list is None:
            return
        text, self._told_read_s = own_list
        text_hash = rows.endpoint_hash(ids.EndpointId(text))
        mark = rows.ListingMark(text_hash, self._told_read_s)
        items[rows.ItemKind.LISTING, ""] = mark
        items[rows.ItemKind.LISTED, ""] = text

    def _has_new_listing(self) -> bool:
        own_list = self._listing.own() if self._listing else None
        if own_list is None:
            return False
        return own_list[1] > self._told_read_s

    def _take_listing(self, mark: rows.ListingMark) -> bool:
        """Takes that another entry read a list, if its text is known here.

        Returns:
            Whether that is news.
        """
        text = self._listed_texts.get(mark.text_hash)
        if text is None or self._listing is None:
            return False
        return self._listing.heard(text, mark.read_s)

    def _keep_listed(self, text: str) -> None:
        text_hash = rows.endpoint_hash(ids.EndpointId(text))
        self._listed_texts[text_hash] = text
        while len(self._listed_texts) > LISTS_KEPT:
            del self._listed_texts[next(iter(self._listed_texts))]

    def _renew_quarantine(self, now_s: float) -> None:
        marks = self._broker.quarantine_marks()
        for fingerprint, left_s in marks.items():
            end_s = now_s + left_s
            known_s = self._quarantine.get(fingerprint, 0.0)
            if abs(end_s - known_s) > QUARANTINE_STEP_S:
                self._quarantine[fingerprint] = end_s
        for fingerprint in set(self._quarantine) - set(marks):
            del self._quarantine[fingerprint]

    def urgent(self) -> bool:
        """Tells whether there is news that can't wait.

        An endpoint leaves or states another rate limit, a request is
        quarantined, or the list was read.
        Without a round at once the word would take some seconds to reach a
        domain of 36 instances, while each goes on sending to the endpoint; and
        those whose list has grown old meanwhile read it themselves: with 12
        entries in a domain they made three of four readings.
        """
        if self._has_new_listing():
            return True
        with self._lock:
            leaving = self._leaving.said_by(_FIRST_HAND)
            if not self._told_leaving.issuperset(leaving):
                return True
            known = self._quarantine.keys()
        if self._limits.is_urgent():
            return True
        return not known >= self._broker.quarantine_marks().keys()

    def on_changes(self, changes: rows.Changes, now_s: float) -> bool:
        """Takes what others told; True if it is to be passed on at once."""
        news = bool(changes.left)
        marks: dict[ids.Fingerprint, float] = {}
        # A list's text comes before the mark that tells when it was read:
        # the mark of a text that is not known is passed over, and a changed
        # list was taken only at the next reading.
        for instance, (kind, name), value in sorted(
            changes.items, key=lambda item: item[1][0] is _MARK
        ):
            if instance in changes.left:
                continue
            news = news or kind in _NEWS_KINDS
            if kind is rows.ItemKind.LEAVING:
                endpoint = ids.EndpointId(name)
                self._tell_leaving(endpoint, _by_peer(instance), bool(value))
            elif value is None:
                continue
            elif kind is rows.ItemKind.QUARANTINE:
                marks[ids.Fingerprint(name)] = value - now_s
            else:
                told = self._take_knowledge(instance, kind, name, value)
                news = news or told
        if marks:
            self._broker.merge_quarantine(marks)
        for row in self._table.others():
            if row.instance in changes.refreshed:
                self._broker.peer(self._demand_of(row))
        return news

    def _take_limit(
        self,
        endpoint_hash: int,
        limit: messages.RateLimit,
        instance: ids.InstanceId,
    ) -> bool:
        endpoint = self.endpoints_by_hash().get(endpoint_hash)
        if endpoint is None:
            return False
        return self._limits.take(endpoint, limit, instance)

    def _take_knowledge(
        self,
        instance: ids.InstanceId,
        kind: rows.ItemKind,
        name: str | int,
        value: rows.Value,
    ) -> bool:
        """Takes an item of a row; returns whether it can't wait for a round."""
        if kind is rows.ItemKind.LISTING:
            return self._take_listing(value)
        if kind is rows.ItemKind.RATE_LIMIT:
            return self._take_limit(name, value, instance)
        if kind is rows.ItemKind.LISTED:
            self._keep_listed(value)
        elif kind is rows.ItemKind.REPORT:
            self._take_report(name, value)
        return False

    def _take_report(
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
        self._tell_leaving(endpoint, _SHARED_REPORT, report.leaving)

    def _demand_of(self, row: table_module.Row) -> messages.PeerDemand:
        demand: dict[ids.ServiceId, float] = {}
        in_flight: dict[ids.EndpointId, int] = {}
        with self._lock:
            listed, list_hash = self._listed, self._list_hash
        for (kind, name), item in row.items.items():
            if item.value is None or kind not in _DEMAND_KINDS:
                continue
            if kind is rows.ItemKind.DEMAND:
                demand[ids.ServiceId(name)] = item.value
            elif item.value.list_hash == list_hash:
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
        """Takes the live instances, and those that are gone."""
        self._members = members | {self._instance}
        delegate = ranking_module.default_placer(self._members)
        self._broker.set_delegate(delegate == self._instance)
        for instance in gone:
            self._broker.forget_peer(instance)
            with self._lock:
                back = self._leaving.forget_source(_by_peer(instance))
            for endpoint in back:
                self._broker.set_leaving(endpoint, False)
        self._retarget()

    def _retarget(self) -> None:
        """Works out which endpoints this instance polls."""
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
            self._tell_leaving(endpoint, _OWN_REPORT, False)
        self._poller.watch(targets)
