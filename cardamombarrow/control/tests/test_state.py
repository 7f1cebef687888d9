"""The state that control processes replicate."""

import json

import pytest

from cardamombarrow.control import state
from cardamombarrow.document import formats
from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import packing


def _state(text):
    edition = control_pb2.EditionCommand(
        number=7, format=formats.SECTIONS, packed_text=packing.pack(text)
    )
    made = state.ControlState()
    made.apply(1, control_pb2.Command(edition=edition).SerializeToString())
    assert made.document.accepted.number == 7
    return made


def test_a_state_of_any_size_is_restored(kandula_text, monkeypatch):
    # The ledger keeps answers, so that a snapshot may grow far above what one
    # edition may be. Written but refused when it is read, it would keep a
    # control process from starting again, for good.
    made = _state(kandula_text)
    monkeypatch.setattr(packing, "MAX_TEXT_BYTES", 100)
    restored = state.ControlState()
    restored.restore(made.snapshot())
    assert restored.document.accepted == made.document.accepted


def test_a_snapshot_that_is_not_packed_is_restored(kandula_text):
    # A process of an earlier version has written it. An upgrade that can't
    # read it loses every document that was accepted.
    made = _state(kandula_text)
    plain = packing.unpack(made.snapshot()).encode()
    assert json.loads(plain)
    restored = state.ControlState()
    restored.restore(plain)
    assert restored.document.accepted == made.document.accepted


@pytest.mark.parametrize("number", [1, 9])
def test_an_edition_that_is_not_packed_is_applied(kandula_text, number):
    # An entry of the log that an earlier version has written is applied again
    # after a restart; refused, the document that it made is gone.
    edition = control_pb2.EditionCommand(
        number=number, format=formats.SECTIONS, text=kandula_text
    )
    made = state.ControlState()
    made.apply(1, control_pb2.Command(edition=edition).SerializeToString())
    assert made.document.accepted.text == kandula_text
