"""Restrictions that endpoints state in their answers: pauses and departures.

Load pattern: an overloaded endpoint turns requests away and asks for a pause,
or an endpoint that is about to stop says so in each answer. It looks idle and
costs little, so it would get the next request, too; as a failing endpoint it
would get a probe every half second.

A restriction binds the instance that received the answer until it ends. Load
reports, the platform's list and other instances may be older than the answer,
so none of them lifts it, and neither does a success in between: that request
was accepted before the pause was asked for. Nobody else has to be reachable.

A departure is final for an endpoint whose id contains an identity, because the
next process has another one. Without an identity the next process has the same
id; the restriction then ends `DEPARTURE_S` after the last answer that states
the departure.
"""

import collections
import dataclasses
import threading

from cardamombarrow.kernel import ids

__all__ = ["Restriction", "Restrictions"]

DEPARTURE_S = 30.0
"""Time that an endpoint without an identity takes to stop, at most."""

MAX_RESTRICTIONS = 4_096
"""Most endpoints that are stored, several times the number in use; those
without a statement for the longest time are removed first."""

_FOREVER_S = float("inf")
_NO_REQUEST = ids.RequestId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Restriction:
    """What an endpoint has stated.

    Attributes:
        paused_until_s: End of the longest pause; 0 without one.
        leaves_until_s: End of its departure; 0 while it has not stated one.
        request_id: Request whose answer last changed it; empty if another
            instance received the answer.
    """

    paused_until_s: float = 0.0
    leaves_until_s: float = 0.0
    request_id: ids.RequestId = _NO_REQUEST

    @property
    def until_s(self) -> float:
        """Time at which the endpoint may get requests again."""
        return max(self.paused_until_s, self.leaves_until_s)


_NONE = Restriction()


class Restrictions:
    """Restrictions by endpoint. Thread-safe; reading takes no lock."""

    def __init__(self):
        self._lock = threading.Lock()
        self._by_endpoint: collections.OrderedDict[
            ids.EndpointId, Restriction
        ] = collections.OrderedDict()
        self._last_pause_end_s = 0.0

    def pause(
        self,
        endpoint: ids.EndpointId,
        until_s: float,
        request_id: ids.RequestId = _NO_REQUEST,
    ) -> bool:
        """Pauses an endpoint; returns whether that prolongs its pause.

        Args:
            endpoint: The endpoint.
            until_s: End of the pause. An earlier end than the known one is
                ignored.
            request_id: Request whose answer asked for the pause.
        """
        with self._lock:
            known = self._by_endpoint.get(endpoint, _NONE)
            if until_s <= known.paused_until_s:
                return False
            self._store(
                endpoint,
                Restriction(until_s, known.leaves_until_s, request_id),
            )
            self._last_pause_end_s = max(self._last_pause_end_s, until_s)
            return True

    def set_leaving(
        self,
        endpoint: ids.EndpointId,
        now_s: float,
        request_id: ids.RequestId = _NO_REQUEST,
    ) -> bool:
        """Records that an endpoint leaves; returns whether that is new."""
        has_identity = bool(ids.identity_of(endpoint))
        with self._lock:
            known = self._by_endpoint.get(endpoint, _NONE)
            if known.leaves_until_s == _FOREVER_S:
                return False
            until_s = _FOREVER_S if has_identity else now_s + DEPARTURE_S
            self._store(
                endpoint, Restriction(known.paused_until_s, until_s, request_id)
            )
            return known.leaves_until_s <= now_s

    def _store(
        self, endpoint: ids.EndpointId, restriction: Restriction
    ) -> None:
        self._by_endpoint[endpoint] = restriction
        self._by_endpoint.move_to_end(endpoint)
        if len(self._by_endpoint) > MAX_RESTRICTIONS:
            self._by_endpoint.popitem(last=False)

    def of(self, endpoint: ids.EndpointId) -> Restriction:
        """Returns what an endpoint has stated, also if it has ended."""
        return self._by_endpoint.get(endpoint, _NONE)

    def is_leaving(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether an endpoint has stated that it leaves."""
        return self.of(endpoint).leaves_until_s > now_s

    def is_paused(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether an endpoint is to get no request for a while."""
        return self.of(endpoint).paused_until_s > now_s

    def any_paused(self, now_s: float) -> bool:
        """Returns whether any endpoint may be paused."""
        return self._last_pause_end_s > now_s

    def allows(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Returns whether a request may be sent to an endpoint now."""
        return self.of(endpoint).until_s <= now_s

    def pauses(self, now_s: float) -> dict[ids.EndpointId, float]:
        """Returns the ends of all pauses, by endpoint."""
        with self._lock:
            return {
                endpoint: restriction.paused_until_s
                for endpoint, restriction in self._by_endpoint.items()
                if restriction.paused_until_s > now_s
            }
