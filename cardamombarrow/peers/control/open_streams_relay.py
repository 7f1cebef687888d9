"""Relays which software versions have open streams.

Entries report the versions that began their streams. A control process passes
them on to its followers, and the other control processes query it. An entry
that starts therefore knows what may have begun a stream, also if all entries
that began streams are gone.
"""

import dataclasses
import math

from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import open_streams_codec
from cardamombarrow.resumption import open_streams

__all__ = ["OpenStreamsRelay", "Sent"]


@dataclasses.dataclass(frozen=True)
class Sent:
    """What a follower was sent last.

    Attributes:
        number: Number of the last new group.
        are_all: Whether it was told that these are all.
        sent_s: Local time of the message.
    """

    number: int = -1
    are_all: bool = False
    sent_s: float = -math.inf


class OpenStreamsRelay:
    """The open streams of all entries; runs on a control process's loop."""

    def __init__(self, now_s: float, *, founds: bool):
        """Builds an empty relay.

        Args:
            now_s: The local time.
            founds: Whether no entry has run before this process.
        """
        self._open = open_streams.OpenStreams()
        self._started_s = now_s
        self._was_told_all = founds

    def _are_all(self, now_s: float) -> bool:
        return self._open.has_all(now_s) and (
            self._was_told_all
            or now_s - self._started_s >= open_streams.LONGEST_STREAM_S
        )

    def put(
        self,
        message: control_pb2.AppliedReport | control_pb2.FollowersReply,
        now_s: float,
    ) -> bool:
        """Takes a report; returns whether followers need to know at once."""
        before = self._open.number, self._are_all(now_s)
        for group, until_s in open_streams_codec.open_streams_from_wire(
            message.open_streams, now_s
        ):
            self._open.extend(group, until_s)
        self._was_told_all = self._was_told_all or message.knows_open_streams
        return before != (self._open.number, self._are_all(now_s))

    def is_news(self, sent: Sent, now_s: float) -> bool:
        """Returns whether a follower lacks a group."""
        return (sent.number, sent.are_all) != (
            self._open.number,
            self._are_all(now_s),
        )

    def fill(
        self, message: control_pb2.DocumentMessage, sent: Sent, now_s: float
    ) -> Sent:
        """Adds what a follower lacks to a message; returns what it has then.

        While a service has several versions, the ends of their streams are sent
        again as often as entries report them.
        """
        items = self._open.items(now_s)
        is_due = now_s - sent.sent_s >= open_streams.REPORT_AHEAD_S
        if not self.is_news(sent, now_s) and not (is_due and _is_mixed(items)):
            return sent
        self._fill(message, items, now_s)
        return Sent(self._open.number, self._are_all(now_s), now_s)

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


def _is_mixed(items: list[open_streams.GroupEnd]) -> bool:
    origins = {group.origin for group, _ in items}
    return len(origins) > len({origin.service for origin in origins})
