"""Editions: whole documents with the operator's numbers."""

from concurrent import futures

import pytest

from cardamombarrow.admin import editions
from cardamombarrow.control import state
from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.kernel import errors
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2


class _Log:
    """A log that commits commands at once, or never if not reachable."""

    def __init__(self, applied, *, reachable=True):
        self._state = applied
        self._reachable = reachable
        self.proposed = 0

    def propose(self, command):
        self.proposed += 1
        future = futures.Future()
        if self._reachable:
            future.set_result(self._state.apply(self.proposed, command))
        return future


def _put(number, text, *, current=None, reachable=True):
    applied = state.ControlState()
    if current is not None:
        log = _Log(applied)
        assert editions.Editions(log, applied).put(
            current, text, formats.SECTIONS
        )
    log = _Log(applied, reachable=reachable)
    return editions.Editions(log, applied).put(
        number, text, formats.SECTIONS
    ), log


def test_an_edition_above_the_current_one_goes_through_the_log(kandula_text):
    answer, log = _put(7, kandula_text, current=5)
    assert answer.status is machine.EditionStatus.ACCEPTED
    assert (answer.number, log.proposed) == (7, 1)


@pytest.mark.parametrize("number", [1, 5])
@pytest.mark.parametrize("reachable", [True, False])
def test_an_edition_not_above_the_current_one_needs_no_majority(
    kandula_text, number, reachable
):
    # Answers are lost, so the operator resends the same edition to any process.
    # Each time its whole text was sent to all other processes, and without a
    # reachable majority it was rejected although accepted before.
    answer, log = _put(number, kandula_text, current=5, reachable=reachable)
    assert answer.status is machine.EditionStatus.NOT_NEWER
    assert (answer.number, log.proposed) == (5, 0)


@pytest.mark.parametrize("number", [0, -5, -(2**63)])
def test_a_first_edition_below_one_is_stored_before_it_is_acknowledged(
    kandula_text, number
):
    # Guards against acknowledging a first edition that no process stores, as
    # a number in its range stands for none.
    answer, log = _put(number, kandula_text)
    assert answer.status is machine.EditionStatus.ACCEPTED
    assert (answer.number, log.proposed) == (number, 1)
    again, log = _put(number, kandula_text, current=number)
    assert again.status is machine.EditionStatus.NOT_NEWER
    assert (again.number, log.proposed) == (number, 0)


def test_an_invalid_first_edition_is_answered_without_a_number():
    # Guards against an answer that names an edition where none is in force.
    wire = control_pb2.EditionCommand(number=3, text="[no", format="sections")
    raw = state.ControlState().apply(
        1, control_pb2.Command(edition=wire).SerializeToString()
    )
    reply = control_pb2.Reply.FromString(raw)
    answer = codec.edition_answer_from_wire(reply.edition)
    assert answer.status is machine.EditionStatus.INVALID
    assert answer.number is None


def test_an_invalid_edition_is_not_proposed():
    answer, log = _put(7, "[no such")
    assert answer.status is machine.EditionStatus.INVALID
    assert answer.mistakes
    assert log.proposed == 0


def test_an_edition_without_a_majority_is_reported_as_unavailable(
    kandula_text, monkeypatch
):
    monkeypatch.setattr(editions, "TIMEOUT_S", 0.01)
    with pytest.raises(errors.UnavailableError):
        _put(7, kandula_text, reachable=False)


def test_a_command_that_cannot_be_unpacked_does_not_stop_a_voter():
    # A peer of another version packs a text in an unknown way. An error raised
    # while the command is applied would stop every voter at the same log
    # entry permanently.
    applied = state.ControlState()
    wire = control_pb2.EditionCommand(number=1, packed_text=b"no")
    command = control_pb2.Command(edition=wire)
    raw = applied.apply(1, command.SerializeToString())
    with pytest.raises(errors.RouterError):
        codec.raise_failure(control_pb2.Reply.FromString(raw))
    restored = state.ControlState()
    restored.restore(applied.snapshot())
    assert restored.snapshot() == applied.snapshot()
