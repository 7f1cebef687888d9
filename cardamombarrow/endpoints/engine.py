"""Model engines: OpenAI-compatible HTTP, SSE, Prometheus load metrics."""

import math
import re
import time

from cardamombarrow.decisions import messages
from cardamombarrow.endpoints import base
from cardamombarrow.endpoints import http_get
from cardamombarrow.endpoints import transfer
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["EngineKind", "parse_report"]

MAX_REPORT_BYTES = 1_048_576
"""Maximum size of a load report; many are read at once."""

MAX_COUNT = 2**32 - 1
"""Highest number in a report; the fields of messages hold no higher one."""

_SAMPLE = re.compile(r"^engine:(\w+)(?:\{[^}]*\})?\s+(\S+)", re.M)
_NOT_STARTED = (429, 503)
_USAGE = re.compile(rb'"completion_tokens":\s*(\d{1,9})(?!\d)')
_DONE = b"data: [DONE]"


@registry.plugin("endpoint-kind", "engine")
class EngineKind(base.EndpointKind):
    """An engine with continuous batching."""

    def open(self, call: base.OutgoingCall) -> base.Exchange:
        """Prepares a completion request."""
        headers = [
            ("Content-Type", call.content_type),
            ("X-Request-Id", call.request_id),
            ("X-Priority", str(call.rank)),
        ]
        if call.resume_tokens:
            headers.append(("X-Resume-Offset", str(call.resume_tokens)))
        return transfer.HttpExchange(
            call, lambda: headers, self.probe, ends_stream=self.ends_stream
        )

    def poll(
        self, endpoint: ids.EndpointId, timeout_s: float
    ) -> messages.LoadReport | None:
        """Reads ``/metrics``."""
        reply = http_get.fetch(
            f"http://{ids.address_of(endpoint)}/metrics",
            timeout_s=timeout_s,
            max_bytes=MAX_REPORT_BYTES,
        )
        if reply.status != 200:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"/metrics answered {reply.status}",
                sent=True,
            )
        if not reply.body.endswith(b"\n"):
            raise errors.EndpointError(
                errors.ErrorKind.ANSWER_CUT,
                "/metrics does not end with a line end",
                sent=True,
            )
        try:
            return parse_report(reply.body.decode(), time.monotonic())
        except ValueError as error:
            raise errors.EndpointError(
                errors.ErrorKind.ENDPOINT_FAILED,
                f"/metrics can't be read: {error}",
                sent=True,
            ) from None

    def resumable(self, head: base.Head) -> bool:
        """Returns whether a stream states in its header to be resumable."""
        return head.streams and head.headers.get("x-resumable") == "yes"

    def not_started(self, head: base.Head) -> bool:
        """Returns True for 429 and 503: engines send them before the start."""
        return head.status in _NOT_STARTED

    def is_failure(self, head: base.Head) -> bool:
        """Returns True for status 500 and above."""
        return head.status >= 500

    def count_tokens(self, chunk: bytes) -> int:
        """Counts events; engines send one token in each event."""
        return chunk.count(b"data: {")

    def tokens_at_end(self, tail: bytes) -> int:
        """Reads the usage at the end of an answer that is not streamed."""
        found = _USAGE.findall(tail)
        return int(found[-1]) if found else 0

    def ends_stream(self, tail: bytes) -> bool:
        """Returns whether the stream ends with the ``[DONE]`` event."""
        return tail.rstrip().endswith(_DONE)


def parse_report(text: str, now_s: float) -> messages.LoadReport:
    """Reads a load report in the Prometheus text format.

    Raises:
        ValueError: A sample that is used is no number, or out of range.
    """
    samples = dict(_SAMPLE.findall(text))
    return messages.LoadReport(
        running=int(_value(samples, "num_requests_running")),
        waiting=int(_value(samples, "num_requests_waiting")),
        cache_used_share=_value(samples, "cache_usage_share"),
        leaving=bool(_value(samples, "leaving")),
        measured_at_s=now_s,
    )


def _value(samples: dict[str, str], name: str) -> float:
    value = float(samples.get(name, 0))
    if not (math.isfinite(value) and 0.0 <= value <= MAX_COUNT):
        raise ValueError(f"{name} is out of range")
    return value
