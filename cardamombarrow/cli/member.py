"""``cardamombarrow member``: the members of the replicated log."""

import argparse
from collections import abc
import sys

from cardamombarrow.admin import client
from cardamombarrow.log import membership

__all__ = ["add_parser"]

_HELP = {
    membership.ChangeKind.ADD_LEARNER: (
        "add",
        "add a control process as a learner; it catches up, without a vote",
    ),
    membership.ChangeKind.PROMOTE: (
        "promote",
        "make a learner that has caught up a voter",
    ),
    membership.ChangeKind.REMOVE: ("remove", "remove a voter or learner"),
}


def add_parser(
    commands: argparse._SubParsersAction,
    add_access: abc.Callable[[argparse.ArgumentParser], None],
) -> None:
    """Adds the command to the parser."""
    member = commands.add_parser(
        "member", help="list and change the members of the log"
    )
    actions = member.add_subparsers(required=True, metavar="ACTION")
    listing = actions.add_parser(
        "list", help="list voters, learners and applicants"
    )
    add_access(listing)
    listing.set_defaults(command=_list)
    for kind, (name, text) in _HELP.items():
        action = actions.add_parser(name, help=text)
        add_access(action)
        action.add_argument("member", help="instance id, or full identity")
        action.set_defaults(command=_change, kind=kind)


def _client(arguments: argparse.Namespace) -> client.AdminClient:
    return client.AdminClient(arguments.url, arguments.token, arguments.ca_file)


def _list(arguments: argparse.Namespace) -> int:
    log = _client(arguments).get("/v1/status")["log"]
    for role in ("voters", "learners", "applicants"):
        for voter in log[role]:
            mark = "  leader" if voter == log["leader"] else ""
            print(f"{role[:-1]:<10} {voter}{mark}")
    if not log["has_quorum"]:
        print("no quorum: this control process is isolated", file=sys.stderr)
    elif not log["redundant"]:
        print("not redundant: do not lose another voter", file=sys.stderr)
    return 0


def _change(arguments: argparse.Namespace) -> int:
    answer = _client(arguments).change_member(arguments.kind, arguments.member)
    print(f"{answer['status']}: {answer['member']}")
    return 0
