"""Requests from caller to engine and edits, with real processes."""

import subprocess
import sys

import pytest

from tools import caller

pytestmark = pytest.mark.process


@pytest.mark.parametrize("stream", [False, True])
def test_completion_returns_complete_answer(kandula, stream):
    answer = caller.complete(
        kandula.entries["entry-1"],
        "race-control",
        model="trail-7b",
        stream=stream,
        tokens=7,
    )
    assert answer.status == 200
    words = caller.answer_content(answer).split()
    assert [word.split("-")[1] for word in words] == list("0123456")
    if stream:
        assert answer.body.endswith(b"data: [DONE]\n\n")


def test_resent_unrepeatable_call_gets_the_same_answer(kandula):
    # A client loses the answer to an unrepeatable call and sends it again
    # through another entry. The call must run only once.
    first, resent = (
        caller.service(
            kandula.entries[entry],
            "groomers-north",
            "trail-desk/sign-off",
            body=b"pass 7",
            key="pass-7",
        )
        for entry in ("entry-1", "entry-3")
    )
    assert first.status == resent.status == 200
    assert first.body == resent.body


def test_unrepeatable_call_without_a_key_is_refused(kandula):
    answer = caller.service(
        kandula.entries["entry-1"], "groomers-north", "trail-desk/sign-off"
    )
    assert answer.status == 400
    assert answer.error["code"] == "idempotency_key_required"
    assert answer.error["not_run"] is True


def test_edit_takes_effect_at_every_entry(kandula, tmp_path):
    edit = tmp_path / "edit.ini"
    edit.write_text("[tier:race]\nrank = 0\nreserved_share = 0.2\n")
    command = [
        *(sys.executable, "-m", "cardamombarrow", "config", "edit"),
        *(str(edit), "--url", kandula.controls["control-1"]),
        *("--token", "sales-token", "--wait-s", "10"),
    ]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    assert "in force at 4 instances" in result.stderr


def test_unknown_key_is_refused(kandula):
    answer = caller.complete(
        kandula.entries["entry-1"], "nobody", model="trail-7b"
    )
    assert answer.status == 401
    assert answer.error["code"] == "unauthenticated"
