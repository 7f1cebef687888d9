"""Tests of the counts of arrivals at endpoints."""

import itertools

from tools import arrivals

_BOUND = arrivals.RetryBound(share=0.1, slack=2.0, window_s=10.0)


def _arrivals(*times_s, digest="d"):
    return [arrivals.Arrival(at_s, 1, digest) for at_s in times_s]


def test_first_arrival_is_no_retry():
    found = _arrivals(1.0, 2.0, 3.0) + _arrivals(4.0, digest="other")
    assert arrivals.most_excess_retries(found, [], _BOUND) == 0.0


def test_retries_on_both_sides_of_a_fixed_boundary_are_in_one_window():
    found = _arrivals(0.0, 9.0, 9.5, 10.5, 11.0)
    assert arrivals.most_excess_retries(found, [], _BOUND) == 2.0


def test_requests_of_the_window_before_raise_the_bound():
    found = _arrivals(20.0, 20.1, 20.2, 20.3)
    sent_s = [12.0 + 0.1 * n for n in range(10)]
    assert arrivals.most_excess_retries(found, sent_s, _BOUND) == 0.0


def test_only_retries_after_the_contact_time_count():
    found = _arrivals(1.0, 2.0, 3.0, 6.9, 7.1, 8.0)
    late = arrivals.retries_after_crashes(found, "d", 3, 4.0)
    assert [each.at_s for each in late] == [7.1, 8.0]


def test_arrivals_are_read_in_order_of_time(tmp_path):
    path = tmp_path / "arrivals"
    for port in range(3):
        arrivals.append(str(path), port, b"body")
    found = arrivals.read(path)
    assert [each.port for each in found] == [0, 1, 2]
    assert {each.digest for each in found} == {arrivals.body_digest(b"body")}
    assert all(a.at_s <= b.at_s for a, b in itertools.pairwise(found))
