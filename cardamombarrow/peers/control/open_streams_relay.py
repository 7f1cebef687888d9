"""Relays which software versions have open streams.

Entries report the versions that began their streams. A control process passes
them on to its followers, and the other control processes query it. An entry
that starts therefore knows what may have begun a stream, also if all entries
that began streams are gone.
"""

from collections import abc
import dataclasses
import math

from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
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
    ):
        """Builds an empty relay.

        Args:
            founds: Whether no entry has run before this process.
            has_quorum: Returns whether this process is not cut off from most
                others, which may have been told more.
        """
        self._open = open_streams.OpenStreams()
        self._told: dict[open_streams.StreamGroup, tuple[float, int]] = {}
        self._number = 0
        self._urgent_number = 0
        self._was_told_all = founds
        self._has_quorum = has_quorum

    def _are_all(self, now_s: float) -> bool:
        return (
            self._was_told_all
            and self._open.has_all(now_s)
            and self._has_quorum()
        )

    def put(
        self,
        message: control_pb2.AppliedReport | control_pb2.FollowersReply,
        now_s: float,
    ) -> bool:
        """Takes a report; returns whether followers need to know at once."""
        before = self._urgent_number, self._are_all(now_s)
        for group, until_s in open_streams_codec.open_streams_from_wire(
            message.open_streams, now_s
        ):
            if self._open.extend(group, until_s):
                self._tell(group, until_s, now_s)
        self._was_told_all = self._was_told_all or message.knows_open_streams
        return before != (self._urgent_number, self._are_all(now_s))

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
        self._fill(reply, self._open.items(now_s), now_s)

    def _fill(
        self,
        message: control_pb2.DocumentMessage | control_pb2.FollowersReply,
        items: list[open_streams.GroupEnd],
        now_s: float,
    ) -> None:
        message.open_streams.extend(
            open_streams_codec.open_streams_to_wire(items, now_s)
        )
        message.knows_open_streams = self._are_all(now_s)
