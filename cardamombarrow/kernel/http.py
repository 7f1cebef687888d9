"""The HTTP server that callers and operators talk to.

werkzeug serves each connection in one task of a `ThreadPoolExecutor`, written
straight down. werkzeug answers one request a connection and then closes it,
so no answer can be read by the wrong caller.
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

WAITING_FACTOR = 2
"""Connections that may be open, as a multiple of those served at once."""

OTHER_DESCRIPTORS = 64
"""Descriptors beside those of callers and endpoints: links, logs, polls."""

FULL_PAUSE_S = 0.05

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
        0, help="port to listen on; 0 takes a free one", low=0, high=65535
    )
    address: str = settings.setting(
        "", help="address host:port to listen on, in place of the two above"
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
        help="longest time until a request has come whole",
        low=0.1,
        high=3600.0,
    )
    write_timeout_s: float = settings.setting(
        10.0,
        unit="s",
        help="longest wait for a caller to take one piece of an answer; "
        "after it the caller counts as gone",
        low=0.1,
        high=600.0,
    )
    tls_certificate: str = settings.setting(
        "", help="PEM certificate chain; empty serves without TLS"
    )
    tls_key: str = settings.setting("", help="PEM private key")

    def place(self) -> tuple[str, int]:
        """Returns host and port to listen on."""
        if not self.address:
            return self.host, self.port
        host, _, port = self.address.rpartition(":")
        return host, int(port)


def _check_descriptors(connections: int) -> None:
    """Warns where the system allows too few open files for the settings."""
    wanted = (WAITING_FACTOR + 1) * connections + OTHER_DESCRIPTORS
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
    """werkzeug's server with an executor in the place of new threads."""

    multithread = True
    request_queue_size = 1024

    def __init__(self, http: HttpSettings, app: typing.Any):
        context = None
        if http.tls_certificate:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(
                pathlib.Path(http.tls_certificate), http.tls_key or None
            )
        host, port = http.place()
        super().__init__(host, port, app, handler=connection_module.Handler)
        # The handshake runs in the connection's own task: done in the
        # accepting thread, one silent client would hold up all others.
        self._context = context
        self.limits = http
        _check_descriptors(http.connections)
        self._lock = threading.Lock()
        self._open = 0
        self._most_open = WAITING_FACTOR * http.connections
        self._executor = futures.ThreadPoolExecutor(
            max_workers=http.connections, thread_name_prefix="http"
        )

    def get_request(self) -> tuple[socket.socket, typing.Any]:
        """Accepts a connection; pauses where no descriptor is left.

        The waiting connection stays ready, so that without a pause this
        thread would try again and again and take a core.
        """
        try:
            return super().get_request()
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE):
                time.sleep(FULL_PAUSE_S)
            raise

    def process_request(
        self, request: socket.socket, client_address: typing.Any
    ) -> None:
        """Hands a new connection to the executor, unless too many wait."""
        with self._lock:
            full = self._open >= self._most_open
            self._open += not full
        if full:
            self._turn_away(request)
        else:
            self._executor.submit(self._serve, request, client_address)

    def _turn_away(self, connection: socket.socket) -> None:
        # Done by the accepting thread, so it must not wait for the client.
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
        """Takes the connections that are set up already, then closes."""
        if self.socket.fileno() >= 0:
            self._take_waiting()
        super().server_close()

    def _take_waiting(self) -> None:
        # Closing the port resets them: those callers would see a request fail
        # that no process had looked at.
        self.socket.setblocking(False)
        while True:
            try:
                connection, address = self.get_request()
            except OSError:
                return
            connection.setblocking(True)
            self.process_request(connection, address)

    def finish(self) -> None:
        """Waits for the connections that are being served."""
        self._executor.shutdown(wait=True)


def side_server(address: str, app: typing.Any) -> "HttpServer | None":
    """Returns a server for a platform's own questions, or None.

    Asked on a port of its own, a process answers while its callers hold all
    the threads that serve them.

    Args:
        address: ``host:port``; empty for none.
        app: What it serves.
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
        """The port that is listened on."""
        return self._server.server_port

    def start(self) -> None:
        """Starts accepting connections; does nothing once it does."""
        if self._thread.ident is None:
            self._thread.start()

    def stop(self) -> None:
        """Stops accepting and waits for every connection to be served."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()
        self._server.finish()
