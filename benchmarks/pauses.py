"""Compares who leaves out an endpoint that has asked an entry for a pause.

The load is that of `many_entries`, with engines that turn requests away and
ask for a pause. Run it with ``python -m benchmarks.pauses``.
"""

from collections import abc
import dataclasses
import random
import sys

from benchmarks import many_entries
from benchmarks import placer_driver
from benchmarks import results
from benchmarks import scenarios

__all__ = ["LOADS", "run"]

PAUSE_S = 3.0
SEEDS = (0, 1, 2)

_Change = abc.Callable[[int], dict[str, object]]


def _some_refuse_all(number: int) -> dict[str, object]:
    """Four of thirteen engines turn everything away for eight seconds."""
    if number % 3:
        return {}
    return {"fail_from_s": 12.0, "fail_until_s": 20.0, "pause_s": PAUSE_S}


def _all_refuse_all(number: int) -> dict[str, object]:
    """All engines turn everything away for three seconds."""
    return {"fail_from_s": 12.0, "fail_until_s": 15.0, "pause_s": PAUSE_S}


def _all_bound_their_queue(number: int) -> dict[str, object]:
    """Each engine turns away what is beyond its slots and a few more."""
    return {"max_requests": many_entries.SLOTS + 4, "pause_s": 1.0}


LOADS: dict[str, tuple[float, _Change]] = {
    "4 of 13 engines refuse all for 8 s": (2.0, _some_refuse_all),
    "all engines refuse all for 3 s": (1.0, _all_refuse_all),
    "engines refuse beyond their queue": (3.0, _all_bound_their_queue),
}
"""Factor of the arrivals and change of each engine, by name."""


def run(
    load: str, scope: scenarios.PauseScope, asked: bool, seed: int
) -> results.Result:
    """Runs one load with one seed.

    Args:
        load: Name in `LOADS`.
        scope: Who leaves out a paused engine.
        asked: Whether a placer places the requests of all entries.
        seed: Seed of the arrivals and decisions.
    """
    burst, change = LOADS[load]
    built = many_entries.scenario(
        random.Random(seed), 1.0, burst, asked=asked, pause_scope=scope
    )
    built.engines = {
        endpoint: dataclasses.replace(many_entries.ENGINE, **change(number))
        for number, endpoint in enumerate(many_entries.ENDPOINTS)
    }
    return placer_driver.make(built, seed).run()


def _row(load: str, scope: scenarios.PauseScope, asked: bool) -> str:
    merged = results.merge([run(load, scope, asked, seed) for seed in SEEDS])
    classes = merged.classes.values()
    offered = sum(each.offered for each in classes)
    in_time = sum(each.attained for each in classes) / offered
    completed = sum(each.completed for each in classes) / offered
    return (
        f"| {load} | {'placer' if asked else 'entries'} | {scope.value} "
        f"| {merged.most_in_pause:.0f} | {merged.turned_away:.0f} "
        f"| {in_time:.3f} | {completed:.3f} |"
    )


def main() -> None:
    """Prints a table of the ways."""
    lines = [
        "| load | decided by | leaves it out | most in a pause | turned away "
        "| in time | completed |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for load in LOADS:
        for asked in (True, False):
            for scope in scenarios.PauseScope:
                if asked or scope is not scenarios.PauseScope.DOMAIN:
                    lines.append(_row(load, scope, asked))
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
