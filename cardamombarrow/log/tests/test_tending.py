"""The membership when no operator tends it."""

import pytest

from cardamombarrow.log import state as state_module
from cardamombarrow.log.tests import simulation


@pytest.fixture
def cluster(tmp_path):
    tending = state_module.Tending(wanted_voters=3)
    made = simulation.Cluster(tmp_path, ["A", "B", "C"], 7, tending)
    assert made.run_until(lambda: _names(made) == {"A", "B", "C"})
    return made


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
def test_a_process_at_another_address_takes_the_place_of_a_lost_one(
    cluster, lost
):
    # A machine is gone for good and an empty one comes at another address.
    # Nothing tells whom it replaces. Left to an operator, the group went on
    # with two voters until the next loss, and then had no majority.
    assert cluster.answers(lost)
    _stop(cluster, lost)
    cluster.run(1.0)
    cluster.add_node("D")
    wanted = {"A", "B", "C", "D"} - {lost}
    assert cluster.run_until(lambda: _names(cluster) == wanted)
    second = cluster.leader().name
    _stop(cluster, second)
    assert cluster.answers("D")


def test_a_voter_that_is_silent_stays_while_nobody_takes_its_place(cluster):
    # A voter is frozen for a while. Let go, the others would be two, and the
    # next loss would leave no majority.
    away = next(n for n in "ABC" if n != cluster.leader().name)
    for other in "ABC":
        cluster.cut(away, other)
    cluster.run(30)
    assert _names(cluster) == {"A", "B", "C"}


def test_a_voter_that_was_let_go_is_let_in_again_when_it_is_back(cluster):
    # A fourth voter has come, and one is cut off for longer than the others
    # wait for it. Back again, nobody sends to it any more; it must ask.
    cluster.add_node("D")
    assert cluster.run_until(lambda: _names(cluster) == set("ABCD"))
    away = next(n for n in "ABC" if n != cluster.leader().name)
    for other in "ABCD":
        cluster.cut(away, other)
    assert cluster.run_until(lambda: _names(cluster) == set("ABCD") - {away})
    cluster.heal()
    assert cluster.run_until(lambda: _names(cluster) == set("ABCD"))
    assert cluster.answers(away)


def test_no_more_members_are_let_in_than_allowed(tmp_path):
    tending = state_module.Tending(wanted_voters=3, most_members=4)
    cluster = simulation.Cluster(tmp_path, ["A", "B", "C"], 7, tending)
    assert cluster.run_until(lambda: _names(cluster) == set("ABC"))
    for name in "DEF":
        cluster.add_node(name)
    cluster.run(20)
    assert len(_names(cluster)) == 4


def test_without_a_wanted_number_operators_alone_change_it(tmp_path):
    cluster = simulation.Cluster(tmp_path, ["A", "B", "C"], 7)
    assert cluster.run_until(lambda: _names(cluster) == set("ABC"))
    cluster.add_node("D")
    cluster.run(20)
    assert _names(cluster) == set("ABC")


def test_enough_voters_stay_for_the_losses_that_must_be_borne(tmp_path):
    # Two disks may be lost at once, and two of six voters are dark for a
    # while. Were voters let go down to three, the loss of two disks right
    # after would leave no majority, and what was accepted could not be read.
    tending = state_module.Tending(wanted_voters=5)
    cluster = simulation.Cluster(tmp_path, list("ABC"), 7, tending)
    for name in "DEF":
        cluster.add_node(name)
    assert cluster.run_until(lambda: _names(cluster) == set("ABCDEF"))
    leader = cluster.leader().name
    for name in [n for n in "ABCDEF" if n != leader][:2]:
        for other in "ABCDEF":
            cluster.cut(name, other)
    cluster.run(30)
    assert len(_names(cluster)) == 5
