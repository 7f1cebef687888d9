"""Odd items of the project's own list format."""

import pytest

from cardamombarrow.discovery import json_list
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
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


@pytest.mark.parametrize("status", [199, 204, 404, 500, 503])
def test_a_failure_is_no_list(monkeypatch, status):
    # Guards against endpoints that are taken out of use by a failing platform.
    reply = http_get.Reply(status, b'{"endpoints": []}')
    monkeypatch.setattr(http_get, "fetch", lambda *args, **fields: reply)
    with pytest.raises(errors.EndpointError):
        json_list.JsonList().fetch("http://10.0.0.1/list")
