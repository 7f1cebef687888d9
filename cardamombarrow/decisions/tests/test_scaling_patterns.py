"""Replays of the worst loads on endpoints that are ordered."""

import pytest

from benchmarks import scaling

_OURS = scaling.SCALERS["target utilisation"]


@pytest.mark.parametrize(
    "pattern",
    ["quiet", "wave", "burst x1.7", "a domain reclaimed", "orders late"],
)
def test_what_a_day_brings_makes_nothing_late(pattern):
    # Guards against savings that callers pay for.
    assert scaling.simulate(_OURS, scaling.PATTERNS[pattern]).late_share == 0.0


def test_a_domain_without_any_to_be_had_makes_nothing_late():
    found = scaling.simulate(_OURS, scaling.PATTERNS["a domain, none anywhere"])
    assert found.late_share == 0.0


@pytest.mark.parametrize("pattern", list(scaling.PATTERNS))
def test_nothing_costs_more_than_what_never_orders(pattern):
    never = scaling.SCALERS["never orders"]
    kept = scaling.simulate(_OURS, scaling.PATTERNS[pattern])
    before = scaling.simulate(never, scaling.PATTERNS[pattern])
    assert kept.price <= before.price


def test_a_trend_drawn_on_is_late_in_a_wave():
    # The way that was not kept fails the same check.
    way = scaling.SCALERS["trend ahead"]
    assert scaling.simulate(way, scaling.PATTERNS["wave"]).late_share > 0.1
