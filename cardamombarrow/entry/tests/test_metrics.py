"""Metrics of an entry."""

import re

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.entry import metrics
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import left_out


def _job(class_id: str) -> messages.Job:
    return messages.Job(
        request_id=ids.RequestId("r"),
        workspace=ids.WorkspaceId("w"),
        class_id=ids.ClassId(class_id),
        service=ids.ServiceId("s"),
        model=ids.ModelId("m"),
        rank=0,
        arrived_s=0.0,
        target_first_token_s=1.0,
        deadline_s=60.0,
    )


def _samples(text: str) -> dict[str, float]:
    return {
        name: float(value)
        for name, value in re.findall(r"^([^#\s]+) (\S+)$", text, re.M)
    }


def _read(counted: metrics.Metrics) -> dict[str, float]:
    return _samples(counted.text(metrics.Gauges(3, ids.Revision(7))))


def test_latency_and_attainment_are_reported_by_class():
    counted = metrics.Metrics()
    for number in range(1, 101):
        counted.count_answer(_job("question"), number / 50, 4.0, tokens=10)
    seen = _read(counted)
    prefix = "cardamombarrow_"
    quantile = seen[
        prefix + 'first_token_seconds{class="question",quantile="0.95"}'
    ]
    assert quantile == pytest.approx(1.9, rel=0.02)
    labels = '{class="question",target="met"}'
    assert seen[prefix + "requests_total" + labels] == 50
    assert seen[prefix + "goodput_tokens_total"] == 1_000
    assert seen[prefix + "requests_held"] == 3
    assert seen[prefix + "document_revision"] == 7


def test_a_refusal_is_a_missed_target_and_a_bad_request_is_not():
    # If only admitted requests were counted, attainment would be 100 % while
    # half of the sold capacity is refused.
    counted = metrics.Metrics()
    for kind in (
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.BAD_REQUEST,
        errors.ErrorKind.CALLER_GONE,
    ):
        counted.count_error(kind, ids.ClassId("question"))
    seen = _read(counted)
    labels = '{class="question",target="missed"}'
    assert seen["cardamombarrow_requests_total" + labels] == 1
    assert seen['cardamombarrow_errors_total{code="overloaded"}'] == 1
    assert seen['cardamombarrow_errors_total{code="bad_request"}'] == 1


def test_slow_endpoints_are_reported():
    # Machines that are busy with other work would otherwise only show as late
    # first tokens.
    text = metrics.Metrics().text(metrics.Gauges(0, ids.Revision(1), slow=3))
    assert "cardamombarrow_slow_endpoints 3\n" in text


def test_wasted_tokens_are_reported_by_reason():
    counted = metrics.Metrics()
    counted.count_wasted(messages.Outcome.CRASHED, 40)
    counted.count_wasted(messages.Outcome.CRASHED, 2)
    name = 'cardamombarrow_wasted_tokens_total{reason="crashed"}'
    assert _read(counted)[name] == 42


def test_refusals_are_counted_by_check_and_by_less_urgent_starts():
    # An operator must see which check refuses requests regardless of urgency.
    counted = metrics.Metrics()
    check = errors.RefusalCheck.DOCUMENT_UNCONFIRMED
    counted.count_refusal(check, less_urgent_began=True)
    counted.count_refusal(check, less_urgent_began=True)
    counted.count_refusal(check, less_urgent_began=False)
    name = "cardamombarrow_refusals_total"
    labels = 'check="document_unconfirmed"'
    samples = _read(counted)
    assert samples[f'{name}{{{labels},less_urgent="began"}}'] == 2
    assert samples[f'{name}{{{labels},less_urgent="none"}}'] == 1


def test_items_that_are_left_out_are_counted_by_source_and_reason():
    # An operator must see odd entries of a list without reading log lines.
    left_out.record("test", "odd", 2)
    left_out.record("test", "odd")
    name = "cardamombarrow_items_left_out_total"
    assert (
        _read(metrics.Metrics())[f'{name}{{source="test",reason="odd"}}'] == 3
    )
