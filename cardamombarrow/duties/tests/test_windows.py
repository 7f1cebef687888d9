"""Tests of the schedule of usage reports."""

from cardamombarrow.duties import machine
from cardamombarrow.duties import windows
from cardamombarrow.kernel import ids

_TIMES = windows.UsageSchedule(5.0, 10.0)


def _committed(*numbers):
    state = machine.DutiesState()
    holder = state.take(ids.InstanceId("a"))
    for number in numbers:
        state.commit(number, {}, holder)
    return state


def test_a_window_waits_for_late_counts():
    state = _committed()
    assert windows.due_windows(state, 10, 59.9, _TIMES) == []
    assert windows.due_windows(state, 10, 60.0, _TIMES) == [10]


def test_a_new_holder_reports_missing_windows():
    state = _committed(10, 12)
    assert windows.due_windows(state, 10, 76.0, _TIMES) == [11, 13]


def test_old_windows_are_not_reported():
    due = windows.due_windows(_committed(), 10, 5_000.0, _TIMES)
    assert len(due) == windows.MAX_CATCH_UP


def test_a_report_that_was_not_taken_stays_open():
    state = _committed(10, 11)
    state.settle(10)
    assert windows.open_windows(state) == [11]
