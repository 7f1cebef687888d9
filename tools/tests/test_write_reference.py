"""The reference pages say what the code does."""

import pathlib

import pytest

from tools import write_reference

_FOLDER = pathlib.Path(__file__).resolve().parents[2] / "docs" / "reference"


@pytest.mark.parametrize("name", write_reference.pages())
def test_page_is_up_to_date(name):
    # A key is added and the page forgotten: an operator would look for it in
    # vain. `python -m tools.write_reference` mends it.
    assert (_FOLDER / name).read_text() == write_reference.pages()[name]
