"""One instance's part of bounds over all instances.

Load pattern: seven or eighty instances share a bound, on connections to an
endpoint or on retries, and can't always reach each other. If each used the
whole bound, the sum would be as many times too high, and the endpoint would
reset connections with requests on them.

An instance uses the bound divided by the number of instances. A count that
falls because other instances are unreachable must not raise the part, since
they go on using theirs: the assumed number falls by at most a hundredth with
each received count, once a second. Without new counts it stays.

Only `MARGIN` of a bound is used, because the counts of an instance differ by
milliseconds from those of an observer. `ASSUMED_INSTANCES` is somewhat more
than a small deployment has.
"""

import math

__all__ = ["FleetShare"]

MARGIN = 0.8
"""Share of a bound over all instances that is used."""

ASSUMED_INSTANCES = 10.0
"""Number of instances assumed until the first count is received."""

INSTANCES_DECAY = 0.99
"""Factor on the number at each lower count; ten counts lower it by a tenth."""


class FleetShare:
    """Computes this instance's part of bounds over all instances.

    Each instance has one object, shared by all users of such bounds.

    Attributes:
        is_new: Whether it is known that no earlier process of this instance has
            used its parts.
    """

    def __init__(self):
        self.is_new = False
        self._instances = ASSUMED_INSTANCES

    def update_instances(self, count: int) -> None:
        """Updates the number of instances, this one included."""
        lowest = max(self._instances * INSTANCES_DECAY, 1.0)
        self._instances = max(float(count), lowest)

    def part_of(self, bound: float) -> float:
        """Returns this instance's part of a bound, within the margin."""
        return MARGIN * bound / self._instances

    def integer_part_of(self, bound: int) -> int:
        """Returns the part as an integer, at least 1.

        With more instances than units the sum exceeds the bound, so that each
        instance has at least one unit.
        """
        return max(math.floor(self.part_of(bound)), 1)
