"""Servers that end as they begin an answer to certain requests.

Requests are sent at random entries, sound ones and ones with a part on which
servers end. All differ; sound ones share the caller and all other parts. What
is counted is what servers and callers see.
"""

from collections import abc
from concurrent import futures
import contextlib
import dataclasses
import itertools
import random
import threading
import time

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

__all__ = ["Crash", "CrashingServers", "Sent", "Traffic", "parts_of"]

DOWN_S = 1.2
"""Time from the end of a server until it is back under a new identity."""

PREFILL_S = 0.08
PAUSE_S = 0.02
FIRST_PARTS = ("a1", "a2")
"""First parts, each shared by half of all requests."""

SUBJECTS = tuple(f"b{number}" for number in range(6))
"""Second parts of sound requests."""

CALLERS = 24


@dataclasses.dataclass(frozen=True)
class Crash:
    """An end of a server.

    Attributes:
        part: The part that caused it.
    """

    at_s: float
    part: str


class CrashingServers(standin.Servers):
    """Servers that end on some parts and come back under new identities.

    Attributes:
        crashes: All ends, in order.
        deadly: Ids of the parts on which servers end.
    """

    def __init__(
        self,
        zones: abc.Sequence[str],
        deadly: frozenset[str],
        framing: standin.Framing = standin.Framing.CHUNKED,
    ):
        super().__init__(self._answer)
        self.crashes: list[Crash] = []
        self.deadly = deadly
        self._framing = framing
        self._numbers = itertools.count(1)
        self._timers: list[threading.Timer] = []
        for zone in zones:
            self._start(zone)

    def __exit__(self, *details: object) -> None:
        """Stops all servers, also those that are still to come back."""
        for timer in self._timers:
            timer.cancel()
        super().__exit__(*details)

    def _start(self, zone: str) -> None:
        self.start(f"i-{next(self._numbers)}", zone=zone)

    def _answer(self, received: standin.Received) -> standin.Answer:
        time.sleep(PREFILL_S)
        deadly = self.deadly.intersection(parts_of(received))
        if not deadly:
            return standin.Answer(self._framing, pause_s=PAUSE_S)
        (part,) = deadly
        return standin.Answer(
            self._framing, on_begun=lambda: self._end(received.identity, part)
        )

    def _end(self, identity: str, part: str) -> None:
        for listed in list(self.listed.values()):
            if listed.identity != identity:
                continue
            self.crashes.append(Crash(time.monotonic(), part))
            self.crash(listed)
            timer = threading.Timer(DOWN_S, self._start, (listed.zone,))
            self._timers.append(timer)
            timer.start()

    def arrivals(self, part: str, since_s: float) -> int:
        """Counts the requests with a part that have come since."""
        return sum(
            part in parts_of(received) and received.at_s > since_s
            for received in list(self.received)
        )


def parts_of(received: standin.Received) -> list[str]:
    """Returns the ids of the parts that others may share."""
    listed = received.headers.get("prefix-hash", "")
    return [each.partition(":")[0] for each in listed.split(",")][:-1]


@dataclasses.dataclass
class Sent:
    """A request that a caller has sent.

    Attributes:
        at_s: When it was sent.
        entry: Where.
        begun: Whether an event came back.
    """

    at_s: float
    entry: str
    begun: bool = False


class Traffic:
    """Sends requests to all entries.

    Attributes:
        sound: Sound requests, in the order in which they were sent.
        deadly: The others, by the ids of their attempts.
    """

    def __init__(self, running: deployment.Deployment, seed: int):
        self.sound: list[Sent] = []
        self.deadly: dict[str, Sent] = {}
        self._running = running
        self._names = list(running.entries)
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    def _attempt(self, parts: abc.Iterable[str]) -> stream_client.Attempt:
        own = f"c{next(self._numbers):x}"
        return stream_client.Attempt.new("once", (*parts, own))

    def _call(self, attempt: stream_client.Attempt, sent: Sent) -> None:
        with contextlib.suppress(OSError):
            caller = stream_client.open_stream(
                self._running, attempt, name=sent.entry
            )
            sent.begun = bool(stream_client.read(caller).events)

    def _begin_sound(self) -> tuple[stream_client.Attempt, Sent]:
        sent = Sent(time.monotonic(), self._rng.choice(self._names))
        self.sound.append(sent)
        parts = self._rng.choice(FIRST_PARTS), self._rng.choice(SUBJECTS)
        return self._attempt(parts), sent

    def _begin_deadly(self, part: str) -> tuple[stream_client.Attempt, Sent]:
        sent = Sent(time.monotonic(), self._rng.choice(self._names))
        parts = [self._rng.choice(FIRST_PARTS), self._rng.choice(SUBJECTS)]
        parts.insert(self._rng.randrange(3), part)
        attempt = self._attempt(parts)
        self.deadly[attempt.attempt] = sent
        return attempt, sent

    def run(
        self,
        duration_s: float,
        sound_per_s: float,
        deadly_per_s: float = 0.0,
        deadly: abc.Sequence[str] = (),
    ) -> None:
        """Sends requests at constant rates until the time is over."""
        with futures.ThreadPoolExecutor(CALLERS) as pool:
            pending = []
            end_s = time.monotonic() + duration_s
            while time.monotonic() < end_s:
                total_per_s = sound_per_s + deadly_per_s
                time.sleep(self._rng.expovariate(total_per_s))
                if self._rng.random() * total_per_s < sound_per_s:
                    begun = self._begin_sound()
                else:
                    begun = self._begin_deadly(self._rng.choice(deadly))
                pending.append(pool.submit(self._call, *begun))
            for each in pending:
                each.result()

    def share_begun(
        self,
        from_s: float,
        to_s: float,
        counts: abc.Callable[[Sent], bool] = lambda sent: True,
    ) -> tuple[int, float]:
        """Returns how many sound requests were sent, and the share begun.

        Args:
            from_s: Begin of the time in which they were sent.
            to_s: End of it.
            counts: Returns whether a request counts.
        """
        found = [
            each
            for each in self.sound
            if from_s <= each.at_s < to_s and counts(each)
        ]
        return len(found), sum(e.begun for e in found) / max(len(found), 1)
