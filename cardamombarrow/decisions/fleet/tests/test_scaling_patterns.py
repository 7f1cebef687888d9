"""Tests of autoscaling on simulated load patterns."""

import pytest

from benchmarks import scaling

_OURS = scaling.SCALERS["target utilisation"]


@pytest.mark.parametrize(
    "pattern",
    ["quiet", "wave", "burst x1.7", "a domain reclaimed", "orders late"],
)
def test_usual_patterns_make_nothing_late(pattern):
    # Guards against savings that make requests late.
    assert scaling.simulate(_OURS, scaling.PATTERNS[pattern]).late_share == 0.0


def test_domain_without_spot_endpoints_makes_nothing_late():
    found = scaling.simulate(_OURS, scaling.PATTERNS["a domain, none anywhere"])
    assert found.late_share == 0.0


@pytest.mark.parametrize("pattern", list(scaling.PATTERNS))
def test_cost_is_at_most_that_of_a_static_number(pattern):
    never = scaling.SCALERS["never orders"]
    ours = scaling.simulate(_OURS, scaling.PATTERNS[pattern])
    static = scaling.simulate(never, scaling.PATTERNS[pattern])
    assert ours.price <= static.price


def test_trend_extrapolation_is_late_in_a_wave():
    # The rejected alternative fails the same check.
    way = scaling.SCALERS["trend ahead"]
    assert scaling.simulate(way, scaling.PATTERNS["wave"]).late_share > 0.1
