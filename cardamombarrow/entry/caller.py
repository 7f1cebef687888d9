"""The caller's side of a connection: is anybody still there?"""

import select
import socket

from cardamombarrow.endpoints import base

__all__ = ["SocketWatch"]


class SocketWatch(base.CallerWatch):
    """Watches the socket that werkzeug serves.

    A caller that has left is seen by the end of its half of the connection.
    Clients that close only their sending half while they wait for an answer
    count as gone, too; `docs/entry.md` says so.
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
