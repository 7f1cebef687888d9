"""Handing in whole documents under the operator's numbers."""

from concurrent import futures

import pytest

from cardamombarrow.admin import editions
from cardamombarrow.control import state
from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.kernel import errors
from cardamombarrow.peers import codec
from cardamombarrow.peers import control_pb2


class _Log:
    """A log whose commands a majority accepts at once, or never."""

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


def _put(number, text, *, held=0, reachable=True):
    applied = state.ControlState()
    if held:
        log = _Log(applied)
        assert editions.Editions(log, applied).put(held, text, formats.SECTIONS)
    log = _Log(applied, reachable=reachable)
    return editions.Editions(log, applied).put(
        number, text, formats.SECTIONS
    ), log


def test_an_edition_above_the_held_one_goes_through_the_log(kandula_text):
    answer, log = _put(7, kandula_text, held=5)
    assert answer.status is machine.EditionStatus.ACCEPTED
    assert (answer.number, log.proposed) == (7, 1)


@pytest.mark.parametrize("number", [1, 5])
@pytest.mark.parametrize("reachable", [True, False])
def test_an_edition_that_is_overtaken_needs_no_majority(
    kandula_text, number, reachable
):
    # The operator's answers get lost, so the same edition comes again and
    # again, to any process. Each time it went whole to every other one, and
    # it was refused where no majority was in reach, though it was accepted
    # long ago.
    answer, log = _put(number, kandula_text, held=5, reachable=reachable)
    assert answer.status is machine.EditionStatus.KEPT
    assert (answer.number, log.proposed) == (5, 0)


def test_an_invalid_edition_costs_no_round():
    answer, log = _put(7, "[no such")
    assert answer.status is machine.EditionStatus.INVALID
    assert answer.mistakes
    assert log.proposed == 0


def test_an_edition_that_no_majority_takes_may_be_sent_again(
    kandula_text, monkeypatch
):
    monkeypatch.setattr(editions, "TIMEOUT_S", 0.01)
    with pytest.raises(errors.UnavailableError):
        _put(7, kandula_text, reachable=False)


def test_a_command_that_cannot_be_unpacked_stops_no_voter():
    # A peer of another version packs a text in a way that this one does not
    # know. Raised while it is applied, the error would stop every voter at
    # the same entry, for good.
    applied = state.ControlState()
    wire = control_pb2.EditionCommand(number=1, packed_text=b"no")
    command = control_pb2.Command(edition=wire)
    raw = applied.apply(1, command.SerializeToString())
    with pytest.raises(errors.RouterError):
        codec.raise_failure(control_pb2.Reply.FromString(raw))
    restored = state.ControlState()
    restored.restore(applied.snapshot())
    assert restored.snapshot() == applied.snapshot()
