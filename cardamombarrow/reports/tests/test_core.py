"""Attainment reports: which answers count as in target."""

import io
import json

import pytest

from cardamombarrow.cli import core as cli
from cardamombarrow.cli import exit_codes
from cardamombarrow.reports import core


def _settle(outcome="done", first_token_s=0.5, tokens=10):
    return {
        "event": "decision",
        "decision": "settle",
        "class_id": "marshal-question",
        "workspace": "race-control",
        "outcome": outcome,
        "tokens": tokens,
        "first_token_s": first_token_s,
        "target_first_token_s": 0.92,
    }


def _refuse():
    return {**_settle(), "decision": "refuse", "kind": "overloaded"}


def _report(*raw):
    text = "\n".join(json.dumps(item) for item in raw)
    found = core.collect(
        core.parse_decisions(core.read_decisions([io.StringIO(text)]))
    )
    return found["marshal-question"]


@pytest.mark.parametrize(
    ("raw", "share"),
    [
        ([_settle()], 1.0),
        ([_settle(), _settle(first_token_s=1.0)], 0.5),
        ([_settle(), _settle(outcome="crashed")], 0.5),
        ([_settle(), _refuse()], 0.5),
    ],
)
def test_only_complete_answers_in_time_count_as_attained(raw, share):
    assert _report(*raw).attainment_share == share


def test_tokens_of_incomplete_answers_are_wasted():
    report = _report(_settle(tokens=10), _settle("stalled", tokens=4))
    assert (report.useful_tokens, report.wasted_tokens) == (10, 4)


def test_a_truncated_last_line_is_skipped():
    # A process is killed while it writes a line; the report must still work.
    text = json.dumps(_settle()) + "\n" + json.dumps(_settle())[:40]
    assert len(list(core.read_decisions([io.StringIO(text)]))) == 1


def test_a_missed_target_sets_the_exit_code(tmp_path, kandula_text, capsys):
    document, log = tmp_path / "document.ini", tmp_path / "entry.log"
    document.write_text(kandula_text)
    log.write_text(json.dumps(_settle(first_token_s=2.0)) + "\n")
    code = cli.run(["report", "--document", str(document), str(log)])
    assert code == exit_codes.ExitCode.TARGET_MISSED
    assert "NO" in capsys.readouterr().out
