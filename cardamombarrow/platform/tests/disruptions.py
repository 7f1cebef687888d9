"""Entries that are killed, stopped, restarted and frozen, for soaks."""

from collections import abc
import contextlib
import random
import signal
import threading
import time

from tools import deployment

__all__ = ["EntryDisruptions"]

PAUSE_S = (1.0, 4.0)
FREEZE_S = (0.3, 1.5)
DOWN_S = (0.0, 1.0)


class EntryDisruptions:
    """Disturbs entries, one at a time each, and records when.

    Attributes:
        running: The deployment.
        stopped: Set to end all disturbing.
    """

    def __init__(self, running: deployment.Deployment, contact_s: float):
        """Builds disruptions.

        Args:
            running: The deployment.
            contact_s: Time after a disruption in which an entry is not in
                touch, in seconds.
        """
        self.running = running
        self.stopped = threading.Event()
        self._contact_s = contact_s
        self._locks = {name: threading.Lock() for name in running.entries}
        self._spans: dict[str, list[list[float]]] = {
            name: [] for name in running.entries
        }

    def disturb(self, rng: random.Random) -> None:
        """Disturbs entries until it is stopped."""
        names = list(self._locks)
        while not self.stopped.wait(rng.uniform(*PAUSE_S)):
            name = rng.choice(names)
            if not self._locks[name].acquire(blocking=False):
                continue
            with contextlib.ExitStack() as stack:
                stack.callback(self._locks[name].release)
                stack.enter_context(self.span([name]))
                self._disturb(rng, name)

    def _disturb(self, rng: random.Random, name: str) -> None:
        kind = rng.choice(("kill", "kill", "stop", "freeze"))
        if kind == "freeze":
            self.running.signal(name, signal.SIGSTOP)
            time.sleep(rng.uniform(*FREEZE_S))
            self.running.signal(name, signal.SIGCONT)
        elif kind == "kill":
            down_s = rng.uniform(*DOWN_S)
            self.running.restart(name, signal.SIGKILL, down_s)
        else:
            self.running.restart(name, signal.SIGTERM)

    @contextlib.contextmanager
    def span(self, names: abc.Iterable[str]) -> abc.Iterator[None]:
        """Records that entries are disturbed while the context is open."""
        spans = [(name, [time.monotonic(), float("inf")]) for name in names]
        for name, span in spans:
            self._spans[name].append(span)
        try:
            yield
        finally:
            for _, span in spans:
                span[1] = time.monotonic()

    def is_in_touch(self, name: str, at_s: float) -> bool:
        """Returns whether an entry was undisturbed for long enough."""
        return all(
            not start_s <= at_s <= end_s + self._contact_s
            for start_s, end_s in self._spans[name]
        )
