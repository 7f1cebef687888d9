"""Partition of endpoints into short-request and long-prompt ones."""

import pytest

from cardamombarrow.decisions.choosing import length_partition


def _endpoints(**counts):
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
def test_size_of_the_short_request_partition(counts, quiet):
    assert (
        len(length_partition.short_request_endpoints(_endpoints(**counts)))
        == quiet
    )


def test_partition_is_independent_of_the_endpoint_order():
    endpoints = _endpoints(a=4, b=3, c=5)
    short_request = length_partition.short_request_endpoints(endpoints)
    assert (
        length_partition.short_request_endpoints(reversed(endpoints))
        == short_request
    )


def test_each_domain_with_several_endpoints_gets_one_first():
    short_request = length_partition.short_request_endpoints(
        _endpoints(a=2, b=1, c=2)
    )
    assert {endpoint[0] for endpoint in short_request} == {"a", "c"}


def test_loss_of_an_endpoint_moves_few_others():
    endpoints = _endpoints(a=5, b=5, c=5)
    short_request = length_partition.short_request_endpoints(endpoints)
    for lost in range(len(endpoints)):
        remaining = endpoints[:lost] + endpoints[lost + 1 :]
        assert (
            len(
                length_partition.short_request_endpoints(remaining)
                - short_request
            )
            <= 1
        )
