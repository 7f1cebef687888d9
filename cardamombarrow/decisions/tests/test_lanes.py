"""Which endpoints are kept for short requests."""

import pytest

from cardamombarrow.decisions import lanes


def _places(**counts):
    return [
        (domain, f"{domain}-{number}:80#i-{number}")
        for domain, count in counts.items()
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("counts", "quiet"),
    [
        ({}, 0),
        ({"a": 1}, 0),
        ({"a": 1, "b": 1}, 1),
        ({"a": 2, "b": 1, "c": 2}, 2),
        ({"a": 15, "b": 15, "c": 15}, 16),
    ],
)
def test_a_part_of_the_endpoints_is_quiet(counts, quiet):
    assert len(lanes.quiet_endpoints(_places(**counts))) == quiet


def test_instances_agree_in_whatever_order_they_hear_of_endpoints():
    places = _places(a=4, b=3, c=5)
    quiet = lanes.quiet_endpoints(places)
    assert lanes.quiet_endpoints(reversed(places)) == quiet


def test_each_domain_with_several_gets_one_before_any_gets_two():
    quiet = lanes.quiet_endpoints(_places(a=2, b=1, c=2))
    assert {endpoint[0] for endpoint in quiet} == {"a", "c"}


def test_the_loss_of_an_endpoint_moves_few_others():
    places = _places(a=5, b=5, c=5)
    quiet = lanes.quiet_endpoints(places)
    for lost in range(len(places)):
        left = places[:lost] + places[lost + 1 :]
        assert len(lanes.quiet_endpoints(left) - quiet) <= 1
