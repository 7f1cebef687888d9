"""Disruptions of entries and control processes that overlap, for soaks."""

from collections import abc
import contextlib
import dataclasses
import enum
import random
import signal
import threading
import time

from tools import deployment

__all__ = ["Kind", "OverlappingDisruptions", "Span"]

SINGLE_PAUSE_S = (1.0, 4.0)
FREEZE_S = (0.3, 1.5)
DOWN_S = (0.0, 1.0)
ALONE_S = (0.0, 3.0)
"""Time for which an entry serves alone."""

TWICE_S = 1.5
"""Time between two kills of all entries in a row."""

READY_S = 20.0
"""Time after which a process is no longer waited for: a later disruption may
have ended it."""


class Kind(enum.Enum):
    """What is disturbed."""

    SINGLE = "an entry is killed, stopped, or frozen"
    CONTROLS = "control processes are killed"
    DOMAIN = "all entries of a failure domain are killed"
    SYSTEM = "all entries are killed"
    TWICE = "all entries are killed twice in a row"
    ALL = "all entries and control processes are killed"
    JOIN = "an entry that has never run starts"
    SUPPLANT = "all entries are killed, and one that has never run starts first"

    @property
    def ends_controls(self) -> bool:
        """Whether control processes end."""
        return self in (Kind.CONTROLS, Kind.ALL)


@dataclasses.dataclass
class Span:
    """A disruption of processes.

    Attributes:
        start_s: When it began, monotonic.
        end_s: When all processes were ready again.
    """

    kind: Kind
    names: tuple[str, ...]
    start_s: float
    end_s: float = float("inf")


class OverlappingDisruptions:
    """Disturbs processes in several threads, whatever others do meanwhile.

    Attributes:
        spans: All disruptions, in order.
        lost_domains: Domains whose entries had all ended of late at a moment.
        stopped: Set to end all disturbing.
        on_group: Called just before several processes end.
    """

    def __init__(
        self,
        running: deployment.Deployment,
        domains: dict[str, list[str]],
        new: str,
        contact_s: float,
        series_pause_s: tuple[float, float],
    ):
        """Builds disruptions.

        Args:
            running: The deployment.
            domains: The entries by failure domain.
            new: An entry that has not been started.
            contact_s: Time after a disruption in which an entry is not in
                touch.
            series_pause_s: Shortest and longest pause of one thread between
                disruptions of several processes.
        """
        self.spans: list[Span] = []
        self.lost_domains: set[str] = set()
        self.stopped = threading.Event()
        self.on_group: abc.Callable[[], None] = lambda: None
        self._running = running
        self._domains = domains
        self._new = new
        self._entries = [name for group in domains.values() for name in group]
        self._contact_s = contact_s
        self._series_pause_s = series_pause_s
        self._locks = {
            name: threading.Lock() for name in [*self._entries, new]
        } | {name: threading.Lock() for name in running.controls}
        self._ended_s: dict[str, float] = {}

    def is_in_touch(self, name: str, start_s: float, end_s: float) -> bool:
        """Returns whether an entry was undisturbed, and all control processes.

        Args:
            name: The entry.
            start_s: Start of the time, which counts with the time of contact
                before it.
            end_s: End of the time.
        """
        return all(
            end_s < span.start_s or start_s > span.end_s + self._contact_s
            for span in list(self.spans)
            if name in span.names or span.kind.ends_controls
        )

    def disturb_entries(self, rng: random.Random) -> None:
        """Disturbs single entries until it is stopped."""
        while not self.stopped.wait(rng.uniform(*SINGLE_PAUSE_S)):
            name = rng.choice(self._entries)
            how = rng.choice(("kill", "kill", "stop", "freeze"))
            with self._span(Kind.SINGLE, [name]):
                if how == "freeze":
                    self._freeze(name, rng.uniform(*FREEZE_S))
                else:
                    number = signal.SIGKILL if how == "kill" else signal.SIGTERM
                    self._end([name], number)
                    time.sleep(rng.uniform(*DOWN_S))
                    self._start([name])

    def disturb_groups(
        self, rng: random.Random, kinds: abc.Sequence[Kind]
    ) -> None:
        """Plays disruptions of several processes until it is stopped."""
        left: list[Kind] = []
        while not self.stopped.wait(rng.uniform(*self._series_pause_s)):
            left = left or rng.sample(kinds, len(kinds))
            kind = left.pop()
            if kind is Kind.JOIN:
                with self._span(kind, [self._new]):
                    self._start([self._new])
                continue
            names = self._names(kind, rng)
            self.on_group()
            with self._span(kind, names):
                self._end(names, signal.SIGKILL)
                if kind is Kind.TWICE:
                    self._start(names, waits=False)
                    time.sleep(TWICE_S)
                    self._end(names, signal.SIGKILL)
                time.sleep(rng.uniform(*DOWN_S))
                if kind is Kind.SUPPLANT:
                    self._start([self._new])
                    time.sleep(rng.uniform(*ALONE_S))
                self._start(rng.sample(names, len(names)))

    def _names(self, kind: Kind, rng: random.Random) -> list[str]:
        controls = list(self._running.controls)
        if kind is Kind.CONTROLS:
            return rng.sample(controls, rng.randint(1, len(controls)))
        if kind is Kind.DOMAIN:
            return list(rng.choice(list(self._domains.values())))
        started = [
            name for name in self._locks if name in self._running.processes
        ]
        if kind is Kind.ALL:
            return started
        return [name for name in started if name not in controls]

    @contextlib.contextmanager
    def _span(self, kind: Kind, names: abc.Sequence[str]) -> abc.Iterator[None]:
        span = Span(kind, tuple(names), time.monotonic())
        self.spans.append(span)
        try:
            yield
        finally:
            span.end_s = time.monotonic()

    def _freeze(self, name: str, for_s: float) -> None:
        process = self._running.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        process.send_signal(signal.SIGCONT)

    def _end(self, names: abc.Sequence[str], number: signal.Signals) -> None:
        """Ends processes, also those that another disruption is ending."""
        processes = [self._running.processes[name] for name in names]
        for process in processes:
            process.send_signal(number)
        for process in processes:
            process.wait()
        now_s = time.monotonic()
        self._ended_s.update({name: now_s for name in names})
        for domain, group in self._domains.items():
            if all(
                now_s - self._ended_s.get(name, float("-inf")) < self._contact_s
                for name in group
            ):
                self.lost_domains.add(domain)

    def _start(self, names: abc.Sequence[str], waits: bool = True) -> None:
        """Starts processes unless another disruption has done so."""
        for name in names:
            with self._locks[name]:
                process = self._running.processes.get(name)
                if process is None or process.poll() is not None:
                    self._running.start_instance(name)
        end_s = time.monotonic() + READY_S
        for name in names:
            while waits and time.monotonic() < end_s:
                if self._running.processes[name].poll() is not None:
                    break
                if self._running.is_ready(name):
                    break
                time.sleep(0.05)
