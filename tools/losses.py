"""Breaks down the score lost in simulated days.

Reads the reports that the users' simulator wrote (`--report`) and prints a
Markdown table of the score lost through each part and each price: the mean and
the maximum over the reports. The rows add up to one minus the mean score.

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

MIN_SHOWN = 0.0005
"""Rows with a smaller mean are added to the last row."""

OTHER = "everything else"

Report = dict[str, typing.Any]


def losses(report: Report) -> dict[str, float]:
    """Returns the loss of each row of one day; they add up to 1 - score."""
    rows = {
        f"{name} ({weight:g} of a day)": weight * (1.0 - value)
        for name, weight, value in report["parts"]
    }
    for name, _, cost in report["prices"]:
        rows[name] = rows.get(name, 0.0) + cost
    # The score is limited to 0 when the prices exceed it.
    rows[OTHER] = 1.0 - report["G"] - sum(rows.values())
    return rows


def table(reports: abc.Sequence[Report]) -> list[str]:
    """Returns the lines of the table of several days, largest loss first."""
    losses_by_row: dict[str, list[float]] = collections.defaultdict(list)
    for report in reports:
        for name, loss in losses(report).items():
            losses_by_row[name].append(loss)
    means = {
        name: sum(values) / len(reports)
        for name, values in losses_by_row.items()
        if name != OTHER
    }
    small = [name for name, mean in means.items() if abs(mean) < MIN_SHOWN]
    other = sum(losses_by_row[OTHER]) / len(reports)
    other += sum(means.pop(name) for name in small)
    lines = ["| loss | mean | maximum |", "| --- | --- | --- |"]
    for name, mean in sorted(means.items(), key=lambda item: -item[1]):
        lines.append(
            f"| {name} | {mean:.4f} | {max(losses_by_row[name]):.4f} |"
        )
    lines.append(f"| {OTHER} | {other:.4f} | |")
    score = statistics.mean(report["G"] for report in reports)
    lines.append(f"| sum (score {score:.4f}) | {1.0 - score:.4f} | |")
    return lines


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Prints the table of the given reports."""
    parser = argparse.ArgumentParser(description="Breaks down the lost score.")
    parser.add_argument("reports", nargs="+", type=pathlib.Path)
    paths = parser.parse_args(arguments).reports
    print(*table([json.loads(path.read_text()) for path in paths]), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
