"""Splitting, joining and comparing documents as text."""

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.document import text

_NAMES = strategies.sampled_from(["tier:a", "tier:b", "class:c", "model:d"])
_BODIES = strategies.sampled_from(["", "rank = 0", "rank = 1\n# why", "x = 1"])


@hypothesis.given(
    edits=strategies.lists(
        strategies.dictionaries(_NAMES, _BODIES, min_size=1), max_size=8
    )
)
def test_changes_turn_the_old_text_into_the_new(edits):
    # Otherwise an instance would use a document that was never accepted.
    old = "# head\n\n[tier:a]\nrank = 0\n\n[class:c]\nx = 0\n"
    new = old
    for edit in edits:
        new = text.replace(new, edit)
    changes = text.changes(old, new)
    if changes is not None:
        assert text.replace(old, changes) == new


def test_one_edit_is_always_expressible(kandula_text):
    new = text.replace(kandula_text, {"tier:race": "rank = 0"})
    assert text.changes(kandula_text, new) == {"tier:race": "rank = 0\n"}


@pytest.mark.parametrize("name", ["tier:race", "workspace:new"])
def test_a_section_can_be_removed_and_added(kandula_text, name):
    new = text.replace(kandula_text, {name: "a = 1"})
    gone = text.replace(new, {name: ""})
    assert f"[{name}]" in new
    assert f"[{name}]" not in gone
