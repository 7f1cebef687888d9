"""Rate limits that endpoints advertise, and this instance's share of them.

Load pattern: an overloaded endpoint advertises a rate limit for all of its
clients combined, while dozens of instances each see it idle. Without this
module every instance relies on its own estimate, and the endpoint gets many
times its limit.

A limit in an answer applies until a later answer replaces it, whichever
instance received that answer.

Instances don't coordinate per request. A limit is used only in the endpoint's
own failure domain, by one instance, its *delegate*: the first member in the
order that all members compute alike. The other instances send nothing to a
limited endpoint; they pass their requests for it to the delegate, which places
for the domain. An instance that is not certain to be the delegate does not
send. A lost, frozen or changed delegate therefore leaves a limit unused for
some seconds, and never doubles its rate for long. The delegates of other
domains send occasional probes, because an endpoint without requests can't
signal that its limit has ended.

A limit is a token bucket that starts empty. Only `USED_SHARE` of it is used,
which leaves room for probes, and for two delegates while the instances'
membership views differ. An unused probe expires: saved probes of all domains
would arrive together with the next burst.
"""

import dataclasses
import threading
import zlib

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["RateLimits", "RateShare", "delegate_part"]

MAX_LIMITS = 1_024
"""Most endpoints whose limits are stored; a restart may create a new id."""

USED_SHARE = 0.8
"""Share of an advertised limit that is used."""

PROBES_PER_S = 1 / 16
"""Probe rate of the delegate of another domain and, under a limit of zero, of
the endpoint's own domain."""

PROBE_LIFETIME_S = 4.0
"""Time for which a due probe may be sent."""

ACCUMULATION_S = 1.0
"""Time over which unused rate accumulates, to one request at least."""

ANNOUNCE_END_S = 30.0
"""Time for which the end of a limit is announced to other instances."""

_ROUNDING_ERROR = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class RateShare:
    """Rate at which one instance may send to a rate-limited endpoint.

    Attributes:
        per_s: Requests per second.
        delay_s: Time until the bucket starts to fill, which spreads the probes
            of several domains.
    """

    per_s: float
    delay_s: float = 0.0


