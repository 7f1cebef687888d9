"""Whether the balancer should send requests to this entry."""

from collections import abc

__all__ = ["Condition", "Readiness"]

Condition = abc.Callable[[], str | None]
"""Returns why the entry is not ready, or None."""


class Readiness:
    """Ready while the entry is not draining and every condition is met.

    Attributes:
        draining: Set when the entry is being stopped.
        refusing: Set once the balancer has had time to notice the draining.
    """

    def __init__(self):
        self.draining = False
        self.refusing = False
        self._conditions: list[Condition] = []

    def add_condition(self, condition: Condition) -> None:
        """Adds a condition."""
        self._conditions.append(condition)

    def reason(self) -> str | None:
        """Returns why the entry is not ready, or None."""
        if self.draining:
            return "draining"
        for condition in self._conditions:
            reason = condition()
            if reason is not None:
                return reason
        return None
