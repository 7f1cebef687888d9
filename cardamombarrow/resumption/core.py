"""Which software version began each stream.

The entry that began a stream may be gone when its caller resumes it, so each
entry tells the others of its domain, through the placer, as soon as the first
event has arrived. Nothing is told of services with a single version.
"""

from collections import abc
import dataclasses
import enum
import hashlib
import threading
import time

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import clock
from cardamombarrow.kernel import ids
from cardamombarrow.resumption import candidates as candidates_module
from cardamombarrow.resumption import open_streams
from cardamombarrow.resumption import rounds
from cardamombarrow.resumption import table

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
"""Time beyond its caller's limit for which a stream's origin is kept."""

UNKNOWN_LIFETIME_S = 120.0
"""Time for which streams are kept whose callers' limits are not known."""

LISTING_LAG_S = 5.0
"""Longest time until a new version at a known endpoint is listed and read."""

EXTENSION_STEP_S = 1.0
"""Shortest extension of a stream that is told to other instances."""

ACKNOWLEDGEMENT_WAIT_S = 0.3
"""Longest wait of a first event until a majority of the control processes has
stored what began it: some round trips between regions."""

OUT_OF_TOUCH_WAIT_S = 0.05
"""The same after a round trip that reached no majority: an entry that is cut
off from control goes on serving."""

_KEY_BYTES = 8


class Resolution(enum.Enum):
    """How the software of a resumed stream was determined."""

    KNOWN = "known"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"
    CONFLICTING = "conflicting"


Origin = open_streams.Origin
Record = table.Record
Source = table.Source


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """The origin of a stream that is to be resumed.

    Attributes:
        origin: None if it can't be determined.
        source: Who began the stream; None if unknown.
        age_s: Time since its first event; None if unknown.
        candidates: What may have begun an unknown stream.
        is_complete: Whether nothing else may have.
        round_result: Result of the last round trip to control that was made
            for it; None for none.
        waited_s: Time until it was decided.
        list_age_s: Time since the list was read.
        news_age_s: Time since the last news of other instances.
    """

    resolution: Resolution
    origin: Origin | None = None
    source: Source | None = None
    age_s: float | None = None
    candidates: frozenset[Origin] = frozenset()
    is_complete: bool = False
    round_result: rounds.RoundResult | None = None
    waited_s: float = 0.0
    list_age_s: float = 0.0
    news_age_s: float = 0.0


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


def _uncertain(origin: Origin) -> Origin:
    """Returns the origin of a stream whose software version is not known."""
    return Origin(origin.service, ids.UNKNOWN_SOFTWARE)


