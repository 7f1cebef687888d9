"""Automatic membership changes by the leader."""

import pytest

from cardamombarrow.log import state as state_module
from cardamombarrow.log.tests import simulation


@pytest.fixture
def cluster(tmp_path):
    membership_policy = state_module.MembershipPolicy(wanted_voters=3)
    cluster = simulation.Cluster(
        tmp_path, ["A", "B", "C"], 7, membership_policy
    )
    assert cluster.run_until(lambda: _names(cluster) == {"A", "B", "C"})
    return cluster


def _names(cluster):
    leader = cluster.leader()
    if leader is None:
        return set()
    voters = leader.runner.core.state.log.membership.voters
    return {voter.address for voter in voters}


def _stop(cluster, name):
    cluster.nodes[name].runner.storage.close()
    cluster.nodes[name].runner = None


@pytest.mark.parametrize("lost", ["A", "B", "C"])
def test_process_at_another_address_replaces_a_lost_one(cluster, lost):
    # A machine is lost for good and an empty one starts at another address,
    # without information about which one it replaces. When this was left to
    # operators, the group had two voters until the next loss and then no
    # majority.
    assert cluster.answers(lost)
    _stop(cluster, lost)
    cluster.run(1.0)
    cluster.add_node("D")
    wanted = {"A", "B", "C", "D"} - {lost}
    assert cluster.run_until(lambda: _names(cluster) == wanted)
    second = cluster.leader().name
    _stop(cluster, second)
    assert cluster.answers("D")


def test_silent_voter_stays_until_it_is_replaced(cluster):
    # A voter is frozen for some time. If it were removed, two voters would
    # remain, and the next loss would leave no majority.
    cut_off = next(n for n in "ABC" if n != cluster.leader().name)
    for other in "ABC":
        cluster.cut(cut_off, other)
    cluster.run(30)
    assert _names(cluster) == {"A", "B", "C"}


def test_removed_voter_is_added_again_when_it_is_back(cluster):
    # There are four voters, and one is isolated until it is removed. Once it is
    # reconnected, no member sends to it, so it must request to join.
    cluster.add_node("D")
    assert cluster.run_until(lambda: _names(cluster) == set("ABCD"))
    cut_off = next(n for n in "ABC" if n != cluster.leader().name)
    for other in "ABCD":
        cluster.cut(cut_off, other)
    assert cluster.run_until(lambda: _names(cluster) == set("ABCD") - {cut_off})
    cluster.heal()
    assert cluster.run_until(lambda: _names(cluster) == set("ABCD"))
    assert cluster.answers(cut_off)


def test_no_more_members_are_added_than_allowed(tmp_path):
    membership_policy = state_module.MembershipPolicy(
        wanted_voters=3, max_members=4
    )
    cluster = simulation.Cluster(
        tmp_path, ["A", "B", "C"], 7, membership_policy
    )
    assert cluster.run_until(lambda: _names(cluster) == set("ABC"))
    for name in "DEF":
        cluster.add_node(name)
    cluster.run(20)
    assert len(_names(cluster)) == 4


def test_without_a_wanted_number_only_operators_change_it(tmp_path):
    cluster = simulation.Cluster(tmp_path, ["A", "B", "C"], 7)
    assert cluster.run_until(lambda: _names(cluster) == set("ABC"))
    cluster.add_node("D")
    cluster.run(20)
    assert _names(cluster) == set("ABC")


def test_enough_voters_stay_for_the_tolerated_losses(tmp_path):
    # Two disks may be lost at once, and two of six voters are unreachable for
    # some time. If voters were removed down to three, the loss of two disks
    # right after would leave no majority, and accepted edits could not be read.
    membership_policy = state_module.MembershipPolicy(wanted_voters=5)
    cluster = simulation.Cluster(tmp_path, list("ABC"), 7, membership_policy)
    for name in "DEF":
        cluster.add_node(name)
    assert cluster.run_until(lambda: _names(cluster) == set("ABCDEF"))
    leader = cluster.leader().name
    for name in [n for n in "ABCDEF" if n != leader][:2]:
        for other in "ABCDEF":
            cluster.cut(name, other)
    cluster.run(30)
    assert len(_names(cluster)) == 5
