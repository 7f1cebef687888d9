"""The platform's balancer: which entries get new connections."""

import threading
import time

from review.stand import machines

__all__ = ["Balancer"]

CHECK_S = 1.0
MISSES = 2


class Balancer:
    """Asks every entry once a second whether it is ready."""

    def __init__(self, fleet: machines.Fleet):
        """Starts to ask the fleet's entries."""
        self._fleet = fleet
        self._misses: dict[str, int] = {}
        self._turn = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._check, args=(each,), daemon=True)
            for each in fleet.role("entry")
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends the questions."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _check(self, machine: machines.Machine) -> None:
        due_s = time.monotonic()
        while not self._ended.is_set():
            is_ready = self._fleet.is_ready(machine)
            misses = 0 if is_ready else self._misses.get(machine.name, 0) + 1
            self._misses[machine.name] = misses
            due_s = max(due_s + CHECK_S, time.monotonic())
            self._ended.wait(due_s - time.monotonic())

    def in_rotation(self, zone: str | None = None) -> list[machines.Machine]:
        """Returns the entries that get new connections."""
        return [
            each
            for each in self._fleet.role("entry", zone)
            if self._misses.get(each.name, MISSES) < MISSES
        ]

    def address(self, zone: str) -> str:
        """Returns where a new connection of a consumer in a zone goes."""
        entries = self._fleet.role("entry", zone)
        found = self.in_rotation(zone)
        if found and 2 * len(found) < len(entries):
            found = entries
        found = found or self.in_rotation() or entries
        with self._lock:
            self._turn += 1
            chosen = found[self._turn % len(found)]
        return f"{chosen.ip}:{self._fleet.frontend_port}"
