"""Odd items of the project's own list format."""

import pytest

from cardamombarrow.discovery import json_list
from cardamombarrow.kernel.tests import odd_values


@pytest.mark.parametrize("odd", odd_values.JSON_VALUES, ids=lambda t: t[:12])
@pytest.mark.parametrize(
    "item",
    [
        "%s",
        '{"address": %s, "state": "live"}',
        '{"address": "a:1", "state": %s}',
    ],
)
def test_an_odd_item_is_left_out(item, odd):
    # Guards against a list that is lost as a whole because of one item.
    sound = '{"address": "a:2", "state": "leaving"}'
    text = f'{{"endpoints": [{item.replace("%s", odd)}, {sound}]}}'
    assert [each.endpoint for each in json_list.parse(text.encode())] == ["a:2"]


@pytest.mark.parametrize("odd", odd_values.JSON_VALUES, ids=lambda t: t[:12])
def test_a_body_without_a_list_is_refused(odd):
    with pytest.raises(ValueError):
        json_list.parse(odd.encode())
