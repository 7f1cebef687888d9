"""The WSGI application that takes requests forwarded by other entries."""

from collections import abc
import threading
import typing

from cardamombarrow.forwarding import core
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import logs
from cardamombarrow.peers import secret as secret_module

__all__ = ["DECLINED_KEY", "FORWARDED_KEY", "ForwardedApp"]

FORWARDED_KEY = "cardamombarrow.forwarded"
"""Environment key that is set for forwarded requests, which are not forwarded
again."""

DECLINED_KEY = "cardamombarrow.declined"
"""Environment key that the application for callers sets, before it answers, if
it has not taken a forwarded request: the reason."""

MAX_ELAPSED_S = 60.0

_INTERNAL = (core.ELAPSED_MS, secret_module.HEADER)
_StartResponse = abc.Callable[..., object]


class ForwardedApp:
    """Passes forwarded requests to the application for callers."""

    def __init__(
        self,
        app: typing.Any,
        secret: str,
        decline_reason: abc.Callable[[], str | None],
    ):
        """Builds the application.

        Args:
            app: The application for callers.
            secret: Shared secret of all instances.
            decline_reason: Returns why this entry takes no requests now, or
                None.
        """
        self._app = app
        self._guard = secret_module.Guard(secret)
        self._lock = threading.Lock()
        self._decline_reason = decline_reason

    def __call__(
        self, environ: dict[str, typing.Any], start_response: _StartResponse
    ) -> abc.Iterable[bytes]:
        """Serves one request; see PEP 3333."""
        fields = environ[connection.HEADERS_KEY]
        internal = {
            name.lower(): value
            for name, value in fields
            if name.lower() in _INTERNAL
        }
        rejection = self._rejection(environ, internal)
        if rejection is not None:
            logs.event("forwarded request rejected", "WARNING", why=rejection)
            return _answer(
                start_response,
                "403 Forbidden",
                errors.ErrorKind.FORBIDDEN,
                rejection,
            )
        reason = self._decline_reason()
        if reason is not None:
            return _answer(
                start_response,
                "503 Service Unavailable",
                errors.ErrorKind.NOT_READY,
                reason,
                (core.DECLINED, reason),
            )
        environ[FORWARDED_KEY] = True
        environ[connection.ARRIVED_KEY] -= _elapsed_s(internal)
        environ[connection.HEADERS_KEY] = tuple(
            each for each in fields if each[0].lower() not in _INTERNAL
        )

        def start(
            status: str, headers: list[tuple[str, str]], *rest: object
        ) -> object:
            declined = environ.get(DECLINED_KEY)
            if declined is not None:
                headers = [*headers, (core.DECLINED, declined)]
            return start_response(status, headers, *rest)

        return self._app(environ, start)

    def _rejection(
        self, environ: dict[str, typing.Any], internal: dict[str, str]
    ) -> str | None:
        scope = core.token_scope(
            environ["REQUEST_METHOD"], environ["REQUEST_URI"]
        )
        token = internal.get(secret_module.HEADER, "")
        with self._lock:
            return self._guard.rejection_reason(token, scope)


def _elapsed_s(internal: dict[str, str]) -> float:
    try:
        elapsed_s = int(internal.get(core.ELAPSED_MS, "0")) / 1_000
    except ValueError:
        return 0.0
    return min(max(elapsed_s, 0.0), MAX_ELAPSED_S)


def _answer(
    start_response: _StartResponse,
    status: str,
    kind: errors.ErrorKind,
    detail: str,
    *headers: tuple[str, str],
) -> abc.Iterable[bytes]:
    body = connection.error_body(kind, detail)
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]
