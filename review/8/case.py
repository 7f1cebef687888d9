"""A path that an entry answers by itself while the system starts again."""

import itertools
import pathlib
import signal
import threading
import time

from review.scene import case
from review.scene import fleet as fleet_module

PATH = "/healthz"
HEALTH_PATH = "/hz-3f86"
KILL_S = 16.0
END_S = 26.0
GAP_S = 0.01
PROBE_S = 1.0
MISSES = 2
"""Misses in a row at `/readyz` after which a node gets no new connections."""


class Balancer(threading.Thread):
    """Asks an entry each second whether it is ready, as the platform does."""

    def __init__(self, scene: case.Scene, entry: fleet_module.Machine):
        super().__init__(daemon=True)
        self._scene, self.entry = scene, entry
        self.in_rotation = True
        self.ended = False

    def run(self) -> None:
        """Takes the entry out after two misses, and in after one 200."""
        misses = 0
        while not self.ended:
            is_ready = self._scene.fleet.is_ready(self.entry)
            misses = 0 if is_ready else misses + 1
            in_rotation = misses < MISSES
            if in_rotation != self.in_rotation:
                self._scene.record(
                    f"{self.entry.name} in rotation: {in_rotation}"
                )
            self.in_rotation = in_rotation
            time.sleep(PROBE_S)


def play(scene: case.Scene) -> list[str]:
    """Kills all processes once; consumers go on to entries in rotation."""
    for server in scene.servers:
        server.health_path = HEALTH_PATH
    scene.start()
    fleet = scene.fleet
    entries = fleet.of_role("entry")
    scene.sleep_until(3.0)
    fleet.put(scene.config(7, [scene.route("r-i6y7z5k", "/")]))
    for entry in entries:
        if not fleet_module.wait_until(lambda e=entry: fleet.is_ready(e), 20):
            raise RuntimeError(f"{entry.name} does not become ready")
    scene.sleep_until(case.LEAD_S)
    balancers = [Balancer(scene, entry) for entry in entries]
    for balancer in balancers:
        balancer.start()
    send(scene, balancers, KILL_S)
    if scene.trouble:
        for machine in fleet.machines.values():
            fleet.signal(machine, signal.SIGKILL)
    send(scene, balancers, END_S)
    for balancer in balancers:
        balancer.ended = True
    return judge(scene)


def send(scene: case.Scene, balancers: list[Balancer], until_s: float) -> None:
    """Sends requests to the entries in rotation in turn, until a time."""
    threads = []
    for balancer in itertools.cycle(balancers):
        if scene.elapsed_s >= until_s:
            break
        # Without any entry in rotation the platform uses all.
        if balancer.in_rotation or not any(b.in_rotation for b in balancers):
            thread = threading.Thread(
                target=scene.send, args=(balancer.entry, PATH)
            )
            thread.start()
            threads.append(thread)
        time.sleep(GAP_S)
    for thread in threads:
        thread.join()


def judge(scene: case.Scene) -> list[str]:
    """Returns the successes without a server's seal."""
    if not scene.served():
        raise RuntimeError("no request is served")
    run = {each.request.headers["attempt-id"] for each in scene.runs}
    broken = [
        each
        for each in scene.sent
        if 200 <= each.answer.status < 300
        and "server-seal" not in each.answer.headers
    ]
    if not broken:
        return []
    first = broken[0]
    return [
        f"MIXED: {len(broken)} of {len(scene.sent)} requests get a 2xx without "
        f"Server-Seal, {sum(e.attempt not in run for e in broken)} of them ran "
        f"on no server; the first is {first.attempt}: {first.answer.status} "
        f"{first.answer.body!r}"
    ]


case.main(pathlib.Path(__file__).resolve().parent, play)
