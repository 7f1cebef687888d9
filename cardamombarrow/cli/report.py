"""`cardamombarrow report`: attained service levels, from entries' logs."""

import argparse
from collections import abc
import contextlib
import pathlib
import sys

from cardamombarrow.cli import exit_codes
from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.kernel import ids
from cardamombarrow.reports import core

__all__ = ["add_parser", "report"]


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Adds the command to the parser."""
    command = commands.add_parser(
        "report", help="compute attained service levels from entries' logs"
    )
    command.add_argument("log", type=pathlib.Path, nargs="*", metavar="LOG")
    command.add_argument(
        "--document",
        type=pathlib.Path,
        metavar="FILE",
        help="document with the targets to compare with; without it only the "
        "measured values are shown",
    )
    command.set_defaults(command=report)


def report(arguments: argparse.Namespace) -> int:
    """Prints a row per class; fails if a class missed its target."""
    with contextlib.ExitStack() as stack:
        files = [
            stack.enter_context(path.open(encoding="utf-8", errors="replace"))
            for path in arguments.log
        ] or [sys.stdin]
        reports = core.collect(core.parse_decisions(core.read_decisions(files)))
    classes: dict[ids.ClassId, schema.RequestClass] = {}
    if arguments.document:
        text = arguments.document.read_text(encoding="utf-8")
        classes = parsing.parse(text).classes
    for line in _table(reports, classes):
        print(line)
    missed = [
        class_id
        for class_id, item in reports.items()
        if class_id in classes and not item.met(classes[class_id])
    ]
    return exit_codes.ExitCode.TARGET_MISSED if missed else 0


def _table(
    reports: dict[ids.ClassId, core.ClassReport],
    classes: dict[ids.ClassId, schema.RequestClass],
) -> abc.Iterator[str]:
    yield (
        f"{'class':<20}{'answered':>9}{'whole':>8}{'refused':>8}"
        f"{'in target':>10}{'sold':>7}{'kept':>6}{'p95 ms':>8}"
        f"{'useful':>9}{'wasted':>8}"
    )
    for class_id, item in sorted(reports.items()):
        targets = classes.get(class_id)
        share = item.attainment_share or 0.0
        yield (
            f"{class_id:<20}{item.answered:>9}{item.ended['done']:>8}"
            f"{item.refused.total():>8}{share:>10.2%}"
            f"{targets.attainment_share if targets else '-':>7}"
            f"{('yes' if item.met(targets) else 'NO') if targets else '-':>6}"
            f"{item.first_token_ms.get_value_at_percentile(95):>8}"
            f"{item.useful_tokens:>9}{item.wasted_tokens:>8}"
        )
