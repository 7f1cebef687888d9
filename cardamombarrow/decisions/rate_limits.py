"""Rate limits that endpoints state in their answers.

What an answer says holds until a later one says otherwise.
"""

import threading

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["RateLimits"]

LIMITS_KEPT = 1_024
"""Endpoints whose statements are remembered; each start may be another one."""


class RateLimits:
    """The newest statement of each endpoint that ever stated a limit.

    One instance's dispatchers share it; its methods may be called from any
    thread.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._heard: dict[ids.EndpointId, messages.RateLimit] = {}

    def hear(
        self, endpoint: ids.EndpointId, limit: messages.RateLimit
    ) -> messages.RateLimit | None:
        """Takes a statement.

        Returns:
            What held before, where the limit has changed; otherwise None.
        """
        with self._lock:
            known = self._heard.get(endpoint)
            if known is None:
                if limit.per_s is None:
                    return None
                known = messages.RateLimit(None, limit.heard_s)
            elif limit.heard_s < known.heard_s:
                return None
            self._heard.pop(endpoint, None)
            self._heard[endpoint] = limit
            if len(self._heard) > LIMITS_KEPT:
                del self._heard[next(iter(self._heard))]
            return known if known.per_s != limit.per_s else None

    def limit(self, endpoint: ids.EndpointId) -> messages.RateLimit | None:
        """Returns the limit that an endpoint states; None without one."""
        heard = self._heard.get(endpoint)
        return None if heard is None or heard.per_s is None else heard

    def count(self) -> int:
        """Counts the endpoints that state a limit."""
        with self._lock:
            return sum(each.per_s is not None for each in self._heard.values())
