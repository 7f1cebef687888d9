"""Writing and reading editions: whole documents with the operator's numbers.

Operators may send editions by their own protocol; an `OperatorApp` plug-in
translates it to calls of `Editions`.
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
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2

__all__ = ["SLOT", "Editions", "OperatorApp"]

SLOT = "operator-app"

TIMEOUT_S = 4.0
"""Longest wait for a majority; then the operator tries another process."""

LIMIT_BYTES = 4_000_000


class Editions:
    """Proposes editions to the log and reads the newest document."""

    def __init__(self, log: base.Log, state: state_module.ControlState):
        self._log = log
        self._state = state

    def read_text(self, request: wrappers.Request) -> str:
        """Returns a request's body as text.

        Raises:
            errors.RefusedError: It is too long, incomplete or not UTF-8.
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
                errors.ErrorKind.BAD_REQUEST,
                "the body is incomplete or not UTF-8",
            ) from None

    def put(
        self, number: int, text: str, format_name: str
    ) -> machine.EditionAnswer:
        """Proposes an edition and returns the answer.

        Raises:
            errors.UnavailableError: No majority accepted it in time; it may
                still be accepted later.
        """
        answer = self._answer_locally(number, text, format_name)
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

    def _answer_locally(
        self, number: int, text: str, format_name: str
    ) -> machine.EditionAnswer | None:
        """Returns the answer to an edition if it needs no majority, or None.

        An invalid edition, and one whose number is not above the applied one,
        are answered without a round of the log, so also without a majority.
        An applied number has been accepted by a majority. Otherwise an operator
        that resends an edition because answers are lost would have its whole
        text sent to all other control processes each time.
        """
        accepted = self._state.document.accepted
        try:
            formats.parse(format_name, text)
        except errors.ConfigError as error:
            status = machine.EditionStatus.INVALID
            mistakes = tuple(error.mistakes)
        else:
            if accepted.is_older_than(number):
                return None
            status = machine.EditionStatus.NOT_NEWER
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

    def read(self) -> machine.AcceptedDocument:
        """Returns the newest document that was accepted by any process.

        Raises:
            errors.UnavailableError: No majority confirmed it in time, or there
                is no document.
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
        """Serves one request; see PEP 3333."""
