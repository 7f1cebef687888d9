"""Whom an entry asks: the placer of its domain, or who stands in for it.

Load pattern answered: an instance that places for thirty others dies, freezes
or is cut off, while requests go on coming at full rate. Every entry has to
leave it within the time of a few requests, without a message among them and
without a storm of connections to it.

Rendezvous hashing ranks the members of the domain; all who know the same
members name the same placer. One that failed is avoided for a pause that
doubles with each failure in a row, and the next one in the ranking is asked
meanwhile. Without the pause an entry would wait for the dead one with every
request; without the ranking the entries would scatter over many placers, each
of which knows a part of the load.
"""

from collections import abc
import hashlib

from cardamombarrow.kernel import ids

__all__ = ["PAUSE_FIRST_S", "PAUSE_MOST_S", "PlacerOrder", "first_member"]

PAUSE_FIRST_S = 1.0
"""Time for which an instance is avoided after its first failure: about that of
a restart."""

PAUSE_MOST_S = 16.0


class _Failed:
    """An instance that did not answer of late."""

    def __init__(self, now_s: float):
        self.pause_s = PAUSE_FIRST_S
        self.until_s = now_s + self.pause_s

    def again(self, now_s: float) -> None:
        """Doubles the pause."""
        self.pause_s = min(2.0 * self.pause_s, PAUSE_MOST_S)
        self.until_s = now_s + self.pause_s


class PlacerOrder:
    """The members of a domain in the order in which they are asked."""

    def __init__(self):
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._ranked: list[ids.InstanceId] = []
        self._failed: dict[ids.InstanceId, _Failed] = {}

    def set_members(self, members: abc.Iterable[ids.InstanceId]) -> None:
        """Takes the live members, the own instance included."""
        members = frozenset(members)
        if members == self._members:
            return
        self._members = members
        self._ranked = sorted(members, key=_weight, reverse=True)
        for instance in set(self._failed) - members:
            del self._failed[instance]

    def first(self, now_s: float) -> ids.InstanceId | None:
        """Returns whom to ask now.

        Returns:
            None for nobody: where there is one member only, it decides by
            itself at less cost, and so does each where all have failed.
        """
        if len(self._ranked) < 2:
            return None
        for instance in self._ranked:
            failed = self._failed.get(instance)
            if failed is None or now_s >= failed.until_s:
                return instance
        return None

    def failed(self, instance: ids.InstanceId, now_s: float) -> None:
        """Learns that an instance did not answer."""
        known = self._failed.get(instance)
        if known is None:
            self._failed[instance] = _Failed(now_s)
        else:
            known.again(now_s)

    def answered(self, instance: ids.InstanceId) -> None:
        """Learns that an instance places: the next pause is a short one."""
        self._failed.pop(instance, None)


def first_member(members: abc.Iterable[ids.InstanceId]) -> ids.InstanceId:
    """Returns the member that is asked while none has failed."""
    return max(members, key=_weight)


def _weight(instance: ids.InstanceId) -> bytes:
    text = f"placer\n{instance}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
