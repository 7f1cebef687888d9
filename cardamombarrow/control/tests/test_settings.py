"""Settings of the control role."""

import pytest

from cardamombarrow.control import settings as settings_module


@pytest.mark.parametrize(
    ("fields", "wanted"),
    [
        ({}, 0),
        ({"tended": True}, 3),
        ({"tended": True, "tolerated_losses": 0}, 3),
        ({"tended": True, "tolerated_losses": 2}, 5),
    ],
)
def test_wanted_voters_follow_from_the_tolerated_losses(fields, wanted):
    state = settings_module.StateSettings(folder="x", **fields)
    assert state.wanted_voters() == wanted
