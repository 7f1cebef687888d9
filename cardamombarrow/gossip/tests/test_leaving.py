"""Combining the sources that report an endpoint as leaving."""

from cardamombarrow.gossip import leaving
from cardamombarrow.gossip import rendezvous


def test_a_lagging_list_does_not_restore_a_leaving_endpoint():
    # The endpoint's own report says that it leaves; the platform's list lags
    # and still shows it as live. Requests sent to it would be cut off.
    view = leaving.LeavingView()
    assert view.record("10.0.0.1:8000", "report", True) is True
    assert view.record("10.0.0.1:8000", "list", False) is None
    assert view.leaving() == ["10.0.0.1:8000"]
    assert view.record("10.0.0.1:8000", "report", False) is False
    assert view.leaving() == []


def test_reports_of_a_dead_instance_are_discarded():
    view = leaving.LeavingView()
    view.record("a", "instance entry-2", True)
    view.record("b", "instance entry-2", True)
    view.record("b", "list", True)
    assert view.forget_source("instance entry-2") == ["a"]
    assert view.reported_by(frozenset(("list",))) == ["b"]


def test_every_endpoint_has_two_pollers_and_few_move():
    # If a death replaced both pollers of an endpoint at once, nothing would
    # poll it until the new ones start.
    members = [f"entry-{number}" for number in range(12)]
    endpoints = [f"10.0.0.{number}:8000" for number in range(58)]
    before = {e: set(rendezvous.pollers(e, members)) for e in endpoints}
    after = {e: set(rendezvous.pollers(e, members[1:])) for e in endpoints}
    assert all(len(chosen) == 2 for chosen in before.values())
    assert all(before[e] & after[e] for e in endpoints)
    moved = [e for e in endpoints if before[e] != after[e]]
    assert moved == [e for e in endpoints if "entry-0" in before[e]]
