"""A stand-in for servers of the platform, and for its list of them.

Each port is one server. Every request is appended to a file with the time that
it states to be left. A server fails a share of the requests, by an answer or by
closing the connection.
"""

import argparse
import dataclasses
from http import server
import json
import pathlib
import random
import threading
import time

__all__ = ["SERVICE", "Received", "main", "read"]

SERVICE = "shop"
SLOTS = 64
FAILURE_S = 0.4
"""Least time from the arrival of a request to its failure."""


@dataclasses.dataclass(frozen=True)
class Received:
    """A request as a server has received it.

    Attributes:
        at_s: Unix time.
        attempt: Id that its caller gave it.
        left_ms: Time that is left, as stated; None if it is not.
    """

    at_s: float
    attempt: str
    left_ms: int | None


def read(path: pathlib.Path) -> list[Received]:
    """Returns the requests in a file, in order of time."""
    found = [Received(**json.loads(line)) for line in path.open()]
    return sorted(found, key=lambda received: received.at_s)


class _Handler(server.BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    path_received: pathlib.Path
    ports: list[int]
    fail_share = 0.0
    lock = threading.Lock()

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing."""

    def do_GET(self) -> None:
        """Serves the list, or a request."""
        if self.path.startswith("/instances"):
            self._answer(200, json.dumps(self._listing()).encode())
        else:
            self._serve()

    def _listing(self) -> dict[str, object]:
        instances = [
            {
                "id": f"i-{port}",
                "service": SERVICE,
                "address": f"127.0.0.1:{port}",
                "zone": "a",
                "version": "v1",
                "slots": SLOTS,
                "coldRemainingMs": 0,
                "state": "ready",
            }
            for port in self.ports
        ]
        return {"instances": instances, "nextToken": None}

    def _serve(self) -> None:
        stated = self.headers.get("Deadline-Ms")
        received = Received(
            time.time(),
            self.headers.get("Attempt-Id", ""),
            None if stated is None else int(stated),
        )
        line = json.dumps(dataclasses.asdict(received)) + "\n"
        with self.lock, self.path_received.open("a") as file:
            file.write(line)
        if random.random() >= self.fail_share:
            self._answer(200, b"{}")
            return
        time.sleep(FAILURE_S)
        if random.random() < 0.5:
            self._answer(500, b"{}")
        else:
            self.close_connection = True

    def _answer(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("Attempt-Id", self.headers.get("Attempt-Id", ""))
        self.send_header("Server-Seal", "seal")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Keep-Alive", "timeout=5")
        self.end_headers()
        self.wfile.write(body)


class _Server(server.ThreadingHTTPServer):
    request_queue_size = 1024
    daemon_threads = True


def main() -> None:
    """Serves on every port until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--received", type=pathlib.Path, required=True)
    parser.add_argument("--fail-share", type=float, default=0.0)
    options = parser.parse_args()
    fields = {
        "path_received": options.received,
        "ports": options.ports,
        "fail_share": options.fail_share,
    }
    handler = type("Handler", (_Handler,), fields)
    servers = [_Server(("127.0.0.1", port), handler) for port in options.ports]
    for each in servers[1:]:
        threading.Thread(target=each.serve_forever, daemon=True).start()
    servers[0].serve_forever()


if __name__ == "__main__":
    main()
