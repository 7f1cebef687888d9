"""Commands that call the administration API."""

import argparse
import difflib
import json
import sys
import time
import typing
import uuid

from cardamombarrow.admin import client
from cardamombarrow.cli import exit_codes
from cardamombarrow.cli import instance_report
from cardamombarrow.document import text

__all__ = [
    "diff",
    "edit",
    "get",
    "history",
    "instance",
    "ledger",
    "push",
    "status",
]

WAIT_POLL_S = 0.1
INSTANCE_TIMEOUT_S = 5.0

_NEXT_STEPS = {
    "conflict": "These sections changed after your base revision: apply your "
    "change to the text shown and send it as a new edit.",
    "invalid": "Correct the mistakes and send a new edit.",
    "forbidden": "Only their owner may edit these sections.",
    "id_reused": "This edit id belongs to another edit: omit --edit-id.",
}


def _client(arguments: argparse.Namespace) -> client.AdminClient:
    return client.AdminClient(arguments.url, arguments.token, arguments.ca_file)


def _print(content: typing.Any) -> None:
    print(json.dumps(content, indent=2))


def get(arguments: argparse.Namespace) -> int:
    """Prints the document, with its revision on standard error."""
    answer = _client(arguments).get("/v1/document")
    print(f"revision {answer['revision']}", file=sys.stderr)
    print(answer["text"], end="")
    return 0


def diff(arguments: argparse.Namespace) -> int:
    """Prints how a file differs from the document."""
    answer = _client(arguments).get("/v1/document")
    new = arguments.file.read_text(encoding="utf-8")
    lines = difflib.unified_diff(
        answer["text"].splitlines(keepends=True),
        new.splitlines(keepends=True),
        f"revision {answer['revision']}",
        str(arguments.file),
    )
    sys.stdout.writelines(lines)
    return 0


def edit(arguments: argparse.Namespace) -> int:
    """Replaces sections; with --wait-s, waits until the edit is in force."""
    admin = _client(arguments)
    sections = text.split(arguments.file.read_text(encoding="utf-8"))
    replacements = {
        section.name: "\n".join(section.lines[1:])
        for section in sections
        if section.name
    }
    replacements.update(dict.fromkeys(arguments.remove, ""))
    base = arguments.base
    if base is None:
        base = admin.get("/v1/document", fresh="yes")["revision"]
    edit_id = arguments.edit_id or str(uuid.uuid4())
    # Printed before the edit is sent: if the answer is lost, the operator can
    # resend the edit with this id, and it is not applied twice.
    print(f"edit id {edit_id}", file=sys.stderr)
    answer = admin.edit(
        {
            "edit_id": edit_id,
            "base_revision": base,
            "replacements": replacements,
            "author": arguments.author,
        }
    )
    _print(answer)
    if answer["status"] != "accepted":
        print(_NEXT_STEPS[answer["status"]], file=sys.stderr)
        codes = exit_codes.ExitCode
        return codes.CONFLICT if answer["conflicts"] else codes.INVALID
    if arguments.wait_s:
        return _wait(admin, answer["revision"], arguments.wait_s)
    return 0


def push(arguments: argparse.Namespace) -> int:
    """Replaces the whole document by an edition with the given number."""
    whole = arguments.file.read_text(encoding="utf-8")
    answer = _client(arguments).push(arguments.number, whole)
    _print(answer)
    if answer["status"] == "invalid":
        return exit_codes.ExitCode.INVALID
    return 0


def instance(arguments: argparse.Namespace) -> int:
    """Prints the state of an entry and the age of its data."""
    _print(
        instance_report.fetch(
            f"http://{arguments.address}/v1/instance",
            INSTANCE_TIMEOUT_S,
            f"{arguments.address} is not the readiness address of an entry",
        )
    )
    return 0


def _wait(admin: client.AdminClient, revision: int, wait_s: float) -> int:
    deadline_s = time.monotonic() + wait_s
    while True:
        instances = admin.get("/v1/in-force")["instances"]
        late = sorted(
            name
            for name, state in instances.items()
            if state["applied_revision"] < revision
        )
        if not late:
            print(f"in force at {len(instances)} instances", file=sys.stderr)
            return 0
        if time.monotonic() >= deadline_s:
            print(f"not yet in force at: {', '.join(late)}", file=sys.stderr)
            return exit_codes.ExitCode.NOT_IN_FORCE
        time.sleep(WAIT_POLL_S)


def history(arguments: argparse.Namespace) -> int:
    """Prints the accepted edits."""
    _print(_client(arguments).get("/v1/history")["history"])
    return 0


def status(arguments: argparse.Namespace) -> int:
    """Prints the state of the log and the revision applied by each instance."""
    admin = _client(arguments)
    _print({**admin.get("/v1/status"), **admin.get("/v1/in-force")})
    return 0


def ledger(arguments: argparse.Namespace) -> int:
    """Prints the state of an idempotency key."""
    _print(
        _client(arguments).get(
            "/v1/ledger", workspace=arguments.workspace, key=arguments.key
        )
    )
    return 0
