"""What one instance has learnt of an engine by its own requests.

How late its first events come tells of work that other instances gave it; what
was sent to it tells what its cache should hold. Both fade.
"""

import collections
import dataclasses

__all__ = ["EngineView"]

CONGESTION_HALF_LIFE_S = 1.0
"""Time in which half of the congestion that was seen is forgotten."""

CONGESTION_WEIGHT = 0.5

CACHE_LIFE_S = 60.0
"""A part that was not used for this long counts as evicted."""

CACHE_PARTS = 2_048
"""Parts remembered for each endpoint."""


@dataclasses.dataclass(slots=True)
class EngineView:
    """What is known of one endpoint.

    Attributes:
        fixed_s: What a first event takes when nothing is before it.
        congestion_s: How much later than expected first events came, when
            one was seen last.
        congested_at_s: When that was.
        parts: When each part of a prompt was sent there last.
    """

    fixed_s: float
    congestion_s: float = 0.0
    congested_at_s: float = 0.0
    parts: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def congestion_at(self, now_s: float) -> float:
        """Returns the congestion that is left of what was seen."""
        past_s = max(now_s - self.congested_at_s, 0.0)
        return self.congestion_s * 0.5 ** (past_s / CONGESTION_HALF_LIFE_S)

    def late(self, late_s: float, now_s: float) -> None:
        """Learns by how much a first event came later than expected."""
        known_s = self.congestion_at(now_s)
        self.congestion_s = known_s + CONGESTION_WEIGHT * (late_s - known_s)
        self.congested_at_s = now_s

    def remember(self, part: str, now_s: float) -> None:
        """Learns that a part was sent there."""
        self.parts[part] = now_s
        self.parts.move_to_end(part)
        if len(self.parts) > CACHE_PARTS:
            self.parts.popitem(last=False)

    def holds(self, part: str, now_s: float) -> bool:
        """Tells whether a part should be in its cache."""
        used_s = self.parts.get(part)
        return used_s is not None and now_s - used_s <= CACHE_LIFE_S
