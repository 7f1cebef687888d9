"""Editions: whole documents with the operator's numbers."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.document import formats
from cardamombarrow.document import machine

_NUMBERS = strategies.lists(
    strategies.tuples(
        strategies.integers(min_value=-4, max_value=4)
        | strategies.sampled_from([-(2**63), 2**63 - 1]),
        strategies.booleans(),
    ),
    max_size=20,
)


def _text(kandula_text: str, number: int, valid: bool) -> str:
    text = f"# edition {number}\n{kandula_text}"
    return text if valid else text + "[nonsense]\n"


@hypothesis.given(sent=_NUMBERS)
def test_the_highest_valid_number_is_in_force_in_any_order(kandula_text, sent):
    # Operators send editions concurrently, resend accepted ones, and older ones
    # arrive late. The first text of the highest valid number is in force.
    state = machine.DocumentState("", 0)
    expected: tuple[int | None, str] = (None, "")
    for number, valid in sent:
        text = _text(kandula_text, number, valid)
        edition = machine.Edition(number, text, formats.SECTIONS)
        answer = state.apply_edition(edition)
        if expected[0] is not None and number <= expected[0]:
            assert answer.status is machine.EditionStatus.NOT_NEWER
        elif valid:
            assert answer.status is machine.EditionStatus.ACCEPTED
            expected = (number, text)
        else:
            assert answer.status is machine.EditionStatus.INVALID
        assert (state.accepted.number, state.accepted.text) == expected
    raw = json.loads(json.dumps(state.to_json()))
    assert machine.DocumentState.from_json(raw).accepted == state.accepted


def test_other_content_with_the_current_number_changes_nothing(kandula_text):
    state = machine.DocumentState("", 0)
    first = machine.Edition(5, kandula_text, formats.SECTIONS)
    state.apply_edition(first)
    other = machine.Edition(5, f"# other\n{kandula_text}", formats.SECTIONS)
    assert state.apply_edition(other).status is machine.EditionStatus.NOT_NEWER
    assert state.accepted.text == kandula_text


def test_an_unknown_format_is_invalid():
    edition = machine.Edition(1, "x", "unheard-of")
    answer = machine.DocumentState("", 0).apply_edition(edition)
    assert answer.status is machine.EditionStatus.INVALID


@pytest.mark.parametrize("number", [0, 7])
def test_a_snapshot_of_an_earlier_version_keeps_its_number(
    kandula_text, number
):
    # Guards against taking the 0 of an older snapshot, which stands for no
    # number, for one that an operator gave.
    raw = machine.DocumentState(kandula_text).to_json()
    raw.pop("is_numbered", None)
    state = machine.DocumentState.from_json({**raw, "number": number})
    assert state.accepted.number == (number or None)
    edition = machine.Edition(0, kandula_text, formats.SECTIONS)
    replaced = (
        state.apply_edition(edition).status is machine.EditionStatus.ACCEPTED
    )
    assert replaced == (number == 0)
