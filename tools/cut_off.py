"""A deployment whose entries can be cut off from their endpoints, for tests."""

from collections import abc
import contextlib

from tools import caller
from tools import deployment
from tools.standin import cut_links

__all__ = ["ENTRIES", "cut", "cut_ports", "plan", "send"]

_DIGEST = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28"
_DOCUMENT = f"""
[tier:race]
rank = 0
[class:question]
tier = race
target_first_token_s = 1
target_total_s = 8
[workspace:desk]
key_sha256 = {_DIGEST}
classes = question
[service:engines]
kind = engine
endpoints.a = 10.0.0.1:80, 10.0.0.2:80
endpoints.b = 10.0.0.3:80
[service:shop]
kind = plain
unrepeatable = POST /charge
endpoints.a = 10.0.0.4:80
endpoints.b = 10.0.0.5:80
[model:engines]
service = engines
[owner:operations]
token_sha256 = {_DIGEST}
sections = *
"""
ENTRIES = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2"]}
"""Entries by failure domain."""


def plan() -> deployment.Plan:
    """Returns a plan with five entries in two domains and five endpoints."""
    return deployment.Plan(
        document=_DOCUMENT,
        entries=ENTRIES,
        controls={"a": ["control-1"]},
        engine_options=("--token-s", "0.005"),
        entry_plugins=("tools.standin.cut_links",),
    )


@contextlib.contextmanager
def cut(
    running: deployment.Deployment,
    names: abc.Iterable[str],
    mode: cut_links.CutMode,
) -> abc.Iterator[None]:
    """Cuts entries off from all endpoints."""
    ports = [
        int(address.rpartition(":")[2])
        for group in running.engines.values()
        for address in group
    ]
    with cut_ports(running, names, mode, ports):
        yield


@contextlib.contextmanager
def cut_ports(
    running: deployment.Deployment,
    names: abc.Iterable[str],
    mode: cut_links.CutMode,
    ports: abc.Iterable[int],
) -> abc.Iterator[None]:
    """Cuts entries off from some ports."""
    files = [cut_links.cut_file(running.settings_path(n)) for n in names]
    for file in files:
        file.write_text("\n".join((mode.value, *map(str, ports))))
    try:
        yield
    finally:
        for file in files:
            # Overlapping cuts of an entry end with the first.
            file.unlink(missing_ok=True)


def send(
    running: deployment.Deployment, name: str, number: int
) -> caller.CallerAnswer:
    """Sends a stream, a read or an unrepeatable call, by turns."""
    url = running.entries[name]
    kind = number % 3
    if kind == 0:
        return caller.complete(url, "desk", model="engines", prompt=str(number))
    if kind == 1:
        return caller.service(url, "desk", f"shop/stock/{number}", method="GET")
    return caller.service(
        url, "desk", "shop/charge", body=b"x", key=f"{name}-{number}"
    )
