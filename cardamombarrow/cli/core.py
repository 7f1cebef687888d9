"""The command `cardamombarrow`: its subcommands and error messages."""

import argparse
from collections import abc
import os
import pathlib
import sys

from cardamombarrow import __version__
from cardamombarrow.cli import duties
from cardamombarrow.cli import exit_codes
from cardamombarrow.cli import member
from cardamombarrow.cli import operate
from cardamombarrow.cli import report
from cardamombarrow.cli import serve
from cardamombarrow.kernel import errors

__all__ = ["run"]

_NEXT_STEPS = {
    errors.ErrorKind.ENDPOINT_UNREACHED: "Give the URL of a running "
    "control process with --url, or set CARDAMOMBARROW_URLS.",
    errors.ErrorKind.UNAUTHENTICATED: "Give an operator token with --token, "
    "or set CARDAMOMBARROW_TOKEN.",
    errors.ErrorKind.NO_QUORUM: "Check `cardamombarrow status`; when a "
    "majority of the voters is reachable again, resend the edit with the "
    "same --edit-id.",
    errors.ErrorKind.NOT_FOUND: "See `cardamombarrow --help`.",
}


def run(arguments: list[str]) -> int:
    """Parses the arguments and runs the command."""
    parsed = _parser().parse_args(arguments)
    command: abc.Callable[[argparse.Namespace], int] = parsed.command
    try:
        return command(parsed)
    except errors.ConfigError as error:
        for mistake in error.mistakes:
            print(mistake, file=sys.stderr)
        print("Nothing was started or changed.", file=sys.stderr)
        return exit_codes.ExitCode.INVALID
    except errors.RouterError as error:
        print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
        step = _NEXT_STEPS.get(error.kind)
        if step:
            print(step, file=sys.stderr)
        return exit_codes.ExitCode.FAILED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cardamombarrow",
        description="Routes language-model traffic by service levels.",
        epilog="Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid "
        "settings or document, 4 conflict with a newer edit, 5 accepted but "
        "not yet in force everywhere, 6 a service-level target was missed.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_roles(commands)
    _add_config(commands)
    _add_state(commands)
    report.add_parser(commands)
    member.add_parser(commands, _add_access)
    duties.add_parser(commands)
    return parser


def _add_roles(commands: argparse._SubParsersAction) -> None:
    for role, text in (
        ("entry", "run an entry, which serves callers' requests"),
        ("control", "run a control process, which stores document and ledger"),
    ):
        command = commands.add_parser(role, help=text)
        command.add_argument(
            "--settings", type=pathlib.Path, required=True, metavar="FILE"
        )
        command.set_defaults(command=getattr(serve, role))
    check = commands.add_parser("check", help="check settings or a document")
    check.add_argument("--settings", type=pathlib.Path, metavar="FILE")
    check.add_argument("--role", choices=["entry", "control"], default="entry")
    check.add_argument("--document", type=pathlib.Path, metavar="FILE")
    check.set_defaults(command=serve.check)


def _add_access(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--url",
        action="append",
        default=os.environ.get("CARDAMOMBARROW_URLS", "").split(),
        help="administration address of a control process; may be repeated "
        "(default: the variable CARDAMOMBARROW_URLS)",
    )
    command.add_argument(
        "--token",
        default=os.environ.get("CARDAMOMBARROW_TOKEN", ""),
        help="operator token (default: the variable CARDAMOMBARROW_TOKEN)",
    )
    command.add_argument("--ca-file", default="", help="CA of the TLS server")


def _add_config(commands: argparse._SubParsersAction) -> None:
    config = commands.add_parser("config", help="read and edit the document")
    actions = config.add_subparsers(required=True, metavar="ACTION")
    get = actions.add_parser("get", help="print the document")
    _add_access(get)
    get.set_defaults(command=operate.get)
    diff = actions.add_parser("diff", help="compare a file with the document")
    _add_access(diff)
    diff.add_argument("file", type=pathlib.Path)
    diff.set_defaults(command=operate.diff)
    edit = actions.add_parser(
        "edit", help="replace sections by those of a file"
    )
    _add_access(edit)
    edit.add_argument("file", type=pathlib.Path, help="INI file of sections")
    edit.add_argument("--base", type=int, help="revision it was made from")
    edit.add_argument(
        "--edit-id", help="id of the edit; use the same to resend it"
    )
    edit.add_argument("--remove", action="append", default=[], metavar="NAME")
    edit.add_argument("--wait-s", type=float, default=0.0, metavar="SECONDS")
    edit.add_argument("--author", default=os.environ.get("USER", ""))
    edit.set_defaults(command=operate.edit)
    push = actions.add_parser("push", help="replace the whole document")
    _add_access(push)
    push.add_argument(
        "file", type=pathlib.Path, help="INI file with the whole document"
    )
    push.add_argument(
        "--number",
        type=int,
        required=True,
        help="the operator's number; the highest one is in force",
    )
    push.set_defaults(command=operate.push)
    history = actions.add_parser("history", help="print the accepted edits")
    _add_access(history)
    history.set_defaults(command=operate.history)


def _add_state(commands: argparse._SubParsersAction) -> None:
    status = commands.add_parser(
        "status", help="print the state of the log and of each instance"
    )
    _add_access(status)
    status.set_defaults(command=operate.status)
    instance = commands.add_parser(
        "instance", help="print the state of one entry"
    )
    instance.add_argument(
        "address", help="readiness address of the entry, host:port"
    )
    instance.set_defaults(command=operate.instance)
    ledger = commands.add_parser(
        "ledger", help="print the state of an idempotency key"
    )
    _add_access(ledger)
    ledger.add_argument("workspace")
    ledger.add_argument("key")
    ledger.set_defaults(command=operate.ledger)