def delegate_part(
    limit_per_s: float,
    endpoint: ids.EndpointId,
    endpoint_domain: ids.DomainId,
    own_domain: ids.DomainId,
) -> RateShare:
    """Returns the rate at which a domain's delegate may send to an endpoint.

    Args:
        limit_per_s: The limit that the endpoint advertises.
        endpoint: The endpoint.
        endpoint_domain: The endpoint's failure domain.
        own_domain: The delegate's failure domain.
    """
    if own_domain == endpoint_domain:
        return RateShare(max(USED_SHARE * limit_per_s, PROBES_PER_S))
    phase = zlib.crc32(f"{endpoint}\n{own_domain}".encode()) / (1 << 32)
    return RateShare(PROBES_PER_S, phase / PROBES_PER_S)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of requests that may be sent.

    Attributes:
        since_s: Time at which the bucket held `tokens`.
    """

    since_s: float
    tokens: float = 0.0

    def fill(self, rate_per_s: float, now_s: float) -> float:
        """Returns the current number of tokens."""
        max_tokens = max(rate_per_s * ACCUMULATION_S, 1.0)
        full_s = self.since_s + (max_tokens - self.tokens) / rate_per_s
        if rate_per_s <= PROBES_PER_S and now_s > full_s + PROBE_LIFETIME_S:
            self.since_s, self.tokens = now_s, 0.0
        elapsed_s = max(now_s - self.since_s, 0.0)
        return min(self.tokens + rate_per_s * elapsed_s, max_tokens)

    def spend(self, rate_per_s: float, now_s: float) -> None:
        """Takes one token."""
        self.tokens = self.fill(rate_per_s, now_s) - 1.0
        self.since_s = now_s


class RateLimits:
    """Latest limit of each endpoint that has ever advertised one.

    Shared by the dispatchers of one instance. Thread-safe.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._latest: dict[ids.EndpointId, messages.RateLimit] = {}
        self._received: dict[ids.EndpointId, messages.RateLimit] = {}
        self._limited: set[ids.EndpointId] = set()
        self._buckets: dict[ids.EndpointId, _Bucket] = {}
        self._is_delegate = True

    # -- advertised limits ----------------------------------------------------

    def update(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        *,
        is_direct: bool = True,
    ) -> messages.RateLimit | None:
        """Updates the limit of an endpoint; outdated limits are ignored.

        Args:
            endpoint: The endpoint.
            limit: The limit it advertises.
            is_direct: Whether this instance received the answer itself.

        Returns:
            The previous limit if it has changed; otherwise None.
        """
        with self._lock:
            previous = self._latest.get(endpoint)
            if previous is None:
                if limit.per_s is None:
                    return None
                previous = messages.RateLimit(None, limit.received_s)
            elif limit.received_s < previous.received_s:
                return None
            self._store(endpoint, limit, is_direct)
            return previous if previous.per_s != limit.per_s else None

    def _store(
        self,
        endpoint: ids.EndpointId,
        limit: messages.RateLimit,
        is_direct: bool,
    ) -> None:
        self._latest.pop(endpoint, None)
        self._latest[endpoint] = limit
        if is_direct:
            self._received[endpoint] = limit
        else:
            self._received.pop(endpoint, None)
        if limit.per_s is None:
            self._limited.discard(endpoint)
            self._buckets.pop(endpoint, None)
        else:
            self._limited.add(endpoint)
        if len(self._latest) > MAX_LIMITS:
            oldest = next(iter(self._latest))
            for by_endpoint in (self._latest, self._received, self._buckets):
                by_endpoint.pop(oldest, None)
            self._limited.discard(oldest)

    def limit(self, endpoint: ids.EndpointId) -> messages.RateLimit | None:
        """Returns the limit that an endpoint advertises; None without one."""
        latest = self._latest.get(endpoint)
        return None if latest is None or latest.per_s is None else latest

    def count(self) -> int:
        """Counts the endpoints that advertise a limit."""
        return len(self._limited)

    def to_announce(
        self, now_s: float
    ) -> dict[ids.EndpointId, messages.RateLimit]:
        """Returns the limits to announce to other instances of the domain.

        These are limits that this instance received itself, including those
        that ended recently.
        """
        with self._lock:
            return {
                endpoint: limit
                for endpoint, limit in self._received.items()
                if limit.per_s is not None
                or now_s - limit.received_s < ANNOUNCE_END_S
            }

    # -- sending --------------------------------------------------------------

    @property
    def is_delegate(self) -> bool:
        """Whether this instance is its domain's delegate."""
        return self._is_delegate

    def set_delegate(self, is_delegate: bool) -> bool:
        """Sets whether this instance is the delegate.

        A new delegate starts with empty buckets, because the previous one may
        have used its tokens.

        Returns:
            Whether the role has changed.
        """
        with self._lock:
            changed = is_delegate != self._is_delegate
            self._is_delegate = is_delegate
            if changed:
                self._buckets.clear()
            return changed

    def ready_s(
        self, endpoint: ids.EndpointId, share: RateShare, now_s: float
    ) -> float:
        """Returns when a request may be sent; `now_s` if it may be now."""
        with self._lock:
            bucket = self._bucket(endpoint, share, now_s)
            tokens = bucket.fill(share.per_s, now_s)
        if tokens >= 1.0 - _ROUNDING_ERROR:
            return now_s
        return max(now_s, bucket.since_s) + (1.0 - tokens) / share.per_s

    def spend(
        self, endpoint: ids.EndpointId, share: RateShare, now_s: float
    ) -> None:
        """Takes a token for a request; the bucket may become negative."""
        with self._lock:
            self._bucket(endpoint, share, now_s).spend(share.per_s, now_s)

    def _bucket(
        self, endpoint: ids.EndpointId, share: RateShare, now_s: float
    ) -> _Bucket:
        return self._buckets.setdefault(
            endpoint, _Bucket(now_s + share.delay_s)
        )
