"""Tests of load reports of engines."""

import pytest

from cardamombarrow.endpoints import engine
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids

_LINES = (
    b"engine:num_requests_running 12\n",
    b"engine:num_requests_waiting 34\n",
)
_REPORT = b"".join(_LINES)
# Whole lines alone can't be told from a whole report.
_SIZES = [size for size in range(len(_REPORT)) if size != len(_LINES[0])]


@pytest.mark.parametrize("size", _SIZES)
def test_a_report_that_broke_off_is_not_used(monkeypatch, size):
    # Guards against a busy engine whose shortened numbers look like idleness.
    reply = http_get.Reply(200, _REPORT[:size])
    monkeypatch.setattr(http_get, "fetch", lambda *args, **fields: reply)
    poll = engine.EngineKind().poll
    with pytest.raises(errors.EndpointError):
        poll(ids.EndpointId("10.0.0.1:80"), 1.0)
