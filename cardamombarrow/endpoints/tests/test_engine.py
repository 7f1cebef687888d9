"""Tests of load reports of engines."""

import threading

import pytest

from cardamombarrow.endpoints import engine
from cardamombarrow.endpoints import http_get
from cardamombarrow.endpoints import poller as poller_module
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


_ODD_SAMPLES = [
    b"1e999",
    b"-1e999",
    b"NaN",
    b"+Inf",
    b"-",
    b"e",
    b"1e",
    b"1.2.3",
    b"-1",
    b"9" * 5_000,
    b"18446744073709551616",
    b"x" * 2_000,
    b"[" * 100_000,
    b"\xff\xfe",
    "\u0661e999".encode(),
]
_FIELDS = [
    b"num_requests_running",
    b"num_requests_waiting",
    b"cache_usage_share",
    b"leaving",
]


@pytest.mark.parametrize("field", _FIELDS)
@pytest.mark.parametrize("value", _ODD_SAMPLES, ids=lambda v: ascii(v)[:20])
def test_a_report_with_an_odd_sample_is_not_used(monkeypatch, field, value):
    # Guards against an engine that is polled no more, or looks idle, after it
    # has sent one number that can't be read.
    reply = http_get.Reply(200, _REPORT + b"engine:%b %b\n" % (field, value))
    monkeypatch.setattr(http_get, "fetch", lambda *args, **fields: reply)
    with pytest.raises(errors.EndpointError):
        engine.EngineKind().poll(ids.EndpointId("10.0.0.1:80"), 1.0)


@pytest.mark.parametrize("value", _ODD_SAMPLES[:-2], ids=lambda v: v[:9])
def test_an_odd_sample_that_is_not_used_does_no_harm(value):
    text = (_REPORT + b"engine:other %b\n" % value).decode()
    report = engine.parse_report(text, 0.0)
    assert (report.running, report.waiting) == (12, 34)


@pytest.mark.parametrize("error", [ValueError, OverflowError, KeyError])
@pytest.mark.parametrize("in_callback", [False, True])
def test_an_endpoint_is_polled_again_after_any_error(error, in_callback):
    # Guards against a task that ends, so that the endpoint keeps its last
    # report for ever.
    polls = []
    polled_again = threading.Event()

    def fail(*_):
        polls.append(None)
        if len(polls) > 2:
            polled_again.set()
        raise error("odd")

    class Kind(engine.EngineKind):
        def poll(self, endpoint, timeout_s):
            return fail() if not in_callback else _ENDPOINT_REPORT

    poller = poller_module.Poller(0.01, fail)
    poller.watch({ids.EndpointId("10.0.0.1:80"): Kind()})
    assert polled_again.wait(10)
    poller.stop()


_ENDPOINT_REPORT = engine.parse_report(_REPORT.decode(), 0.0)


@pytest.mark.parametrize("digits", [10, 4_000, 5_000])
def test_a_count_of_tokens_out_of_range_counts_as_none(digits):
    # Guards against an answer that breaks off at its end.
    tail = b'{"completion_tokens": ' + b"9" * digits + b"}"
    assert engine.EngineKind().tokens_at_end(tail) == 0
