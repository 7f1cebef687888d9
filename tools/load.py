"""Open-loop load on running entries, and its results.

Arrivals follow a Poisson process per class, independently of the answers. A
refused caller tries again after the time that the answer states, as long as its
deadline allows.
"""

import collections
from collections import abc
from concurrent import futures
import dataclasses
import enum
import heapq
import itertools
import json
import math
import random
import threading
import time
import typing

from hdrh import histogram
import pycurl

__all__ = [
    "CallOutcome",
    "ClassLoad",
    "ClassResult",
    "Load",
    "Result",
    "table",
]

CALLERS = 384
MILLISECOND_S = 0.001


@dataclasses.dataclass(frozen=True)
class ClassLoad:
    """Requests of one class from one workspace.

    Attributes:
        rate_per_s: Mean arrivals a second.
        tokens: Mean length of an answer; lengths vary from half to double.
        target_first_token_s: Time to the first byte that counts as on
            time.
        deadline_s: Time from arrival after which the caller gives up.
        from_s: Start of the arrivals, from the start of the run.
        to_s: End of the arrivals, from the start of the run.
    """

    class_id: str
    workspace: str
    model: str
    rate_per_s: float
    tokens: int
    target_first_token_s: float
    deadline_s: float
    from_s: float = 0.0
    to_s: float = math.inf


class CallOutcome(enum.Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclasses.dataclass
class ClassResult:
    """Results of the callers of one class.

    Attributes:
        first_token_ms: Histogram of the time from arrival to first byte.
        tokens: Tokens of complete answers.
    """

    offered: int = 0
    ended: collections.Counter[CallOutcome] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_target: int = 0
    tokens: int = 0
    refusals: int = 0
    first_token_ms: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, 600_000, 2)
    )

    @property
    def attainment_share(self) -> float:
        """Share of all offered requests that met their target."""
        return self.in_target / self.offered if self.offered else 1.0


@dataclasses.dataclass
class Result:
    """Results of all callers in one run."""

    classes: dict[str, ClassResult]
    seconds: float

    @property
    def goodput_tokens_per_s(self) -> float:
        """Tokens of complete answers per second."""
        total = sum(result.tokens for result in self.classes.values())
        return total / self.seconds


@dataclasses.dataclass(frozen=True)
class _Request:
    load: ClassLoad
    arrival_s: float
    tokens: int
    url: str


class Load:
    """Sends a mix of requests to entries for some seconds."""

    def __init__(self, loads: list[ClassLoad], urls: list[str], seed: int = 1):
        self._loads = loads
        self._urls = urls
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._results = {load.class_id: ClassResult() for load in loads}
        self._pending = 0

    def run(
        self,
        seconds: float,
        progress: abc.Callable[[float, int], None] | None = None,
    ) -> Result:
        """Sends requests, then waits for every answer.

        Args:
            seconds: How long requests arrive.
            progress: Called about every second with the time since the start
                and the number of pending requests.
        """
        start_s = time.monotonic()
        shown_s = 0.0
        with futures.ThreadPoolExecutor(CALLERS) as executor:
            for request in self._arrivals(seconds):
                wait_s = start_s + request.arrival_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                with self._lock:
                    self._pending += 1
                executor.submit(self._call, request, start_s)
                if progress and request.arrival_s - shown_s >= 1.0:
                    shown_s = request.arrival_s
                    progress(shown_s, self._pending)
        return Result(self._results, time.monotonic() - start_s)

    def _arrivals(self, seconds: float) -> abc.Iterator[_Request]:
        urls = itertools.cycle(self._urls)
        streams = [self._stream(load, seconds) for load in self._loads]
        merged = heapq.merge(*streams, key=lambda item: item[0])
        for arrival_s, load, tokens in merged:
            yield _Request(load, arrival_s, tokens, next(urls))

    def _stream(
        self, load: ClassLoad, seconds: float
    ) -> abc.Iterator[tuple[float, ClassLoad, int]]:
        rng = random.Random(self._rng.random())
        arrival_s = load.from_s
        while True:
            arrival_s += rng.expovariate(load.rate_per_s)
            if arrival_s >= min(seconds, load.to_s):
                return
            tokens = round(load.tokens * 2 ** rng.uniform(-1.0, 1.0))
            yield arrival_s, load, max(tokens, 1)

    def _call(self, request: _Request, start_s: float) -> None:
        load = request.load
        arrival_s = start_s + request.arrival_s
        result = self._results[load.class_id]
        with self._lock:
            result.offered += 1
        answer = None
        while answer is None:
            attempt = _Attempt(request)
            attempt.perform()
            if attempt.status in (429, 503):
                with self._lock:
                    result.refusals += 1
                retry_s = time.monotonic() + attempt.retry_after_s()
                if retry_s < arrival_s + load.deadline_s:
                    time.sleep(retry_s - time.monotonic())
                    continue
            answer = attempt
        with self._lock:
            self._pending -= 1
            _record(result, request, answer, arrival_s)


