"""The entry process: wiring of its parts."""

import time

from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import poller as poller_module
from cardamombarrow.entry import app as app_module
from cardamombarrow.entry import broker as broker_module
from cardamombarrow.entry import in_force
from cardamombarrow.entry import life
from cardamombarrow.entry import settings as settings_module
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import registry
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.peers import control_client
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.platform import listing

__all__ = ["ENDPOINT_MODULES", "run"]

ENDPOINT_MODULES = (
    "cardamombarrow.endpoints.engine",
    "cardamombarrow.endpoints.plain",
)
"""Modules whose import registers the endpoint kinds."""

FIRST_DOCUMENT_TIMEOUT_S = 60.0


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
        errors.UnavailableError: No control process gave a document in time.
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
    loop = loop_module.LoopThread()

    def report() -> control_pb2.AppliedReport:
        return control_pb2.AppliedReport(
            instance=instance,
            domain=domain,
            applied_revision=documents.revision,
        )

    control = control_client.ControlClient(
        loop,
        settings.peers.controls,
        settings.peers.secret,
        report,
        documents.offer,
        settings.peers.report_interval_s,
    )
    loop.start()
    control.start()
    if not documents.wait_first(FIRST_DOCUMENT_TIMEOUT_S):
        raise errors.UnavailableError(
            errors.ErrorKind.NOT_READY, "no control process gave a document"
        )
    broker = broker_module.Broker(
        documents.current().document, instance, domain, clock.SystemClock()
    )
    poller = poller_module.Poller(
        settings.platform.report_interval_s, broker.report
    )
    services = life.LifeServices(
        broker,
        ledger_client.RemoteLedger(control.propose),
        kinds,
        clock.SystemClock(),
    )
    readiness = app_module.Readiness()
    app = app_module.App(
        instance,
        documents,
        services,
        readiness,
        settings.calls.body_limit_bytes,
    )

    def apply(applied: in_force.Applied) -> None:
        broker.configure(applied.document)
        poller.watch(_targets(applied.document, kinds, domain))

    documents.add_listener(apply)
    apply(documents.current())
    watch = listing.ListingWatch(
        settings.platform.listing_url,
        settings.platform.listing_interval_s,
        lambda items: _take_listing(broker, items),
    )
    web = http.HttpServer(settings.http, app)
    logs.event("entry starts", port=web.port)
    drain = _Drain(readiness, settings.calls.drain_notice_s)
    lifecycle.Process([poller, watch, broker, web, drain]).run()
    control.stop()
    loop.stop()


def _targets(
    document: schema.Document,
    kinds: dict[schema.ServiceKind, endpoints_base.EndpointKind],
    domain: ids.DomainId,
) -> dict[ids.EndpointId, endpoints_base.EndpointKind]:
    return {
        endpoint: kinds[service.kind]
        for service in document.services.values()
        for endpoint in service.endpoints.get(domain, ())
    }


def _take_listing(
    broker: broker_module.Broker, items: list[listing.EndpointListing]
) -> None:
    for item in items:
        broker.set_leaving(
            item.endpoint, item.state is listing.ListingState.LEAVING
        )
