"""Which engines should keep which parts of prompts.

Load pattern answered: prompts of many requests that share their beginnings,
more of them than one engine can read. An engine keeps the parts that it has
read, and can take them from another engine far sooner than it reads them
itself. So a request need not go where its beginning is, but somebody has to
know where that is: what one instance has sent by itself is a small part of
all. Without this module each engine reads the beginnings anew.

What is known: every instance notes what it sends and tells the others what is
new in it; see `CacheAnnouncement`. An engine can drop a part without anybody
hearing of it, and may not have read it yet, so this is a hint. What an engine
does not keep it reads; a wrong hint costs the saving and nothing else. Asking
the engines themselves would be exact, but costs calls for each engine, domain
and second, while this grows with the new places of parts only.

`LIFE_S` is about the time in which an engine's memory is filled anew. `HOLDERS`
are enough to leave a choice of sources where one is lost. `NEWS` bounds what
one message tells to 2 KB.
"""

import collections
from collections import abc
import functools
import zlib

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["KeptParts", "part_key"]

LIFE_S = 60.0
"""A part that was not used for this long counts as dropped."""

PARTS = 8_192
"""Parts remembered; the ones used longest ago go first."""

HOLDERS = 6
"""Engines remembered for a part; the ones used longest ago go first."""

NEWS = 400
"""Most parts that are told to the other instances at a time."""

RETELL_S = 10.0
"""Time after which a part that is still used is told again."""


@functools.lru_cache(maxsize=4_096)
def part_key(part: str) -> int:
    """Returns the 32 bits by which instances name a part to each other.

    Of 8,192 parts two share a key once in 130 cases; an engine is then asked
    for a part that it does not keep.
    """
    return zlib.crc32(part.encode())


class KeptParts:
    """Parts by engine, as far as this instance knows; used by one thread."""

    def __init__(self):
        self._holders: collections.OrderedDict[
            int, dict[ids.EndpointId, float]
        ] = collections.OrderedDict()
        self._told_s: dict[tuple[int, ids.EndpointId], float] = {}
        self._news: dict[tuple[int, ids.EndpointId], float] = {}

    def note(self, key: int, endpoint: ids.EndpointId, now_s: float) -> None:
        """Learns that an engine reads a part, or has used it."""
        holders = self._holders.setdefault(key, {})
        self._holders.move_to_end(key)
        holders.pop(endpoint, None)
        holders[endpoint] = now_s
        if len(holders) > HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders) > PARTS:
            self._holders.popitem(last=False)

    def tell(self, key: int, endpoint: ids.EndpointId, now_s: float) -> None:
        """Has the other instances told of a part that an engine has read."""
        pair = key, endpoint
        if now_s - self._told_s.get(pair, float("-inf")) < RETELL_S:
            return
        self._news[pair] = now_s
        if len(self._news) > NEWS:
            del self._news[next(iter(self._news))]

    def forget(self, key: int, endpoint: ids.EndpointId) -> None:
        """Takes back that an engine keeps a part."""
        holders = self._holders.get(key)
        if holders is not None:
            holders.pop(endpoint, None)
            if not holders:
                del self._holders[key]

    def drop(self, endpoint: ids.EndpointId) -> None:
        """Forgets all that an engine kept, because it has restarted."""
        for key in list(self._holders):
            self.forget(key, endpoint)

    def used_s(self, key: int, endpoint: ids.EndpointId) -> float | None:
        """Returns when an engine used a part last; None if it has it not."""
        return self._holders.get(key, {}).get(endpoint)

    def holds(self, key: int, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Tells whether a part should be in an engine's memory."""
        used_s = self.used_s(key, endpoint)
        return used_s is not None and now_s - used_s <= LIFE_S

    def leading_tokens(
        self, job: messages.Job, now_s: float
    ) -> dict[ids.EndpointId, int]:
        """Returns the tokens of a prompt's beginning that each engine keeps.

        A part counts only where all parts before it are kept, too.
        """
        leading: dict[ids.EndpointId, int] = {}
        left: abc.Iterable[ids.EndpointId] | None = None
        for part in job.parts:
            key = part_key(part.part)
            known = self._holders.get(key, {}) if left is None else left
            left = [each for each in known if self.holds(key, each, now_s)]
            if not left:
                break
            for endpoint in left:
                leading[endpoint] = leading.get(endpoint, 0) + part.tokens
        return leading

    def take_announcements(
        self, now_s: float
    ) -> list[messages.CacheAnnouncement]:
        """Returns what the other instances were not told yet, by engine."""
        news, self._news = self._news, {}
        by_endpoint: dict[ids.EndpointId, list[int]] = {}
        oldest_s = now_s
        for pair, noted_s in news.items():
            key, endpoint = pair
            by_endpoint.setdefault(endpoint, []).append(key)
            self._told_s[pair] = now_s
            oldest_s = min(oldest_s, noted_s)
        self._told_s = {
            pair: told_s
            for pair, told_s in self._told_s.items()
            if now_s - told_s < RETELL_S
        }
        return [
            messages.CacheAnnouncement(endpoint, tuple(keys), now_s - oldest_s)
            for endpoint, keys in by_endpoint.items()
        ]

    def merge_announcements(
        self, news: abc.Iterable[messages.CacheAnnouncement], now_s: float
    ) -> None:
        """Takes what other instances have told."""
        for each in news:
            for key in each.parts:
                used_s = self.used_s(key, each.endpoint)
                seen_s = now_s - each.age_s
                if used_s is None or used_s < seen_s:
                    self.note(key, each.endpoint, seen_s)
                self._told_s[key, each.endpoint] = now_s