def _record(
    result: ClassResult,
    request: _Request,
    answer: "_Attempt",
    arrival_s: float,
) -> None:
    outcome = answer.outcome()
    result.ended[outcome] += 1
    if outcome is not CallOutcome.WHOLE:
        return
    first_s = answer.first_byte_s - arrival_s
    result.tokens += request.tokens
    result.first_token_ms.record_value(max(1, round(first_s * 1_000)))
    if first_s <= request.load.target_first_token_s:
        result.in_target += 1


class _Attempt:
    """One HTTP request of a caller."""

    def __init__(self, request: _Request):
        self._request = request
        self._body = bytearray()
        self.first_byte_s = 0.0
        self.status = 0

    def perform(self) -> None:
        """Sends the request and reads the answer to its end."""
        load = self._request.load
        easy = pycurl.Curl()
        easy.setopt(pycurl.URL, self._request.url + "/v1/chat/completions")
        easy.setopt(pycurl.POSTFIELDS, self._payload())
        easy.setopt(
            pycurl.HTTPHEADER,
            [
                f"Authorization: Bearer {load.workspace}-key",
                f"X-Request-Class: {load.class_id}",
                "Content-Type: application/json",
                "Expect:",
            ],
        )
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.NOPROXY, "*")
        easy.setopt(pycurl.TIMEOUT_MS, round(load.deadline_s * 1_000))
        easy.setopt(pycurl.WRITEFUNCTION, self._on_data)
        try:
            easy.perform()
        except pycurl.error:
            # An incomplete answer is classified by the data received.
            pass
        finally:
            self.status = easy.getinfo(pycurl.RESPONSE_CODE)
            easy.close()

    def _payload(self) -> bytes:
        request = self._request
        return json.dumps(
            {
                "model": request.load.model,
                "messages": [{"role": "user", "content": "x" * 200}],
                "stream": True,
                "standin_tokens": request.tokens,
            }
        ).encode()

    def _on_data(self, data: bytes) -> None:
        if not self._body:
            self.first_byte_s = time.monotonic()
        self._body += data

    def retry_after_s(self) -> float:
        """Returns the wait before the next attempt, from the answer."""
        try:
            error: dict[str, typing.Any] = json.loads(self._body)["error"]
            return float(error["retry_after_s"] or 1.0)
        except (ValueError, KeyError, TypeError):
            return 1.0

    def outcome(self) -> CallOutcome:
        """Returns how the request ended."""
        if self.status == 200 and self._body.endswith(b"data: [DONE]\n\n"):
            return CallOutcome.WHOLE
        if self.status >= 400:
            return CallOutcome.REFUSED
        return CallOutcome.BROKEN


def table(result: Result) -> abc.Iterator[str]:
    """Yields a readable table of a run, line by line."""
    yield (
        f"{'class':<18}{'offered':>8}{'whole':>7}{'refused':>8}{'broken':>7}"
        f"{'in target':>10}{'p50 ms':>8}{'p95 ms':>8}"
    )
    for name, item in result.classes.items():
        first = item.first_token_ms
        yield (
            f"{name:<18}{item.offered:>8}"
            f"{item.ended[CallOutcome.WHOLE]:>7}"
            f"{item.ended[CallOutcome.REFUSED]:>8}"
            f"{item.ended[CallOutcome.BROKEN]:>7}"
            f"{item.attainment_share:>10.1%}"
            f"{first.get_value_at_percentile(50):>8}"
            f"{first.get_value_at_percentile(95):>8}"
        )
    yield f"goodput: {result.goodput_tokens_per_s:.0f} tokens/s"
