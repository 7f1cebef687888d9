"""What an entry answers to callers by itself, by their protocol.

Callers by route may send any path to their service, so none is the router's
own, in any phase: each success that they get is an endpoint's. The router's
own protocol has paths of its own, of which `HEALTH_PATH` is answered from the
moment at which the port is open.
"""

import abc
import typing

from werkzeug import wrappers

from cardamombarrow.entry.frontend import answers
from cardamombarrow.entry.frontend import protocol as protocol_module
from cardamombarrow.kernel import connection
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = [
    "HEALTH_PATH",
    "OPENAI",
    "CallerInterface",
    "OwnInterface",
    "RoutedInterface",
    "of_protocol",
]

OPENAI = "openai"
"""The caller protocol whose requests name models and plain services."""

HEALTH_PATH = "/healthz"
"""Answered with 200 while the process answers at all."""


class CallerInterface(abc.ABC):
    """The answers of an entry that come from no endpoint."""

    @abc.abstractmethod
    def is_own(self, path: str) -> bool:
        """Returns whether a path is answered before there is a document."""

    @abc.abstractmethod
    def refusal(
        self, error: errors.RouterError, environ: dict[str, typing.Any]
    ) -> wrappers.Response:
        """Returns the answer to a request that is refused."""


class OwnInterface(CallerInterface):
    """The router's own protocol, and the addresses of the platform's probes."""

    def is_own(self, path: str) -> bool:
        """Returns whether it is the path of the health check."""
        return path == HEALTH_PATH

    def refusal(
        self, error: errors.RouterError, environ: dict[str, typing.Any]
    ) -> wrappers.Response:
        """Returns an answer as JSON."""
        return answers.error_response(error, ids.new_request_id())


class RoutedInterface(CallerInterface):
    """Callers by route, in the protocol of a plug-in."""

    def __init__(self, protocol: protocol_module.CallerProtocol):
        self.protocol = protocol

    def is_own(self, path: str) -> bool:
        """Returns False: each path belongs to the routes."""
        return False

    def refusal(
        self, error: errors.RouterError, environ: dict[str, typing.Any]
    ) -> wrappers.Response:
        """Returns the protocol's answer, with the caller's id in the log."""
        request_id = self._request_id(environ)
        answer = self.protocol.error(error, request_id)
        answers.log_refusal(error, request_id, answer.status)
        return wrappers.Response(
            answer.body, status=answer.status, headers=list(answer.headers)
        )

    def _request_id(self, environ: dict[str, typing.Any]) -> ids.RequestId:
        try:
            parsed = self.protocol.read(environ[connection.HEADERS_KEY])
        except errors.RefusedError:
            return ids.new_request_id()
        return ids.RequestId(parsed.caller_id)


def of_protocol(name: str) -> CallerInterface:
    """Returns the interface of a caller protocol.

    Raises:
        registry.UnknownPluginError: There is no plug-in of that name.
    """
    if name == OPENAI:
        return OwnInterface()
    return RoutedInterface(registry.lookup(protocol_module.SLOT, name)())
