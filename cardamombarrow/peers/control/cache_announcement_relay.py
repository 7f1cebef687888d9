"""Relays between entries which engines have cached which parts of prompts.

Each entry reports with each request for a confirmation, and gets the reports
of other entries since then with the reply. Control processes query each other
once a second for the reports of their own entries. The traffic between regions
therefore does not grow with the number of receiving entries, no entry needs a
link to other domains, and no extra messages are sent.

All reports are hints: if one is lost, an engine processes the part again.
"""

from collections import abc
import random

from cardamombarrow.peers.control import control_pb2
from cardamombarrow.peers.control import recent_items

__all__ = ["CacheAnnouncementRelay"]

REPORT_TTL_S = 5.0
"""How long a report is relayed: several requests of entries and of other
control processes fit in."""

MAX_GROUPS = 4_000
"""Maximum number of stored groups of parts: 80 entries that use 10 engines a
second each."""

MAX_PARTS_PER_REPLY = 2_000
"""Maximum number of parts in one reply, 8 to 11 KB: 18 ms on a link of
5 Mbit/s."""

MAX_AGE_MS = 60_000

_Group = recent_items.RecentItem[control_pb2.KeptParts]


class CacheAnnouncementRelay:
    """Recent reports, in the order of arrival."""

    def __init__(self, rng: random.Random):
        self._groups: recent_items.RecentItems[control_pb2.KeptParts] = (
            recent_items.RecentItems(REPORT_TTL_S, MAX_GROUPS, rng)
        )

    def put(
        self,
        reports: abc.Iterable[control_pb2.KeptParts],
        instance: str,
        now_s: float,
    ) -> None:
        """Adds reports.

        Args:
            reports: The parts, by engine.
            instance: The reporting entry; empty if another control process
                relays the reports of its entries.
            now_s: The current time.
        """
        for parts in reports:
            self._groups.add(parts, instance, now_s)

    def since(
        self, number: int, instance: str, now_s: float
    ) -> tuple[list[control_pb2.KeptParts], int]:
        """Returns the reports that are new to an entry, and the next number.

        Args:
            number: The number of the last reply.
            instance: The entry; its own reports are left out.
            now_s: The current time.
        """
        return self._select(
            number, now_s, lambda group: group.source != instance
        )

    def own_since(
        self, number: int, now_s: float
    ) -> tuple[list[control_pb2.KeptParts], int]:
        """Returns the same for another control process.

        Only reports that entries sent here: control processes query each
        other, so relayed reports would circulate between them.
        """
        return self._select(number, now_s, lambda group: bool(group.source))

    def _select(
        self,
        number: int,
        now_s: float,
        is_wanted: abc.Callable[[_Group], bool],
    ) -> tuple[list[control_pb2.KeptParts], int]:
        reports: list[control_pb2.KeptParts] = []
        left = MAX_PARTS_PER_REPLY
        # The newest first: beyond the limit, the oldest are left out.
        for group in self._groups.newest_since(number, now_s):
            if left <= 0:
                break
            if is_wanted(group):
                left -= len(group.value.parts)
                reports.append(_aged(group, now_s))
        return reports, self._groups.number


def _aged(group: _Group, now_s: float) -> control_pb2.KeptParts:
    """Returns the parts of a group with their current age."""
    parts = control_pb2.KeptParts()
    parts.CopyFrom(group.value)
    held_ms = int((now_s - group.added_s) * 1_000)
    parts.age_ms = min(parts.age_ms + held_ms, MAX_AGE_MS)
    return parts
