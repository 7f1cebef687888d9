"""Callers that come back to their streams until their own limits, for tests.

What a caller got over all its tries is compared with what the servers wrote.
"""

from collections import abc
from concurrent import futures
import contextlib
import dataclasses
import enum
import itertools
import time

from cardamombarrow.platform.tests import standin_streams as standin
from cardamombarrow.platform.tests import stream_client
from tools import deployment

__all__ = [
    "Callers",
    "Fault",
    "Stream",
    "Try",
    "faults",
    "index",
    "take",
    "try_once",
]

MAX_CALLERS = 64

RETRY_S = 0.2
"""Delay of a retry if the answer names none."""

MAX_RETRY_WAIT_SHARE = 1 / 3
"""Share of the time left for which a caller waits before its retry."""

LEAST_LEFT_S = 0.05
"""Time left with which a caller does not come back."""

REFUSALS = (408, 421, 429, 503)

_HEAD_END = b"\r\n\r\n"


class Fault(enum.Enum):
    """What is wrong with a stream."""

    MIXED = "events of several software versions of a service"
    SERVICES = "events of several services"
    BROKEN = "an event missing or twice"
    EARLY = "a complete answer without the last event"
    NOT_WRITTEN = "an event that no server wrote for it"


@dataclasses.dataclass(frozen=True)
class Try:
    """A caller's attempt at its stream.

    Attributes:
        entry: The entry that was asked.
        sent_s: When it was sent, monotonic.
        ended_s: When its answer ended.
    """

    attempt: stream_client.Attempt
    entry: str
    sent_s: float
    ended_s: float
    seen: stream_client.Seen

    @property
    def is_refused(self) -> bool:
        """Whether it was answered that it has not run."""
        return self.seen.status in REFUSALS

    @property
    def is_complete(self) -> bool:
        """Whether its answer looks like a whole stream."""
        return self.seen.status == 200 and self.seen.looks_complete

    @property
    def is_final(self) -> bool:
        """Whether its caller does not come back."""
        return self.is_complete or (
            400 <= self.seen.status < 500 and not self.is_refused
        )


@dataclasses.dataclass
class Stream:
    """What a caller has got of a stream.

    Attributes:
        limit_s: Time for which its caller waits, from its first attempt.
        attempts: Ids of all attempts that have been sent.
        tries: The attempts that have ended.
    """

    route: str
    limit_s: float
    attempts: list[str] = dataclasses.field(default_factory=list)
    tries: list[Try] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[tuple[str, int]]:
        """Version and number of each event, over all tries."""
        return [event for each in self.tries for event in each.seen.events]

    @property
    def resumptions(self) -> list[Try]:
        """The tries that take it up."""
        return [each for each in self.tries if each.attempt.resumes]

    @property
    def went_on(self) -> bool:
        """Whether an event came after it had been taken up."""
        return any(each.seen.events for each in self.resumptions)


def index(
    written: abc.Iterable[standin.Written],
) -> dict[str, dict[tuple[str, int], str]]:
    """Returns the events of each attempt, and the service that wrote each."""
    found: dict[str, dict[tuple[str, int], str]] = {}
    for each in written:
        events = found.setdefault(each.attempt, {})
        events[each.version, each.number] = each.service
    return found


def faults(
    stream: Stream, written: dict[str, dict[tuple[str, int], str]]
) -> set[Fault]:
    """Returns what is wrong with a stream.

    Args:
        stream: The stream.
        written: What servers wrote; see `index`.
    """
    found = set()
    origins = set()
    for each in stream.tries:
        sent = written.get(each.attempt.attempt, {})
        for event in each.seen.events:
            origins.add((sent.get(event), event[0]))
    services = {service for service, _ in origins}
    if None in services:
        found.add(Fault.NOT_WRITTEN)
    if len(services) > 1:
        found.add(Fault.SERVICES)
    if len(origins) > len(services):
        found.add(Fault.MIXED)
    numbers = [number for _, number in stream.events]
    if numbers != list(range(1, len(numbers) + 1)):
        found.add(Fault.BROKEN)
    is_complete = any(each.is_complete for each in stream.tries)
    if is_complete and len(numbers) < stream_client.EVENTS:
        found.add(Fault.EARLY)
    return found


