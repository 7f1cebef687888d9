"""``cardamombarrow usage`` and ``capacity``: work of the duties' holder."""

import argparse
from collections import abc
import json
import typing

from cardamombarrow.cli import instance_report

__all__ = ["add_parser"]

TIMEOUT_S = 3.0


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Adds both commands to the parser."""
    for name, text, show in (
        ("usage", "print the usage reports by window", _usage_lines),
        ("capacity", "print the orders of endpoints", _capacity_lines),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument(
            "address", help="metrics address of a control process, host:port"
        )
        command.add_argument("--json", action="store_true", help="print JSON")
        command.set_defaults(command=_run, show=show)


def _run(arguments: argparse.Namespace) -> int:
    duties = instance_report.fetch(
        f"http://{arguments.address}/duties",
        TIMEOUT_S,
        f"{arguments.address} is not the metrics address of a control process",
    )
    if arguments.json:
        print(json.dumps(duties, indent=2))
        return 0
    print(f"holder {duties['holder'] or 'nobody'}, token {duties['fencing']}")
    for line in arguments.show(duties):
        print(line)
    return 0


def _usage_lines(duties: dict[str, typing.Any]) -> abc.Iterator[str]:
    yield f"{'window':>12}{'requests':>10}{'workspaces':>12}{'token':>7}  taken"
    for report in duties["reports"]:
        taken = "yes" if report["taken"] else "NO"
        yield (
            f"{report['window']:>12}{report['requests']:>10}"
            f"{len(report['counts']):>12}{report['fencing']:>7}  {taken}"
        )


def _capacity_lines(duties: dict[str, typing.Any]) -> abc.Iterator[str]:
    if not duties["orders"]:
        yield "no orders in this process; try the holder"
        return
    yield f"{'service':<20}{'domain':<20}{'kind':<9}{'count':>6}  outcome"
    for order in duties["orders"]:
        kind = "spot" if order["spot"] else "regular"
        yield (
            f"{order['service']:<20}{order['domain']:<20}{kind:<9}"
            f"{order['count']:>6}  {order['outcome']}"
        )
