"""The command line: exit codes and error messages."""

import pytest

from cardamombarrow.cli import core
from cardamombarrow.cli import exit_codes
from tools import deployment


def test_a_valid_document_passes_the_check(tmp_path, kandula_text, capsys):
    path = tmp_path / "document.ini"
    path.write_text(kandula_text)
    assert core.run(["check", "--document", str(path)]) == 0
    assert "valid document" in capsys.readouterr().out


def test_mistakes_of_a_document_are_reported_by_line(tmp_path, capsys):
    path = tmp_path / "document.ini"
    path.write_text("[tier:gold]\nrank = first\n")
    code = core.run(["check", "--document", str(path)])
    assert code == exit_codes.ExitCode.INVALID
    assert "line 2: [tier:gold] rank" in capsys.readouterr().err


def test_a_missing_settings_file_is_reported(tmp_path, capsys):
    path = tmp_path / "none.ini"
    code = core.run(["entry", "--settings", str(path)])
    assert code == exit_codes.ExitCode.INVALID
    assert "cannot be read" in capsys.readouterr().err


def test_an_unreachable_control_process_suggests_the_next_step(capsys):
    port = deployment.free_ports(1)[0]
    url = f"http://127.0.0.1:{port}"
    code = core.run(["status", "--url", url, "--token", "x"])
    assert code == exit_codes.ExitCode.FAILED
    assert "CARDAMOMBARROW_URLS" in capsys.readouterr().err


@pytest.mark.parametrize("arguments", [["--help"], ["config", "--help"]])
def test_help_is_stable(arguments, capsys, snapshot, monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    with pytest.raises(SystemExit):
        core.run(arguments)
    assert capsys.readouterr().out == snapshot
