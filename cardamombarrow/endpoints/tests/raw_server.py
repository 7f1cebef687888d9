"""A server that answers with raw bytes, for tests."""

from collections import abc
import contextlib
import socket
import threading

__all__ = ["RawServer"]


class RawServer(contextlib.AbstractContextManager):
    """Answers each connection in one way, once a request's head is there.

    Attributes:
        url: Its URL, without a path.
        requests: Number of requests.
        received: What was read of the last request.
    """

    def __init__(self, answer: abc.Callable[[socket.socket], None]):
        self._answer = answer
        self.requests = 0
        self.received = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        # Uploads block early, so that they go on while the answer arrives.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def __exit__(self, *_: object) -> None:
        """Stops listening."""
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                self.received = _read_head(connection)
                self.requests += 1
                self._answer(connection)


def _read_head(connection: socket.socket) -> bytes:
    """Returns a request's head, or what there is of it."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(2_048)
        if not data:
            break
        received += data
    return received
