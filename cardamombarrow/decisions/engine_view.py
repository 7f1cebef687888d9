"""What one instance has learnt of an engine by its own requests.

How late its first events come tells of work that other instances gave it. What
was learnt fades.
"""

import dataclasses

__all__ = ["EngineView"]

CONGESTION_HALF_LIFE_S = 1.0
"""Time in which half of the congestion that was seen is forgotten."""

CONGESTION_WEIGHT = 0.5

FIXED_WEIGHT = 0.1
"""Weight of one answer in the fixed part of streams."""

TYPICAL_STEP = 1.15
"""Factor of one step of the usual time of plain answers: five double it."""

TYPICAL_LEAST_S = 0.001

FIXED_HALF_LIFE_S = 20.0
"""Time without an answer in which half of what was learnt is forgotten. What
was slow would otherwise never be tried again where others are near."""


@dataclasses.dataclass(slots=True)
class EngineView:
    """What is known of one endpoint.

    Attributes:
        guess_s: What a first event is taken to need while none was seen.
        fixed_s: What it takes when nothing is before it; see `fixed_at`.
        fixed_at_s: When that was learnt.
        congestion_s: How much later than expected first events came, when
            one was seen last.
        congested_at_s: When that was.
    """

    guess_s: float
    fixed_s: float = dataclasses.field(init=False)
    fixed_at_s: float = 0.0
    congestion_s: float = 0.0
    congested_at_s: float = 0.0

    def __post_init__(self) -> None:
        self.fixed_s = self.guess_s

    def congestion_at(self, now_s: float) -> float:
        """Returns the congestion that is left of what was seen."""
        past_s = max(now_s - self.congested_at_s, 0.0)
        return self.congestion_s * 0.5 ** (past_s / CONGESTION_HALF_LIFE_S)

    def late(self, late_s: float, now_s: float) -> None:
        """Learns by how much a first event came later than expected."""
        known_s = self.congestion_at(now_s)
        self.congestion_s = known_s + CONGESTION_WEIGHT * (late_s - known_s)
        self.congested_at_s = now_s

    def fixed_at(self, now_s: float) -> float:
        """Returns the fixed part, nearer to its guess the older it is."""
        past_s = max(now_s - self.fixed_at_s, 0.0)
        left = 0.5 ** (past_s / FIXED_HALF_LIFE_S)
        return self.guess_s + left * (self.fixed_s - self.guess_s)

    def learn_fixed(self, seen_s: float, now_s: float) -> None:
        """Learns what a first event took with nothing before it."""
        known_s = self.fixed_at(now_s)
        self.fixed_s = known_s + FIXED_WEIGHT * (seen_s - known_s)
        self.fixed_at_s = now_s

    def learn_typical(self, seen_s: float, now_s: float) -> None:
        """Learns what a plain answer took.

        Steps of one size lead to the median: the work of single calls differs
        by a multiple, and a mean that one of them has doubled sends the next
        ones elsewhere.
        """
        known_s = max(self.fixed_at(now_s), TYPICAL_LEAST_S)
        step = TYPICAL_STEP if seen_s > known_s else 1.0 / TYPICAL_STEP
        self.fixed_s = known_s * step
        self.fixed_at_s = now_s
