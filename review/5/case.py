"""A machine of the core is replaced while the system first starts."""

import pathlib

from review.scene import case
from review.scene import startup

REPLACEMENT_S = 1.0
NEW_HOST = 20


def play(scene: case.Scene) -> list[str]:
    """Takes one of the three seeds away for good; an empty one comes."""
    scene.start()
    scene.sleep_until(startup.TROUBLE_S)
    if scene.trouble:
        gone = scene.fleet.of_role("control")[1]
        scene.fleet.replace(gone, NEW_HOST, REPLACEMENT_S)
    return startup.judge(scene)


case.main(pathlib.Path(__file__).resolve().parent, play)
