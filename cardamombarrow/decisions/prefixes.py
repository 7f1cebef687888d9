"""Which prompt prefixes several requests share, as one instance saw them.

Without it the choice could not tell a long prompt that an engine has in its
cache from one that is new, and the limits would take the short time of a
cached prompt for the engine's best.
"""

__all__ = ["SharedPrefixes"]

PREFIX_TABLE = 4_096
"""Prefixes remembered; a bound on memory, at some 150 bytes each."""

PREFIX_LIFE_S = 60.0
"""A prefix not seen for this long counts as evicted from every cache."""


class SharedPrefixes:
    """Remembers the prefixes seen of late."""

    def __init__(self):
        self._seen_at_s: dict[str, float] = {}

    def shared(self, prefix_key: str, now_s: float) -> bool:
        """Tells whether a prefix was seen before, and not long ago."""
        seen_at_s = self._seen_at_s.get(prefix_key)
        return seen_at_s is not None and now_s - seen_at_s <= PREFIX_LIFE_S

    def remember(self, prefix_key: str, now_s: float) -> None:
        """Learns that a request with this prefix was sent."""
        if not prefix_key:
            return
        self._seen_at_s.pop(prefix_key, None)
        self._seen_at_s[prefix_key] = now_s
        if len(self._seen_at_s) > PREFIX_TABLE:
            del self._seen_at_s[next(iter(self._seen_at_s))]
