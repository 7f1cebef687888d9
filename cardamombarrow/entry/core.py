"""The entry process: connects its parts."""

import dataclasses
import pathlib
import random
import time
import typing

from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import draining
from cardamombarrow.decisions import overload as overload_module
from cardamombarrow.discovery import base as discovery
from cardamombarrow.discovery import core as discovery_core
from cardamombarrow.document import schema
from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import pool as pool_module
from cardamombarrow.endpoints import transfer
from cardamombarrow.entry import metrics
from cardamombarrow.entry import peering as peering_module
from cardamombarrow.entry import readiness as readiness_module
from cardamombarrow.entry import settings as settings_module
from cardamombarrow.entry.documents import in_force
from cardamombarrow.entry.documents import lease as lease_module
from cardamombarrow.entry.documents import parts as parts_module
from cardamombarrow.entry.frontend import app as app_module
from cardamombarrow.entry.frontend import interface
from cardamombarrow.entry.frontend import routed
from cardamombarrow.entry.frontend import side as side_module
from cardamombarrow.entry.frontend import startup_app as startup_app_module
from cardamombarrow.entry.placement import broker as broker_module
from cardamombarrow.entry.requests import call_runner as call_runner_module
from cardamombarrow.entry.requests import crash_detector
from cardamombarrow.entry.requests import gate as gate_module
from cardamombarrow.entry.requests import request_handler
from cardamombarrow.entry.requests import stop_guard
from cardamombarrow.forwarding import app as forwarded_app
from cardamombarrow.forwarding import core as forwarding
from cardamombarrow.forwarding import reachability as reachability_module
from cardamombarrow.kernel import byte_budget
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import memory
from cardamombarrow.kernel import registry
from cardamombarrow.kernel import reloading
from cardamombarrow.ledger import client as ledger_client
from cardamombarrow.ledger import settler
from cardamombarrow.resumption import core as resumption
from cardamombarrow.resumption import restart_watch

__all__ = ["ENDPOINT_MODULES", "run"]

ENDPOINT_MODULES = (
    "cardamombarrow.discovery.json_list",
    "cardamombarrow.endpoints.engine",
    "cardamombarrow.endpoints.plain",
)
"""Modules whose import registers the built-in endpoint kinds and listing."""

DRAIN_POLL_S = 0.05


