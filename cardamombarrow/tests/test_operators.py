"""Operators who race, resend and overstep, with real processes."""

import json
import os
import subprocess
import sys

import pytest

pytestmark = pytest.mark.process


def _edit(kandula, folder, text, *more, token="sales-token"):
    path = folder / "edit.ini"
    path.write_text(text)
    command = (sys.executable, "-m", "cardamombarrow", "config", "edit")
    return subprocess.run(
        [*command, str(path), *more],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "CARDAMOMBARROW_URLS": " ".join(kandula.controls.values()),
            "CARDAMOMBARROW_TOKEN": token,
        },
    )


def test_of_two_edits_from_one_revision_one_wins(kandula, tmp_path):
    # Two operators look at the same revision and both change one section.
    # The slower one must be told, and shown the text that won; if both were
    # accepted the first one's promise to a customer would be lost silently.
    base = ("--base", "1")
    first = _edit(
        kandula, tmp_path, "[tier:digest]\nrank = 2\nreserved_share=0.2", *base
    )
    second = _edit(
        kandula, tmp_path, "[tier:digest]\nrank = 2\nreserved_share=0.3", *base
    )
    assert first.returncode == 0, first.stderr
    assert second.returncode == 4
    conflicts = json.loads(second.stdout)["conflicts"]
    assert "reserved_share=0.2" in conflicts["tier:digest"]


def test_a_resent_edit_gets_the_first_answer(kandula, tmp_path):
    # The answer to an edit is lost and the operator sends it again. Done
    # twice it would count as a second change, or conflict with itself.
    text = "[tier:desk]\nrank = 1\nreserved_share = 0.15\n"
    more = ("--base", "1", "--edit-id", "edit-1")
    first, again = (_edit(kandula, tmp_path, text, *more) for _ in range(2))
    assert first.returncode == again.returncode == 0
    assert json.loads(first.stdout) == json.loads(again.stdout)


def test_a_team_cannot_edit_another_teams_sections(kandula, tmp_path):
    result = _edit(kandula, tmp_path, "[policies]\nchoice = round-robin\n")
    assert result.returncode == 3
    assert "sales may not edit [policies]" in result.stdout


def test_an_invalid_edit_is_told_and_changes_nothing(kandula, tmp_path):
    result = _edit(kandula, tmp_path, "[class:runner-question]\ntier = x\n")
    assert result.returncode == 3
    assert "required key is missing" in result.stdout


def _config(kandula, *arguments, token="operations-token"):
    command = (sys.executable, "-m", "cardamombarrow", "config")
    return subprocess.run(
        [*command, *arguments],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "CARDAMOMBARROW_URLS": " ".join(kandula.controls.values()),
            "CARDAMOMBARROW_TOKEN": token,
        },
    )


def test_a_whole_document_is_pushed_once_whatever_the_order(kandula, tmp_path):
    # An operator keeps the whole document elsewhere and loses answers; the
    # same file comes again, and an older one late. The highest number holds.
    path = tmp_path / "document.ini"
    whole = _config(kandula, "get").stdout
    statuses = []
    for number in (7, 7, 5):
        path.write_text(f"# number {number}\n{whole}")
        pushed = _config(kandula, "push", str(path), "--number", str(number))
        assert pushed.returncode == 0, pushed.stderr
        statuses.append(json.loads(pushed.stdout)["status"])
    assert statuses == ["accepted", "kept", "kept"]
    assert _config(kandula, "get").stdout.startswith("# number 7\n")


def test_a_team_without_all_rights_cannot_push(kandula, tmp_path):
    path = tmp_path / "document.ini"
    path.write_text(_config(kandula, "get").stdout)
    arguments = ("push", str(path), "--number", "99")
    pushed = _config(kandula, *arguments, token="sales-token")
    assert pushed.returncode == 1
    assert "forbidden" in pushed.stderr
