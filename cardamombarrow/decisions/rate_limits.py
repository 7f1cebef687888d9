"""Rate limits that endpoints state, and this instance's part of them.

Load pattern answered: an overloaded endpoint advertises a rate limit for all of
its clients combined, while dozens of instances each see it idle. Without this
module every instance goes on by its own estimate, and the endpoint gets many
times its limit.

What an answer says holds until a later one says otherwise; a newer statement
of another instance counts like an own one.

Nobody is asked on the way of a request. A limit is spent in the endpoint's own
failure domain, by one instance, its *delegate*: the first of the members in the
order that all of them work out alike. The others send nothing to a limited
endpoint; what they have for it they hand to the delegate, which places for the
domain. An instance that is not sure to be the delegate does not send, so a
lost, frozen or changed delegate leaves a limit unused for some seconds and
never doubles it for long. The delegates of other domains send a probe now and
then, because an endpoint that nobody asks can't tell that its limit has ended.

A limit is a token bucket that starts empty. `USED_SHARE` of it is given out,
which leaves room for probes and for two delegates while views of the members
differ.
A probe that nobody had use for lapses: saved, those of all domains would come
at once with the next burst.
"""

import dataclasses
import threading
import zlib

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["Part", "RateLimits", "delegate_part"]

LIMITS_KEPT = 1_024
"""Endpoints whose statements are remembered; each start may be another one."""

USED_SHARE = 0.8
"""Part of a stated limit that is used."""

PROBES_PER_S = 1 / 16
"""Probes that a delegate of another domain sends; under a limit of zero, those
of the own one, too."""

PROBE_KEPT_S = 4.0
"""Time for which a probe that is due may be sent."""

BURST_S = 1.0
"""Time for which an unused part is saved, one whole request at least."""

TOLD_S = 30.0
"""Time for which other instances are told that a limit has ended."""

_ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What one instance may send to an endpoint that states a limit.

    Attributes:
        per_s: Requests a second.
        delay_s: Time before the first one is saved for, so that probes of
            several domains come apart.
    """

    per_s: float
    delay_s: float = 0.0


def delegate_part(
    limit_per_s: float,
    endpoint: ids.EndpointId,
    home: ids.DomainId,
    own: ids.DomainId,
) -> Part:
    """Returns what the delegate of a domain may send to an endpoint.

    Args:
        limit_per_s: The limit that the endpoint states.
        endpoint: The endpoint.
        home: Its failure domain.
        own: The delegate's.
    """
    if own == home:
        return Part(max(USED_SHARE * limit_per_s, PROBES_PER_S))
    phase = zlib.crc32(f"{endpoint}\n{own}".encode()) / (1 << 32)
    return Part(PROBES_PER_S, phase / PROBES_PER_S)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Requests that may be sent.

    Attributes:
        since_s: When there were `tokens`.
    """

    since_s: float
    tokens: float = 0.0

    def fill(self, rate_per_s: float, now_s: float) -> float:
        """Returns the tokens that there are now."""
        most = max(rate_per_s * BURST_S, 1.0)
        full_s = self.since_s + (most - self.tokens) / rate_per_s
        if rate_per_s <= PROBES_PER_S and now_s > full_s + PROBE_KEPT_S:
            self.since_s, self.tokens = now_s, 0.0
        past_s = max(now_s - self.since_s, 0.0)
        return min(self.tokens + rate_per_s * past_s, most)

    def spend(self, rate_per_s: float, now_s: float) -> None:
        """Takes one token."""
        self.tokens = self.fill(rate_per_s, now_s) - 1.0
        self.since_s = now_s


class RateLimits:
    """The newest statement of each endpoint that ever stated a limit.

    One instance's dispatchers share it; its methods may be called from any
    thread.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._heard: dict[ids.EndpointId, messages.RateLimit] = {}
        self._first_hand: dict[ids.EndpointId, messages.RateLimit] = {}
        self._limited: set[ids.EndpointId] = set()
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
                known = messages.RateLimit(None, limit.received_s)
            elif limit.received_s < known.received_s:
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
            self._limited.discard(endpoint)
            self._buckets.pop(endpoint, None)
        else:
            self._limited.add(endpoint)
        if len(self._heard) > LIMITS_KEPT:
            oldest = next(iter(self._heard))
            for kept in (self._heard, self._first_hand, self._buckets):
                kept.pop(oldest, None)
            self._limited.discard(oldest)

    def limit(self, endpoint: ids.EndpointId) -> messages.RateLimit | None:
        """Returns the limit that an endpoint states; None without one."""
        heard = self._heard.get(endpoint)
        return None if heard is None or heard.per_s is None else heard

    def count(self) -> int:
        """Counts the endpoints that state a limit."""
        return len(self._limited)

    def to_tell(self, now_s: float) -> dict[ids.EndpointId, messages.RateLimit]:
        """Returns what other instances of the domain are told.

        Limits that this instance heard itself, and the end of those that
        ended of late.
        """
        with self._lock:
            return {
                endpoint: limit
                for endpoint, limit in self._first_hand.items()
                if limit.per_s is not None or now_s - limit.received_s < TOLD_S
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
        self, endpoint: ids.EndpointId, part: Part, now_s: float
    ) -> float:
        """Returns when a request may be sent; `now_s` where it may now."""
        with self._lock:
            bucket = self._bucket(endpoint, part, now_s)
            tokens = bucket.fill(part.per_s, now_s)
        if tokens >= 1.0 - _ROUNDING:
            return now_s
        return max(now_s, bucket.since_s) + (1.0 - tokens) / part.per_s

    def spend(self, endpoint: ids.EndpointId, part: Part, now_s: float) -> None:
        """Counts a request that is sent; what is overspent is waited for."""
        with self._lock:
            self._bucket(endpoint, part, now_s).spend(part.per_s, now_s)

    def _bucket(
        self, endpoint: ids.EndpointId, part: Part, now_s: float
    ) -> _Bucket:
        return self._buckets.setdefault(endpoint, _Bucket(now_s + part.delay_s))
