"""Connections to endpoints that wait for their next request.

A new connection costs the endpoint work and a request a round trip, 60 ms
between regions. What can go wrong on one that was idle: the endpoint closes
it as a request comes, or it went silent, and nobody knows whether the request
has run. One that may run twice is sent again elsewhere; one that may not is
lost. So a request that may run once only takes a connection that was in use a
moment ago, and every request one that the endpoint keeps for much longer.

`KEEP_SHARE` leaves half of the time that an endpoint tells, which covers clocks
of different pace and a busy network. `ONCE_S` bounds what a fault can hit:
connections that were used in the second before it. `MOST_IDLE` serves the
requests that one entry has at an endpoint at most moments, and keeps what all
entries hold open well below what endpoints accept.
"""

import threading

from cardamombarrow.endpoints import connection
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids

__all__ = ["Pool"]

KEEP_SHARE = 0.5
ONCE_S = 1.0
REPEATABLE_S = 4.0
MOST_IDLE = 3


class Pool:
    """Idle connections by endpoint; used by all threads.

    An endpoint that starts anew has another identity, so that no request
    meets a connection to the one before at its address.
    """

    def __init__(self, time_source: clock.Clock):
        """Builds an empty pool.

        Args:
            time_source: A clock that counts the time in which the machine was
                suspended; connections age in it.
        """
        self._clock = time_source
        self._lock = threading.Lock()
        self._idle: dict[ids.EndpointId, list[connection.Connection]] = {}

    def take(
        self, endpoint: ids.EndpointId, *, repeatable: bool
    ) -> connection.Connection | None:
        """Returns a connection that a request may use; None for a new one.

        Args:
            endpoint: The endpoint.
            repeatable: Whether the request may run twice.
        """
        now_s = self._clock.now_s()
        most_s = REPEATABLE_S if repeatable else ONCE_S
        with self._lock:
            self._close_old(now_s)
            idle = self._idle.get(endpoint, [])
            while idle and now_s - idle[-1].idle_since_s <= most_s:
                newest = idle.pop()
                if newest.is_quiet():
                    newest.renew()
                    return newest
                newest.close()
        return None

    def give(
        self, endpoint: ids.EndpointId, used: connection.Connection
    ) -> None:
        """Takes a connection back, or closes it."""
        with self._lock:
            idle = self._idle.setdefault(endpoint, [])
            if used.keep_s <= 0.0 or len(idle) >= MOST_IDLE:
                used.close()
                return
            used.idle_since_s = self._clock.now_s()
            idle.append(used)

    def _close_old(self, now_s: float) -> None:
        for endpoint, idle in list(self._idle.items()):
            while idle and self._is_old(idle[0], now_s):
                idle.pop(0).close()
            if not idle:
                del self._idle[endpoint]

    def _is_old(self, idle: connection.Connection, now_s: float) -> bool:
        most_s = min(KEEP_SHARE * idle.keep_s, REPEATABLE_S)
        return now_s - idle.idle_since_s > most_s
