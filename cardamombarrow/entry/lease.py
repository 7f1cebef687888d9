"""How long ago the document in force was known to be the newest.

A key that was taken away must stop working everywhere, also at an entry that
is cut off and can't hear of it. So an entry lets keyed requests in only while
the last confirmation that nothing newer was accepted is younger than a bound;
after it, whoever removed the key knows that it is dead.

The age counts from the moment when the confirmation was asked for: what was
accepted while the answer was under way is not covered by it.
"""

import threading

from cardamombarrow.kernel import clock

__all__ = ["DocumentLease"]


class DocumentLease:
    """The age of the last confirmation; shared by all threads.

    Attributes:
        bound_s: Greatest age; 0 sets no bound, and a domain that is cut off
            goes on with the document that it has.
    """

    def __init__(self, bound_s: float, time_source: clock.Clock):
        self.bound_s = bound_s
        self._clock = time_source
        self._confirmed = threading.Condition()
        self._begun_s = time_source.now_s()
        self._asked_s: float | None = None

    def confirm(self, asked_s: float) -> None:
        """Takes a confirmation that was asked for at a moment."""
        with self._confirmed:
            if self._asked_s is None or asked_s > self._asked_s:
                self._asked_s = asked_s
            self._confirmed.notify_all()

    def wait(self, timeout_s: float) -> bool:
        """Waits for a confirmation; returns whether the lease holds."""
        with self._confirmed:
            return self._confirmed.wait_for(lambda: self.holds, timeout_s)

    @property
    def age_s(self) -> float:
        """Seconds since the newest confirmation was asked for."""
        asked_s = self._asked_s
        if asked_s is None:
            return float("inf")
        return self._clock.now_s() - asked_s

    @property
    def unconfirmed_s(self) -> float | None:
        """Seconds since the start without any confirmation; None after one."""
        if self._asked_s is not None:
            return None
        return self._clock.now_s() - self._begun_s

    @property
    def holds(self) -> bool:
        """Whether the document may be taken for the newest."""
        return not self.bound_s or self.age_s <= self.bound_s
