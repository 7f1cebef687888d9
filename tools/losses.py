"""Where the worth of played days is lost: a table whose rows add up.

Reads reports of days that the users' program wrote (`--report`), and prints a
Markdown table: what each part of the worth and each price took, the mean and
the greatest over the reports. The rows add up to one less the mean worth.

Example:
    python -m tools.losses reports/*.json
"""

import argparse
import collections
from collections import abc
import json
import pathlib
import statistics
import sys
import typing

__all__ = ["losses", "main", "table"]

LEAST = 0.0005
"""A row whose mean is below this is added to the last one."""

REST = "all else"

Report = dict[str, typing.Any]


def losses(report: Report) -> dict[str, float]:
    """Returns what each row of one day took; they add up to 1 - worth."""
    rows = {
        f"{name} ({weight:g} of a day)": weight * (1.0 - value)
        for name, weight, value in report["parts"]
    }
    for name, _, cost in report["prices"]:
        rows[name] = rows.get(name, 0.0) + cost
    # A price on more worth than there was is cut off at none.
    rows[REST] = 1.0 - report["G"] - sum(rows.values())
    return rows


def table(reports: abc.Sequence[Report]) -> list[str]:
    """Returns the lines of the table of some days, the largest row first."""
    found: dict[str, list[float]] = collections.defaultdict(list)
    for report in reports:
        for name, loss in losses(report).items():
            found[name].append(loss)
    means = {
        name: sum(values) / len(reports)
        for name, values in found.items()
        if name != REST
    }
    small = [name for name, mean in means.items() if abs(mean) < LEAST]
    rest = sum(found[REST]) / len(reports)
    rest += sum(means.pop(name) for name in small)
    lines = ["| loss | mean | greatest |", "| --- | --- | --- |"]
    for name, mean in sorted(means.items(), key=lambda item: -item[1]):
        lines.append(f"| {name} | {mean:.4f} | {max(found[name]):.4f} |")
    lines.append(f"| {REST} | {rest:.4f} | |")
    worth = statistics.mean(report["G"] for report in reports)
    lines.append(f"| sum (worth {worth:.4f}) | {1.0 - worth:.4f} | |")
    return lines


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Prints the table of the reports that are named."""
    parser = argparse.ArgumentParser(description="Where worth is lost.")
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    paths = parser.parse_args(arguments).reports
    print(*table([json.loads(path.read_text()) for path in paths]), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
