"""What an entry answers before it has a document in force.

The port is open from the start, so that a balancer sees an instance that
lives and is not ready, and not one that refuses connections and may be down.
"""

from collections import abc
import typing

from werkzeug import wrappers

from cardamombarrow.entry import answers
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

__all__ = ["Starting"]

RETRY_AFTER_S = 2.0


class Starting:
    """A WSGI application that hands over to another once there is one."""

    def __init__(self):
        self._app: typing.Any = None

    def serve(self, app: typing.Any) -> None:
        """Hands every later request to `app`."""
        self._app = app

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        if self._app is not None:
            return self._app(environ, start_response)
        return self._answer(environ["PATH_INFO"])(environ, start_response)

    def _answer(self, path: str) -> wrappers.Response:
        if path == "/healthz":
            return wrappers.Response("ok\n")
        error = errors.RefusedError(
            errors.ErrorKind.NOT_READY,
            "no document is in force yet",
            retry_after_s=RETRY_AFTER_S,
        )
        return answers.error_response(error, ids.new_request_id())
