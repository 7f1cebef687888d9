"""Selection of the placer by the entries of a domain."""

import pytest

from cardamombarrow.placing import ranking as ranking_module

_MEMBERS = [f"entry-{number}" for number in range(12)]


def _order(members=_MEMBERS):
    order = ranking_module.PlacerRanking()
    order.set_members(members)
    return order


def test_entries_with_the_same_members_ask_the_same_placer():
    shuffled = [_order(sorted(_MEMBERS, key=hash)) for _ in range(3)]
    assert len({each.first(0.0) for each in shuffled}) == 1


def test_a_single_member_decides_by_itself():
    assert _order(["entry-1"]).first(0.0) is None


def test_while_the_first_is_avoided_all_ask_the_same_second():
    # The placer crashes in a burst. If the entries used many other placers,
    # each would see only a part of the placements, as without a placer.
    seconds = set()
    for _ in range(3):
        order = _order()
        order.failed(order.first(0.0), 0.0)
        seconds.add(order.first(0.5))
    assert len(seconds) == 1


def test_pauses_double_and_end():
    # A frozen instance accepts connections but never answers. If it were
    # retried each second, every entry would repeatedly spend a second without
    # a placer.
    order = _order()
    first = order.first(0.0)
    now_s = 0.0
    pauses_s = []
    for _ in range(7):
        order.failed(first, now_s)
        failed_s = now_s
        while order.first(now_s) != first:
            now_s += 0.25
        pauses_s.append(now_s - failed_s)
    assert pauses_s[0] == ranking_module.PAUSE_FIRST_S
    assert pauses_s[:4] == [1.0, 2.0, 4.0, 8.0]
    assert max(pauses_s) == ranking_module.PAUSE_MOST_S
    order.answered(first)
    order.failed(first, now_s)
    assert order.first(now_s + ranking_module.PAUSE_FIRST_S) == first


def test_no_placer_is_selected_after_all_have_failed():
    order = _order(_MEMBERS[:3])
    for _ in range(3):
        order.failed(order.first(0.0), 0.0)
    assert order.first(0.0) is None
    assert order.first(ranking_module.PAUSE_FIRST_S) is not None


def test_the_pause_of_a_removed_member_is_dropped():
    order = _order()
    first = order.first(0.0)
    order.failed(first, 0.0)
    order.set_members([each for each in _MEMBERS if each != first])
    order.set_members(_MEMBERS)
    assert order.first(0.0) == first


@pytest.mark.parametrize("gone", _MEMBERS[:4])
def test_only_the_departure_of_the_placer_changes_the_placer(gone):
    before = _order().first(0.0)
    after = _order([each for each in _MEMBERS if each != gone]).first(0.0)
    assert (after == before) is (gone != before)
