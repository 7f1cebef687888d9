"""The control process: wiring of log, state, peers and administration."""

import pathlib

from grpclib import server

from cardamombarrow.admin import app as admin_app
from cardamombarrow.control import settings as settings_module
from cardamombarrow.control import state as state_module
from cardamombarrow.document import parsing
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import http
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.log import base
from cardamombarrow.log import local
from cardamombarrow.orders import runner
from cardamombarrow.peers import control_service
from cardamombarrow.peers import follower_exchange
from cardamombarrow.peers import followers as followers_module
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module

__all__ = ["run"]


class _PublishingState(state_module.ControlState):
    """Tells the followers of every accepted document."""

    def __init__(self, first_text: str, loop: loop_module.LoopThread):
        super().__init__(first_text)
        self._loop = loop
        self.service: control_service.ControlService | None = None

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one command and publishes what it changed."""
        before = self.document.revision
        answer = super().apply(index, command)
        if self.document.revision != before:
            self.publish()
        return answer

    def restore(self, snapshot: bytes) -> None:
        """Takes a snapshot and publishes its document."""
        super().restore(snapshot)
        self.publish()

    def publish(self) -> None:
        """Sends the document to the followers, if it is newer."""
        if self.service is not None:
            self._loop.call(
                self.service.followers.publish(
                    self.document.revision, self.document.text
                )
            )


class _PeerServer(lifecycle.Part):
    """Serves other instances."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        settings: settings_module.ControlSettings,
        log: base.Log,
        state: _PublishingState,
    ):
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
            peers.controls,
            peers.secret,
            self._state.service.followers,
        )
        self._exchange.start()

    async def _start(self) -> None:
        peers = self._settings.peers
        service = control_service.ControlService(self._log)
        self._server = server.Server([service])
        secret_module.guard(self._server, peers.secret)
        await self._server.start(peers.host, peers.port)
        self._state.service = service
        self._state.publish()

    def stop(self) -> None:
        """Stops listening."""
        self._exchange.stop()
        self._loop.call(self._stop()).result(timeout=10)

    async def _stop(self) -> None:
        self._server.close()

    @property
    def followers(
        self,
    ) -> dict[ids.InstanceId, followers_module.Follower]:
        """The entries that follow this or another control process."""
        service = self._state.service
        return service.followers.table() if service else {}


class _LogPart(lifecycle.Part):
    """Starts and stops the log with the process."""

    def __init__(self, log: base.Log):
        self._log = log

    def start(self) -> None:
        """Starts the log."""
        self._log.start()

    def stop(self) -> None:
        """Stops the log."""
        self._log.stop()


def run(settings: settings_module.ControlSettings) -> None:
    """Runs a control process until it is told to stop.

    Raises:
        errors.ConfigError: The first document is not valid.
    """
    logs.configure(settings.log.level, "control", settings.instance.id)
    loop = loop_module.LoopThread()
    first_text = pathlib.Path(settings.state.first_document).read_text()
    parsing.parse(first_text)
    state = _PublishingState(first_text, loop)
    log = local.LocalLog(settings.instance.id, state)
    peers = _PeerServer(loop, settings, log, state)
    app = admin_app.AdminApp(log, state, lambda: peers.followers)
    web = http.HttpServer(settings.http, app)
    logs.event("control starts", port=web.port)
    orders = runner.OrdersRunner(
        ids.InstanceId(settings.instance.id),
        log,
        lambda: parsing.parse(state.document.text),
        clock.SystemClock(),
    )
    lifecycle.Process([loop, _LogPart(log), peers, orders, web]).run()
