"""The open connections to each endpoint, and the signs of its process's end.

A process that ends closes all of its connections. If one breaks while an older
one stays open, its process goes on.
"""

from collections import abc
import dataclasses
import threading

from cardamombarrow.endpoints import connection as connection_module
from cardamombarrow.kernel import ids

__all__ = ["Break", "OpenConnections"]


@dataclasses.dataclass(frozen=True)
class Break:
    """A connection that has ended as if by the end of its process.

    Attributes:
        endpoint: Where it led.
        number: Connections with a lower number are older than the break.
        connection: The connection, if it was serving a request. None if an idle
            one has ended early, or a new one is refused.
        connection_number: The number of that connection.
    """

    endpoint: ids.EndpointId
    number: int
    connection: connection_module.Connection | None = None
    connection_number: int = 0

    @property
    def is_sure(self) -> bool:
        """Whether a process that goes on does not end a connection so."""
        return self.connection is None

    @property
    def is_early(self) -> bool:
        """Whether it ended early; an endpoint may close after an answer."""
        return self.connection is None or not self.connection.whole


class OpenConnections:
    """The established connections of this process; thread-safe."""

    def __init__(self, now_s: abc.Callable[[], float]):
        """Builds an empty registry.

        Args:
            now_s: Returns the time by which idle connections age.
        """
        self._now_s = now_s
        self._lock = threading.Lock()
        self._number = 0
        self._by_endpoint: dict[
            ids.EndpointId, dict[connection_module.Connection, int]
        ] = {}
        self._on_break: abc.Callable[[Break], None] = lambda _: None

    def set_break_listener(self, listener: abc.Callable[[Break], None]) -> None:
        """Sets what is called with each break."""
        self._on_break = listener

    def add(
        self, endpoint: ids.EndpointId, added: connection_module.Connection
    ) -> None:
        """Adds a connection that has just been established.

        Older ones that have ended unnoticed are reported first: the new one
        may lead to another process.
        """
        with self._lock:
            others = self._by_endpoint.setdefault(endpoint, {})
            self._number += 1
            number = self._number
            breaks = [
                Break(endpoint, number, each if each.is_busy else None, own)
                for each, own in others.items()
                if each.has_hung_up() and not self._is_due_to_close(each)
            ]
            others[added] = number
            added.set_close_listener(lambda: self._discard(endpoint, added))
        for each in breaks:
            self._on_break(each)

    def _is_due_to_close(self, each: connection_module.Connection) -> bool:
        return not each.is_busy and self._now_s() > each.usable_until_s

    def _discard(
        self, endpoint: ids.EndpointId, closed: connection_module.Connection
    ) -> None:
        with self._lock:
            others = self._by_endpoint.get(endpoint, {})
            others.pop(closed, None)
            if not others:
                self._by_endpoint.pop(endpoint, None)

    def report_break(
        self,
        endpoint: ids.EndpointId,
        broken: connection_module.Connection | None = None,
    ) -> None:
        """Reports that the endpoint has ended a connection.

        Args:
            endpoint: The endpoint.
            broken: The connection, if it was serving a request. None if an
                idle one has ended early, or a new one is refused.
        """
        with self._lock:
            self._number += 1
            others = self._by_endpoint.get(endpoint, {})
            own = 0 if broken is None else others.get(broken, self._number)
            found = Break(endpoint, self._number, broken, own)
        self._on_break(found)

    def has_ended(self, breaks: abc.Sequence[Break]) -> bool:
        """Returns whether the process of an endpoint seems to have ended.

        One connection alone shows nothing, nor do resets alone: endpoints reset
        single answers, and the system ends the connections of a process that
        has read its requests in order.

        Args:
            breaks: All breaks at the endpoint that may have the same cause,
                the first one first.
        """
        early = [each for each in breaks if each.is_early]
        if not early:
            return False
        first = early[0]
        # A connection that was established after the first break leads to the
        # same process, or to the next one; its end says nothing of the first.
        ended = {
            each.connection
            for each in early
            if each.connection_number < first.number
        }
        with self._lock:
            others = self._by_endpoint.get(first.endpoint, {})
            for each, number in others.items():
                if number >= first.number:
                    continue
                if not each.has_hung_up():
                    return False
                if each.is_busy and not each.whole:
                    ended.add(each)
        if any(each.is_sure for each in early):
            return True
        return len(ended) > 1 and not all(each.was_reset for each in ended)
