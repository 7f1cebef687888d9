"""Which engines hold which parts of prompts in their caches.

Load pattern: prompts of many requests share prefixes, more of them than one
engine can prefill. An engine keeps the parts that it has prefilled, and can
copy them from another engine much faster than it prefills them. So a request
need not go to the engine that holds its prefix, but the location of the prefix
must be known, and each instance sends only a small share of all requests.
Without this module each engine prefills the prefixes again.

Every instance records what it sends and announces new entries to the others;
see `CacheAnnouncement`. An engine may have evicted a part without notice or
not have prefilled it yet, so the entries are hints: an engine prefills what it
lacks, and a wrong hint costs only the saving. Querying the engines would be
exact, but costs calls per engine, domain and second; announcements grow only
with the number of new locations.

`ENTRY_LIFETIME_S` is about the time in which an engine's cache is replaced
once. `MAX_HOLDERS` leaves a choice of sources when one is lost.
`MAX_ANNOUNCED_PARTS` bounds a message to 2 KB.
"""

import collections
from collections import abc
import functools
import zlib

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["KeptParts", "part_key"]

ENTRY_LIFETIME_S = 60.0
"""A part not used for this long counts as evicted."""

MAX_PARTS = 8_192
"""Most parts stored; the least recently used are removed first."""

MAX_HOLDERS = 6
"""Most engines per part; the least recently used are removed first."""

MAX_ANNOUNCED_PARTS = 400
"""Most parts announced to the other instances in one message."""

REANNOUNCE_S = 10.0
"""Time after which a part that is still in use is announced again."""


@functools.lru_cache(maxsize=4_096)
def part_key(part: str) -> int:
    """Returns the 32-bit key by which instances identify a part.

    Among 8,192 parts the probability of a collision is 1 in 130; an engine is
    then asked for a part that it does not hold.
    """
    return zlib.crc32(part.encode())


class KeptParts:
    """Cached parts by engine, as known to this instance; not thread-safe."""

    def __init__(self):
        self._holders: collections.OrderedDict[
            int, dict[ids.EndpointId, float]
        ] = collections.OrderedDict()
        self._announced_at_s: dict[tuple[int, ids.EndpointId], float] = {}
        self._pending: dict[tuple[int, ids.EndpointId], float] = {}

    def record(self, key: int, endpoint: ids.EndpointId, now_s: float) -> None:
        """Records that an engine prefills a part or has used it."""
        holders = self._holders.setdefault(key, {})
        self._holders.move_to_end(key)
        holders.pop(endpoint, None)
        holders[endpoint] = now_s
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def announce(
        self, key: int, endpoint: ids.EndpointId, now_s: float
    ) -> None:
        """Queues a prefilled part for announcement to other instances."""
        pair = key, endpoint
        if now_s - self._announced_at_s.get(pair, float("-inf")) < REANNOUNCE_S:
            return
        self._pending[pair] = now_s
        if len(self._pending) > MAX_ANNOUNCED_PARTS:
            del self._pending[next(iter(self._pending))]

    def remove(self, key: int, endpoint: ids.EndpointId) -> None:
        """Removes an engine from the holders of a part."""
        holders = self._holders.get(key)
        if holders is not None:
            holders.pop(endpoint, None)
            if not holders:
                del self._holders[key]

    def remove_engine(self, endpoint: ids.EndpointId) -> None:
        """Removes all parts of an engine, because it has restarted."""
        for key in list(self._holders):
            self.remove(key, endpoint)

    def last_used_s(self, key: int, endpoint: ids.EndpointId) -> float | None:
        """Returns when an engine last used a part; None if it lacks it."""
        return self._holders.get(key, {}).get(endpoint)

    def holds(self, key: int, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether a part is expected in an engine's cache."""
        last_used_s = self.last_used_s(key, endpoint)
        return (
            last_used_s is not None and now_s - last_used_s <= ENTRY_LIFETIME_S
        )

    def cached_prefix_tokens(
        self, job: messages.Job, now_s: float
    ) -> dict[ids.EndpointId, int]:
        """Returns the length of the cached prefix by engine, in tokens.

        A part counts only if all parts before it are cached, too.
        """
        cached_tokens: dict[ids.EndpointId, int] = {}
        remaining: abc.Iterable[ids.EndpointId] | None = None
        for part in job.parts:
            key = part_key(part.part)
            candidates = (
                self._holders.get(key, {}) if remaining is None else remaining
            )
            remaining = [
                each for each in candidates if self.holds(key, each, now_s)
            ]
            if not remaining:
                break
            for endpoint in remaining:
                cached_tokens[endpoint] = (
                    cached_tokens.get(endpoint, 0) + part.tokens
                )
        return cached_tokens

    def take_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns and clears the pending announcements, by engine."""
        announcements, self._pending = self._pending, {}
        by_endpoint: dict[ids.EndpointId, list[int]] = {}
        oldest_s = now_s
        for pair, recorded_s in announcements.items():
            key, endpoint = pair
            by_endpoint.setdefault(endpoint, []).append(key)
            self._announced_at_s[pair] = now_s
            oldest_s = min(oldest_s, recorded_s)
        self._announced_at_s = {
            pair: announced_s
            for pair, announced_s in self._announced_at_s.items()
            if now_s - announced_s < REANNOUNCE_S
        }
        return [
            messages.CacheAnnouncement(endpoint, tuple(keys), now_s - oldest_s)
            for endpoint, keys in by_endpoint.items()
        ]

    def merge_announcements(
        self,
        announcements: abc.Iterable[messages.CacheAnnouncement],
        now_s: float,
    ) -> None:
        """Merges announcements from other instances."""
        for each in announcements:
            for key in each.parts:
                last_used_s = self.last_used_s(key, each.endpoint)
                seen_s = now_s - each.age_s
                if last_used_s is None or last_used_s < seen_s:
                    self.record(key, each.endpoint, seen_s)
                self._announced_at_s[key, each.endpoint] = now_s