class _Drain(lifecycle.Part):
    """Drains at a stop: becomes unready, then refuses, then waits.

    A balancer goes on sending for some seconds after the instance becomes
    unready. If the instance closed its port at once, those callers would be
    cut off; if it accepted all of them, it would be killed during answers.
    """

    def __init__(
        self,
        readiness: readiness_module.Readiness,
        runner: call_runner_module.CallRunner,
        schedule: draining.DrainSchedule,
    ):
        self._readiness = readiness
        self._runner = runner
        self._schedule = schedule

    def start(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Becomes unready, waits, refuses, and waits for running requests."""
        begin_s = time.monotonic()
        self._runner.services.stop_guard.begin(self._schedule)
        self._readiness.draining = True
        notice_s = self._schedule.notice_s
        logs.event("draining", notice_s=notice_s, held=self._runner.held)
        time.sleep(notice_s)
        self._readiness.refusing = True
        logs.event("refusing", held=self._runner.held)
        end_s = begin_s + self._schedule.port_s
        while self._runner.held and time.monotonic() < end_s:
            time.sleep(DRAIN_POLL_S)


def _drain_schedule(
    calls: settings_module.CallSettings,
) -> draining.DrainSchedule:
    return draining.DrainSchedule.within(
        calls.grace_s, calls.drain_notice_s, calls.drain_most_s
    )


def _kinds(
    protocol: str,
) -> dict[schema.ServiceKind, endpoints_base.EndpointKind]:
    """Returns the endpoint protocol of each kind of service."""
    prefix = "" if protocol == interface.OPENAI else f"{protocol}."
    return {
        kind: registry.lookup("endpoint-kind", f"{prefix}{kind.value}")()
        for kind in schema.ServiceKind
    }


def _app(
    settings: settings_module.EntrySettings,
    callers: interface.CallerInterface,
    documents: in_force.DocumentInForce,
    runner: call_runner_module.CallRunner,
    readiness: readiness_module.Readiness,
    lease: lease_module.DocumentLease,
) -> typing.Any:
    """Returns the application that serves callers."""
    if isinstance(callers, interface.RoutedInterface):
        return routed.RoutedApp(
            documents,
            runner,
            callers.protocol,
            lease,
            random.Random(),
            byte_budget.ByteBudget(settings.calls.large_bodies_bytes),
        )
    return app_module.App(
        ids.InstanceId(settings.instance.id),
        documents,
        runner,
        readiness,
        settings.calls.body_limit_bytes,
    )


def _list_reader(
    settings: settings_module.EntrySettings, peering: peering_module.Peering
) -> typing.Callable[[], bool]:
    if settings.platform.listing_shared:
        return peering.membership.is_list_reader
    return lambda: True


def _side_servers(
    settings: settings_module.EntrySettings, app: typing.Any
) -> list[http.HttpServer]:
    servers = [
        http.side_server(address, app)
        for address in (settings.side.ready, settings.side.metrics)
    ]
    return [server for server in servers if server is not None]


def _broker(
    settings: settings_module.EntrySettings,
    documents: in_force.DocumentInForce,
    time_source: clock.Clock,
) -> broker_module.Broker:
    retries = settings.retries
    return broker_module.Broker(
        documents.current().document,
        ids.InstanceId(settings.instance.id),
        ids.DomainId(settings.instance.domain),
        time_source,
        context_module.RetryBounds(
            retries.share, retries.slack, retries.window_s
        ),
        overload=overload_module.OverloadControl(
            settings.overload.enabled,
            settings.overload.learns_speeds,
            settings.overload.learns_reported_speeds,
        ),
    )


def _readiness(
    source: discovery.Source,
    broker: broker_module.Broker,
    peering: peering_module.Peering,
) -> readiness_module.Readiness:
    readiness = readiness_module.Readiness()
    if source.names_endpoints:
        readiness.add_condition(
            lambda: "no endpoint is known" if broker.lacks_endpoints() else None
        )
    readiness.add_condition(
        lambda: (
            None if peering.lease.is_valid else "the document is unconfirmed"
        )
    )
    return readiness


def _reachability(
    broker: broker_module.Broker, peering: peering_module.Peering
) -> reachability_module.Reachability:
    def on_change(service: ids.ServiceId, is_cut_off: bool) -> None:
        peering.control.report_now()
        if not is_cut_off:
            broker.reachable_again(service)

    return reachability_module.Reachability(broker.endpoints_in_use, on_change)


def _forwarder(
    settings: settings_module.EntrySettings,
    reachability: reachability_module.Reachability,
    counts: metrics.Metrics,
) -> forwarding.Forwarder:
    address = settings.forwarding.address
    return forwarding.Forwarder(
        forwarding.ForwardSettings(settings.peers.secret, address),
        reachability if address else None,
        counts.count_forward,
    )


def _restart_watch(
    peering: peering_module.Peering,
    broker: broker_module.Broker,
    time_source: clock.Clock,
) -> restart_watch.RestartWatch:
    return restart_watch.RestartWatch(
        transfer.POOL.connections,
        time_source,
        resumption.LISTING_LAG_S,
        restart_watch.Listeners(
            peering.origins.begin_doubt,
            peering.origins.end_doubt,
            broker.set_doubted,
        ),
    )


def _listing_watch(
    settings: settings_module.EntrySettings,
    source: discovery.Source,
    peering: peering_module.Peering,
    restarts: restart_watch.RestartWatch,
    time_source: clock.Clock,
) -> discovery_core.ListingWatch:
    def apply(items: list[discovery.ListedEndpoint]) -> None:
        peering.on_listing(items, source.names_endpoints)
        restarts.on_listing(watch.read_s)

    watch = discovery_core.ListingWatch(
        source,
        settings.platform.listing_url,
        discovery_core.ListingSchedule.within(
            settings.platform.listing_interval_s,
            settings.platform.leaving_within_ms / 1_000,
        ),
        apply,
        time_source,
        _list_reader(settings, peering),
    )
    return watch


def _decline_reason(
    reachability: reachability_module.Reachability,
    readiness: readiness_module.Readiness,
) -> typing.Callable[[], str | None]:
    """Returns a function that tells why forwarded requests are declined."""

    def reason() -> str | None:
        if reachability.is_cut_off_from_all():
            return "no endpoint can be connected"
        return readiness.reason()

    return reason


def _forwarding_server(
    settings: settings_module.EntrySettings,
    app: typing.Any,
    decline_reason: typing.Callable[[], str | None],
) -> list[http.HttpServer]:
    """Returns the server for requests that other entries forward, if any."""
    if not settings.forwarding.address:
        return []
    served = dataclasses.replace(
        settings.http,
        address=settings.forwarding.address,
        connections=settings.forwarding.connections,
        tls_certificate="",
    )
    forwarded = forwarded_app.ForwardedApp(
        app, settings.peers.secret, decline_reason
    )
    return [http.HttpServer(served, forwarded)]


def run(
    settings: settings_module.EntrySettings, path: pathlib.Path | None = None
) -> None:
    """Runs an entry process until it is stopped.

    Args:
        settings: Its settings.
        path: The settings file, to be watched for changes.

    Raises:
        errors.UnavailableError: No instance provided a document in time.
    """
    memory.return_large_buffers()
    logs.configure(settings.log.level, "entry", settings.instance.id)
    registry.load(*ENDPOINT_MODULES, *settings.instance.plugins)
    kinds = _kinds(settings.calls.protocol)
    source = registry.lookup(discovery.SLOT, settings.platform.discovery)()
    instance = ids.InstanceId(settings.instance.id)
    documents = in_force.DocumentInForce()
    time_source = clock.SystemClock()
    peering = peering_module.Peering(settings, documents, time_source)
    callers = interface.of_protocol(settings.calls.protocol)
    startup = startup_app_module.StartupApp(callers, startup_app_module.HOLD_S)
    side_startup = startup_app_module.StartupApp(interface.OwnInterface())
    web = http.HttpServer(settings.http, startup)
    side = _side_servers(settings, side_startup)
    for server in (web, *side):
        server.start()
    logs.event("entry starting", port=web.port)
    peering.fetch_first_document()
    broker = _broker(settings, documents, time_source)
    counts = metrics.Metrics()
    poller = peering.join(kinds, broker, counts)
    ledger = settler.Settler(
        ledger_client.RemoteLedger(peering.control.propose)
    )
    reachability = _reachability(broker, peering)
    forwarder = _forwarder(settings, reachability, counts)
    restarts = _restart_watch(peering, broker, time_source)
    services = request_handler.RequestServices(
        broker,
        ledger,
        kinds,
        time_source,
        crash_detector.CrashDetector(
            broker, counts, transfer.POOL.connections.report_break
        ),
        counts,
        peering.meter,
        reachability,
        forwarder,
        peering.origins,
        restarts,
        stop_guard.StopGuard(time_source),
    )
    readiness = _readiness(source, broker, peering)
    gate = gate_module.Gate(settings.http.connections, random.Random())
    runner = call_runner_module.CallRunner(
        instance, documents, services, gate, readiness
    )

    for part in parts_module.parts(broker, peering.membership, peering.origins):
        documents.add_part(part)
    watch = _listing_watch(settings, source, peering, restarts, time_source)
    if settings.platform.listing_shared:
        peering.membership.share_listing(watch)
    watch.refresh()
    app = _app(settings, callers, documents, runner, readiness, peering.lease)
    startup.forward_to(app)
    decline_reason = _decline_reason(reachability, readiness)
    forwarding_server = _forwarding_server(settings, app, decline_reason)
    peering.set_forwarding(
        lambda: "" if decline_reason() else settings.forwarding.address,
        forwarder.set_entries,
    )
    side_startup.forward_to(
        side_module.SideApp(
            instance, documents, runner, readiness, peering.lease
        )
    )
    drain = _Drain(readiness, runner, _drain_schedule(settings.calls))
    parts = [
        *side,
        pool_module.IdleCloser(transfer.POOL),
        poller,
        *([restarts] if source.names_endpoints else []),
        watch,
        broker,
        peering,
        ledger,
        reachability,
        *forwarding_server,
        web,
        drain,
    ]
    reloader = None
    if path is not None:
        reloader = reloading.Reloader(
            path, settings, {"peers.controls": peering.on_settings}
        )
        parts.insert(0, reloader)
    lifecycle.Process(
        parts, reloader.request_reload if reloader else None
    ).run()