class StreamOrigins:
    """The origins of the streams that are still open; thread-safe."""

    def __init__(self, time_source: clock.Clock):
        self._clock = time_source
        self._changed = threading.Condition()
        self._table = table.StreamTable()
        self._started_s = time_source.now_s()
        self._is_complete = False
        self._candidates = candidates_module.Candidates(
            self._started_s, UNKNOWN_LIFETIME_S
        )
        self._on_unreported: abc.Callable[[], None] = lambda: None
        self._begin_round: rounds.BeginRound | None = None
        self._is_in_touch = True
        self._mixed: set[ids.ServiceId] = set()
        self._software: dict[ids.EndpointId, ids.SoftwareVersion] = {}
        self._in_doubt: set[ids.EndpointId] = set()
        self._doubted: dict[int, tuple[ids.EndpointId, ids.ServiceId]] = {}

    def set_report_listener(self, listener: abc.Callable[[], None]) -> None:
        """Sets what is called when `take_report` has news for control."""
        self._on_unreported = listener

    def set_round_starter(self, begin: rounds.BeginRound) -> None:
        """Sets what makes round trips to the control processes.

        Without it, no unknown stream is resumed.
        """
        self._begin_round = begin

    def set_longest_answer_s(self, longest_s: float) -> None:
        """Sets the longest time that an answer may take."""
        with self._changed:
            self._candidates.lifetime_s = longest_s + RETENTION_MARGIN_S

    def set_listed(self, found: abc.Iterable[messages.KnownEndpoint]) -> None:
        """Sets the endpoints that are listed now."""
        with self._changed:
            now_s = self._clock.now_s()
            found = tuple(found)
            self._doubt_restarted(found, now_s)
            listed = {Origin(each.service, each.software) for each in found}
            has_new = self._candidates.set_listed(listed, now_s)
            self._update_mixed(now_s)
        if has_new:
            self._tell_control()

    def _tell_control(self) -> None:
        """Reports own open streams, and has a majority store them."""
        self._on_unreported()
        self._store_own()

    def _store_own(self) -> None:
        """Has the control processes store what they have not acknowledged."""
        if self._begin_round is not None:
            self._begin_round(False)

    def _doubt_restarted(
        self, found: abc.Iterable[messages.KnownEndpoint], now_s: float
    ) -> None:
        """Refuses to resume streams of endpoints that changed their version.

        An endpoint that restarts under its identity wrote some of them with
        the new version before it was listed.
        """
        software = {each.endpoint: each.software for each in found}
        restarted = {
            endpoint
            for endpoint, version in software.items()
            if self._software.get(endpoint, version) != version
        }
        self._software = software
        for record in self._table.values() if restarted else ():
            is_recent = record.begun_s >= now_s - LISTING_LAG_S
            if record.endpoint in restarted and is_recent:
                self._table.set_conflicting(record)

    def begin_doubt(self, endpoint: ids.EndpointId, since_s: float) -> None:
        """Records that an endpoint may run other software than listed.

        Until the doubt ends, no stream that it has begun since can be resumed.

        Args:
            endpoint: The endpoint.
            since_s: Local time since when it may.
        """
        with self._changed:
            if endpoint in self._in_doubt:
                # The list that ends the doubt names the last version only.
                self._doubted = {
                    key: begun
                    for key, begun in self._doubted.items()
                    if begun[0] != endpoint
                }
            self._in_doubt.add(endpoint)
            doubted = [
                record
                for record in self._table.values()
                if record.endpoint == endpoint
                and record.begun_s >= since_s
                and record.origin is not None
                and record.origin.software
            ]
            for record in doubted:
                self._doubted[record.key] = endpoint, record.origin.service
                self._candidates.add_own(
                    open_streams.unclassed(_uncertain(record.origin)),
                    record.until_s,
                    self._clock.now_s(),
                )
                self._table.set_conflicting(record)
        if doubted:
            self._tell_control()

    def end_doubt(self, endpoint: ids.EndpointId) -> None:
        """Records that an endpoint runs the software that is listed."""
        with self._changed:
            self._in_doubt.discard(endpoint)
            software = self._software.get(endpoint)
            known = False
            for key, (begun_by, service) in list(self._doubted.items()):
                if begun_by != endpoint:
                    continue
                del self._doubted[key]
                record = self._table.get(key)
                if record is not None and software:
                    known = True
                    record.origin = Origin(service, software)
                    self._candidates.add_own(
                        open_streams.unclassed(record.origin),
                        record.until_s,
                        self._clock.now_s(),
                    )
                    self._table.append(record)
        if known:
            self._tell_control()

    def confirms(self, key: int, software: ids.SoftwareVersion | None) -> bool:
        """Returns whether a stream may go on at a software version.

        Returns:
            False if the stream's origin can't be told, or is another version.
        """
        with self._changed:
            record = self._table.get(key)
            if record is None:
                return True
            return (
                record.origin is not None and record.origin.software == software
            )

    def set_complete(self) -> None:
        """Records that all recent streams of the domain are known."""
        with self._changed:
            self._is_complete = True
            self._changed.notify_all()

    @property
    def is_complete(self) -> bool:
        """Whether all recent streams of the domain are known.

        If not, other entries are asked for theirs. Which versions may have
        begun a stream does not follow from it.
        """
        if self._is_complete:
            return True
        return self._clock.now_s() - self._started_s >= (
            self._candidates.lifetime_s
        )

    # -- what may have begun open streams --------------------------------------

    def touch(self) -> None:
        """Records that news of other instances have arrived."""
        with self._changed:
            self._candidates.touch(self._clock.now_s())

    def touch_list(self) -> None:
        """Records that the list has been read."""
        with self._changed:
            now_s = self._clock.now_s()
            self._candidates.touch_list(now_s)
            is_due = self._candidates.is_listed_due(now_s)
        if is_due:
            self._store_own()

    def doubt(self) -> None:
        """Records that news of control may have been lost on the way."""
        with self._changed:
            self._candidates.doubt(self._clock.now_s())

    def unacknowledged(self) -> tuple[open_streams.GroupEnd, ...]:
        """Returns what a majority of the control processes is to store."""
        with self._changed:
            return self._candidates.unacknowledged(self._clock.now_s())

    def acknowledge(self, stored: abc.Iterable[open_streams.GroupEnd]) -> None:
        """Records what a majority of the control processes has stored.

        Args:
            stored: What they were sent in one round trip.
        """
        with self._changed:
            self._candidates.acknowledge(stored, self._clock.now_s())
            self._changed.notify_all()

    def end_round(
        self,
        ended: rounds.Round,
        result: rounds.RoundResult,
        known: abc.Iterable[open_streams.GroupEnd],
    ) -> None:
        """Applies what a round trip to the control processes has brought.

        Args:
            ended: The round trip; it is done on return.
            result: Its result.
            known: What has open streams, as those that answered know it.
        """
        with self._changed:
            self._is_in_touch = result is not rounds.RoundResult.NO_MAJORITY
            self._candidates.merge(
                known, are_all=result is rounds.RoundResult.ALL_KNOWN
            )
            self._update_mixed(self._clock.now_s())
            ended.set_result(result)
            self._changed.notify_all()

    def merge_open_streams(
        self, items: abc.Iterable[open_streams.GroupEnd], *, are_all: bool
    ) -> None:
        """Records what has open streams, as control knows it.

        Args:
            items: Groups of streams, and until when they are open.
            are_all: Whether no other group has open streams.
        """
        with self._changed:
            self._candidates.merge(items, are_all=are_all)
            self._update_mixed(self._clock.now_s())
            self._changed.notify_all()

    def knows_open_streams(self) -> bool:
        """Returns whether everything that had open streams lately is known."""
        with self._changed:
            return self._candidates.are_all(self._clock.now_s())

    def take_report(self, *, first: bool) -> open_streams.Report:
        """Returns what control does not know yet of open streams.

        Args:
            first: Whether it is the first report on a link.
        """
        with self._changed:
            return self._candidates.take_report(
                self._clock.now_s(), first=first
            )

    # -- changes ---------------------------------------------------------------

    def add_own(
        self,
        key: int | None,
        origin: Origin,
        until_s: float | None = None,
        class_id: ids.ClassId = open_streams.ANY_CLASS,
        endpoint: ids.EndpointId | None = None,
    ) -> open_streams.GroupEnd:
        """Records a stream whose first event has just arrived.

        Args:
            key: See `stream_key`; None if no caller may resume it. A document
                may allow that later.
            origin: What wrote the event.
            until_s: Local time until which its caller may resume it; None if
                not known.
            class_id: Its class.
            endpoint: What wrote the event.

        Returns:
            What the control processes have to store; see `wait_acknowledged`.
        """
        now_s = self._clock.now_s()
        if until_s is None:
            until_s = now_s + self._candidates.lifetime_s
        until_s = min(until_s, now_s + open_streams.LONGEST_STREAM_S)
        with self._changed:
            known: Origin | None = origin
            if endpoint in self._in_doubt and origin.software:
                known = None
            group = open_streams.StreamGroup(
                class_id, known or _uncertain(origin)
            )
            is_reported = self._candidates.add_own(group, until_s, now_s)
            is_due = self._candidates.is_due(group, until_s)
            if key is not None:
                is_new = self._table.get(key) is None
                self.merge(
                    [Record(key, known, now_s, Source.OWN, until_s, endpoint)]
                )
                if known is None and is_new:
                    self._doubted[key] = endpoint, origin.service
        if not is_reported:
            self._on_unreported()
        if is_due:
            self._store_own()
        return group, until_s

    def wait_acknowledged(
        self, begun: open_streams.GroupEnd, limit_s: float
    ) -> bool:
        """Waits until a majority of the control processes has stored a group.

        Callers resume a stream only after its first event. While that is held
        back, no other entry needs to know what began the stream.

        It may go out without, after a while, if its origin is established; see
        `is_established`.

        Args:
            begun: What `add_own` has returned.
            limit_s: Longest wait.

        Returns:
            Whether it has been stored.
        """
        group, until_s = begun
        with self._changed:
            if self._candidates.is_acknowledged(group, until_s):
                return True
            wait_s = ACKNOWLEDGEMENT_WAIT_S
            if not self._is_in_touch:
                wait_s = OUT_OF_TOUCH_WAIT_S
            if not self._candidates.is_established(group.origin, until_s):
                wait_s = limit_s
        if self._begin_round is None:
            return False
        end_s = time.monotonic() + min(wait_s, limit_s)
        while (left_s := end_s - time.monotonic()) > 0:
            storing = self._begin_round(False)
            with self._changed:
                self._changed.wait_for(
                    lambda each=storing: (
                        each.done()
                        or self._candidates.is_acknowledged(group, until_s)
                    ),
                    left_s,
                )
                if self._candidates.is_acknowledged(group, until_s):
                    return True
        return False

    def is_established(self, begun: open_streams.GroupEnd) -> bool:
        """Returns whether control counts streams of this origin as open.

        If not, after a restart of all processes nobody would know an origin
        that has left the list since.

        Args:
            begun: What `add_own` has returned.
        """
        group, until_s = begun
        if self._begin_round is None:
            # No unknown stream is ever resumed.
            return True
        with self._changed:
            return self._candidates.is_established(group.origin, until_s)

    def merge(self, records: abc.Iterable[Record]) -> None:
        """Records streams that this or other instances began."""
        with self._changed:
            now_s = self._clock.now_s()
            for record in records:
                self._merge(record, now_s)
            self._table.drop_ended(now_s)
            if len(self._doubted) > table.MAX_STREAMS:
                self._doubted.clear()
            self._update_mixed(now_s)
            self._changed.notify_all()

    def _merge(self, record: Record, now_s: float) -> None:
        if record.until_s is None:
            record.until_s = record.begun_s + self._candidates.lifetime_s
        if now_s >= record.until_s:
            return
        if record.origin is not None:
            self._candidates.extend(record.origin, record.until_s)
        known = self._table.get(record.key)
        if known is None:
            self._table.add(record)
            return
        if record.origin is not None or record.source is Source.OWN:
            # Two streams have this key.
            self._doubted.pop(record.key, None)
        if known.origin is not None and known.origin != record.origin:
            self._table.set_conflicting(known)
        if record.until_s - known.until_s > EXTENSION_STEP_S:
            self._table.extend(known, record.until_s)

    def _update_mixed(self, now_s: float) -> None:
        """Numbers the streams of services anew that got a second version."""
        mixed = self._candidates.mixed(now_s)
        new = mixed - self._mixed
        self._mixed = mixed
        if not new:
            return
        for record in self._table.values():
            if record.origin is not None and record.origin.service in new:
                self._table.append(record)

    # -- queries ---------------------------------------------------------------

    def since(self, number: int, farthest: Source) -> tuple[list[Record], int]:
        """Returns what other instances need to know.

        Args:
            number: The number that the last call returned; 0 at first.
            farthest: The farthest streams to return.

        Returns:
            Changed records of services with several versions, and the number
            for the next call. While it is not known what has open streams, any
            service may have several.
        """
        with self._changed:
            tells_all = not self._candidates.are_all(self._clock.now_s())
            found = [
                dataclasses.replace(record)
                for record in self._table.since(number)
                if record.source <= farthest
                and (tells_all or self._is_needed(record))
            ]
            return found, self._table.number

    def _is_needed(self, record: Record) -> bool:
        return record.origin is None or record.origin.service in self._mixed

    def resolve(
        self,
        key: int | None,
        services: abc.Collection[ids.ServiceId],
        timeout_s: float,
        class_id: ids.ClassId = open_streams.ANY_CLASS,
    ) -> Resolved:
        """Determines what has to resume a stream.

        An unknown one goes on at the only version that may have begun it, by
        what the control processes answer to a question that was asked after
        this call.

        Args:
            key: The stream; None if its caller does not name it.
            services: The services that may serve the request.
            timeout_s: Longest wait for news of a stream that is not known.
            class_id: Class of the request.
        """
        begun_s = time.monotonic()
        barrier = rounds.Barrier(self._begin_round)
        while True:
            barrier.take()
            with self._changed:
                resolved = self._resolve(key, services, class_id, barrier)
            waited_s = time.monotonic() - begun_s
            left_s = timeout_s - waited_s
            is_unknown = resolved.resolution is Resolution.UNKNOWN
            # With several candidates only the stream's own origin decides.
            is_single = len(resolved.candidates) <= 1
            may_differ = is_unknown and (is_single or key is not None)
            if may_differ and (left_s > 0 or not barrier.has_begun):
                barrier.begin(None if is_single else key)
            if not is_unknown or (left_s <= 0 and not barrier.is_done):
                return dataclasses.replace(resolved, waited_s=waited_s)
            with self._changed:
                self._changed.wait_for(
                    lambda: self._is_known(key) or barrier.is_done,
                    max(left_s, 0.0),
                )

    def _is_known(self, key: int | None) -> bool:
        return key is not None and self._table.get(key) is not None

    def _resolve(
        self,
        key: int | None,
        services: abc.Collection[ids.ServiceId],
        class_id: ids.ClassId,
        barrier: rounds.Barrier,
    ) -> Resolved:
        now_s = self._clock.now_s()
        self._table.drop_ended(now_s)
        self._update_mixed(now_s)
        list_age_s, news_age_s = self._candidates.ages_s(now_s)
        record = None if key is None else self._table.get(key)
        if record is not None:
            resolution = Resolution.KNOWN
            if record.origin is None:
                resolution = Resolution.CONFLICTING
            return Resolved(
                resolution,
                record.origin,
                record.source,
                now_s - record.begun_s,
                round_result=barrier.result,
                list_age_s=list_age_s,
                news_age_s=news_age_s,
            )
        candidates = self._candidates.of_class(class_id, services, now_s)
        are_all = barrier.has_passed and self._candidates.has_room(now_s)
        origin = None
        if are_all and len(candidates) == 1:
            (origin,) = candidates
        elif are_all and not candidates and len(services) == 1:
            (service,) = services
            origin = Origin(service, ids.UNKNOWN_SOFTWARE)
        return Resolved(
            Resolution.UNKNOWN if origin is None else Resolution.ONLY_VERSION,
            origin,
            candidates=candidates,
            is_complete=are_all,
            round_result=barrier.result,
            list_age_s=list_age_s,
            news_age_s=news_age_s,
        )

    def __len__(self) -> int:
        """Returns the number of streams that are kept."""
        return len(self._table)
