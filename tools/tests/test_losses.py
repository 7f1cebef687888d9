"""The table of what a day lost."""

import pytest

from tools import losses


def _report(worth, price):
    return {
        "G": worth,
        "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.4]],
        "prices": [["machines", 10.0, price], ["odds", 1.0, 0.0001]],
    }


def test_the_rows_add_up_to_what_was_lost():
    rows = losses.losses(_report(0.70, 0.05))
    assert rows["whole day (0.7 of a day)"] == pytest.approx(0.07)
    assert sum(rows.values()) == pytest.approx(0.30)


def test_the_table_has_means_and_names_the_greatest():
    lines = losses.table([_report(0.70, 0.04), _report(0.68, 0.06)])
    assert "| machines | 0.0500 | 0.0600 |" in lines
    assert lines[-1] == "| sum (worth 0.6900) | 0.3100 | |"
    assert not any("odds" in line for line in lines)
    shown = [float(line.split("|")[2]) for line in lines[2:-1]]
    assert sum(shown) == pytest.approx(0.31, abs=0.0005)
