"""Passes on between entries which engines have read which parts of prompts.

Each entry tells its control process with each question for a confirmation,
and hears with the answer what the others told since. Control processes ask
each other once a second for what their own entries told. So what crosses
regions does not grow with the entries that hear it, no entry needs a link to
those of other domains, and there is no message of its own.

All of it are hints: what is lost here is read once more by an engine.
"""

import collections
from collections import abc
import dataclasses
import random

from cardamombarrow.peers import control_pb2

__all__ = ["KeptBoard"]

LIFE_S = 5.0
"""How long something is passed on: some questions of entries and of other
control processes fit in."""

GROUPS = 4_000
"""Most groups of parts held: 80 entries that use 10 engines a second each."""

PARTS_TOLD = 2_000
"""Most parts in one answer, 8 to 11 KB: 18 ms of a link of 5 Mbit/s."""

MOST_AGE_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Group:
    number: int
    put_s: float
    instance: str
    parts: control_pb2.KeptParts


class KeptBoard:
    """What was told of late, in the order in which it came.

    Numbers begin at a random place: whoever comes with a number of another
    process, or of this one before a restart, gets all that is held.
    """

    def __init__(self, rng: random.Random):
        self._number = self._first = rng.getrandbits(31) << 32
        self._groups: collections.deque[_Group] = collections.deque(
            maxlen=GROUPS
        )

    def put(
        self,
        told: abc.Iterable[control_pb2.KeptParts],
        instance: str,
        now_s: float,
    ) -> None:
        """Takes what an entry has told.

        Args:
            told: The parts, by engine.
            instance: The entry; empty where another control process passes
                on what its entries told.
            now_s: The time.
        """
        for parts in told:
            self._number += 1
            self._groups.append(_Group(self._number, now_s, instance, parts))

    def since(
        self, number: int, instance: str, now_s: float
    ) -> tuple[list[control_pb2.KeptParts], int]:
        """Returns what an entry has not heard yet, and the number to ask with.

        Args:
            number: The number of the last answer.
            instance: The entry; its own words are left out.
            now_s: The time.
        """
        return self._told(
            number, now_s, lambda group: group.instance != instance
        )

    def own_since(
        self, number: int, now_s: float
    ) -> tuple[list[control_pb2.KeptParts], int]:
        """Returns the same for another control process.

        Only what entries told here: each control process asks each other one,
        and what it passed on would come round again.
        """
        return self._told(number, now_s, lambda group: bool(group.instance))

    def _told(
        self,
        number: int,
        now_s: float,
        is_wanted: abc.Callable[[_Group], bool],
    ) -> tuple[list[control_pb2.KeptParts], int]:
        while self._groups and now_s - self._groups[0].put_s > LIFE_S:
            self._groups.popleft()
        if not self._first <= number <= self._number:
            number = self._first
        told: list[control_pb2.KeptParts] = []
        left = PARTS_TOLD
        # The newest first: where there is too much, the oldest is left out.
        for group in reversed(self._groups):
            if group.number <= number or left <= 0:
                break
            if is_wanted(group):
                left -= len(group.parts.parts)
                told.append(_aged(group, now_s))
        return told, self._number


def _aged(group: _Group, now_s: float) -> control_pb2.KeptParts:
    """Returns parts with the age that they have by now."""
    parts = control_pb2.KeptParts()
    parts.CopyFrom(group.parts)
    held_ms = int((now_s - group.put_s) * 1_000)
    parts.age_ms = min(parts.age_ms + held_ms, MOST_AGE_MS)
    return parts
