"""Prompt prefixes that several requests share, as seen by one instance.

Without it the choice could not distinguish a long prompt in an engine's cache
from a new one, and the limits would take the short prefill of a cached prompt
for the engine's best time.
"""

__all__ = ["SharedPrefixes"]

MAX_PREFIXES = 4_096
"""Most prefixes stored, at some 150 bytes each."""

PREFIX_LIFETIME_S = 60.0
"""A prefix not seen for this long counts as evicted from every cache."""


class SharedPrefixes:
    """Bounded set of recently seen prefixes."""

    def __init__(self):
        self._seen_at_s: dict[str, float] = {}

    def is_shared(self, prefix_key: str, now_s: float) -> bool:
        """Returns whether a prefix was seen recently."""
        seen_at_s = self._seen_at_s.get(prefix_key)
        return seen_at_s is not None and now_s - seen_at_s <= PREFIX_LIFETIME_S

    def record(self, prefix_key: str, now_s: float) -> None:
        """Records that a request with this prefix was sent."""
        if not prefix_key:
            return
        self._seen_at_s.pop(prefix_key, None)
        self._seen_at_s[prefix_key] = now_s
        if len(self._seen_at_s) > MAX_PREFIXES:
            del self._seen_at_s[next(iter(self._seen_at_s))]
