"""`make demo`: runs a deployment on loopback under a mixed load.

Three failure domains, 7 entries, 3 control processes and a stand-in for each
endpoint of the example document. The load is about twice the capacity of the
stand-ins, so that the order of service by tier shows.
"""

import argparse
import pathlib
import sys
import tempfile

from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from tools import deployment
from tools import load
from tools import records

__all__ = ["ENGINE_OPTIONS", "main", "mixed_load", "plan"]

TOKEN_S = 0.02
SLOTS = 8
DEMAND_FACTOR = 2.0
"""Requested tokens, as a multiple of the stand-ins' capacity."""

URGENT_SHARE = 0.3
"""Share of the stand-ins' capacity that the highest tier requests."""

ENGINE_OPTIONS = (
    "--token-s",
    str(TOKEN_S),
    "--slots",
    str(SLOTS),
    "--resumable",
)
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def plan(text: str) -> deployment.Plan:
    """Returns 7 entries and 3 control processes over 3 failure domains."""
    domains = list(next(iter(parsing.parse(text).services.values())).endpoints)
    sizes = (3, 2, 2)
    return deployment.Plan(
        document=text,
        entries={
            domain: [f"entry-{domain}-{n}" for n in range(1, size + 1)]
            for domain, size in zip(domains, sizes, strict=True)
        },
        controls={domain: [f"control-{domain}"] for domain in domains},
        engine_options=ENGINE_OPTIONS,
    )


def mixed_load(document: schema.Document) -> list[load.ClassLoad]:
    """Returns a load of all model classes that exceeds the capacity.

    The highest tier requests `URGENT_SHARE` of the capacity; the other
    classes share the rest of the demand evenly, by tokens.
    """
    model = next(iter(document.models.values()))
    engines = document.services[model.service].endpoints.values()
    capacity = sum(len(group) for group in engines) * SLOTS / TOKEN_S
    workspaces = {
        class_id: workspace.workspace
        for workspace in document.workspaces.values()
        for class_id in workspace.classes
    }
    classes = [
        item
        for item in document.classes.values()
        if item.expected_tokens != schema.RequestClass.expected_tokens
        or item.target_total_s > 10
    ]
    urgent = [c for c in classes if document.tier_of(c.class_id).rank == 0]
    others = [c for c in classes if c not in urgent]
    loads = []
    for group, share in (
        (urgent, URGENT_SHARE),
        (others, DEMAND_FACTOR - URGENT_SHARE),
    ):
        for item in group:
            tokens_per_s = capacity * share / len(group)
            loads.append(
                load.ClassLoad(
                    class_id=item.class_id,
                    workspace=workspaces[item.class_id],
                    model=model.model,
                    rate_per_s=tokens_per_s / item.expected_tokens,
                    tokens=item.expected_tokens,
                    target_first_token_s=item.target_first_token_s,
                    deadline_s=min(item.target_total_s, 60.0),
                )
            )
    return loads


def main() -> int:
    """Runs the demo and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=["kandula", "nkansah"], default="kandula"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    text = (_ROOT / "examples" / f"{options.deployment}.ini").read_text()
    loads = mixed_load(parsing.parse(text))
    with tempfile.TemporaryDirectory() as folder:
        print("starting 3 control processes, 7 entries and the stand-ins ...")
        running = deployment.Deployment(plan(text), pathlib.Path(folder))
        with running:
            print(f"sending a mixed load for {options.seconds:.0f} s")
            generator = load.Load(
                loads, list(running.entries.values()), options.seed
            )
            result = generator.run(options.seconds, _print_progress)
            wasted_tokens, all_tokens = records.wasted_work(running)
        print("all processes stopped")
    print()
    print("\n".join(load.table(result)))
    wasted_share = wasted_tokens / max(all_tokens, 1)
    print(f"wasted work: {wasted_share:.2%} of {all_tokens} tokens generated")
    return 0


def _print_progress(seconds: float, pending: int) -> None:
    sys.stdout.write(f"  {seconds:4.0f} s, {pending} requests pending\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
