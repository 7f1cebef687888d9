"""Reports of engines' caches that control processes relay."""

import random

import pytest

from cardamombarrow.peers.control import cache_announcement_relay
from cardamombarrow.peers.control import control_pb2


@pytest.fixture
def board():
    return cache_announcement_relay.CacheAnnouncementRelay(random.Random(1))


def _parts(endpoint, *parts, age_ms=0):
    return control_pb2.KeptParts(endpoint=endpoint, parts=parts, age_ms=age_ms)


def test_each_entry_gets_reports_of_the_others_once(board):
    board.put([_parts(7, 1, 2)], "entry-1", 0.0)
    reports, number = board.since(0, "entry-2", 0.5)
    assert [(each.endpoint, list(each.parts)) for each in reports] == [
        (7, [1, 2])
    ]
    assert board.since(number, "entry-2", 0.6)[0] == []
    assert board.since(0, "entry-1", 0.6)[0] == []


def test_the_age_of_relayed_reports_increases(board):
    # An entry that considered a report as new would send requests to an
    # engine that has dropped the part since.
    board.put([_parts(7, 1, age_ms=400)], "entry-1", 0.0)
    ((report,), _) = board.since(0, "entry-2", 2.0)
    assert report.age_ms == 2_400


def test_control_processes_do_not_relay_reports_in_circles(board):
    board.put([_parts(7, 1)], "entry-1", 0.0)
    board.put([_parts(8, 2)], "", 0.1)
    reports, number = board.own_since(0, 0.2)
    assert [each.endpoint for each in reports] == [7]
    board.put([_parts(9, 3)], "", 0.3)
    assert board.own_since(number, 0.4)[0] == []
    received = board.since(0, "entry-2", 0.4)[0]
    assert {each.endpoint for each in received} == {7, 8, 9}


def test_a_number_of_another_process_gets_all_reports(board):
    # The control process has restarted, or the entry follows another one. By
    # the old number the entry would never get any reports.
    board.put([_parts(7, 1)], "entry-1", 0.0)
    other = cache_announcement_relay.CacheAnnouncementRelay(random.Random(2))
    other.put([_parts(1, 1)], "entry-3", 0.0)
    _, number = other.since(0, "entry-2", 0.1)
    assert len(board.since(number, "entry-2", 0.1)[0]) == 1


def test_stored_and_returned_reports_are_bounded(board):
    # A busy domain sends reports while nothing requests them.
    for step in range(2 * cache_announcement_relay.MAX_GROUPS):
        board.put([_parts(step, *range(10))], "entry-1", 0.0)
    reports, _ = board.since(0, "entry-2", 0.1)
    count = sum(len(each.parts) for each in reports)
    assert count <= cache_announcement_relay.MAX_PARTS_PER_REPLY + 10
    assert reports[0].endpoint == 2 * cache_announcement_relay.MAX_GROUPS - 1
    assert (
        board.since(0, "entry-2", cache_announcement_relay.REPORT_TTL_S + 0.1)[
            0
        ]
        == []
    )
