"""Notices endpoints whose processes have ended, and doubts their software.

The sockets of a process that ends are closed one after the other. So a broken
connection is judged `JUDGED_AFTER_S` later, and only streams that have to go on
at a given version wait for it.
"""

from collections import abc
import dataclasses
import math
import threading

from cardamombarrow.endpoints import base as endpoints_base
from cardamombarrow.endpoints import open_connections
from cardamombarrow.kernel import background
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import lifecycle
from cardamombarrow.kernel import logs
from cardamombarrow.resumption import software_doubts

__all__ = ["JUDGED_AFTER_S", "Listeners", "RestartWatch"]

JUDGED_AFTER_S = endpoints_base.EXIT_S

MAX_WAIT_S = 4 * JUDGED_AFTER_S
"""Longest wait for a judgement, on a busy machine."""


@dataclasses.dataclass
class _Suspicion:
    """The breaks at an endpoint that are not judged yet.

    Attributes:
        breaks: The breaks, the first one first.
        since_s: Time of the first one.
        broke_s: Time of the last one.
        is_judged: Whether it has been judged.
    """

    breaks: list[open_connections.Break]
    since_s: float
    broke_s: float
    is_judged: bool = False

    @property
    def judged_s(self) -> float:
        """When it is to be judged."""
        return self.since_s + JUDGED_AFTER_S


@dataclasses.dataclass(frozen=True)
class Listeners:
    """What is told of doubts.

    Attributes:
        on_begin: Called with an endpoint that comes into doubt, and the time
            of the first break.
        on_end: Called with an endpoint whose software is known again.
        on_change: Called with all endpoints in doubt after a change.
    """

    on_begin: abc.Callable[[ids.EndpointId, float], None]
    on_end: abc.Callable[[ids.EndpointId], None]
    on_change: abc.Callable[[frozenset[ids.EndpointId]], None]


class RestartWatch(lifecycle.Part):
    """Judges broken connections; thread-safe."""

    def __init__(
        self,
        connections: open_connections.OpenConnections,
        time_source: clock.Clock,
        lag_s: float,
        listeners: Listeners,
    ):
        """Builds the watch.

        Args:
            connections: The connections to endpoints.
            time_source: The clock by which lists are fetched.
            lag_s: Longest time until the list names a new version.
            listeners: What is told of doubts.
        """
        self._connections = connections
        self._clock = time_source
        self._listeners = listeners
        self._changed = threading.Condition(threading.RLock())
        self._suspicions: dict[ids.EndpointId, _Suspicion] = {}
        self._doubts = software_doubts.SoftwareDoubts(lag_s)
        self._stopped = False
        self._thread = background.supervised_thread(self._run, "restart watch")

    @classmethod
    def inactive(cls) -> "RestartWatch":
        """Returns a watch without connections, for lists without versions."""
        time_source = clock.SystemClock()
        return cls(
            open_connections.OpenConnections(time_source.now_s),
            time_source,
            0.0,
            Listeners(
                lambda endpoint, since_s: None,
                lambda endpoint: None,
                lambda endpoints: None,
            ),
        )

    def start(self) -> None:
        """Starts to judge breaks."""
        self._connections.set_break_listener(self.on_break)
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._thread.join()

    def on_break(self, found: open_connections.Break) -> None:
        """Records a broken connection."""
        now_s = self._clock.now_s()
        with self._changed:
            known = self._suspicions.get(found.endpoint)
            if known is None:
                self._suspicions[found.endpoint] = _Suspicion(
                    [found], now_s, now_s
                )
                self._changed.notify_all()
            else:
                known.breaks.append(found)
                known.broke_s = now_s

    def judge(self) -> float:
        """Judges the breaks that are due.

        Returns:
            When the next ones are due; infinity without any.
        """
        with self._changed:
            now_s = self._clock.now_s()
            for endpoint, each in list(self._suspicions.items()):
                if now_s >= each.judged_s:
                    del self._suspicions[endpoint]
                    self._judge(endpoint, each)
                    each.is_judged = True
            self._changed.notify_all()
            return min(
                (each.judged_s for each in self._suspicions.values()),
                default=math.inf,
            )

    def _judge(self, endpoint: ids.EndpointId, found: _Suspicion) -> None:
        if not self._connections.has_ended(found.breaks):
            return
        if self._doubts.begin(endpoint, found.broke_s):
            logs.decision(
                "software in doubt",
                endpoint=endpoint,
                breaks=len(found.breaks),
                sure=any(each.is_sure for each in found.breaks),
            )
        self._listeners.on_begin(endpoint, found.since_s)
        self._listeners.on_change(self._doubts.endpoints())

    def on_listing(self, fetched_s: float) -> None:
        """Ends the doubts that a list resolves, after it has been applied.

        Args:
            fetched_s: When it was fetched.
        """
        with self._changed:
            ended = self._doubts.end(fetched_s)
            for endpoint in ended:
                logs.decision("software known", endpoint=endpoint)
                self._listeners.on_end(endpoint)
            if ended:
                self._listeners.on_change(self._doubts.endpoints())

    def wait_judged(self) -> None:
        """Waits for the judgement of endpoints that seem to have ended.

        Others are not waited for: what goes on at them is checked by
        `is_in_doubt` once it has arrived.
        """
        with self._changed:
            self._wait_judged(
                [
                    each
                    for each in self._suspicions.values()
                    if self._connections.has_ended(each.breaks)
                ]
            )

    def is_in_doubt(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint may run other software than listed.

        Waits for the judgement of its breaks.
        """
        with self._changed:
            found = self._suspicions.get(endpoint)
            if found is None:
                return endpoint in self._doubts
            self._wait_judged([found])
            return not found.is_judged or endpoint in self._doubts

    def _wait_judged(self, found: list[_Suspicion]) -> None:
        self._changed.wait_for(
            lambda: all(each.is_judged for each in found), MAX_WAIT_S
        )

    def _run(self) -> None:
        with self._changed:
            while not self._stopped:
                wait_s = self.judge() - self._clock.now_s()
                self._changed.wait(
                    None if math.isinf(wait_s) else max(wait_s, 0.0)
                )
