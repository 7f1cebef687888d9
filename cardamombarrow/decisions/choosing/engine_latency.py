"""Latency of one engine, learned from this instance's own requests.

The delay of its first tokens reflects requests of other instances. Learned
values decay.
"""

import dataclasses

__all__ = ["EngineLatency"]

CONGESTION_HALF_LIFE_S = 1.0
"""Half-life of the observed congestion."""

CONGESTION_WEIGHT = 0.5

BASE_WEIGHT = 0.1
"""Weight of one answer in the base latency of streams."""

MEDIAN_STEP_FACTOR = 1.15
"""Factor per step of the median time of calls that don't stream; five steps
double it."""

MEDIAN_MIN_S = 0.001

BASE_HALF_LIFE_S = 20.0
"""Half-life of the base latency without answers. Without decay, a slow endpoint
would never be tried again while others are near."""


@dataclasses.dataclass(slots=True)
class EngineLatency:
    """Latency estimates for one endpoint.

    Attributes:
        initial_s: Initial base latency.
        base_s: Base latency: time to first token on an idle endpoint, when
            last updated; see `base_at`.
        base_updated_at_s: When the base latency was last updated.
        congestion_s: Delay of first tokens over the expected time, when last
            updated; see `congestion_at`.
        congestion_updated_at_s: When the congestion was last updated.
    """

    initial_s: float
    base_s: float = dataclasses.field(init=False)
    base_updated_at_s: float = 0.0
    congestion_s: float = 0.0
    congestion_updated_at_s: float = 0.0

    def __post_init__(self) -> None:
        self.base_s = self.initial_s

    def congestion_at(self, now_s: float) -> float:
        """Returns the decayed congestion."""
        elapsed_s = max(now_s - self.congestion_updated_at_s, 0.0)
        return self.congestion_s * 0.5 ** (elapsed_s / CONGESTION_HALF_LIFE_S)

    def learn_delay(self, delay_s: float, now_s: float) -> None:
        """Updates the congestion with the delay of one first token."""
        current_s = self.congestion_at(now_s)
        self.congestion_s = current_s + CONGESTION_WEIGHT * (
            delay_s - current_s
        )
        self.congestion_updated_at_s = now_s

    def base_at(self, now_s: float) -> float:
        """Returns the base latency, which decays to its initial value."""
        elapsed_s = max(now_s - self.base_updated_at_s, 0.0)
        remaining_share = 0.5 ** (elapsed_s / BASE_HALF_LIFE_S)
        return self.initial_s + remaining_share * (self.base_s - self.initial_s)

    def learn_base(self, observed_s: float, now_s: float) -> None:
        """Updates the base latency with a first token that had no queue."""
        current_s = self.base_at(now_s)
        self.base_s = current_s + BASE_WEIGHT * (observed_s - current_s)
        self.base_updated_at_s = now_s

    def learn_response(self, observed_s: float, now_s: float) -> None:
        """Updates the base latency with the time of a call without streaming.

        Steps of one size converge to the median. The work of single calls
        varies severalfold, and one of them could double a mean and divert the
        next calls.
        """
        current_s = max(self.base_at(now_s), MEDIAN_MIN_S)
        step = (
            MEDIAN_STEP_FACTOR
            if observed_s > current_s
            else 1.0 / MEDIAN_STEP_FACTOR
        )
        self.base_s = current_s * step
        self.base_updated_at_s = now_s
