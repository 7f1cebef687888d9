"""The control process: connects log, state, peers and administration."""

from concurrent import futures
import contextlib
import pathlib
import threading
import time
import typing

from grpclib import server

from cardamombarrow.admin import app as admin_app
from cardamombarrow.admin import editions
from cardamombarrow.control import metrics
from cardamombarrow.control import settings as settings_module
from cardamombarrow.control import state as state_module
from cardamombarrow.discovery import base as discovery
from cardamombarrow.document import formats
from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.duties import base as duties_base
from cardamombarrow.duties import lease as lease_module
from cardamombarrow.duties import runner as duties_runner
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import memory
from cardamombarrow.kernel import registry
from cardamombarrow.kernel import reloading
from cardamombarrow.log import base
from cardamombarrow.log import driver
from cardamombarrow.log import membership
from cardamombarrow.log import state as log_state
from cardamombarrow.log import storage
from cardamombarrow.orders import runner
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module
from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import follower_exchange
from cardamombarrow.peers.control import followers as followers_module
from cardamombarrow.peers.control import metering_collector
from cardamombarrow.peers.control import open_streams_store
from cardamombarrow.peers.control import sends as sends_module
from cardamombarrow.peers.control import service as control_service
from cardamombarrow.peers.control import stream_origins_store
from cardamombarrow.peers.log import transport as log_transport

__all__ = ["run"]

FIRST_DOCUMENT_POLL_S = 0.1
FIRST_DOCUMENT_TIMEOUT_S = 5.0

METERING_TIMEOUT_S = 2.0

OPEN_STREAMS_FILE = "open-streams"
STREAM_ORIGINS_FILE = "stream-origins"
"""Names of files in the folder of the log."""

DUTY_MODULES = (
    "cardamombarrow.discovery.json_list",
    "cardamombarrow.duties.http_gateway",
)
"""Modules whose import registers the built-in discovery and duties plug-ins."""


class _PublishingState(state_module.ControlState):
    """Publishes every accepted document to the followers."""

    def __init__(self, loop: loop_module.LoopThread):
        super().__init__()
        self._loop = loop
        self.service: control_service.ControlService | None = None

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one command and publishes the document if it changed."""
        before = self.document.revision
        answer = super().apply(index, command)
        if self.document.revision != before:
            self.publish()
        return answer

    def restore(self, snapshot: bytes) -> None:
        """Restores a snapshot and publishes its document."""
        super().restore(snapshot)
        self.publish()

    def publish(self) -> None:
        """Sends the document to the followers, if it is newer."""
        if self.service is not None and self.document.revision:
            self._loop.call(
                self.service.followers.publish(self.document.accepted)
            )


class _PeerServer(lifecycle.Part):
    """Serves the other instances."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        settings: settings_module.ControlSettings,
        log: base.Log,
        log_service: log_transport.LogService,
        state: _PublishingState,
        founds: bool,
    ):
        self._founds = founds
        self._log_service = log_service
        self._loop = loop
        self._settings = settings
        self._log = log
        self._state = state
        self._server: server.Server | None = None
        self._exchange: follower_exchange.FollowerExchange | None = None

    def start(self) -> None:
        """Starts listening."""
        self._loop.call(self._start()).result(timeout=10)
        peers = self._settings.peers
        self._exchange = follower_exchange.FollowerExchange(
            self._loop,
            self._other_controls,
            peers.secret,
            self._state.service.followers,
            self._state.service.cache_announcements,
            self._state.service.collector,
            lambda: self._log.status().role == "leader",
        )
        self._exchange.start()

    def _other_controls(self) -> set[str]:
        """Returns the control processes known from the log and settings."""
        peers = self._settings.peers
        own = peers.address or f"{peers.host}:{peers.port}"
        known = self._log.addresses() or peers.control_addresses()
        return set(known) - {own}

    async def _start(self) -> None:
        peers = self._settings.peers
        folder = pathlib.Path(self._settings.state.folder)
        service = control_service.ControlService(
            self._log,
            lambda: self._state.document.accepted,
            ids.DomainId(self._settings.instance.domain),
            founds=self._founds,
            open_streams_file=open_streams_store.OpenStreamsFile(
                folder / OPEN_STREAMS_FILE
            ),
            stream_origins_file=stream_origins_store.StreamOriginsFile(
                folder / STREAM_ORIGINS_FILE
            ),
        )
        self._server = server.Server([service, self._log_service])
        service.collector.set_window_length(self._settings.duties.window_s)
        secret_module.require_tokens(self._server, peers.secret)
        await self._server.start(peers.host, peers.port)
        self._state.service = service
        self._state.publish()

    def stop(self) -> None:
        """Stops listening."""
        self._exchange.stop()
        self._loop.call(self._stop()).result(timeout=10)

    async def _stop(self) -> None:
        self._server.close()

    def metering(self) -> duties_runner.MeteringView | None:
        """Returns the usage and demand reported by entries."""
        service = self._state.service
        if service is None:
            return None
        return self._loop.call(self._metering_view(service.collector)).result(
            timeout=METERING_TIMEOUT_S
        )

    async def _metering_view(
        self, metered: metering_collector.MeteringCollector
    ) -> duties_runner.MeteringView:
        now_s = time.monotonic()
        return duties_runner.MeteringView(
            unix_s=metered.unix_s(),
            totals=metered.usage.totals(),
            sources=metered.usage.sources(),
            demand=metered.demand.all(now_s),
        )

    @property
    def sends(self) -> sends_module.DocumentSends | None:
        """Counts of the documents sent to entries; None before the start."""
        service = self._state.service
        return None if service is None else service.followers.sends

    @property
    def followers(
        self,
    ) -> dict[ids.InstanceId, followers_module.Follower]:
        """Entries that follow this or another control process."""
        service = self._state.service
        return service.followers.table() if service else {}


