"""Time from the acceptance of an edit until it is in force at all entries.

``python -m benchmarks.in_force`` starts real processes, edits the document and
reads from each entry's log when the revision came into force, for several
numbers of entries. The time starts when the operator receives the answer.
"""

import argparse
import datetime
import json
import pathlib
import statistics
import tempfile
import time

from tools import deployment
from tools import editor

__all__ = ["main"]

ENTRIES = (4, 7, 14)
CONTROLS = 3
EDITS = 15
TIMEOUT_S = 20.0
DOMAINS = ("nuwara-a", "badulla-a", "ratnapura-a")
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def _plan(entries: int, controls: int) -> deployment.Plan:
    groups: dict[str, list[str]] = {domain: [] for domain in DOMAINS}
    for number in range(entries):
        groups[DOMAINS[number % 3]].append(f"entry-{number + 1}")
    return deployment.Plan(
        document=(_ROOT / "examples" / "kandula.ini").read_text(),
        entries=groups,
        controls={
            DOMAINS[number]: [f"control-{number + 1}"]
            for number in range(controls)
        },
    )


def _in_force_at(running: deployment.Deployment, name: str) -> dict[int, float]:
    """Returns the Unix time at which each revision came into force.

    The times are those of the entry's log lines.
    """
    times_unix_s = {}
    for line in running.log(name).splitlines():
        if "document in force" in line:
            record = json.loads(line)
            logged_at = datetime.datetime.fromisoformat(record["time"])
            times_unix_s[record["revision"]] = logged_at.timestamp()
    return times_unix_s


def _edit(running: deployment.Deployment, share: float) -> tuple[int, float]:
    revision = editor.Editor(list(running.controls.values())).edit_share(share)
    accepted_unix_s = time.time()
    if not deployment.wait_until(
        lambda: all(
            running.revision(name) >= revision for name in running.entries
        ),
        TIMEOUT_S,
    ):
        raise RuntimeError(
            f"revision {revision} is not in force at all entries"
        )
    return revision, accepted_unix_s


def measure(entries: int, controls: int) -> list[float]:
    """Returns each edit's time until it is in force at the last entry."""
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(
            _plan(entries, controls), pathlib.Path(folder)
        ) as running,
    ):
        edits = [_edit(running, 0.1 + n / 100) for n in range(EDITS)]
        times = [_in_force_at(running, name) for name in running.entries]
        return [
            max(in_force_at[revision] for in_force_at in times)
            - accepted_unix_s
            for revision, accepted_unix_s in edits
        ]


def main() -> None:
    """Prints a row per number of entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--controls", type=int, default=CONTROLS)
    controls = parser.parse_args().controls
    print(
        "acceptance to in force at the last entry; below 0: before the answer"
    )
    print("entries controls edits median_ms max_ms")
    for entries in ENTRIES:
        times = measure(entries, controls)
        print(
            f"{entries:7} {controls:8} {len(times):5} "
            f"{statistics.median(times) * 1000:9.1f} "
            f"{max(times) * 1000:6.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
