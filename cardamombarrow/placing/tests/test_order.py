"""Whom the entries of a domain ask."""

import pytest

from cardamombarrow.placing import order as order_module

_MEMBERS = [f"entry-{number}" for number in range(12)]


def _order(members=_MEMBERS):
    made = order_module.PlacerOrder()
    made.set_members(members)
    return made


def test_all_who_know_the_same_members_ask_the_same_one():
    shuffled = [_order(sorted(_MEMBERS, key=hash)) for _ in range(3)]
    assert len({each.first(0.0) for each in shuffled}) == 1


def test_a_lone_member_asks_nobody():
    assert _order(["entry-1"]).first(0.0) is None


def test_while_the_first_is_avoided_all_ask_the_same_second():
    # The placer dies in a burst. Scattered over many others, each entry would
    # know its own placements only, as if nobody were asked.
    seconds = set()
    for _ in range(3):
        order = _order()
        order.failed(order.first(0.0), 0.0)
        seconds.add(order.first(0.5))
    assert len(seconds) == 1


def test_pauses_double_and_end():
    # An instance that is frozen for long takes each new connection and
    # answers nothing. Looked at each second, it costs every entry a second
    # without a placer, again and again.
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
    assert pauses_s[0] == order_module.PAUSE_FIRST_S
    assert pauses_s[:4] == [1.0, 2.0, 4.0, 8.0]
    assert max(pauses_s) == order_module.PAUSE_MOST_S
    order.answered(first)
    order.failed(first, now_s)
    assert order.first(now_s + order_module.PAUSE_FIRST_S) == first


def test_where_all_have_failed_nobody_is_asked():
    order = _order(_MEMBERS[:3])
    for _ in range(3):
        order.failed(order.first(0.0), 0.0)
    assert order.first(0.0) is None
    assert order.first(order_module.PAUSE_FIRST_S) is not None


def test_a_member_that_is_gone_is_forgotten():
    order = _order()
    first = order.first(0.0)
    order.failed(first, 0.0)
    order.set_members([each for each in _MEMBERS if each != first])
    order.set_members(_MEMBERS)
    assert order.first(0.0) == first


@pytest.mark.parametrize("gone", _MEMBERS[:4])
def test_a_member_that_leaves_moves_only_those_who_asked_it(gone):
    before = _order().first(0.0)
    after = _order([each for each in _MEMBERS if each != gone]).first(0.0)
    assert (after == before) is (gone != before)
