"""Which software version began each stream.

The entry that began a stream may be gone when its caller resumes it, so each
entry tells the others of its domain, through the placer, as soon as the first
event has arrived. Nothing is told of services with a single version.
"""

import collections
from collections import abc
import dataclasses
import enum
import hashlib
import threading

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids

__all__ = [
    "Origin",
    "Record",
    "Resolution",
    "Resolved",
    "Source",
    "StreamOrigins",
    "stream_key",
]

RETENTION_MARGIN_S = 5.0
"""Time beyond the longest answer for which a stream's origin is kept: callers
resume a stream within the time limit of its first attempt."""

MAX_RETENTION_S = 120.0

MAX_STREAMS = 50_000
"""Most streams that are kept, in some 12 MB; the oldest ones go first."""

_KEY_BYTES = 8


class Source(enum.IntEnum):
    """Who began a stream, the nearest first.

    `ASKING` are entries that ask this one as their placer.
    """

    OWN = 0
    ASKING = 1
    DOMAIN = 2
    OTHER_DOMAIN = 3


class Resolution(enum.Enum):
    """How the software of a resumed stream was determined."""

    KNOWN = "known"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"
    CONFLICTING = "conflicting"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What wrote the first event of a stream."""

    service: ids.ServiceId
    software: ids.SoftwareVersion


@dataclasses.dataclass(slots=True)
class Record:
    """The origin of one stream.

    Attributes:
        key: See `stream_key`.
        origin: None if two streams with this key have different ones.
        begun_s: Local time of its first event.
        source: Who began it.
        number: Increases with each change of any record.
    """

    key: int
    origin: Origin | None
    begun_s: float
    source: Source
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """The origin of a stream that is to be resumed.

    Attributes:
        origin: None if it can't be determined.
        source: Who began the stream; None if unknown.
        age_s: Time since its first event; None if unknown.
        candidates: What may have begun an unknown stream.
        is_complete: Whether nothing else may have.
    """

    resolution: Resolution
    origin: Origin | None = None
    source: Source | None = None
    age_s: float | None = None
    candidates: frozenset[Origin] = frozenset()
    is_complete: bool = False


def stream_key(workspace: ids.WorkspaceId, attempt: str) -> int:
    """Returns the key of a stream.

    Callers choose the ids of their attempts. The workspace is part of the key,
    so that no caller can resume a stream of another workspace.

    Args:
        workspace: The caller's workspace.
        attempt: The caller's id of the attempt that brought the first event.
    """
    text = f"{workspace}\n{attempt}".encode()
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


class _ServedVersions:
    """The software versions that serve each service, or did so recently."""

    def __init__(self):
        self._listed: dict[ids.ServiceId, set[ids.SoftwareVersion]] = {}
        self._delisted_s: dict[Origin, float] = {}

    def set_listed(
        self, found: abc.Iterable[messages.KnownEndpoint], now_s: float
    ) -> None:
        """Sets the endpoints that are listed now."""
        listed: dict[ids.ServiceId, set[ids.SoftwareVersion]] = {}
        for each in found:
            listed.setdefault(each.service, set()).add(each.software)
        for service, versions in self._listed.items():
            for version in versions - listed.get(service, set()):
                self._delisted_s[Origin(service, version)] = now_s
        self._listed = listed

    def drop_before(self, oldest_s: float) -> None:
        """Forgets the versions that were delisted before a time."""
        for origin, delisted_s in list(self._delisted_s.items()):
            if delisted_s < oldest_s:
                del self._delisted_s[origin]

    def origins(self) -> set[Origin]:
        """Returns all versions of all services that are not forgotten."""
        listed = {
            Origin(service, version)
            for service, versions in self._listed.items()
            for version in versions
        }
        return listed | self._delisted_s.keys()


class StreamOrigins:
    """The origins of the streams of the last seconds; thread-safe."""

    def __init__(self, time_source: clock.Clock):
        self._clock = time_source
        self._changed = threading.Condition()
        self._records: dict[int, Record] = {}
        self._log: collections.deque[tuple[int, int]] = collections.deque()
        self._number = 0
        self._retention_s = MAX_RETENTION_S
        self._started_s = time_source.now_s()
        self._is_complete = False
        self._served = _ServedVersions()
        self._recorded: collections.Counter[Origin] = collections.Counter()
        self._mixed: set[ids.ServiceId] = set()

    def set_longest_answer_s(self, longest_s: float) -> None:
        """Sets the longest time that an answer may take."""
        with self._changed:
            self._retention_s = min(
                longest_s + RETENTION_MARGIN_S, MAX_RETENTION_S
            )

    def set_listed(self, found: abc.Iterable[messages.KnownEndpoint]) -> None:
        """Sets the endpoints that are listed now."""
        with self._changed:
            self._served.set_listed(found, self._clock.now_s())
            self._update_mixed()

    def set_complete(self) -> None:
        """Records that all recent streams of the domain are known."""
        with self._changed:
            self._is_complete = True
            self._changed.notify_all()

    @property
    def is_complete(self) -> bool:
        """Whether all recent streams of the domain are known."""
        if self._is_complete:
            return True
        return self._clock.now_s() - self._started_s >= self._retention_s

    # -- changes ---------------------------------------------------------------

    def add_own(self, key: int, origin: Origin) -> None:
        """Records a stream whose first event has just arrived."""
        self.merge([Record(key, origin, self._clock.now_s(), Source.OWN)])

    def merge(self, records: abc.Iterable[Record]) -> None:
        """Records streams that this or other instances began."""
        with self._changed:
            now_s = self._clock.now_s()
            for record in records:
                self._merge(record, now_s)
            self._drop_old(now_s)
            self._update_mixed()
            self._changed.notify_all()

    def _merge(self, record: Record, now_s: float) -> None:
        if now_s - record.begun_s >= self._retention_s:
            return
        known = self._records.get(record.key)
        if known is None:
            self._add(record)
        elif known.origin is None:
            return
        elif known.origin != record.origin:
            self._recorded[known.origin] -= 1
            known.origin = None
            self._append(known)
        elif record.begun_s - known.begun_s > self._retention_s / 2:
            # A stream that was resumed has to be kept longer.
            known.begun_s = record.begun_s
            self._append(known)

    def _add(self, record: Record) -> None:
        self._records[record.key] = record
        if record.origin is not None:
            self._recorded[record.origin] += 1
        self._append(record)

    def _append(self, record: Record) -> None:
        self._number += 1
        record.number = self._number
        self._log.append((self._number, record.key))

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - self._retention_s
        while self._log:
            number, key = self._log[0]
            record = self._records.get(key)
            if record is not None and record.number == number:
                if record.begun_s > oldest_s and (
                    len(self._records) <= MAX_STREAMS
                ):
                    return
                del self._records[key]
                if record.origin is not None:
                    self._recorded[record.origin] -= 1
            self._log.popleft()

    def _update_mixed(self) -> None:
        """Numbers the streams of services anew that got a second version."""
        self._served.drop_before(self._clock.now_s() - self._retention_s)
        recorded = {origin for origin, count in self._recorded.items() if count}
        versions = collections.Counter(
            origin.service for origin in self._served.origins() | recorded
        )
        mixed = {service for service, count in versions.items() if count > 1}
        new = mixed - self._mixed
        self._mixed = mixed
        if not new:
            return
        for record in list(self._records.values()):
            if record.origin is not None and record.origin.service in new:
                self._append(record)

    # -- queries ---------------------------------------------------------------

    def since(self, number: int, farthest: Source) -> tuple[list[Record], int]:
        """Returns what other instances need to know.

        Args:
            number: The number that the last call returned; 0 at first.
            farthest: The farthest streams to return.

        Returns:
            Changed records of services with several versions, and the number
            for the next call.
        """
        with self._changed:
            found = []
            for position, key in reversed(self._log):
                if position <= number:
                    break
                record = self._records.get(key)
                if record is None or record.number != position:
                    continue
                if record.source <= farthest and self._is_needed(record):
                    found.append(dataclasses.replace(record))
            return found, self._number

    def _is_needed(self, record: Record) -> bool:
        return record.origin is None or record.origin.service in self._mixed

    def resolve(
        self,
        key: int | None,
        services: abc.Collection[ids.ServiceId],
        timeout_s: float,
    ) -> Resolved:
        """Determines what has to resume a stream.

        Args:
            key: The stream; None if its caller does not name it.
            services: The services that may serve the request.
            timeout_s: Longest wait for news of a stream that is not known.
        """
        with self._changed:
            self._drop_old(self._clock.now_s())
            self._update_mixed()
            self._changed.wait_for(
                lambda: (
                    self._resolve(key, services).resolution
                    is not Resolution.UNKNOWN
                ),
                timeout_s,
            )
            return self._resolve(key, services)

    def _resolve(
        self, key: int | None, services: abc.Collection[ids.ServiceId]
    ) -> Resolved:
        now_s = self._clock.now_s()
        record = None if key is None else self._records.get(key)
        if record is not None:
            resolution = Resolution.KNOWN
            if record.origin is None:
                resolution = Resolution.CONFLICTING
            return Resolved(
                resolution,
                record.origin,
                record.source,
                now_s - record.begun_s,
            )
        origin = self._only_origin(services)
        return Resolved(
            Resolution.UNKNOWN if origin is None else Resolution.ONLY_VERSION,
            origin,
            candidates=frozenset(
                each
                for each in self._served.origins()
                if each.service in services
            ),
            is_complete=self.is_complete,
        )

    def _only_origin(
        self, services: abc.Collection[ids.ServiceId]
    ) -> Origin | None:
        """Returns the only possible origin of any recent stream, or None."""
        if len(services) != 1 or not self.is_complete:
            return None
        (service,) = services
        if service in self._mixed:
            return None
        for origin in self._served.origins():
            if origin.service == service:
                return origin
        return Origin(service, ids.UNKNOWN_SOFTWARE)

    def __len__(self) -> int:
        """Returns the number of streams that are kept."""
        return len(self._records)
