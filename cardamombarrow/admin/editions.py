"""Whole documents under the operator's own numbers: handing in, reading back.

Operators of editions speak protocols of their own; an `OperatorApp` plug-in
translates between one and the calls of `Editions`.
"""

import abc
import typing

from werkzeug import exceptions
from werkzeug import wrappers

from cardamombarrow.admin import outcomes
from cardamombarrow.control import state as state_module
from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import logs
from cardamombarrow.log import base
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_pb2

__all__ = ["SLOT", "Editions", "OperatorApp"]

SLOT = "operator-app"

TIMEOUT_S = 4.0
"""Longest wait for a majority; the operator then asks another process."""

LIMIT_BYTES = 4_000_000


class Editions:
    """Hands editions to the log and reads the newest one back."""

    def __init__(self, log: base.Log, state: state_module.ControlState):
        self._log = log
        self._state = state

    def read_text(self, request: wrappers.Request) -> str:
        """Returns a request's body as text.

        Raises:
            errors.RefusedError: It is too long, cut short or no UTF-8.
        """
        request.max_content_length = LIMIT_BYTES
        try:
            return request.get_data(cache=False).decode()
        except exceptions.RequestEntityTooLarge:
            raise errors.RefusedError(
                errors.ErrorKind.BODY_TOO_LARGE, f"over {LIMIT_BYTES} bytes"
            ) from None
        except (exceptions.ClientDisconnected, OSError, UnicodeDecodeError):
            raise errors.RefusedError(
                errors.ErrorKind.BAD_REQUEST, "cut short, or no UTF-8"
            ) from None

    def put(
        self, number: int, text: str, format_name: str
    ) -> machine.EditionAnswer:
        """Hands an edition in.

        Raises:
            errors.UnavailableError: No majority accepted it in time; it may
                still be accepted later.
        """
        answer = self._known(number, text, format_name)
        if answer is None:
            answer = self._propose(machine.Edition(number, text, format_name))
        logs.decision(
            "edition",
            number=number,
            status=answer.status.value,
            revision=answer.revision,
            held_number=answer.number,
            mistakes=answer.mistakes,
        )
        return answer

    def _known(
        self, number: int, text: str, format_name: str
    ) -> machine.EditionAnswer | None:
        """Returns the answer to an edition that no majority need decide.

        What is invalid never costs a round of the log, and is told even
        without a majority. Nor does one that a higher number has overtaken:
        what this process has applied a majority has accepted. An operator
        whose answers get lost sends the same edition again and again, and
        each would go whole to every other control process.
        """
        accepted = self._state.document.accepted
        try:
            formats.parse(format_name, text)
        except errors.ConfigError as error:
            status = machine.EditionStatus.INVALID
            mistakes = tuple(error.mistakes)
        else:
            if number > accepted.number:
                return None
            status = machine.EditionStatus.KEPT
            mistakes = ()
        return machine.EditionAnswer(
            status, accepted.revision, accepted.number, mistakes
        )

    def _propose(self, edition: machine.Edition) -> machine.EditionAnswer:
        command = control_pb2.Command(edition=codec.edition_to_wire(edition))
        future = self._log.propose(command.SerializeToString())
        raw = outcomes.wait(future, TIMEOUT_S)
        reply = codec.raise_failure(control_pb2.Reply.FromString(raw))
        return codec.edition_answer_from_wire(reply.edition)

    def read(self) -> machine.Accepted:
        """Returns the newest document that any process has accepted.

        Raises:
            errors.UnavailableError: No majority confirms it in time, or there
                is none.
        """
        outcomes.wait(self._log.barrier(), TIMEOUT_S)
        accepted = self._state.document.accepted
        if not accepted.revision:
            raise errors.UnavailableError(
                errors.ErrorKind.NOT_READY, "there is no document yet"
            )
        return accepted


class OperatorApp(abc.ABC):
    """A WSGI application for operators; registered in the slot `SLOT`."""

    def __init__(self, editions: Editions):
        self._editions = editions

    @abc.abstractmethod
    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Iterable[bytes]:
        """Serves one call; see PEP 3333."""
