"""Lease on the document in force: the age of its last confirmation.

A removed key must stop working everywhere, also at an entry that is cut off
and does not receive the newer document. An entry therefore admits keyed
requests only while its last confirmation that no newer document was accepted
is younger than a bound. Once the bound has passed since the removal, the key
is invalid at every entry.

The age counts from the moment the confirmation was requested: a document
accepted while the reply was in transit is not covered by it. A confirmation of
a newer document than the one in force counts once that document is in force.
"""

import threading

from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids

__all__ = ["DocumentLease"]


class DocumentLease:
    """The age of the last confirmation; shared by all threads.

    Attributes:
        max_age_s: Maximum age in seconds; 0 for no bound: a domain that is cut
            off continues with the document that it has.
    """

    def __init__(self, max_age_s: float, time_source: clock.Clock):
        self.max_age_s = max_age_s
        self._clock = time_source
        self._confirmed = threading.Condition()
        self._started_s = time_source.now_s()
        self._requested_s: float | None = None
        self._in_force = ids.Revision(0)
        self._early: dict[ids.Revision, float] = {}
        self._behind_since_s: float | None = None

    def confirm(self, requested_s: float, revision: ids.Revision) -> None:
        """Records a confirmation.

        Args:
            requested_s: When it was requested, on this lease's clock.
            revision: The newest revision that was accepted.
        """
        with self._confirmed:
            if revision > self._in_force:
                known_s = self._early.get(revision, requested_s)
                self._early[revision] = max(known_s, requested_s)
                if self._behind_since_s is None:
                    self._behind_since_s = self._clock.now_s()
                return
            self._extend(requested_s)

    def put_in_force(self, revision: ids.Revision) -> None:
        """Records the revision in force."""
        with self._confirmed:
            self._in_force = max(self._in_force, revision)
            for early in sorted(self._early):
                if early <= self._in_force:
                    self._extend(self._early.pop(early))
            self._behind_since_s = self._clock.now_s() if self._early else None

    def _extend(self, requested_s: float) -> None:
        if self._requested_s is None or requested_s > self._requested_s:
            self._requested_s = requested_s
        self._confirmed.notify_all()

    def wait(self, timeout_s: float) -> bool:
        """Waits for a confirmation; returns whether the lease is valid."""
        with self._confirmed:
            return self._confirmed.wait_for(lambda: self.is_valid, timeout_s)

    @property
    def age_s(self) -> float:
        """Seconds since the newest confirmation was requested."""
        requested_s = self._requested_s
        if requested_s is None:
            return float("inf")
        return self._clock.now_s() - requested_s

    @property
    def behind_s(self) -> float:
        """Seconds for which a newer document has been known; 0 if none is."""
        since_s = self._behind_since_s
        return 0.0 if since_s is None else self._clock.now_s() - since_s

    @property
    def unconfirmed_s(self) -> float | None:
        """Seconds since the start without any confirmation; None after one."""
        if self._requested_s is not None:
            return None
        return self._clock.now_s() - self._started_s

    @property
    def is_valid(self) -> bool:
        """Whether the document can be assumed to be the newest."""
        return not self.max_age_s or self.age_s <= self.max_age_s
