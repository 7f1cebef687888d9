"""One instance's part of bounds that all instances keep together.

Load pattern answered: seven or eighty instances that each know a bound over
all of them, on connections to an endpoint or on what is sent again, and that
can't always hear one another. Where each keeps to the whole bound, the sum is
as many times too high, and the endpoint resets connections with requests on
them.

An instance takes one part in as many as there are instances. A count that
falls because others are out of reach must not raise the part, for they go on
with theirs: what was heard falls by a hundredth with each count that is
heard, once a second. While nothing is heard it stays.

`MARGIN` of a bound is used, because what an instance counts is not to the
millisecond what an observer counts. `GUESSED_INSTANCES` is somewhat more than a
small deployment has.
"""

import math

__all__ = ["FleetPart"]

MARGIN = 0.8
"""Part of a bound over all instances that is used."""

GUESSED_INSTANCES = 10.0
"""Instances that share a bound, until a count was heard."""

INSTANCES_DECAY = 0.99
"""What is left of a count with each lower one; a tenth is gone in ten."""


class FleetPart:
    """How many instances share a bound, and this one's part of it.

    An instance has one of these; whatever is bounded over all reads it.
    """

    def __init__(self):
        self._instances = GUESSED_INSTANCES

    def heard(self, count: int) -> None:
        """Takes a count of instances, this one included."""
        falling = max(self._instances * INSTANCES_DECAY, 1.0)
        self._instances = max(float(count), falling)

    def of(self, bound: float) -> float:
        """Returns this instance's part of a bound, less the margin."""
        return MARGIN * bound / self._instances

    def whole(self, bound: int) -> int:
        """Returns the part in whole pieces, one at least.

        With more instances than pieces the sum is above the bound: none of
        them may be without any.
        """
        return max(math.floor(self.of(bound)), 1)
