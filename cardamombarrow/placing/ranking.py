"""Selects the placer of a domain, or the next instance if it has failed.

Load pattern: an instance that places for thirty others crashes, freezes or is
cut off while requests arrive at full rate. Every entry has to leave it within
the time of a few requests, without messages between entries and without a storm
of connections to the failed instance.

Rendezvous hashing ranks the members of the domain; all entries with the
same members select the same placer. A failed instance is avoided for a pause
that doubles with each failure in a row, and the next one in the ranking is
asked in that time. Without the pause an entry would wait for the failed
instance with every request; without the ranking the entries would use many
different placers, each of which knows only a part of the load.
"""

from collections import abc
import hashlib

from cardamombarrow.kernel import ids

__all__ = ["PAUSE_FIRST_S", "PAUSE_MOST_S", "PlacerRanking", "default_placer"]

PAUSE_FIRST_S = 1.0
"""Time for which an instance is avoided after its first failure: about that of
a restart."""

PAUSE_MOST_S = 16.0


class _Backoff:
    """Backoff of an instance that recently did not answer."""

    def __init__(self, now_s: float):
        self.pause_s = PAUSE_FIRST_S
        self.until_s = now_s + self.pause_s

    def extend(self, now_s: float) -> None:
        """Doubles the pause and starts it again."""
        self.pause_s = min(2.0 * self.pause_s, PAUSE_MOST_S)
        self.until_s = now_s + self.pause_s


class PlacerRanking:
    """Ranks the members of a domain and skips those that failed recently."""

    def __init__(self):
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._ranked: list[ids.InstanceId] = []
        self._backoffs: dict[ids.InstanceId, _Backoff] = {}

    def set_members(self, members: abc.Iterable[ids.InstanceId]) -> None:
        """Sets the live members, including this instance."""
        members = frozenset(members)
        if members == self._members:
            return
        self._members = members
        self._ranked = sorted(members, key=_weight, reverse=True)
        for instance in set(self._backoffs) - members:
            del self._backoffs[instance]

    def first(self, now_s: float) -> ids.InstanceId | None:
        """Returns the instance to ask now.

        Returns:
            None if the entry should decide by itself: it is the only member,
            so that a placer would only add cost, or all members have failed.
        """
        if len(self._ranked) < 2:
            return None
        for instance in self._ranked:
            backoff = self._backoffs.get(instance)
            if backoff is None or now_s >= backoff.until_s:
                return instance
        return None

    def failed(self, instance: ids.InstanceId, now_s: float) -> None:
        """Records that an instance did not answer."""
        backoff = self._backoffs.get(instance)
        if backoff is None:
            self._backoffs[instance] = _Backoff(now_s)
        else:
            backoff.extend(now_s)

    def answered(self, instance: ids.InstanceId) -> None:
        """Records that an instance answered; resets its pause."""
        self._backoffs.pop(instance, None)


def default_placer(members: abc.Iterable[ids.InstanceId]) -> ids.InstanceId:
    """Returns the placer while no member has failed."""
    return max(members, key=_weight)


def _weight(instance: ids.InstanceId) -> bytes:
    text = f"placer\n{instance}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
