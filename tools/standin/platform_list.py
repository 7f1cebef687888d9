"""A stand-in of the platform's lagging list of instances and endpoints.

``POST /standin/state`` with ``{"address": ..., "state": "live"|"leaving"}``
changes the truth; ``GET /v1/listing`` shows it as it was some time ago.
``POST /v1/usage`` and ``/v1/endpoints`` take the calls of one holder, refuse
old fencing tokens, and are shown by ``GET /standin/calls``.
"""

import argparse
from http import server
import json
import threading
import time

__all__ = ["PlatformList", "main"]


class PlatformList:
    """The truth and its lagging picture."""

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._changes: list[tuple[float, str, str]] = []

    def change(self, address: str, state: str) -> None:
        """Records a change of the truth."""
        with self._lock:
            self._changes.append((time.monotonic(), address, state))

    def shown(self) -> dict[str, str]:
        """Returns the states as they were `lag_s` ago."""
        seen_s = time.monotonic() - self._lag_s
        with self._lock:
            return {
                address: state
                for at_s, address, state in self._changes
                if at_s <= seen_s
            }


class Duties:
    """The calls of one holder, checked as a platform would."""

    def __init__(self):
        self._lock = threading.Lock()
        self._newest: dict[str, int] = {}
        self.calls: list[dict[str, object]] = []

    def take(self, path: str, token: int, holder: str, body: dict) -> int:
        """Takes a call; returns the HTTP status."""
        subject = f"{path} {body.get('service')} {body.get('domain')}"
        with self._lock:
            if token < self._newest.get(subject, 0):
                return 409
            self._newest[subject] = token
            self.calls.append(
                {"path": path, "token": token, "holder": holder, **body}
            )
            return 200


class _Handler(server.BaseHTTPRequestHandler):
    listing: PlatformList
    duties: Duties

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing."""

    def do_GET(self) -> None:
        """Shows the list, or the calls that were taken."""
        if self.path == "/standin/calls":
            self._answer(self.duties.calls)
            return
        endpoints = [
            {"address": address, "state": state}
            for address, state in self.listing.shown().items()
        ]
        self._answer({"endpoints": endpoints})

    def do_POST(self) -> None:
        """Changes the truth, or takes a call of a holder."""
        size = int(self.headers.get("Content-Length", 0))
        change = json.loads(self.rfile.read(size))
        if self.path.startswith("/v1/"):
            status = self.duties.take(
                self.path,
                int(self.headers["X-Fencing-Token"]),
                self.headers["X-Holder"],
                change,
            )
            self._answer({}, status)
            return
        self.listing.change(change["address"], change["state"])
        self._answer({})

    def _answer(self, content: object, status: int = 200) -> None:
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag-s", type=float, default=2.0)
    options = parser.parse_args()
    handler = type(
        "Handler",
        (_Handler,),
        {"listing": PlatformList(options.lag_s), "duties": Duties()},
    )
    server.ThreadingHTTPServer(
        ("127.0.0.1", options.port), handler
    ).serve_forever()


if __name__ == "__main__":
    main()
