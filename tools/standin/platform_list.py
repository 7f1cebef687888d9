"""A stand-in for the platform's lagging list of instances and endpoints.

``POST /standin/state`` with ``{"address": ..., "state": "live"|"leaving"}``
sets a state; ``GET /v1/listing`` returns the states with a lag.
``POST /v1/usage`` and ``/v1/endpoints`` accept the calls of the duty holder and
refuse old fencing tokens; ``GET /standin/calls`` returns the accepted calls.
"""

import argparse
from http import server
import json
import threading
import time

__all__ = ["PlatformList", "main"]


class PlatformList:
    """States of endpoints, which are listed with a lag."""

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._changes: list[tuple[float, str, str]] = []

    def set_state(self, address: str, state: str) -> None:
        """Sets the state of an endpoint."""
        with self._lock:
            self._changes.append((time.monotonic(), address, state))

    def listed_states(self) -> dict[str, str]:
        """Returns the states of `lag_s` ago by address."""
        visible_s = time.monotonic() - self._lag_s
        with self._lock:
            return {
                address: state
                for at_s, address, state in self._changes
                if at_s <= visible_s
            }


class Duties:
    """Accepted calls of the duty holder."""

    def __init__(self):
        self._lock = threading.Lock()
        self._highest_tokens: dict[str, int] = {}
        self.calls: list[dict[str, object]] = []

    def handle_call(
        self, path: str, token: int, holder: str, body: dict
    ) -> int:
        """Accepts or refuses a call; returns the HTTP status."""
        subject = f"{path} {body.get('service')} {body.get('domain')}"
        with self._lock:
            if token < self._highest_tokens.get(subject, 0):
                return 409
            self._highest_tokens[subject] = token
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
        """Serves the list or the accepted calls."""
        if self.path == "/standin/calls":
            self._answer(self.duties.calls)
            return
        endpoints = [
            {"address": address, "state": state}
            for address, state in self.listing.listed_states().items()
        ]
        self._answer({"endpoints": endpoints})

    def do_POST(self) -> None:
        """Sets a state, or handles a call of the duty holder."""
        size = int(self.headers.get("Content-Length", 0))
        content = json.loads(self.rfile.read(size))
        if self.path.startswith("/v1/"):
            status = self.duties.handle_call(
                self.path,
                int(self.headers["X-Fencing-Token"]),
                self.headers["X-Holder"],
                content,
            )
            self._answer({}, status)
            return
        self.listing.set_state(content["address"], content["state"])
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
