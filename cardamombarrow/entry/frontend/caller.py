"""Detects that a caller has closed its connection."""

import select
import socket

from cardamombarrow.endpoints import base

__all__ = ["SocketWatch"]


class SocketWatch(base.CallerWatch):
    """Watches the socket that werkzeug serves.

    A caller counts as gone once it closes its sending half of the connection.
    This includes clients that half-close while they wait for an answer, as
    `docs/entry.md` states.
    """

    def __init__(self, connection: socket.socket):
        self._fd = connection.fileno()
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLRDHUP)

    def fileno(self) -> int:
        """Returns the socket's descriptor."""
        return self._fd

    def gone(self) -> bool:
        """Returns whether the caller has closed the connection."""
        return bool(self._poll.poll(0))
