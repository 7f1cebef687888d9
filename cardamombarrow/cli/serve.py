"""Commands that run a role or check settings and documents."""

import argparse

from cardamombarrow.control import settings as control_settings
from cardamombarrow.document import parsing
from cardamombarrow.entry import settings as entry_settings
from cardamombarrow.kernel import loading
from cardamombarrow.kernel import settings

__all__ = ["check", "control", "entry"]

_SETTINGS = {
    "entry": entry_settings.EntrySettings,
    "control": control_settings.ControlSettings,
}


def entry(arguments: argparse.Namespace) -> int:
    """Runs an entry."""
    # Imported here, as the control process's modules would take memory in each
    # entry.
    with loading.gc_paused():
        from cardamombarrow.entry import core as entry_core

    path = arguments.settings
    entry_core.run(settings.read(_SETTINGS["entry"], path), path)
    return 0


def control(arguments: argparse.Namespace) -> int:
    """Runs a control process."""
    with loading.gc_paused():
        from cardamombarrow.control import core as control_core

    path = arguments.settings
    control_core.run(settings.read(_SETTINGS["control"], path), path)
    return 0


def check(arguments: argparse.Namespace) -> int:
    """Checks a settings file, a document, or both."""
    if arguments.settings:
        settings.read(_SETTINGS[arguments.role], arguments.settings)
        print(f"{arguments.settings}: valid settings for {arguments.role}")
    if arguments.document:
        parsing.parse(arguments.document.read_text(encoding="utf-8"))
        print(f"{arguments.document}: valid document")
    return 0
