"""A stand-in for a server of the platform that is a process of its own.

Its answers are streams with neither a length nor chunks. If it is killed, the
system closes its connections in order.
"""

import argparse
import contextlib
import re
import socket
import subprocess
import sys
import threading
import time

from cardamombarrow.platform.tests import standin_streams as standin

__all__ = ["ServerProcess", "main"]

_ATTEMPT = re.compile(rb"\r\nattempt-id: *([^\r]+)", re.I)


class ServerProcess(contextlib.AbstractContextManager):
    """A server that sends some events and then waits.

    Attributes:
        port: Its port.
    """

    def __init__(self, events: int, *options: str):
        """Starts it.

        Args:
            events: Events that it sends.
            *options: Further options of the process.
        """
        command = (sys.executable, "-m", __name__, "--events", str(events))
        self._process = subprocess.Popen(
            (*command, *options), stdout=subprocess.PIPE
        )
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())

    def __exit__(self, *_: object) -> None:
        """Ends it."""
        self.kill()

    def kill(self) -> None:
        """Kills it, and waits until it has gone."""
        self._process.kill()
        self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()


def _serve(connection: socket.socket, events: int, content_type: str) -> None:
    raw = b""
    while b"\r\n\r\n" not in raw:
        data = connection.recv(standin.HEAD_BYTES)
        if not data:
            return
        raw += data
    found = _ATTEMPT.search(raw)
    attempt = found[1] if found else b""
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: seal\r\n"
        b"Content-Type: %b\r\n\r\n" % (attempt, content_type.encode())
    )
    for number in range(1, events + 1):
        connection.sendall(standin.event(number, "v1"))
    while True:
        time.sleep(1.0)


def main() -> None:
    """Prints its port, and serves until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, required=True)
    parser.add_argument("--content-type", default="text/event-stream")
    options = parser.parse_args()
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=_serve,
            args=(connection, options.events, options.content_type),
            daemon=True,
        ).start()


if __name__ == "__main__":
    main()
