"""Odd answers of engines about their models."""

import pytest

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.orders import engines


@pytest.mark.parametrize("odd", odd_values.JSON_VALUES, ids=lambda t: t[:12])
@pytest.mark.parametrize("text", ["%s", '{"data": %s}', '{"data": [%s]}'])
def test_an_odd_answer_raises_nothing(monkeypatch, text, odd):
    # Guards against a planner of orders that ends with one engine's answer.
    reply = http_get.Reply(200, text.replace("%s", odd).encode())
    monkeypatch.setattr(http_get, "fetch", lambda *args, **fields: reply)
    observed = engines.observe(ids.EndpointId("10.0.0.1:80"))
    assert observed is None or not (observed.loaded or observed.loading)


@pytest.mark.parametrize("status", [199, 204, 404, 500, 503])
def test_a_failure_shows_no_models(monkeypatch, status):
    # Guards against orders that load what a failing engine seems to lack.
    reply = http_get.Reply(status, b'{"data": []}')
    monkeypatch.setattr(http_get, "fetch", lambda *args, **fields: reply)
    assert engines.observe(ids.EndpointId("10.0.0.1:80")) is None
