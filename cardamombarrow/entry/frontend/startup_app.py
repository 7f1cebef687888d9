"""The WSGI application of an entry that has no document in force yet.

The port is open from the start, so that a balancer sees a live instance that
is not ready instead of one that refuses connections and may be down. Requests
are held for about as long as a start takes; see `startup_hold`.
"""

from collections import abc
import threading
import typing

from werkzeug import wrappers

from cardamombarrow.entry.frontend import interface as interface_module
from cardamombarrow.kernel import errors

__all__ = ["StartupApp"]

RETRY_AFTER_S = 2.0

HOLD_S = 1.0
"""Maximum time for which a request is held before it is read: a third of the
shortest time limit that callers use."""


class StartupApp:
    """A WSGI application that forwards to another one once that is set."""

    def __init__(
        self, interface: interface_module.CallerInterface, hold_s: float = 0.0
    ):
        """Builds the application.

        Args:
            interface: What is answered without the other application.
            hold_s: How long a request waits for the other application, in
                seconds. With 0 it is refused immediately, which a balancer's
                readiness probe requires.
        """
        self._interface = interface
        self._hold_s = hold_s
        self._served = threading.Event()
        self._app: typing.Any = None

    def forward_to(self, app: typing.Any) -> None:
        """Forwards every held and later request to `app`."""
        self._app = app
        self._served.set()

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        is_own = self._interface.is_own(environ["PATH_INFO"])
        if self._app is None and not is_own:
            self._served.wait(self._hold_s)
        if self._app is not None:
            return self._app(environ, start_response)
        if is_own:
            return wrappers.Response("ok\n")(environ, start_response)
        error = errors.RefusedError(
            errors.ErrorKind.NOT_READY,
            "no document is in force yet",
            retry_after_s=RETRY_AFTER_S,
            check=errors.RefusalCheck.DOCUMENT_MISSING,
        )
        refusal = self._interface.refusal(error, environ)
        return refusal(environ, start_response)
