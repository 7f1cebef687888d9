"""gRPC server on which an entry listens for other instances."""

from grpclib import server

from cardamombarrow.kernel import lifecycle
from cardamombarrow.peers import loop as loop_module
from cardamombarrow.peers import secret as secret_module

__all__ = ["PeerServer"]

START_TIMEOUT_S = 10.0


class PeerServer(lifecycle.Part):
    """Serves grpclib services to instances that have the secret."""

    def __init__(
        self,
        loop: loop_module.LoopThread,
        host: str,
        port: int,
        secret: str,
        services: list[object],
    ):
        self._loop = loop
        self._host = host
        self._port = port
        self._secret = secret
        self._services = services
        self._server: server.Server | None = None

    def start(self) -> None:
        """Starts listening."""
        self._loop.call(self._start()).result(timeout=START_TIMEOUT_S)

    async def _start(self) -> None:
        self._server = server.Server(self._services)
        secret_module.require_tokens(self._server, self._secret)
        await self._server.start(self._host, self._port)

    def stop(self) -> None:
        """Stops listening and closes open streams."""
        self._loop.call(self._stop()).result(timeout=START_TIMEOUT_S)

    async def _stop(self) -> None:
        self._server.close()
