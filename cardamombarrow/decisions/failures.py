"""Which endpoints failed of late, and which get probes only.

Load pattern answered: an endpoint that fails every request within
milliseconds. It always has free slots, so under load it is often the only
candidate and would get each waiting job in turn, and fail it.

After `TO_PROBATION` failures in a row an endpoint gets one request per probe.
A failure that the endpoint itself has answered may lie in the request: it
counts against the endpoint, but does not put it on probation.

Five requests make two thirds of the share of failures; it fades with the
half-life of all that is observed. Probes begin as soon as a restart may have
ended and back off to what callers wait for at most.
"""

import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = [
    "FAILURES",
    "PENALTY",
    "TO_PROBATION",
    "UNSEEN",
    "Failures",
]

WEIGHT = 0.2
"""Weight of one request in the share of failures."""

HALF_LIFE_S = 10.0
"""Time after which half of the share is forgotten."""

TO_PROBATION = 2
"""Failures in a row after which an endpoint gets probes only."""

FIRST_PROBE_S = 0.5
MOST_PROBE_S = 8.0
"""Time to the first probe, doubled after each failed one up to the second."""

KEPT = 1_024
"""Endpoints remembered; each start of an endpoint may be another one."""

PENALTY = 10.0
"""How many times slower an endpoint counts that fails every request."""

FAILURES = frozenset(
    (
        messages.Outcome.NOT_STARTED,
        messages.Outcome.REFUSED_BY_ENDPOINT,
        messages.Outcome.FAILED,
        messages.Outcome.CRASHED,
        messages.Outcome.STALLED,
    )
)
"""Outcomes that speak against the endpoint."""

UNSEEN = frozenset(
    (messages.Outcome.NOT_STARTED, messages.Outcome.REFUSED_BY_ENDPOINT)
)
"""Outcomes after which the endpoint has seen nothing of the request."""


@dataclasses.dataclass(slots=True)
class _Record:
    """What one endpoint's requests have shown.

    Attributes:
        share: Share of the latest requests that failed, at `seen_at_s`.
        in_a_row: Failures since the last success.
        probe_at_s: On probation, when it may get its next request.
    """

    seen_at_s: float
    share: float = 0.0
    in_a_row: int = 0
    probe_at_s: float = 0.0

    @property
    def on_probation(self) -> bool:
        return self.in_a_row >= TO_PROBATION

    def fade(self, now_s: float) -> float:
        past_s = now_s - self.seen_at_s
        return self.share * 0.5 ** (past_s / HALF_LIFE_S)


class Failures:
    """Failures by endpoint."""

    def __init__(self):
        self._records: dict[ids.EndpointId, _Record] = {}

    def share(self, endpoint: ids.EndpointId, now_s: float) -> float:
        """Returns the share of an endpoint's latest requests that failed."""
        record = self._records.get(endpoint)
        return 0.0 if record is None else record.fade(now_s)

    def slowdown(self, endpoint: ids.EndpointId, now_s: float) -> float:
        """Returns how many times slower an endpoint counts."""
        return 1.0 + PENALTY * self.share(endpoint, now_s)

    def is_sound(self, endpoint: ids.EndpointId) -> bool:
        """Tells whether an endpoint's last request did not fail."""
        record = self._records.get(endpoint)
        return record is None or not record.in_a_row

    def is_on_probation(self, endpoint: ids.EndpointId) -> bool:
        """Tells whether an endpoint gets probes only."""
        record = self._records.get(endpoint)
        return record is not None and record.on_probation

    def is_probe_due(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Tells whether an endpoint on probation may get a request."""
        return now_s >= self._records[endpoint].probe_at_s

    def probed(self, endpoint: ids.EndpointId, now_s: float) -> None:
        """Learns that an endpoint on probation gets a request now."""
        record = self._records[endpoint]
        doublings = min(record.in_a_row - TO_PROBATION, 10)
        wait_s = min(FIRST_PROBE_S * 2**doublings, MOST_PROBE_S)
        record.probe_at_s = now_s + wait_s

    def succeeded(self, endpoint: ids.EndpointId, now_s: float) -> None:
        """Learns that a request went well."""
        record = self._at(endpoint, now_s)
        record.in_a_row = 0
        record.share *= 1.0 - WEIGHT

    def failed(
        self, endpoint: ids.EndpointId, now_s: float, *, breaks: bool = True
    ) -> None:
        """Learns that a request failed.

        Args:
            endpoint: Where.
            now_s: When.
            breaks: Whether it counts for the probation.
        """
        record = self._at(endpoint, now_s)
        record.in_a_row += breaks
        record.share += WEIGHT * (1.0 - record.share)
        if breaks and record.in_a_row == TO_PROBATION:
            record.probe_at_s = now_s + FIRST_PROBE_S

    def _at(self, endpoint: ids.EndpointId, now_s: float) -> _Record:
        record = self._records.setdefault(endpoint, _Record(now_s))
        if len(self._records) > KEPT:
            del self._records[next(iter(self._records))]
        record.share = record.fade(now_s)
        record.seen_at_s = now_s
        return record
