"""The operator's first config has the version 0 and is acknowledged."""

import json
import pathlib
import time

from review.scene import case

CONTACT_S = 4.0
END_S = 24.0


def play(scene: case.Scene) -> list[str]:
    """Sends one config, plays traffic, and reads the config back."""
    scene.start()
    scene.sleep_until(3.0)
    version = 0 if scene.trouble else 1
    config = scene.config(version, [scene.route("r-i6y7z5k", "/puxa403/")])
    ack = scene.fleet.put(config)
    if ack is None or ack.status != 200:
        # A refusal would lose nothing.
        raise RuntimeError("the config was not acknowledged")
    scene.sleep_until(case.LEAD_S)
    scene.traffic("/puxa403/2f", END_S)
    found = []
    end_s = time.monotonic() + 2 * CONTACT_S
    while time.monotonic() < end_s:
        for machine in scene.fleet.of_role("control"):
            read = scene.fleet.read(machine)
            scene.record(
                f"operator reads at {machine.name}: {read.status} "
                f"{read.body[:120]!r}"
            )
            if read.status == 200:
                found.append(json.loads(read.body))
        time.sleep(1.0)
    broken = []
    if not found:
        broken.append(
            f"CONFIG: version {version} was acknowledged with 200, and read "
            f"back for {2 * CONTACT_S:.0f} s it doesn't come"
        )
    elif any(each != config for each in found):
        broken.append("CONFIG: it isn't what was sent under its number")
    if not scene.served():
        broken.append(f"Fault: no request of {len(scene.sent)} is served")
    return broken


case.main(pathlib.Path(__file__).resolve().parent, play)
