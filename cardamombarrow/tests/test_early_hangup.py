"""SIGHUP to a process that has just started."""

import subprocess
import sys

import pytest

_PRINT_HANDLER = """
import signal, sys, types
signal.signal(signal.SIGHUP, signal.SIG_DFL)
def run(arguments):
    print(signal.getsignal(signal.SIGHUP).name)
cli = types.ModuleType("cardamombarrow.cli")
cli.core = types.SimpleNamespace(run=run)
sys.modules["cardamombarrow.cli"] = cli
from cardamombarrow import __main__
__main__.main()
"""


@pytest.mark.parametrize(
    ("command", "handler"),
    [("entry", "SIG_IGN"), ("control", "SIG_IGN"), ("check", "SIG_DFL")],
)
def test_hangup_is_ignored_before_the_modules_are_imported(command, handler):
    # Guards against a process that a change of its settings file ends while it
    # starts.
    done = subprocess.run(
        [sys.executable, "-c", _PRINT_HANDLER, command],
        stdout=subprocess.PIPE,
        check=True,
        text=True,
    )
    assert done.stdout.strip() == handler
