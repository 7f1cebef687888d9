"""A stand-in for a model engine and for a plain service.

It serves OpenAI-compatible HTTP with SSE, batches continuously, supports
priorities and cancellation, and reports its load with a lag. It records its
runs, so that tests can check `not_run` against them.
``POST /standin/behaviour`` changes its behaviour while it runs.
"""

import argparse
import dataclasses
import hashlib
from http import server
import json
import os
import random
import select
import threading
import time
import typing

from tools import arrivals
from tools.standin import engine_batch
from tools.standin import engine_behaviour
from tools.standin import engine_models

__all__ = ["Engine", "main"]

REPORT_TICK_S = 0.05

CUT_MARKER = b"standin-cut"
CUT_AT_TOKEN = 3
"""Token at which the connection of a request with `CUT_MARKER` is closed."""

CANCEL_POLL_S = 0.05
"""Time between two checks whether the router has cancelled a request."""

IsCancelled = typing.Callable[[], bool]


def _raise_if_cancelled(is_cancelled: IsCancelled) -> None:
    if is_cancelled():
        raise ConnectionAbortedError("cancelled")


class Engine:
    """State of one stand-in engine."""

    def __init__(self, behaviour: engine_behaviour.Behaviour):
        self.behaviour = behaviour
        self.batch = engine_batch.Batch(behaviour)
        self.loaded_models = engine_models.EngineModels()
        self.runs: list[dict[str, typing.Any]] = []
        self.tokens = 0
        self._rejected_s: list[float] = []
        self._reports: list[tuple[float, int, int]] = []
        threading.Thread(target=self._observe, daemon=True).start()

    def _observe(self) -> None:
        while True:
            self._reports.append(
                (time.monotonic(), self.batch.running, self.batch.waiting)
            )
            del self._reports[:-1000]
            time.sleep(REPORT_TICK_S)

    def report(self) -> str:
        """Returns the load as it was `report_lag_s` ago."""
        visible_s = time.monotonic() - self.behaviour.report_lag_s
        old = [item for item in self._reports if item[0] <= visible_s]
        _, running, waiting = (old or [(0.0, 0, 0)])[-1]
        return (
            f"engine:num_requests_running {running}\n"
            f"engine:num_requests_waiting {waiting}\n"
            f"engine:cache_usage_share {running / self.behaviour.slots:.3f}\n"
            f"engine:leaving {int(self.behaviour.leaving)}\n"
        )

    def rejects(self) -> bool:
        """Returns whether a request finds no room; ends after too many."""
        behaviour = self.behaviour
        if behaviour.waiting_room < 0:
            return False
        taken = self.batch.running + self.batch.waiting
        if taken < behaviour.slots + behaviour.waiting_room:
            return False
        now_s = time.monotonic()
        self._rejected_s = [
            each for each in self._rejected_s if now_s - each < 1.0
        ] + [now_s]
        if 0 < behaviour.rejection_limit < len(self._rejected_s):
            os._exit(71)
        return True

    def record_arrival(self, port: int, body: bytes, request_id: str) -> None:
        """Appends a request to the file of arrivals."""
        if self.behaviour.arrivals:
            arrivals.append(self.behaviour.arrivals, port, body, request_id)

    def fails(self, body: bytes) -> bool:
        """Returns whether a request gets `fail_status`."""
        if not self.behaviour.fail_status or self._is_crashing(body):
            return False
        return random.random() < self.behaviour.fail_share

    def _is_crashing(self, body: bytes) -> bool:
        marker = self.behaviour.crash_marker.encode()
        return bool(marker) and marker in body

    def crash_on_marker(self, body: bytes) -> None:
        """Ends the process if a request is one that crashes it."""
        if self._is_crashing(body):
            os._exit(70)

    def run(
        self,
        request_id: str,
        rank: int,
        body: bytes,
        is_cancelled: IsCancelled,
        first: int = 0,
    ) -> typing.Iterator[str]:
        """Yields the tokens of one answer."""
        record: dict[str, typing.Any] = {
            "request_id": request_id,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "at_unix_s": time.time(),
            "first": first,
            "tokens": first,
            "outcome": "running",
        }
        self.runs.append(record)
        self.crash_on_marker(body)
        content = json.loads(body)
        count = min(
            content.get("standin_tokens", self.behaviour.default_tokens),
            content.get("max_tokens") or 1_000_000,
        )
        self.batch.enter(rank)
        try:
            if self.behaviour.cut_at_start:
                raise ConnectionAbortedError("injected cut")
            self._prefill(len(body) / 4, is_cancelled)
            for number in range(first, count):
                time.sleep(self.behaviour.token_s)
                self._inject_faults(number, is_cancelled)
                if (number, first) == (CUT_AT_TOKEN, 0) and CUT_MARKER in body:
                    raise ConnectionAbortedError("injected cut")
                record["tokens"] = number + 1
                self.tokens += 1
                yield f"{record['body_sha256'][:8]}-{number} "
            record["outcome"] = "done"
        finally:
            if record["outcome"] == "running":
                record["outcome"] = "cancelled"
            self.batch.leave()

    def _prefill(self, tokens: float, is_cancelled: IsCancelled) -> None:
        end_s = time.monotonic() + self.behaviour.prefill_s_per_token * tokens
        while (left_s := end_s - time.monotonic()) > 0:
            _raise_if_cancelled(is_cancelled)
            time.sleep(min(left_s, CANCEL_POLL_S))

    def _inject_faults(self, number: int, is_cancelled: IsCancelled) -> None:
        behaviour = self.behaviour
        while behaviour.stall_after_tokens and (
            number >= behaviour.stall_after_tokens
        ):
            _raise_if_cancelled(is_cancelled)
            time.sleep(CANCEL_POLL_S)
        if behaviour.cut_after_tokens and number >= behaviour.cut_after_tokens:
            raise ConnectionAbortedError("injected cut")


