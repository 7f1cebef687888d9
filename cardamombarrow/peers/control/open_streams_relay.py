"""Relays which software versions have open streams.

Entries report the versions that began their streams: to the control process
that they follow, and to all before the first event of a new version goes out. A
control process passes them on to its followers, and the others query it.
"""

from collections import abc
import dataclasses
import math

from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.peers.control import open_streams_recovery
from cardamombarrow.peers.control import open_streams_store
from cardamombarrow.resumption import open_streams

__all__ = ["OpenStreamsRelay", "Sent"]


AHEAD_S = 15.0
"""How far beyond the end of a group's last open stream followers are told, so
that steady traffic needs one message for each group in this time."""


@dataclasses.dataclass(frozen=True)
class Sent:
    """What a follower was sent last.

    Attributes:
        number: Number of the last change.
        are_all: Whether it was told that these are all.
    """

    number: int = 0
    are_all: bool = False


class OpenStreamsRelay:
    """The open streams of all entries; runs on a control process's loop."""

    def __init__(
        self,
        *,
        founds: bool,
        has_quorum: abc.Callable[[], bool] = lambda: True,
        count_controls: abc.Callable[[], int] = lambda: 1,
        started_s: float = 0.0,
        instance: str = "",
        stored: open_streams_store.StoredStreams | None = None,
        on_complete: abc.Callable[[], None] = lambda: None,
    ):
        """Builds a relay.

        Args:
            founds: Whether no entry has run before this process.
            has_quorum: Returns whether this process is not cut off from most
                others, which may have been told more.
            count_controls: Returns the number of control processes.
            started_s: When this process started.
            instance: Its id.
            stored: What it has on its disk; None for nothing.
            on_complete: Called when this process has again all that it ever
                acknowledged.
        """
        stored = stored or open_streams_store.StoredStreams()
        self._open = open_streams.OpenStreams()
        self._told: dict[open_streams.StreamGroup, tuple[float, int]] = {}
        self._number = 0
        self._urgent_number = 0
        self._recovery = open_streams_recovery.Recovery(
            started_s, founds=founds, is_complete=stored.are_all
        )
        self._was_complete = stored.are_all
        self._on_complete = on_complete
        self._has_quorum = has_quorum
        self._count_controls = count_controls
        self._instance = instance
        for group, until_s in stored.items:
            if self._open.extend(group, until_s):
                self._tell(group, until_s, started_s)

    def _are_all(self, now_s: float) -> bool:
        # Without a quorum the number of control processes may be an old one.
        if not self._has_quorum() or not self._is_complete(now_s):
            return False
        return self._open.has_all(now_s)

    def _is_complete(self, now_s: float) -> bool:
        is_complete = self._recovery.is_complete(now_s, self._count_controls())
        if is_complete and not self._was_complete:
            self._was_complete = True
            self._on_complete()
        return is_complete

    def has_room(self, now_s: float) -> bool:
        """Returns whether no group was left out for want of room."""
        return self._open.has_all(now_s)

    def table(self, now_s: float) -> open_streams_store.StoredStreams:
        """Returns what is to be on the disk."""
        return open_streams_store.StoredStreams(
            tuple(self._open.items(now_s)),
            self._was_complete and self._open.has_all(now_s),
        )

    def put_report(
        self, report: control_pb2.AppliedReport, now_s: float
    ) -> bool:
        """Takes an entry's report.

        Returns:
            Whether followers need to know at once.
        """
        before = self._urgent_number, self._are_all(now_s)
        self._put(report.open_streams, now_s)
        if report.knows_open_streams:
            self._recovery.add_entry()
        return before != (self._urgent_number, self._are_all(now_s))

    def put_reply(
        self,
        reply: control_pb2.FollowersReply,
        source: str,
        asked_s: float,
        now_s: float,
    ) -> bool:
        """Takes an answer of another control process.

        Args:
            reply: The answer.
            source: The other control process.
            asked_s: When it was asked.
            now_s: The local time.

        Returns:
            Whether followers need to know at once.
        """
        before = self._urgent_number, self._are_all(now_s)
        self._put(reply.open_streams, now_s)
        # A process that is listed under another address asks itself, too.
        if not reply.instance or reply.instance != self._instance:
            self._recovery.add(
                open_streams_recovery.Word(
                    reply.instance or source, asked_s, reply.knows_open_streams
                )
            )
        return before != (self._urgent_number, self._are_all(now_s))

    def put_request(
        self, request: control_pb2.OpenStreamsRequest, now_s: float
    ) -> bool:
        """Stores an entry's streams before their first events go out.

        Returns:
            Whether followers need to know at once.
        """
        before = self._urgent_number
        self._put(request.open_streams, now_s)
        return before != self._urgent_number

    def _put(
        self, received: abc.Iterable[control_pb2.OpenStreams], now_s: float
    ) -> None:
        for group, until_s in open_streams_codec.open_streams_from_wire(
            received, now_s
        ):
            if self._open.extend(group, until_s):
                self._tell(group, until_s, now_s)

    def _tell(
        self, group: open_streams.StreamGroup, until_s: float, now_s: float
    ) -> None:
        told_s, _ = self._told.get(group, (-math.inf, 0))
        if until_s <= told_s:
            return
        self._number += 1
        if len(self._told) > open_streams.MAX_GROUPS:
            self._drop_ended(now_s)
        if told_s <= now_s:
            self._urgent_number = self._number
        # Inserted last, so that the order is that of the numbers.
        self._told.pop(group, None)
        self._told[group] = until_s + AHEAD_S, self._number

    def _drop_ended(self, now_s: float) -> None:
        self._told = {
            group: told for group, told in self._told.items() if told[0] > now_s
        }

    def is_news(self, sent: Sent, now_s: float) -> bool:
        """Returns whether a follower needs to know something at once."""
        return (
            sent.number < self._urgent_number
            or sent.are_all != self._are_all(now_s)
        )

    def fill(
        self, message: control_pb2.DocumentMessage, sent: Sent, now_s: float
    ) -> Sent:
        """Adds what a follower lacks to a message; returns what it has then."""
        now_sent = Sent(self._number, self._are_all(now_s))
        if now_sent == sent:
            return sent
        items = []
        for group, (end_s, number) in reversed(self._told.items()):
            if number <= sent.number:
                break
            if end_s > now_s:
                items.append((group, end_s))
        self._fill(message, items, now_s)
        return now_sent

    def fill_reply(
        self, reply: control_pb2.FollowersReply, now_s: float
    ) -> None:
        """Adds all open streams to a reply to another control process."""
        reply.instance = self._instance
        self._fill(reply, self._open.items(now_s), now_s)

    def reply(
        self,
        request: control_pb2.OpenStreamsRequest,
        now_s: float,
        *,
        is_stored: bool = True,
    ) -> control_pb2.OpenStreamsReply:
        """Returns the answer to an entry's request.

        Args:
            request: The request.
            now_s: The local time.
            is_stored: Whether what it brought is on the disk.
        """
        reply = control_pb2.OpenStreamsReply(
            instance=self._instance,
            has_quorum=self._has_quorum(),
            control_count=self._count_controls(),
            is_unstored=not is_stored,
        )
        items = self._open.items(now_s) if request.wants_all else []
        self._fill(reply, items, now_s)
        return reply

    def _fill(
        self,
        message: control_pb2.DocumentMessage
        | control_pb2.FollowersReply
        | control_pb2.OpenStreamsReply,
        items: list[open_streams.GroupEnd],
        now_s: float,
    ) -> None:
        message.open_streams.extend(
            open_streams_codec.open_streams_to_wire(items, now_s)
        )
        message.knows_open_streams = self._are_all(now_s)
