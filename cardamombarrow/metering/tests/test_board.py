"""What a control process gathers."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cardamombarrow.kernel import ids
from cardamombarrow.metering import board as board_module

_DOMAIN = ids.DomainId("north")
_SERVICE = ids.ServiceId("writer")


def _told(source, window, **counts):
    return board_module.SourceCounts(source, window, counts)


@pytest.fixture
def board():
    return board_module.UsageBoard(1 << 40)


def test_a_row_that_comes_twice_counts_once(board):
    for _ in range(2):
        board.put(_told("e1", 7, trails=3), direct=True)
    board.put(_told("e2", 7, trails=1), direct=False)
    assert board.totals() == {7: {"trails": 4}}
    assert board.sources() == {7: 2}


def test_a_restarted_entry_adds_to_what_it_counted_before(board):
    board.put(_told("e1.boot-a", 7, trails=3), direct=True)
    board.put(_told("e1.boot-b", 7, trails=1), direct=True)
    assert board.totals()[7] == {"trails": 4}


@hypothesis.given(
    strategies.lists(strategies.integers(0, 9), min_size=1, max_size=30)
)
def test_rows_in_any_order_give_the_same_totals(seeds):
    # Guards against counts that vanish or come twice as messages overtake
    # each other.
    rows = [
        _told(f"e{seed % 3}", 7, trails=seed, clubs=seed // 2) for seed in seeds
    ]
    totals = []
    for _ in range(2):
        board = board_module.UsageBoard(0)
        random.Random(len(seeds)).shuffle(rows)
        for row in rows + rows[:2]:
            board.put(row, direct=True)
        totals.append(board.totals())
    assert totals[0] == totals[1]


def test_only_what_entries_told_here_is_passed_on(board):
    board.put(_told("e1", 7, trails=3), direct=True)
    board.put(_told("e2", 7, trails=5), direct=False)
    told, number = board.own_since(0)
    assert [row.source for row in told] == ["e1"]
    assert board.own_since(number) == ([], number)
    board.put(_told("e1", 7, trails=4), direct=True)
    assert board.own_since(number)[0][0].counts == {"trails": 4}


def test_old_windows_go(board):
    for window in range(100):
        board.put(_told("e1", window, trails=1), direct=True)
    assert len(board.totals()) == board_module.WINDOWS_KEPT
    board.put(_told("e1", 3, trails=9), direct=True)
    assert 3 not in board.totals()


def test_demand_is_a_rate_and_is_summed_by_domain():
    board = board_module.DemandBoard()
    for now_s, reading_s in ((0.0, 5.0), (2.0, 6.0)):
        board.put("e1", _DOMAIN, _SERVICE, reading_s, 4, now_s)
        board.put("e2", _DOMAIN, _SERVICE, reading_s * 2, 1, now_s)
    demand = board.all(2.0)
    assert demand == [board_module.Demand(_DOMAIN, _SERVICE, 1.5, 5)]


def test_an_entry_that_restarts_asks_for_nothing_at_first():
    board = board_module.DemandBoard()
    board.put("e1", _DOMAIN, _SERVICE, 50.0, 4, 0.0)
    board.put("e1", _DOMAIN, _SERVICE, 1.0, 4, 1.0)
    assert board.all(1.0)[0].reading == 0.0


def test_demand_of_the_silent_is_forgotten():
    board = board_module.DemandBoard()
    board.put("e1", _DOMAIN, _SERVICE, 1.0, 4, 0.0)
    board.put_others("c2", [board_module.Demand(_DOMAIN, _SERVICE, 2, 3)], 0.0)
    assert board.all(1.0)[0].running == 7
    assert board.all(board_module.DEMAND_LIFE_S + 0.1) == []
