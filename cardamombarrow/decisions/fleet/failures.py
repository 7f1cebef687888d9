"""Failure rates of endpoints, and probation of failing ones.

Load pattern: an endpoint that fails every request within milliseconds. It
always has free slots, so under load it is often the only candidate, and would
get and fail each waiting job in turn.

After `FAILURES_TO_PROBATION` consecutive failures an endpoint gets one request
per probe interval (similar to a half-open circuit breaker). A failure that the
endpoint itself has answered may be caused by the request: it counts against
the endpoint, but not towards probation.

The last five requests make up two thirds of the failure share, which decays
with the half-life of all observations. Probes begin as soon as a restart may
have ended and back off to the longest time that callers wait.
"""

import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = [
    "FAILURES",
    "FAILURES_TO_PROBATION",
    "NOT_RECEIVED",
    "PENALTY",
    "Failures",
]

WEIGHT = 0.2
"""Weight of one request in the failure share."""

HALF_LIFE_S = 10.0
"""Half-life of the failure share."""

FAILURES_TO_PROBATION = 2
"""Consecutive failures after which an endpoint gets probes only."""

FIRST_PROBE_S = 0.5
MAX_PROBE_S = 8.0
"""Time to the first probe, doubled after each failed one, and its maximum."""

UNREPEATABLE_PROBE_DELAY_S = MAX_PROBE_S
"""Time for which a due probe waits for a request that may be repeated."""

MAX_RECORDS = 1_024
"""Maximum number of records; an endpoint may have a new id at each start."""

PENALTY = 10.0
"""Slowdown, less 1, assumed for an endpoint that fails every request."""

FAILURES = frozenset(
    (
        messages.Outcome.NOT_STARTED,
        messages.Outcome.REFUSED_BY_ENDPOINT,
        messages.Outcome.FAILED,
        messages.Outcome.CRASHED,
        messages.Outcome.STALLED,
    )
)
"""Outcomes that count as failures of the endpoint."""

NOT_RECEIVED = frozenset(
    (
        messages.Outcome.NOT_STARTED,
        messages.Outcome.REFUSED_BY_ENDPOINT,
        messages.Outcome.WITHHELD,
    )
)
"""Outcomes after which the endpoint has not received the request."""


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    """The recent failures of one endpoint.

    Attributes:
        share: Share of the latest requests that failed, at `seen_at_s`.
        consecutive: Consecutive failures since the last success.
        probe_at_s: On probation, when it may get its next request.
    """

    seen_at_s: float
    share: float = 0.0
    consecutive: int = 0
    probe_at_s: float = 0.0

    @property
    def on_probation(self) -> bool:
        return self.consecutive >= FAILURES_TO_PROBATION

    def decayed_share(self, now_s: float) -> float:
        elapsed_s = now_s - self.seen_at_s
        return self.share * 0.5 ** (elapsed_s / HALF_LIFE_S)


class Failures:
    """Records failures by endpoint."""

    def __init__(self):
        self._records: dict[ids.EndpointId, _FailureRecord] = {}

    def share(self, endpoint: ids.EndpointId, now_s: float) -> float:
        """Returns the share of an endpoint's latest requests that failed."""
        record = self._records.get(endpoint)
        return 0.0 if record is None else record.decayed_share(now_s)

    def slowdown(self, endpoint: ids.EndpointId, now_s: float) -> float:
        """Returns the factor by which an endpoint is assumed to be slower."""
        return 1.0 + PENALTY * self.share(endpoint, now_s)

    def is_healthy(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint has had no failure since a success."""
        record = self._records.get(endpoint)
        return record is None or not record.consecutive

    def is_on_probation(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint gets probes only."""
        record = self._records.get(endpoint)
        return record is not None and record.on_probation

    def is_probe_due(
        self, endpoint: ids.EndpointId, now_s: float, *, repeatable: bool
    ) -> bool:
        """Returns whether an endpoint on probation may get a request.

        A request that must not run twice would be lost with the endpoint. It
        is a probe only if no other one came in time.
        """
        return not self.probe_wait_s(endpoint, now_s, repeatable=repeatable)

    def probe_wait_s(
        self, endpoint: ids.EndpointId, now_s: float, *, repeatable: bool
    ) -> float:
        """Returns the time until an endpoint on probation may get a request."""
        delay_s = 0.0 if repeatable else UNREPEATABLE_PROBE_DELAY_S
        due_s = self._records[endpoint].probe_at_s + delay_s
        return max(due_s - now_s, 0.0)

    def record_probe(self, endpoint: ids.EndpointId, now_s: float) -> None:
        """Records a probe and sets the time of the next one."""
        record = self._records[endpoint]
        doublings = min(record.consecutive - FAILURES_TO_PROBATION, 10)
        wait_s = min(FIRST_PROBE_S * 2**doublings, MAX_PROBE_S)
        record.probe_at_s = now_s + wait_s

    def record_success(self, endpoint: ids.EndpointId, now_s: float) -> None:
        """Records a successful request."""
        record = self._record(endpoint, now_s)
        record.consecutive = 0
        record.share *= 1.0 - WEIGHT

    def record_failure(
        self,
        endpoint: ids.EndpointId,
        now_s: float,
        *,
        counts_for_probation: bool = True,
    ) -> None:
        """Records a failed request.

        Args:
            endpoint: The endpoint.
            now_s: The time.
            counts_for_probation: Whether it counts towards probation.
        """
        record = self._record(endpoint, now_s)
        record.consecutive += counts_for_probation
        record.share += WEIGHT * (1.0 - record.share)
        if counts_for_probation and record.consecutive == FAILURES_TO_PROBATION:
            record.probe_at_s = now_s + FIRST_PROBE_S

    def forget(self, endpoint: ids.EndpointId) -> None:
        """Drops the failures of an endpoint that were not its own."""
        self._records.pop(endpoint, None)

    def _record(self, endpoint: ids.EndpointId, now_s: float) -> _FailureRecord:
        record = self._records.setdefault(endpoint, _FailureRecord(now_s))
        if len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        record.share = record.decayed_share(now_s)
        record.seen_at_s = now_s
        return record
