"""Concurrent, resent and unauthorized edits, with real processes."""

import json
import os
import subprocess
import sys

import pytest

pytestmark = pytest.mark.process


def _edit(kandula, folder, text, *options, token="sales-token"):
    path = folder / "edit.ini"
    path.write_text(text)
    command = (sys.executable, "-m", "cardamombarrow", "config", "edit")
    return subprocess.run(
        [*command, str(path), *options],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "CARDAMOMBARROW_URLS": " ".join(kandula.controls.values()),
            "CARDAMOMBARROW_TOKEN": token,
        },
    )


def test_second_edit_of_a_section_from_one_revision_conflicts(
    kandula, tmp_path
):
    # Two operators start from the same revision and change the same section.
    # The second edit must be refused with the text that was accepted; otherwise
    # the first change would be lost silently.
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


def test_resent_edit_gets_the_first_answer(kandula, tmp_path):
    # The answer to an edit is lost and the operator sends it again. Applied
    # twice, it would count as a second change or conflict with itself.
    text = "[tier:desk]\nrank = 1\nreserved_share = 0.15\n"
    options = ("--base", "1", "--edit-id", "edit-1")
    first, resent = (_edit(kandula, tmp_path, text, *options) for _ in range(2))
    assert first.returncode == resent.returncode == 0
    assert json.loads(first.stdout) == json.loads(resent.stdout)


def test_owner_cannot_edit_another_owners_sections(kandula, tmp_path):
    result = _edit(kandula, tmp_path, "[policies]\nchoice = round-robin\n")
    assert result.returncode == 3
    assert "sales may not edit [policies]" in result.stdout


def test_invalid_edit_is_refused(kandula, tmp_path):
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


def test_document_pushed_with_highest_number_wins(kandula, tmp_path):
    # The same document is pushed again after a lost answer, and an older one
    # arrives late. The document with the highest number must stay.
    path = tmp_path / "document.ini"
    document = _config(kandula, "get").stdout
    statuses = []
    for number in (7, 7, 5):
        path.write_text(f"# number {number}\n{document}")
        pushed = _config(kandula, "push", str(path), "--number", str(number))
        assert pushed.returncode == 0, pushed.stderr
        statuses.append(json.loads(pushed.stdout)["status"])
    assert statuses == ["accepted", "kept", "kept"]
    assert _config(kandula, "get").stdout.startswith("# number 7\n")


def test_owner_without_all_sections_cannot_push(kandula, tmp_path):
    path = tmp_path / "document.ini"
    path.write_text(_config(kandula, "get").stdout)
    arguments = ("push", str(path), "--number", "99")
    pushed = _config(kandula, *arguments, token="sales-token")
    assert pushed.returncode == 1
    assert "forbidden" in pushed.stderr