class _LogLifecycle(lifecycle.Part):
    """Starts and stops the log with the process."""

    def __init__(self, log: base.Log):
        self._log = log

    def start(self) -> None:
        """Starts the log."""
        self._log.start()

    def stop(self) -> None:
        """Stops the log."""
        self._log.stop()


class _FirstDocument(lifecycle.Part):
    """Proposes the first document, if this process is the first leader."""

    def __init__(self, log: base.Log, state: _PublishingState, text: str):
        self._log = log
        self._state = state
        self._text = text
        self._stopped = threading.Event()
        self._thread = background.supervised_thread(self._run, "first-document")

    def start(self) -> None:
        """Starts waiting for the log to have a leader."""
        self._thread.start()

    def stop(self) -> None:
        """Stops waiting."""
        self._stopped.set()
        self._thread.join(timeout=FIRST_DOCUMENT_TIMEOUT_S)

    def _run(self) -> None:
        message = control_pb2.FoundCommand(text=self._text)
        command = control_pb2.Command(found=message).SerializeToString()
        while not self._stopped.wait(FIRST_DOCUMENT_POLL_S):
            if self._state.document.revision:
                return
            if self._log.status().role != "leader":
                continue
            with contextlib.suppress(
                errors.UnavailableError, futures.TimeoutError
            ):
                self._log.barrier().result(FIRST_DOCUMENT_TIMEOUT_S)
                if not self._state.document.revision:
                    future = self._log.propose(command)
                    future.result(FIRST_DOCUMENT_TIMEOUT_S)


def _member_config(
    settings: settings_module.ControlSettings,
) -> driver.MemberConfig:
    """Returns the configuration of this process as a member of the log."""
    name = settings.instance.id
    listed = _listed_voters(settings)
    peers = settings.peers
    own = peers.address or f"{peers.host}:{peers.port}"
    return driver.MemberConfig(
        folder=pathlib.Path(settings.state.folder),
        me=membership.Member(membership.VoterId(name), listed.get(name, own)),
        contacts=tuple(
            membership.Member(membership.VoterId(other), address)
            for other, address in listed.items()
            if other != name
        ),
        is_founder=settings.state.founds
        and (not listed or next(iter(listed)) == name),
    )


def _listed_voters(settings: settings_module.ControlSettings) -> dict[str, str]:
    listed = {}
    for item in settings.state.voters:
        name, _, address = item.partition("=")
        if not name or not address.rpartition(":")[2].isdigit():
            raise errors.ConfigError(
                [f"[state] voters: {item!r} is not id=host:port"]
            )
        listed[name] = settings.peers.at_controls_port(address)
    return listed


def _founds(settings: settings_module.ControlSettings) -> bool:
    """Returns whether this process founds the log, and has none yet."""
    config = _member_config(settings)
    is_empty = not config.folder.exists() or not any(config.folder.iterdir())
    return config.is_founder and is_empty


def _open_log(
    settings: settings_module.ControlSettings,
    state: _PublishingState,
    transport: driver.Transport,
) -> driver.ReplicatedLog:
    """Opens the log; retries while the disk fails.

    Raises:
        errors.ConfigError: The data folder is damaged.
    """
    config = _member_config(settings)
    membership_policy = log_state.MembershipPolicy(
        wanted_voters=settings.state.wanted_voters()
    )
    while True:
        try:
            return driver.ReplicatedLog(
                config, state, transport, membership_policy=membership_policy
            )
        except storage.CorruptError as error:
            raise errors.ConfigError([str(error)]) from None
        except OSError as error:
            logs.event("disk fails at start", "ERROR", detail=str(error))
            time.sleep(driver.WRITE_RETRY_S)


