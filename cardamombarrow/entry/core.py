"""The entry process: wiring of its parts."""

import random
import time

from cardamombarrow.document import schema
from cardamombarrow.entry import app as app_module
from cardamombarrow.entry import broker as broker_module
from cardamombarrow.entry import crashes
from cardamombarrow.entry import gate as gate_module
from cardamombarrow.entry import in_force
from cardamombarrow.entry import life
from cardamombarrow.entry import metrics
from cardamombarrow.entry import peering as peering_module
from cardamombarrow.entry import settings as settings_module
from cardamombarrow.entry import starting as starting_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import registry
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.ledger import settler
from cardamombarrow.platform import listing

__all__ = ["ENDPOINT_MODULES", "run"]

ENDPOINT_MODULES = (
    "cardamombarrow.endpoints.engine",
    "cardamombarrow.endpoints.plain",
)
"""Modules whose import registers the endpoint kinds."""


class _Drain(lifecycle.Part):
    """Turns unready at a stop, and waits until the balancer has noticed.

    A balancer goes on sending for some seconds after the instance turned
    unready. An instance that closed its port at once would cut those callers.
    """

    def __init__(self, readiness: app_module.Readiness, notice_s: float):
        self._readiness = readiness
        self._notice_s = notice_s

    def start(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Turns unready and waits."""
        self._readiness.draining = True
        logs.event("draining", notice_s=self._notice_s)
        time.sleep(self._notice_s)


def run(settings: settings_module.EntrySettings) -> None:
    """Runs an entry process until it is told to stop.

    Raises:
        errors.UnavailableError: No instance gave a document in time.
    """
    logs.configure(settings.log.level, "entry", settings.instance.id)
    registry.load(*ENDPOINT_MODULES)
    kinds = {
        kind: registry.lookup("endpoint-kind", kind.value)()
        for kind in schema.ServiceKind
    }
    instance = ids.InstanceId(settings.instance.id)
    domain = ids.DomainId(settings.instance.domain)
    documents = in_force.InForce()
    time_source = clock.SystemClock()
    peering = peering_module.Peering(settings, documents, time_source)
    starting = starting_module.Starting()
    web = http.HttpServer(settings.http, starting)
    web.start()
    logs.event("entry starts", port=web.port)
    peering.take_first_document()
    broker = broker_module.Broker(
        documents.current().document, instance, domain, time_source
    )
    poller = peering.join(kinds, broker)
    ledger = settler.Settler(
        ledger_client.RemoteLedger(peering.control.propose)
    )
    services = life.LifeServices(
        broker,
        ledger,
        kinds,
        time_source,
        crashes.Crashes(broker),
        metrics.Metrics(),
    )
    readiness = app_module.Readiness()
    app = app_module.App(
        instance,
        documents,
        services,
        readiness,
        gate_module.Gate(settings.http.connections, random.Random()),
        settings.calls.body_limit_bytes,
    )

    def apply(applied: in_force.Applied) -> None:
        broker.configure(applied.document)
        peering.membership.on_document(applied.document)

    documents.add_listener(apply)
    apply(documents.current())
    watch = listing.ListingWatch(
        settings.platform.listing_url,
        settings.platform.listing_interval_s,
        peering.on_listing,
    )
    starting.serve(app)
    drain = _Drain(readiness, settings.calls.drain_notice_s)
    parts = [poller, watch, broker, peering, ledger, web, drain]
    lifecycle.Process(parts).run()
