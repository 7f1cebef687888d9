"""HTTP interface of the platform's operators."""

from collections import abc
import typing

from werkzeug import wrappers

from cardamombarrow.admin import editions
from cardamombarrow.document import machine
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import registry
from cardamombarrow.platform import configuration

__all__ = ["OperatorApp"]

PATH = "/configuration"


@registry.plugin(editions.SLOT, "platform")
class OperatorApp(editions.OperatorApp):
    """Serves ``PUT`` and ``GET`` of the configuration; see PEP 3333."""

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one call."""
        request = wrappers.Request(environ)
        try:
            response = self._dispatch(request)
        except errors.RouterError as error:
            response = wrappers.Response(
                f"{error.kind.value}: {error.detail}\n",
                status=error.answer.status,
            )
        return response(environ, start_response)

    def _dispatch(self, request: wrappers.Request) -> wrappers.Response:
        if request.path != PATH or request.method not in ("GET", "PUT"):
            raise errors.RefusedError(errors.ErrorKind.NOT_FOUND, request.path)
        if request.method == "GET":
            text = self._editions.read().text
            return wrappers.Response(text, content_type="application/json")
        text = self._editions.read_text(request)
        try:
            number = configuration.version_of(text)
        except errors.ConfigError as error:
            return _invalid(error.mistakes)
        answer = self._editions.put(number, text, configuration.NAME)
        if answer.status is machine.EditionStatus.INVALID:
            return _invalid(answer.mistakes)
        return wrappers.Response(
            f'{{"version": {answer.number}}}\n',
            content_type="application/json",
        )


def _invalid(mistakes: abc.Iterable[str]) -> wrappers.Response:
    return wrappers.Response("\n".join([*mistakes, ""]), status=400)
