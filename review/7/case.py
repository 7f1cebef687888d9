"""A config without routes is in force while entries are stopped and started."""

import collections
import pathlib
import signal
import time

from review.scene import case
from review.scene import fleet as fleet_module

CONFIG_S = 16.0
ROLL_S = 22.0
GAP_S = 1.3
END_S = 55.0
OWN_ENDS = 3
"""Times that a process ends by itself on one machine."""


def play(scene: case.Scene) -> list[str]:
    """Removes the last route and stops and starts the entries in turn."""
    scene.start()
    fleet = scene.fleet
    entries = fleet.of_role("entry")
    scene.sleep_until(3.0)
    route = scene.route("r-i6y7z5k", "/puxa403/")
    fleet.put(scene.config(3, [route]))
    for entry in entries:
        if not fleet_module.wait_until(lambda e=entry: fleet.is_ready(e), 20):
            raise RuntimeError(f"{entry.name} does not become ready")
    scene.sleep_until(case.LEAD_S)
    scene.traffic("/puxa403/2f", CONFIG_S)
    if not scene.served():
        raise RuntimeError("no request is served before the change")
    ack = fleet.put(scene.config(7, [] if scene.trouble else [route]))
    if ack is None or ack.status != 200:
        # The config would not be in force.
        raise RuntimeError("the config was not acknowledged")
    scene.sleep_until(ROLL_S)
    calm_from_s = {}
    for entry in entries:
        fleet.end(entry, signal.SIGTERM)
        fleet.start_again(entry)
        # What ends within a second of the disturbance doesn't count.
        calm_from_s[entry.name] = time.monotonic() + 1.0
        time.sleep(GAP_S)
    scene.sleep_until(END_S)
    ends = collections.Counter(
        each.machine
        for each in fleet.exits
        if each.code > 0 and each.at_s > calm_from_s[each.machine]
    )
    for entry in entries:
        scene.record(
            f"{entry.name} ended by itself {ends[entry.name]} times, "
            f"ready: {fleet.is_ready(entry)}"
        )
    needed = max(2, len(fleet.machines) // 10)
    often = sorted(name for name, count in ends.items() if count >= OWN_ENDS)
    if len(often) < needed:
        return []
    return [
        f"Fault: on {len(often)} of {len(fleet.machines)} machines in use "
        f"processes end by themselves {OWN_ENDS} times or more: "
        + ", ".join(f"{name} {ends[name]}" for name in often)
    ]


case.main(pathlib.Path(__file__).resolve().parent, play)
