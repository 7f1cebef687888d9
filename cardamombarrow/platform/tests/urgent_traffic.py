"""Callers of three classes whose urgency and size differ, for tests.

Documents with many more routes are sent to the control processes meanwhile.
What is recorded is what callers and servers see.
"""

from concurrent import futures
import contextlib
import dataclasses
import itertools
import json
import random
import socket
import threading
import time
import typing

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.platform.tests import platform_plan
from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import urgency_rule
from tools import deployment

__all__ = ["Editions", "StreamClass", "Traffic", "configuration", "plan"]

CALLERS = 64
HOST = "one.example"
OWN_TOKENS = 10
"""Tokens of a prompt that are not shared."""

MAX_RETRY_WAIT_SHARE = 1 / 3
"""Share of the time left for which a caller waits before its retry."""

_HEAD_LIMIT = 65_536


@dataclasses.dataclass(frozen=True)
class StreamClass:
    """A class of requests.

    Attributes:
        priority: Rank of its route; 0 is the most urgent.
    """

    name: str
    priority: int
    prompt_tokens: int
    target_ms: int
    limit_ms: int


CLASSES = (
    StreamClass("digest", 2, 12_000, 2_500, 10_000),
    StreamClass("summary", 1, 4_000, 900, 6_000),
    StreamClass("question", 0, 1_000, 500, 8_000),
)


def _route(name: str, prefix: str, **fields: object) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{prefix}/",
        "routeKind": "streaming",
        "service": standin.SERVICE,
        "maxAttempts": 3,
        "anonymous": True,
        "sticky": False,
        "resumable": True,
        "itlTargetMs": 500,
        **fields,
    }


def configuration(version: int, more_routes: int = 0) -> dict[str, typing.Any]:
    """Returns a configuration with the classes' routes and many more."""
    rng = random.Random(0)
    routes = [
        _route(
            each.name,
            each.name,
            timeoutMs=each.limit_ms,
            latencyGoalMs=each.target_ms,
            priority=each.priority,
        )
        for each in CLASSES
    ]
    routes += [
        _route(
            f"r-{rng.getrandbits(40):010x}",
            f"{rng.getrandbits(40):010x}",
            timeoutMs=5_000,
            latencyGoalMs=900,
            priority=1,
        )
        for _ in range(more_routes)
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": standin.SERVICE,
                "healthPath": "/healthz",
                "maxConns": 800,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": standin.SLOTS,
                    "kvCapacity": 600_000,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def plan(
    listing_url: str,
    entries: dict[str, list[str]],
    controls: dict[str, list[str]],
) -> deployment.Plan:
    """Returns a plan whose instances reach each other through a proxy."""
    made = platform_plan.plan(configuration(1), listing_url, entries)
    made.controls = controls
    made.proxied = True
    made.proxied_controls = True
    return made


class Editions:
    """Sends configurations until one of the control processes takes them."""

    def __init__(self, running: deployment.Deployment):
        self._running = running
        self._versions = itertools.count(2)

    def send(self, more_routes: int, timeout_s: float = 6.0) -> bool:
        """Sends one with more routes; returns whether it was acknowledged."""
        body = json.dumps(configuration(next(self._versions), more_routes))
        return self.send_text(body, timeout_s)

    def send_text(self, body: str, timeout_s: float = 6.0) -> bool:
        """Sends a configuration; returns whether it was acknowledged."""
        end_s = time.monotonic() + timeout_s
        for url in itertools.cycle(self._running.controls.values()):
            if time.monotonic() > end_s:
                return False
            with contextlib.suppress(errors.EndpointError):
                reply = http_get.fetch(
                    f"{url}/configuration",
                    timeout_s=2.0,
                    method="PUT",
                    body=body.encode(),
                )
                if reply.status == 200:
                    return True
            time.sleep(0.1)
        return False


class Traffic:
    """Sends requests of all classes to all entries.

    Attributes:
        requests: All requests that have ended, as their callers saw them.
        refusals: Answers of entries that say that a request has not run.
    """

    def __init__(
        self,
        running: deployment.Deployment,
        servers: standin.Servers,
        seed: int,
    ):
        self.refusals: list[tuple[float, str, str]] = []
        self.requests: list[urgency_rule.Request] = []
        self._running = running
        self._servers = servers
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()

    def run(self, duration_s: float, each_per_s: float) -> None:
        """Sends requests of each class at a rate until the time is over."""
        with futures.ThreadPoolExecutor(CALLERS) as pool:
            end_s = time.monotonic() + duration_s
            pending = []
            while time.monotonic() < end_s:
                total_per_s = each_per_s * len(CLASSES)
                time.sleep(self._rng.expovariate(total_per_s))
                rng = random.Random(self._rng.random())
                stream = rng.choice(CLASSES)
                pending.append(pool.submit(self._call, stream, rng))
            found = [each.result() for each in pending]
        begun = {each.attempt: each.at_s for each in self._servers.received}
        for request, attempts in found:
            begun_s = min(begun.get(each, float("inf")) for each in attempts)
            self.requests.append(dataclasses.replace(request, begun_s=begun_s))

    def _call(
        self, stream: StreamClass, rng: random.Random
    ) -> tuple[urgency_rule.Request, list[str]]:
        sent_s = time.monotonic()
        end_s = sent_s + stream.limit_ms / 1_000
        names = rng.sample(list(self._running.entries), 2)
        attempts, answered = [], False
        for name in names:
            attempt = f"{next(self._numbers):08x}"
            attempts.append(attempt)
            left_s = end_s - time.monotonic()
            status, answered, retry_s = self._try(stream, attempt, name, left_s)
            if answered or status not in (0, 429, 503):
                break
            self.refusals.append((time.monotonic(), name, attempt))
            wait_s = min(retry_s, MAX_RETRY_WAIT_SHARE * left_s)
            time.sleep(max(wait_s, 0.0))
        request = urgency_rule.Request(
            stream.name,
            stream.priority,
            stream.prompt_tokens,
            sent_s,
            answered=answered,
        )
        return request, attempts

    def _try(
        self, stream: StreamClass, attempt: str, name: str, left_s: float
    ) -> tuple[int, bool, float]:
        """Returns status, whether anything was answered, and when to retry."""
        address = self._running.entries[name].removeprefix("http://")
        host, _, port = address.partition(":")
        shared = f"a{stream.priority}:{stream.prompt_tokens - OWN_TOKENS}"
        head = [
            f"POST /{stream.name}/{attempt} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            "Model-Name: m",
            f"Token-Count: {stream.prompt_tokens},6",
            f"Prefix-Hash: {shared},{attempt}:{OWN_TOKENS}",
            f"Deadline-Ms: {max(int(1_000 * left_s), 1)}",
            "Content-Length: 0",
            "Connection: close",
            "",
            "",
        ]
        try:
            with socket.create_connection((host, int(port)), 2.0) as caller:
                caller.settimeout(max(left_s, 0.1))
                caller.sendall("\r\n".join(head).encode())
                raw = b""
                while data := caller.recv(_HEAD_LIMIT):
                    raw += data
        except OSError:
            return 0, False, 0.0
        if not raw:
            return 0, False, 0.0
        status = int(raw.split(b" ", 2)[1])
        fields = raw.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
        retry_s = [
            float(field.partition(b":")[2])
            for field in fields
            if field.startswith(b"retry-after:")
        ]
        return status, status == 200, *(retry_s or [0.0])
