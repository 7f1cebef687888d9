"""Delegates of several domains share one endpoint's rate limit.

The load is streams at several times the limit of an endpoint that looks idle,
while other endpoints have free slots.
"""

import itertools

import pytest

from benchmarks import rate_limits


@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 1.0, 1.2, 5.0])
@pytest.mark.parametrize("domains", [1, 3, 6, 11])
@pytest.mark.parametrize("seed", [1, 2])
def test_delegates_of_all_domains_together_comply_with_a_limit(
    domains, limit_per_s, seed
):
    # Guards against placement by cost alone on a rate-limited endpoint.
    load = rate_limits.Load(domains, 4 * domains, limit_per_s)
    simulation = rate_limits.Simulation(load, seed).run()
    assert simulation.max_in_window() <= rate_limits.allowed_requests(
        limit_per_s
    )


@pytest.mark.parametrize(
    ("domains", "limit_per_s"),
    [*itertools.product((3, 6, 11), (0.0, 0.4, 1.0, 3.0)), (3, 20.0)],
)
def test_limits_are_met_when_every_endpoint_has_one(domains, limit_per_s):
    # Guards against limits that are met only while other endpoints are free.
    load = rate_limits.Load(
        domains, 0, limit_per_s, 2 * domains, 4.0 * limit_per_s * domains + 5.0
    )
    simulation = rate_limits.Simulation(load, 1).run()
    assert simulation.max_in_window() <= rate_limits.allowed_requests(
        limit_per_s
    )


def test_most_of_a_limit_is_used_when_every_endpoint_has_one():
    # Guards against compliance by sending nothing.
    load = rate_limits.Load(3, 0, 2.0, 12, 30.0)
    simulation = rate_limits.Simulation(load, 1).run()
    limited_s = rate_limits.END_S - rate_limits.STATED_FROM_S
    assert simulation.sent >= 0.6 * load.limit_per_s * load.limited * limited_s