def _accepted_document(
    state: state_module.ControlState,
) -> schema.Document | None:
    accepted = state.document.accepted
    if not accepted.revision:
        return None
    return formats.parse(accepted.format, accepted.text)


def _operator_app(
    settings: settings_module.ControlSettings,
    log: base.Log,
    state: _PublishingState,
    peers: _PeerServer,
) -> typing.Any:
    protocol = settings.operators.protocol
    if protocol == formats.SECTIONS:
        return admin_app.AdminApp(log, state, lambda: peers.followers)
    app_class = registry.lookup(editions.SLOT, protocol)
    return app_class(editions.Editions(log, state))


def _held_bytes(
    log: driver.ReplicatedLog,
    state: _PublishingState,
    peers: _PeerServer,
) -> dict[str, int]:
    """Returns what grows with the document and its readers."""
    sends = peers.sends
    return {
        "document_bytes": len(state.document.text),
        "documents_sending_bytes": 0 if sends is None else sends.pending_bytes,
        "log_bytes": log.held_bytes(),
        "followers": len(peers.followers),
    }


def _duties(
    settings: settings_module.ControlSettings,
    log: base.Log,
    state: _PublishingState,
    peers: _PeerServer,
) -> duties_runner.DutiesRunner:
    duties = settings.duties
    source = registry.lookup(discovery.SLOT, duties.discovery)()
    duties_lease = lease_module.DutiesLease(
        log,
        ids.InstanceId(duties.holder or settings.instance.id),
        duties.lease_ms / 1_000,
        clock.BootClock(),
    )
    return duties_runner.DutiesRunner(
        duties,
        log,
        duties_lease,
        registry.lookup(duties_base.SLOT, duties.gateway)(),
        duties_runner.Sources(
            metering=peers.metering,
            state=lambda: state.duties,
            document=lambda: _accepted_document(state),
            listing=lambda: source.fetch(duties.listing_url),
        ),
        clock.SystemClock(),
    )


def _orders_runner(
    settings: settings_module.ControlSettings,
    log: base.Log,
    state: _PublishingState,
) -> runner.OrdersRunner:
    # The lease goes on to run out while the machine is suspended.
    return runner.OrdersRunner(
        ids.InstanceId(settings.instance.id),
        log,
        lambda: _accepted_document(state),
        clock.BootClock(),
    )


def run(
    settings: settings_module.ControlSettings, path: pathlib.Path | None = None
) -> None:
    """Runs a control process until it is told to stop.

    Args:
        settings: Its settings.
        path: The settings file, to be reloaded on changes.

    Raises:
        errors.ConfigError: The settings, the first document or the data
            folder are not valid.
    """
    memory.return_large_buffers()
    logs.configure(settings.log.level, "control", settings.instance.id)
    registry.load(*DUTY_MODULES, *settings.instance.plugins)
    loop = loop_module.LoopThread()
    state = _PublishingState(loop)
    log_service = log_transport.LogService()
    transport = log_transport.LogTransport(
        loop, settings.peers.secret, log_service, _listed_voters(settings)
    )
    founds = _founds(settings)
    log = _open_log(settings, state, transport)
    peers = _PeerServer(loop, settings, log, log_service, state, founds)
    web = http.HttpServer(
        settings.http, _operator_app(settings, log, state, peers)
    )
    watch = memory.MemoryWatch(lambda: _held_bytes(log, state, peers))
    parts: list[lifecycle.Part] = [watch, loop, peers, _LogLifecycle(log)]
    if settings.state.first_document:
        first_text = pathlib.Path(settings.state.first_document).read_text()
        parsing.parse(first_text)
        parts.append(_FirstDocument(log, state, first_text))
    parts.append(_orders_runner(settings, log, state))
    orders = list
    if settings.duties.is_enabled:
        duties = _duties(settings, log, state, peers)
        parts.append(duties)
        orders = duties.orders
    side = http.side_server(
        settings.side.metrics,
        metrics.MetricsApp(log, state, orders, lambda: peers.sends),
    )
    parts += [web] if side is None else [web, side]
    reloader = None
    if path is not None:
        reloader = reloading.Reloader(path, settings, {})
        parts.append(reloader)
    logs.event("control starts", port=web.port, voter=log.me.id)
    lifecycle.Process(
        parts, reloader.request_reload if reloader else None
    ).run()
