"""``cardamombarrow usage`` and ``capacity``: what one process does for all."""

import argparse
from collections import abc
import json
import typing

from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors

__all__ = ["add_parser"]

TIMEOUT_S = 3.0


def add_parser(commands: argparse._SubParsersAction) -> None:
    """Adds both commands to the parser."""
    for name, text, show in (
        ("usage", "what was metered and reported, by window", _usage_lines),
        ("capacity", "endpoints ordered, at the holder", _capacity_lines),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument(
            "address", help="metrics address of a control process, host:port"
        )
        command.add_argument(
            "--json", action="store_true", help="print JSON, for programs"
        )
        command.set_defaults(command=_print, show=show)


def _print(arguments: argparse.Namespace) -> int:
    found = _fetch(arguments.address)
    if arguments.json:
        print(json.dumps(found, indent=2))
        return 0
    print(f"holder {found['holder'] or 'nobody'}, token {found['fencing']}")
    for line in arguments.show(found):
        print(line)
    return 0


def _fetch(address: str) -> dict[str, typing.Any]:
    """Asks a control process.

    Raises:
        errors.EndpointError: It does not answer as one.
    """
    reply = http_get.fetch(f"http://{address}/duties", timeout_s=TIMEOUT_S)
    try:
        return json.loads(reply.body)
    except ValueError:
        raise errors.EndpointError(
            errors.ErrorKind.ENDPOINT_FAILED,
            f"{address} is no metrics address of a control process",
            sent=True,
        ) from None


def _usage_lines(found: dict[str, typing.Any]) -> abc.Iterator[str]:
    yield f"{'window':>12}{'requests':>10}{'workspaces':>12}{'token':>7}  taken"
    for report in found["reports"]:
        taken = "yes" if report["taken"] else "NO"
        yield (
            f"{report['window']:>12}{report['requests']:>10}"
            f"{len(report['counts']):>12}{report['fencing']:>7}  {taken}"
        )


def _capacity_lines(found: dict[str, typing.Any]) -> abc.Iterator[str]:
    if not found["orders"]:
        yield "no orders known here; ask the holder"
        return
    yield f"{'service':<20}{'domain':<20}{'kind':<9}{'count':>6}  outcome"
    for order in found["orders"]:
        kind = "spot" if order["spot"] else "regular"
        yield (
            f"{order['service']:<20}{order['domain']:<20}{kind:<9}"
            f"{order['count']:>6}  {order['outcome']}"
        )
