"""Tests of the table of losses."""

import pytest

from tools import losses


def _report(score, price):
    return {
        "G": score,
        "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.4]],
        "prices": [["machines", 10.0, price], ["odds", 1.0, 0.0001]],
    }


def test_rows_add_up_to_the_loss():
    rows = losses.losses(_report(0.70, 0.05))
    assert rows["whole day (0.7 of a day)"] == pytest.approx(0.07)
    assert sum(rows.values()) == pytest.approx(0.30)


def test_table_has_means_and_maxima():
    lines = losses.table([_report(0.70, 0.04), _report(0.68, 0.06)])
    assert "| machines | 0.0500 | 0.0600 |" in lines
    assert lines[-1] == "| sum (score 0.6900) | 0.3100 | |"
    assert not any("odds" in line for line in lines)
    shown = [float(line.split("|")[2]) for line in lines[2:-1]]
    assert sum(shown) == pytest.approx(0.31, abs=0.0005)
