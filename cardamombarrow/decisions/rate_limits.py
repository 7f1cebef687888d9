"""Rate limits that endpoints state, and this instance's part of them.

Load pattern answered: an endpoint in need names the requests a second that it
takes from all instances together, while dozens of instances that each see it
idle could use it. Without this module every instance goes on by its own
estimate, and the endpoint gets many times what it can bear.

What an answer says holds until a later one says otherwise; a newer statement
of another instance counts like an own one.

Nobody is asked on the way of a request. Each failure domain has a part of the
limit, and within a domain one instance, its *delegate*, spends that part: the
first of the members in the order that all of them work out alike. The others
send nothing to a limited endpoint; what they have for it they hand to the
delegate, which places for the domain. An instance that is not sure to be the
delegate does not send, so a lost, frozen or changed delegate leaves a part
unused for some seconds and never doubles it for long.

A part is a token bucket that starts empty. `PART` of the limit is given out,
which leaves room for two delegates while views of the members differ. At most
`MOST_DOMAINS` domains have a part: each may have saved one whole token, and
the tokens saved together must stay a few.
"""

from collections import abc
import dataclasses
import hashlib
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["RateLimits", "part_per_s"]

LIMITS_KEPT = 1_024
"""Endpoints whose statements are remembered; each start may be another one."""

PART = 0.8
"""Part of a stated limit that is used."""

MOST_DOMAINS = 5
"""Failure domains that share one endpoint's limit."""

LEAST_PER_S = 1 / 16
"""Requests a second of a domain without a part, or under a limit of zero: an
endpoint that nobody asks can't tell that its limit has ended."""

BURST_S = 1.0
"""Time for which an unused part is saved, one whole request at least."""

TOLD_S = 30.0
"""Time for which other instances are told that a limit has ended."""

_ROUNDING = 1e-9


def part_per_s(
    limit_per_s: float,
    endpoint: ids.EndpointId,
    home: ids.DomainId,
    own: ids.DomainId,
    domains: abc.Collection[ids.DomainId],
) -> float:
    """Returns how many requests a second a domain may send.

    Args:
        limit_per_s: The limit that the endpoint states.
        endpoint: The endpoint.
        home: Its failure domain, which always has a part.
        own: The domain whose part is asked for.
        domains: All domains that may send to it.
    """
    others = sorted(
        (each for each in {*domains, own} if each != home),
        key=lambda domain: _weight(endpoint, domain),
    )
    sharing = [home, *others][:MOST_DOMAINS]
    if own not in sharing:
        return LEAST_PER_S
    return max(PART * limit_per_s / len(sharing), LEAST_PER_S)


def _weight(endpoint: ids.EndpointId, domain: ids.DomainId) -> bytes:
    text = f"{endpoint}\n{domain}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Requests that may be sent, at a moment."""

    filled_s: float
    tokens: float = 0.0

    def fill(self, rate_per_s: float, now_s: float) -> None:
        most = max(rate_per_s * BURST_S, 1.0)
        past_s = max(now_s - self.filled_s, 0.0)
        self.tokens = min(self.tokens + rate_per_s * past_s, most)
        self.filled_s = now_s


class RateLimits:
    """The newest statement of each endpoint that ever stated a limit.

    One instance's dispatchers share it; its methods may be called from any
    thread.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._heard: dict[ids.EndpointId, messages.RateLimit] = {}
        self._first_hand: dict[ids.EndpointId, messages.RateLimit] = {}
        self._buckets: dict[ids.EndpointId, _Bucket] = {}
        self._is_delegate = True

    # -- what is stated -------------------------------------------------------

    def hear(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        *,
        first_hand: bool = True,
    ) -> messages.RateLimit | None:
        """Takes a statement.

        Args:
            endpoint: Who stated it.
            limit: What it stated.
            first_hand: Whether this instance had the answer itself.

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
            self._keep(endpoint, limit, first_hand)
            return known if known.per_s != limit.per_s else None

    def _keep(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        first_hand: bool,
    ) -> None:
        self._heard.pop(endpoint, None)
        self._heard[endpoint] = limit
        if first_hand:
            self._first_hand[endpoint] = limit
        else:
            self._first_hand.pop(endpoint, None)
        if limit.per_s is None:
            self._buckets.pop(endpoint, None)
        if len(self._heard) > LIMITS_KEPT:
            oldest = next(iter(self._heard))
            for kept in (self._heard, self._first_hand, self._buckets):
                kept.pop(oldest, None)

    def limit(self, endpoint: ids.EndpointId) -> messages.RateLimit | None:
        """Returns the limit that an endpoint states; None without one."""
        heard = self._heard.get(endpoint)
        return None if heard is None or heard.per_s is None else heard

    def count(self) -> int:
        """Counts the endpoints that state a limit."""
        with self._lock:
            return sum(each.per_s is not None for each in self._heard.values())

    def to_tell(self, now_s: float) -> dict[ids.EndpointId, messages.RateLimit]:
        """Returns what other instances of the domain are told.

        Limits that this instance heard itself, and the end of those that
        ended of late.
        """
        with self._lock:
            return {
                endpoint: limit
                for endpoint, limit in self._first_hand.items()
                if limit.per_s is not None or now_s - limit.heard_s < TOLD_S
            }

    # -- what is sent ---------------------------------------------------------

    @property
    def is_delegate(self) -> bool:
        """Whether this instance spends its domain's parts."""
        return self._is_delegate

    def set_delegate(self, is_delegate: bool) -> bool:
        """Learns whether it does; what an earlier one saved is not taken over.

        Returns:
            Whether that has changed.
        """
        with self._lock:
            changed = is_delegate != self._is_delegate
            self._is_delegate = is_delegate
            if changed:
                self._buckets.clear()
            return changed

    def ready_s(
        self, endpoint: ids.EndpointId, rate_per_s: float, now_s: float
    ) -> float:
        """Returns when a request may be sent; `now_s` where it may now."""
        with self._lock:
            tokens = self._filled(endpoint, rate_per_s, now_s).tokens
        if tokens >= 1.0 - _ROUNDING:
            return now_s
        return now_s + (1.0 - tokens) / rate_per_s

    def spend(
        self, endpoint: ids.EndpointId, rate_per_s: float, now_s: float
    ) -> None:
        """Counts a request that is sent; what is overspent is waited for."""
        with self._lock:
            self._filled(endpoint, rate_per_s, now_s).tokens -= 1.0

    def _filled(
        self, endpoint: ids.EndpointId, rate_per_s: float, now_s: float
    ) -> _Bucket:
        bucket = self._buckets.setdefault(endpoint, _Bucket(now_s))
        bucket.fill(rate_per_s, now_s)
        return bucket
