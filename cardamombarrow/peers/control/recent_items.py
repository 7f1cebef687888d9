"""A numbered list of recent items, read from a number on.

Readers ask for what is new since the last number that they got. Numbers begin
at a random value, so that a number of another process, or of this one before a
restart, returns all stored items.
"""

import collections
from collections import abc
import dataclasses
import random
import typing

__all__ = ["RecentItem", "RecentItems"]

_T = typing.TypeVar("_T")
_NUMBER_BITS = 31


@dataclasses.dataclass(frozen=True, slots=True)
class RecentItem(typing.Generic[_T]):
    """A stored item.

    Attributes:
        added_s: When it was added, by the clock of the owner.
        source: Who sent it; empty if another control process relayed it.
    """

    number: int
    added_s: float
    source: str
    value: _T


class RecentItems(typing.Generic[_T]):
    """Items of the last seconds, in the order of arrival.

    Attributes:
        number: The number of the newest item.
    """

    def __init__(self, ttl_s: float, max_items: int, rng: random.Random):
        self._ttl_s = ttl_s
        self.number = self._first = rng.getrandbits(_NUMBER_BITS) << 32
        self._items: collections.deque[RecentItem[_T]] = collections.deque(
            maxlen=max_items
        )

    def add(self, value: _T, source: str, now_s: float) -> None:
        """Adds an item."""
        self.number += 1
        self._items.append(RecentItem(self.number, now_s, source, value))

    def newest_since(
        self, number: int, now_s: float
    ) -> abc.Iterator[RecentItem[_T]]:
        """Yields the items after a number, the newest first."""
        while self._items and now_s - self._items[0].added_s > self._ttl_s:
            self._items.popleft()
        if not self._first <= number <= self.number:
            number = self._first
        for item in reversed(self._items):
            if item.number <= number:
                break
            yield item
