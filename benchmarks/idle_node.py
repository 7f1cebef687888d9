"""Cost of an idle entry: control, gossip and load reports together.

``python -m benchmarks.idle_node`` prints a row per number of entries in one
failure domain and size of the document. Endpoints are ports without a
listener: polling one costs a refused connection, which is cheaper than reading
a report. Two entries poll each endpoint of the domain every second. Intervals
are the defaults.
"""

import dataclasses
import pathlib
import sys
import tempfile

from benchmarks import document_cost
from tools import deployment
from tools import process_cost

__all__ = ["main"]

SECONDS = 10.0
SETTLE_S = 5.0
SIZES = ((8, 475), (8, 1_900), (8, 3_800), (4, 3_800), (12, 3_800))
DOMAIN = "domain-0"
FIRST_PORT = 1
"""Ports below 1024 on loopback, where the benchmark starts no listener."""


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of the table; entry figures are of the median entry."""

    entries: int
    workspaces: int
    core_share: float
    memory_bytes: int
    control_core_share: float
    control_memory_bytes: int


def _document(workspaces: int) -> str:
    """Returns the target document with all endpoints on loopback."""
    text = document_cost.document_of(workspaces)
    lines = []
    port = FIRST_PORT
    for line in text.splitlines():
        key, separator, value = line.partition(" = ")
        if key.startswith("endpoints."):
            count = len(value.split(","))
            value = ", ".join(f"127.0.0.1:{port + n}" for n in range(count))
            port += count
        lines.append(key + separator + value)
    return "\n".join(lines) + "\n"


def _run(entries: int, workspaces: int) -> Row:
    plan = deployment.Plan(
        document=_document(workspaces),
        entries={DOMAIN: [f"entry-{n}" for n in range(entries)]},
        controls={DOMAIN: ["control-1"]},
        standins=False,
        entry_extra={"platform": "listing_interval_s = 1\n"},
        report_interval_s=1.0,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(plan, pathlib.Path(folder)) as running,
    ):
        names = [*plan.entries[DOMAIN], "control-1"]
        pids = [running.processes[name].pid for name in names]
        process_cost.measure(pids, SETTLE_S)
        *costs, control = process_cost.measure(pids, SECONDS)
    costs.sort(key=lambda cost: cost.core_share)
    median = costs[len(costs) // 2]
    return Row(
        entries,
        workspaces,
        median.core_share,
        median.memory_bytes,
        control.core_share,
        control.memory_bytes,
    )


def main() -> int:
    """Prints the table."""
    print(
        f"{'entries':>8}{'workspaces':>11}{'entry % core':>13}{'entry MB':>9}"
        f"{'control % core':>15}{'control MB':>11}"
    )
    for entries, workspaces in SIZES:
        row = _run(entries, workspaces)
        print(
            f"{row.entries:>8}{row.workspaces:>11}{row.core_share:>13.2%}"
            f"{row.memory_bytes / 1e6:>9.1f}{row.control_core_share:>15.2%}"
            f"{row.control_memory_bytes / 1e6:>11.1f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
