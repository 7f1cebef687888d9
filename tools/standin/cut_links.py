"""Plug-in for tests that cuts an entry off from its endpoints.

While the file ``<settings>.cut`` beside the entry's settings file exists, new
connections to the ports that it lists hang or are refused; see
`CutMode`. Other connections work.
"""

import enum
import errno
import pathlib
import socket
import sys

__all__ = ["CutMode", "cut_file"]


class CutMode(enum.Enum):
    """What happens to a new connection to an endpoint."""

    HANG = "hang"
    REFUSE = "refuse"


def cut_file(settings_path: pathlib.Path) -> pathlib.Path:
    """Returns the file that controls the cut of an entry.

    Its first line is a `CutMode`, each further one a port.
    """
    return settings_path.with_suffix(".cut")


def _silent_listener() -> socket.socket:
    """Returns a listening socket whose queue is full.

    The kernel drops the opening packets of further connections, as a partition
    does.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    _FILLERS.append(socket.create_connection(listener.getsockname()))
    filler = socket.socket()
    filler.setblocking(False)
    filler.connect_ex(listener.getsockname())
    _FILLERS.append(filler)
    return listener


_FILLERS: list[socket.socket] = []
_connect = socket.socket.connect
_connect_ex = socket.socket.connect_ex


def _install(path: pathlib.Path) -> None:
    listener = _silent_listener()

    def route(address):
        """Returns the address to use instead; None refuses."""
        if not isinstance(address, tuple):
            return address
        try:
            mode, *ports = path.read_text().split()
        except (FileNotFoundError, ValueError):
            # No cut, or one that is being written.
            return address
        if str(address[1]) not in ports:
            return address
        if CutMode(mode) is CutMode.REFUSE:
            return None
        return listener.getsockname()

    def connect(self, address):
        routed = route(address)
        if routed is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "cut")
        return _connect(self, routed)

    def connect_ex(self, address):
        routed = route(address)
        if routed is None:
            return errno.ECONNREFUSED
        return _connect_ex(self, routed)

    socket.socket.connect = connect
    socket.socket.connect_ex = connect_ex


if "--settings" in sys.argv:
    _settings = pathlib.Path(sys.argv[sys.argv.index("--settings") + 1])
    _install(cut_file(_settings))
