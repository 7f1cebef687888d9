"""The WSGI application that takes requests forwarded by other entries."""

from collections import abc
import dataclasses
import threading
import typing

from cardamombarrow.forwarding import core
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import logs
from cardamombarrow.peers import secret as secret_module

__all__ = ["DECLINED_KEY", "FORWARDED_KEY", "ForwardedApp", "History"]

FORWARDED_KEY = "cardamombarrow.forwarded"
"""Environment key of a forwarded request's `History`; it is not forwarded
again."""

DECLINED_KEY = "cardamombarrow.declined"
"""Environment key that the application for callers sets, before it answers, if
it has not taken a forwarded request: the reason."""

MAX_ELAPSED_MS = 60_000

MAX_ATTEMPTS = 1_000

_INTERNAL = (
    core.ATTEMPTS,
    core.ELAPSED_MS,
    core.RUNS,
    secret_module.HEADER,
)
_StartResponse = abc.Callable[..., object]


@dataclasses.dataclass(frozen=True)
class History:
    """What other entries have done with a request.

    Attributes:
        attempts: How often it was sent to endpoints.
        runs: How many of them may have run it.
    """

    attempts: int = 0
    runs: int = 0


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
        environ[FORWARDED_KEY] = History(
            _number(internal, core.ATTEMPTS, MAX_ATTEMPTS),
            _number(internal, core.RUNS, MAX_ATTEMPTS),
        )
        elapsed_ms = _number(internal, core.ELAPSED_MS, MAX_ELAPSED_MS)
        environ[connection.ARRIVED_KEY] -= elapsed_ms / 1_000
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


def _number(internal: dict[str, str], name: str, most: int) -> int:
    """Returns the number in a header field, 0 if there is none."""
    try:
        number = int(internal.get(name, "0"))
    except ValueError:
        return 0
    return min(max(number, 0), most)


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