class _Handler(server.BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1
    engine: Engine

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing."""

    def do_GET(self) -> None:
        """Serves load reports and records, or calls the plain service."""
        if self.path == "/metrics":
            self._send_answer(200, self.engine.report().encode(), "text/plain")
        elif self.path == "/standin/runs":
            self._send_answer(200, json.dumps(self.engine.runs).encode())
        elif self.path == "/v1/models":
            self._send_answer(
                200, json.dumps(self.engine.loaded_models.models()).encode()
            )
        elif self.path == "/standin/orders":
            self._send_answer(
                200, json.dumps(self.engine.loaded_models.orders).encode()
            )
        else:
            self._call_plain(b"")

    def do_POST(self) -> None:
        """Serves completions and orders, or calls the plain service."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/standin/behaviour":
            for name, value in json.loads(body).items():
                setattr(self.engine.behaviour, name, value)
            self._send_answer(200, b"{}")
        elif self.path == "/v1/orders":
            is_accepted = self.engine.loaded_models.order(json.loads(body))
            self._send_answer(202 if is_accepted else 409, b"{}")
        elif self.path.startswith("/v1/"):
            self._completion(body)
        else:
            self._call_plain(body)

    def _is_cancelled(self) -> bool:
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP)
        return bool(poll.poll(0))

    def _completion(self, body: bytes) -> None:
        self._record_arrival(body)
        if self.engine.fails(body):
            self._send_answer(self.engine.behaviour.fail_status, b"{}")
            return
        if self._turns_away():
            return
        if self.engine.rejects():
            self._send_answer(503, b"{}")
            return
        tokens = self.engine.run(
            self.headers.get("X-Request-Id", ""),
            int(self.headers.get("X-Priority", "0")),
            body,
            self._is_cancelled,
            int(self.headers.get("X-Resume-Offset", "0")),
        )
        try:
            if json.loads(body).get("stream"):
                self._stream(tokens)
            else:
                self._send_complete(tokens)
        except OSError:
            self.close_connection = True
        finally:
            tokens.close()

    def _start_answer(self, status: int) -> None:
        self.send_response(status)
        behaviour = self.engine.behaviour
        if behaviour.rate_limit:
            self.send_header("X-Rate-Limit", behaviour.rate_limit)
        if behaviour.rejection_limit:
            self.send_header(
                "X-Rejection-Limit", str(behaviour.rejection_limit)
            )
        if behaviour.departure:
            self.send_header("X-Leaving", "1")
        if behaviour.pause and status == 503:
            self.send_header("Retry-After", behaviour.pause)

    def _stream(self, tokens: typing.Iterator[str]) -> None:
        self._start_answer(200)
        self.send_header("Content-Type", "text/event-stream")
        if self.engine.behaviour.resumable:
            self.send_header("X-Resumable", "yes")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.flush()
        for token in tokens:
            event = {"choices": [{"index": 0, "delta": {"content": token}}]}
            self._chunk(b"data: " + json.dumps(event).encode() + b"\n\n")
        self._chunk(b"data: [DONE]\n\n")
        self._chunk(b"")

    def _chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def _send_complete(self, tokens: typing.Iterator[str]) -> None:
        parts = list(tokens)
        content = {
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(parts)},
                    "finish_reason": "stop",
                }
            ],
            "usage": {"completion_tokens": len(parts)},
        }
        body = json.dumps(content).encode()
        if self.engine.behaviour.short_answer:
            self._start_answer(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body[:-10])
            self.close_connection = True
            return
        self._send_answer(200, body)

    def _turns_away(self) -> bool:
        """Turns the request away if the engine asks for a pause."""
        if not self.engine.behaviour.pause:
            return False
        record = {
            "request_id": self.headers.get("X-Request-Id", ""),
            "at_unix_s": time.time(),
            "outcome": "turned away",
        }
        self.engine.runs.append(record)
        self._send_answer(503, b"{}")
        return True

    def _record_arrival(self, body: bytes) -> None:
        port = self.server.server_address[1]
        request_id = self.headers.get("X-Request-Id", "")
        self.engine.record_arrival(port, body, request_id)

    def _call_plain(self, body: bytes) -> None:
        self._record_arrival(body)
        if self._turns_away():
            return
        self.engine.crash_on_marker(body)
        record = {
            "request_id": self.headers.get("X-Request-Id", ""),
            "method": self.command,
            "path": self.path,
            "body": body.decode("utf-8", "replace"),
            "outcome": "running",
        }
        self.engine.runs.append(record)
        self.engine.batch.enter(0)
        try:
            time.sleep(self.engine.behaviour.token_s)
            record["outcome"] = "done"
            answer = json.dumps({"ran": record["path"], "body": record["body"]})
            status = self.engine.behaviour.fail_plain_status or 200
            self._send_answer(status, answer.encode())
        finally:
            self.engine.batch.leave()

    def _send_answer(
        self, status: int, body: bytes, kind: str = "application/json"
    ) -> None:
        self._start_answer(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(server.ThreadingHTTPServer):
    request_queue_size = 1024
    daemon_threads = True


def main() -> None:
    """Runs one stand-in; options are the fields of `Behaviour`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    for field in dataclasses.fields(engine_behaviour.Behaviour):
        name = "--" + field.name.replace("_", "-")
        if field.type is bool:
            parser.add_argument(name, action="store_true")
        else:
            parser.add_argument(name, type=field.type, default=field.default)
    options = vars(parser.parse_args())
    port = options.pop("port")
    engine = Engine(engine_behaviour.Behaviour(**options))
    handler = type("Handler", (_Handler,), {"engine": engine})
    _Server(("127.0.0.1", port), handler).serve_forever()


if __name__ == "__main__":
    main()
