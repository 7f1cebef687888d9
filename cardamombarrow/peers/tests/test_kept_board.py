"""What entries tell each other of engines' caches, by way of control."""

import random

import pytest

from cardamombarrow.peers import control_pb2
from cardamombarrow.peers import kept_board


@pytest.fixture
def board():
    return kept_board.KeptBoard(random.Random(1))


def _parts(endpoint, *parts, age_ms=0):
    return control_pb2.KeptParts(endpoint=endpoint, parts=parts, age_ms=age_ms)


def test_each_entry_hears_once_what_the_others_told(board):
    board.put([_parts(7, 1, 2)], "entry-1", 0.0)
    told, number = board.since(0, "entry-2", 0.5)
    assert [(each.endpoint, list(each.parts)) for each in told] == [(7, [1, 2])]
    assert board.since(number, "entry-2", 0.6)[0] == []
    assert board.since(0, "entry-1", 0.6)[0] == []


def test_what_is_passed_on_keeps_growing_older(board):
    # An entry that took it for new would send requests for it to an engine
    # that has dropped the part since.
    board.put([_parts(7, 1, age_ms=400)], "entry-1", 0.0)
    ((told,), _) = board.since(0, "entry-2", 2.0)
    assert told.age_ms == 2_400


def test_control_processes_do_not_send_it_round_and_round(board):
    board.put([_parts(7, 1)], "entry-1", 0.0)
    board.put([_parts(8, 2)], "", 0.1)
    told, number = board.own_since(0, 0.2)
    assert [each.endpoint for each in told] == [7]
    board.put([_parts(9, 3)], "", 0.3)
    assert board.own_since(number, 0.4)[0] == []
    heard = board.since(0, "entry-2", 0.4)[0]
    assert {each.endpoint for each in heard} == {7, 8, 9}


def test_a_number_of_another_process_gets_all_that_is_held(board):
    # The control process has restarted, or the entry follows another one.
    # By the old number the entry would hear nothing, for good.
    board.put([_parts(7, 1)], "entry-1", 0.0)
    other = kept_board.KeptBoard(random.Random(2))
    other.put([_parts(1, 1)], "entry-3", 0.0)
    _, number = other.since(0, "entry-2", 0.1)
    assert len(board.since(number, "entry-2", 0.1)[0]) == 1


def test_what_is_held_and_told_is_bounded(board):
    # Nobody asks for a while, and a busy domain goes on telling.
    for step in range(2 * kept_board.GROUPS):
        board.put([_parts(step, *range(10))], "entry-1", 0.0)
    told, _ = board.since(0, "entry-2", 0.1)
    count = sum(len(each.parts) for each in told)
    assert count <= kept_board.PARTS_TOLD + 10
    assert told[0].endpoint == 2 * kept_board.GROUPS - 1
    assert board.since(0, "entry-2", kept_board.LIFE_S + 0.1)[0] == []
