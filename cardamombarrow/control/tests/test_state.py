"""The replicated state of the control processes."""

import json

import pytest

from cardamombarrow.control import state
from cardamombarrow.document import formats
from cardamombarrow.document import packing
from cardamombarrow.peers.control import control_pb2


def _state(text):
    edition = control_pb2.EditionCommand(
        number=7, format=formats.SECTIONS, packed_text=packing.pack(text)
    )
    original = state.ControlState()
    original.apply(1, control_pb2.Command(edition=edition).SerializeToString())
    assert original.document.accepted.number == 7
    return original


def test_state_of_any_size_is_restored(kandula_text, monkeypatch):
    # The ledger stores answers, so a snapshot may be much larger than the
    # maximum size of an edition. If it could be written but not read, the
    # control process could never start again.
    original = _state(kandula_text)
    monkeypatch.setattr(packing, "MAX_TEXT_BYTES", 100)
    restored = state.ControlState()
    restored.restore(original.snapshot())
    assert restored.document.accepted == original.document.accepted


def test_unpacked_snapshot_is_restored(kandula_text):
    # Written by a process of an earlier version. If it can't be read after an
    # upgrade, all accepted documents are lost.
    original = _state(kandula_text)
    plain = packing.unpack(original.snapshot()).encode()
    assert json.loads(plain)
    restored = state.ControlState()
    restored.restore(plain)
    assert restored.document.accepted == original.document.accepted


@pytest.mark.parametrize("number", [1, 9])
def test_unpacked_edition_is_applied(kandula_text, number):
    # A log entry written by an earlier version is applied again after a
    # restart. If it were refused, its document would be lost.
    edition = control_pb2.EditionCommand(
        number=number, format=formats.SECTIONS, text=kandula_text
    )
    original = state.ControlState()
    original.apply(1, control_pb2.Command(edition=edition).SerializeToString())
    assert original.document.accepted.text == kandula_text
