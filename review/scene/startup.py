"""The judgement of cases that disturb the first start of the system."""

import threading

from review.scene import case
from review.scene import wire

__all__ = ["TROUBLE_S", "judge"]

TROUBLE_S = 0.25
"""When the disruption comes, after the start of the machines."""

CALM_S = 8.0
"""When the core counts as stable at the latest: all processes have run for
`contactMs` (4 s) since the last one was started."""

ACK_S = 5.0
"""`ackMs`."""

END_S = 45.0


def judge(scene: case.Scene) -> list[str]:
    """Plays an operator and consumers on a system that has just started.

    The first config is sent from the third second on until it is accepted.
    Traffic starts 12 s after the machines do.
    """
    scene.sleep_until(3.0)
    config = scene.config(7, [scene.route("r-i6y7z5k", "/puxa403/")])
    acks: list[tuple[float, wire.Answer]] = []

    def operate() -> None:
        answer = scene.fleet.put(config, END_S - scene.elapsed_s)
        if answer is not None:
            acks.append((scene.elapsed_s, answer))

    operator = threading.Thread(target=operate)
    operator.start()
    scene.sleep_until(case.LEAD_S)
    scene.traffic("/puxa403/2f", END_S)
    operator.join()
    for machine in scene.fleet.machines.values():
        code = machine.process.poll()
        scene.record(f"{machine.name} runs: {code is None}")
        if code is not None:
            raise RuntimeError(f"{machine.name} does not run")
    for machine in scene.fleet.of_role("control"):
        read = scene.fleet.read(machine)
        scene.record(f"{machine.name} reads {read.status} {read.body[:80]!r}")
    broken = []
    if not acks or acks[0][0] > CALM_S + ACK_S:
        when = f"{acks[0][0]:.1f} s" if acks else "never"
        broken.append(
            f"Acks: the first config, sent from 3 s on, is acknowledged {when};"
            f" the core is stable from {CALM_S} s on, ackMs is {ACK_S} s"
        )
    if not scene.served():
        broken.append(f"Fault: no request of {len(scene.sent)} is served")
    return broken
