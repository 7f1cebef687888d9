"""Checks the reference pages against the code."""

import pathlib

import pytest

from tools import write_reference

_FOLDER = pathlib.Path(__file__).resolve().parents[2] / "docs" / "reference"


@pytest.mark.parametrize("name", write_reference.pages())
def test_page_is_up_to_date(name):
    # A key could be added without its documentation. Run `python -m
    # tools.write_reference` to update the pages.
    assert (_FOLDER / name).read_text() == write_reference.pages()[name]
