"""Pool of idle connections to endpoints.

A new connection costs the endpoint work, and the request a round trip: 60 ms
between regions. But the endpoint may close an idle connection while a request
is sent, or the connection may have gone silent, and it is then unknown whether
the request has run. A repeatable request is sent again elsewhere; an
unrepeatable one is lost. So unrepeatable requests only reuse connections that
were in use a moment before, and no request uses a connection that the endpoint
is about to close.

`KEEP_ALIVE_SHARE` uses half of the keep-alive time that an endpoint states; the
rest covers clocks of different speed and a busy network. `UNREPEATABLE_IDLE_S`
limits the effect of a fault to connections that were used in the second before
it. `MAX_IDLE` usually covers the requests of one entry at an endpoint, and
keeps the open connections of all entries well below the limit of endpoints.
"""

import threading

from cardamombarrow.endpoints import connection
from cardamombarrow.endpoints import open_connections
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle

__all__ = ["IdleCloser", "Pool"]

KEEP_ALIVE_SHARE = 0.5
UNREPEATABLE_IDLE_S = 1.0
REPEATABLE_IDLE_S = 4.0
MAX_IDLE = 3

CLOSE_INTERVAL_S = 1.0
"""Time between two checks for connections that were idle for too long."""


class Pool:
    """Idle connections by endpoint; used by all threads.

    An endpoint that restarts has another identity, so that no request uses a
    connection to the previous endpoint at the same address.

    Attributes:
        connections: All established connections, idle or not.
    """

    def __init__(self, time_source: clock.Clock):
        """Builds an empty pool.

        Args:
            time_source: A clock that includes the time in which the machine
                was suspended, because connections age in it.
        """
        self._clock = time_source
        self.connections = open_connections.OpenConnections(time_source.now_s)
        self._lock = threading.Lock()
        self._idle: dict[ids.EndpointId, list[connection.Connection]] = {}
        self._has_idle = threading.Event()

    def take(
        self, endpoint: ids.EndpointId, *, repeatable: bool
    ) -> connection.Connection | None:
        """Returns an idle connection for a request; None if there is none.

        Args:
            endpoint: The endpoint.
            repeatable: Whether the request may run twice.
        """
        now_s = self._clock.now_s()
        max_idle_s = REPEATABLE_IDLE_S if repeatable else UNREPEATABLE_IDLE_S
        found, has_ended = None, False
        with self._lock:
            self._close_old(now_s)
            idle = self._idle.get(endpoint, [])
            while (
                found is None
                and idle
                and now_s - idle[-1].idle_since_s <= max_idle_s
            ):
                newest = idle.pop()
                if newest.is_reusable():
                    newest.reset()
                    found = newest
                else:
                    has_ended = has_ended or newest.has_hung_up()
                    newest.close()
        if has_ended:
            self.connections.report_break(endpoint)
        return found

    def add(
        self, endpoint: ids.EndpointId, used: connection.Connection
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        with self._lock:
            idle = self._idle.setdefault(endpoint, [])
            if used.keep_alive_s <= 0.0 or len(idle) >= MAX_IDLE:
                used.close()
                return
            used.idle_since_s = self._clock.now_s()
            used.usable_until_s = (
                used.idle_since_s + KEEP_ALIVE_SHARE * used.keep_alive_s
            )
            used.is_busy = False
            idle.append(used)
            self._has_idle.set()

    def wait_for_idle(self) -> None:
        """Returns once it has connections, or `wake` is called."""
        self._has_idle.wait()

    def wake(self) -> None:
        """Ends `wait_for_idle`."""
        self._has_idle.set()

    def close_old(self) -> None:
        """Closes the connections that no request may use any more."""
        with self._lock:
            self._close_old(self._clock.now_s())
            if not self._idle:
                self._has_idle.clear()

    def _close_old(self, now_s: float) -> None:
        for endpoint, idle in list(self._idle.items()):
            while idle and self._is_old(idle[0], now_s):
                idle.pop(0).close()
            if not idle:
                del self._idle[endpoint]

    def _is_old(self, idle: connection.Connection, now_s: float) -> bool:
        max_idle_s = min(
            KEEP_ALIVE_SHARE * idle.keep_alive_s, REPEATABLE_IDLE_S
        )
        return now_s - idle.idle_since_s > max_idle_s


class IdleCloser(lifecycle.Part):
    """Thread that closes old connections of a pool also without requests.

    An endpoint in trouble may send on an idle connection without end.
    """

    def __init__(self, pool: Pool):
        self._pool = pool
        self._stop = threading.Event()
        self._thread = background.supervised_thread(self._run, "idle closer")

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stop.set()
        self._pool.wake()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._pool.wait_for_idle()
            if not self._stop.wait(CLOSE_INTERVAL_S):
                self._pool.close_old()
