"""The HTTP server for callers and operators.

werkzeug serves each connection in one task of a `ThreadPoolExecutor`, with
blocking code. It answers one request per connection and then closes it, so no
answer can reach the wrong caller.
"""

from concurrent import futures
import dataclasses
import errno
import pathlib
import resource
import socket
import ssl
import threading
import time
import typing

from werkzeug import serving

from cardamombarrow.kernel import connection as connection_module
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.kernel import settings

__all__ = ["HttpServer", "HttpSettings", "side_server"]

OPEN_CONNECTIONS_FACTOR = 2
"""Most open connections, as a multiple of those served at once."""

OTHER_DESCRIPTORS = 64
"""File descriptors besides those of callers and endpoints: links between
processes, logs, polls."""

ACCEPT_PAUSE_S = 0.05

_FULL_BODY = connection_module.error_body(
    errors.ErrorKind.OVERLOADED, "too many connections", retry_after_s=2.0
)
_FULL_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nRetry-After: 2\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_FULL_BODY), _FULL_BODY)
)


@dataclasses.dataclass(frozen=True)
class HttpSettings:
    """Where and how HTTP is served."""

    host: str = settings.setting("127.0.0.1", help="address to listen on")
    port: int = settings.setting(
        0, help="port to listen on; 0 selects a free one", low=0, high=65535
    )
    address: str = settings.setting(
        "", help="address host:port to listen on, instead of host and port"
    )
    connections: int = settings.setting(
        512, help="connections served at once", low=1, high=4096
    )
    read_timeout_s: float = settings.setting(
        10.0,
        unit="s",
        help="longest wait for the next bytes of a request",
        low=0.1,
        high=600.0,
    )
    request_timeout_s: float = settings.setting(
        30.0,
        unit="s",
        help="longest time until a request has been received in full",
        low=0.1,
        high=3600.0,
    )
    write_timeout_s: float = settings.setting(
        10.0,
        unit="s",
        help="longest wait for a caller to take one piece of an answer; "
        "after it the caller counts as disconnected",
        low=0.1,
        high=600.0,
    )
    tls_certificate: str = settings.setting(
        "", help="PEM certificate chain; empty serves without TLS"
    )
    tls_key: str = settings.setting("", help="PEM private key")

    def listen_address(self) -> tuple[str, int]:
        """Returns host and port to listen on."""
        if not self.address:
            return self.host, self.port
        host, _, port = self.address.rpartition(":")
        return host, int(port)


def _check_descriptors(connections: int) -> None:
    """Warns if the system allows too few open files for the settings."""
    wanted = (OPEN_CONNECTIONS_FACTOR + 1) * connections + OTHER_DESCRIPTORS
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed < wanted:
        logs.event(
            "too few file descriptors",
            "WARNING",
            allowed=allowed,
            wanted=wanted,
            detail="raise the limit of open files or lower [http] connections",
        )


class _Server(serving.BaseWSGIServer):
    """werkzeug's server, with an executor instead of new threads."""

    multithread = True
    request_queue_size = 1024

    def __init__(self, http: HttpSettings, app: typing.Any):
        context = None
        if http.tls_certificate:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(
                pathlib.Path(http.tls_certificate), http.tls_key or None
            )
        host, port = http.listen_address()
        super().__init__(host, port, app, handler=connection_module.Handler)
        # The handshake runs in the connection's task: in the accepting thread,
        # one silent client would delay all others.
        self._context = context
        self.limits = http
        _check_descriptors(http.connections)
        self._lock = threading.Lock()
        self._open = 0
        self._max_open = OPEN_CONNECTIONS_FACTOR * http.connections
        self._executor = futures.ThreadPoolExecutor(
            max_workers=http.connections, thread_name_prefix="http"
        )

    def get_request(self) -> tuple[socket.socket, typing.Any]:
        """Accepts a connection; pauses if no file descriptor is left.

        The pending connection stays ready to accept, so without a pause this
        thread would retry in a loop and use a whole core.
        """
        try:
            return super().get_request()
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE):
                time.sleep(ACCEPT_PAUSE_S)
            raise

    def process_request(
        self, request: socket.socket, client_address: typing.Any
    ) -> None:
        """Submits a connection to the executor, unless too many are open."""
        with self._lock:
            full = self._open >= self._max_open
            self._open += not full
        if full:
            self._reject(request)
        else:
            self._executor.submit(self._serve, request, client_address)

    def _reject(self, connection: socket.socket) -> None:
        # Runs in the accepting thread, so it must not wait for the client.
        try:
            connection.setblocking(False)
            connection.send(_FULL_ANSWER)
        except OSError as error:
            logs.event("http", "DEBUG", detail=str(error))
        finally:
            self.shutdown_request(connection)

    def _serve(
        self, connection: socket.socket, client_address: typing.Any
    ) -> None:
        try:
            connection.settimeout(self.limits.read_timeout_s)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._context is not None:
                connection = self._context.wrap_socket(
                    connection, server_side=True
                )
            self.finish_request(connection, client_address)
        except OSError as error:
            logs.event("http", "DEBUG", detail=str(error))
        except Exception as error:
            logs.event("http", "ERROR", detail=repr(error))
        finally:
            self.shutdown_request(connection)
            with self._lock:
                self._open -= 1

    def server_close(self) -> None:
        """Serves the connections that are already established, then closes."""
        if self.socket.fileno() >= 0:
            self._serve_pending()
        super().server_close()

    def _serve_pending(self) -> None:
        # Closing the port resets established connections that have not been
        # accepted: their requests would fail without being read.
        self.socket.setblocking(False)
        while True:
            try:
                connection, address = self.get_request()
            except OSError:
                return
            connection.setblocking(True)
            self.process_request(connection, address)

    def finish(self) -> None:
        """Waits until all open connections have been served."""
        self._executor.shutdown(wait=True)


def side_server(address: str, app: typing.Any) -> "HttpServer | None":
    """Returns a server for the platform's probes, or None.

    On a separate port, a process answers probes even while callers occupy all
    threads of the main server.

    Args:
        address: ``host:port``; empty for none.
        app: The WSGI application that it serves.
    """
    if not address:
        return None
    return HttpServer(HttpSettings(address=address, connections=4), app)


class HttpServer(lifecycle.Part):
    """Serves a WSGI application until stopped."""

    def __init__(self, http: HttpSettings, app: typing.Any):
        self._server = _Server(http, app)
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="accept", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Starts accepting connections; does nothing if already started."""
        if self._thread.ident is None:
            self._thread.start()

    def stop(self) -> None:
        """Stops accepting and waits until all connections have been served."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()
        self._server.finish()