def try_once(
    running: deployment.Deployment,
    attempt: stream_client.Attempt,
    name: str,
    end_s: float,
) -> stream_client.Seen:
    """Sends an attempt and reads until the connection ends, or a time.

    Args:
        running: The deployment.
        attempt: The request.
        name: The entry.
        end_s: When the caller gives up, monotonic.
    """
    raw, is_broken = b"", False
    try:
        with stream_client.open_stream(running, attempt, name=name) as caller:
            while True:
                caller.settimeout(max(end_s - time.monotonic(), 0.001))
                data = caller.recv(65_536)
                if not data:
                    break
                raw += data
    except OSError:
        is_broken = True
    if _HEAD_END not in raw:
        return stream_client.Seen(0, b"", False)
    return stream_client.parse(raw, is_broken)


def take(
    running: deployment.Deployment,
    stream: Stream,
    names: abc.Iterator[str],
) -> None:
    """Asks for a stream until it is complete or its caller's limit is over.

    Args:
        running: The deployment.
        stream: The stream; its tries are added.
        names: The entries to ask.
    """
    end_s = time.monotonic() + stream.limit_s
    attempt = stream_client.Attempt.new(stream.route)
    while (left_s := end_s - time.monotonic()) > LEAST_LEFT_S:
        attempt = dataclasses.replace(attempt, limit_ms=int(1_000 * left_s))
        stream.attempts.append(attempt.attempt)
        name, sent_s = next(names), time.monotonic()
        seen = try_once(running, attempt, name, end_s)
        ended_s = time.monotonic()
        stream.tries.append(Try(attempt, name, sent_s, ended_s, seen))
        if stream.tries[-1].is_final:
            return
        events = stream.events
        if not seen.events:
            _wait(seen, end_s)
        attempt = attempt.again(events[-1][1] if events else 0)


def _wait(seen: stream_client.Seen, end_s: float) -> None:
    left_s = max(end_s - time.monotonic(), 0.0)
    wait_s = RETRY_S if seen.retry_after_s is None else seen.retry_after_s
    time.sleep(min(wait_s, MAX_RETRY_WAIT_SHARE * left_s))


class Callers(contextlib.AbstractContextManager):
    """Callers of streams, one thread each.

    Attributes:
        streams: All streams that have been asked for.
    """

    def __init__(
        self, running: deployment.Deployment, servers: standin.Servers
    ):
        self.streams: list[Stream] = []
        self._running = running
        self._servers = servers
        self._pool = futures.ThreadPoolExecutor(MAX_CALLERS)
        self._pending: list[futures.Future] = []

    def __exit__(self, *_: object) -> None:
        """Waits until all callers are done."""
        self._pool.shutdown()

    def begin(
        self,
        route: str,
        limit_s: float,
        count: int,
        names: abc.Sequence[str],
        rotates: bool = True,
    ) -> list[Stream]:
        """Has callers ask for streams, at these entries in turn.

        Args:
            route: The route.
            limit_s: Time for which each caller waits.
            count: The number of callers.
            names: The entries.
            rotates: Whether each caller starts at another one; otherwise all
                start at the first.

        Returns:
            The streams, once a server has sent an event of each.
        """
        begun = [Stream(route, limit_s) for _ in range(count)]
        self.streams += begun
        for number, stream in enumerate(begun):
            first = number % len(names) if rotates else 0
            turn = itertools.cycle([*names[first:], *names[:first]])
            self._pending.append(
                self._pool.submit(take, self._running, stream, turn)
            )
        assert deployment.wait_until(
            lambda: all(self._is_begun(each) for each in begun)
        )
        return begun

    def _is_begun(self, stream: Stream) -> bool:
        written = {each.attempt for each in list(self._servers.written)}
        return not written.isdisjoint(stream.attempts)

    def finish(self) -> None:
        """Waits until all callers are done."""
        for each in self._pending:
            each.result()

    def faults(self) -> dict[Fault, int]:
        """Returns the number of streams with each fault."""
        written = index(self._servers.written)
        found = [faults(each, written) for each in self.streams]
        return {
            fault: count
            for fault in Fault
            if (count := sum(fault in each for each in found))
        }

    def summary(self) -> str:
        """Returns what became of the streams."""
        taken = [each for each in self.streams if each.resumptions]
        went_on = sum(each.went_on for each in taken)
        refused = sum(
            each.is_refused for stream in taken for each in stream.resumptions
        )
        return (
            f"{len(self.streams)} begun, {len(taken)} resumed, {went_on} went "
            f"on, {refused / max(len(taken), 1):.1f} refused tries each"
        )
