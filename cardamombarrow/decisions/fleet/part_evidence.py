"""Evidence of which parts of prompts crash endpoints.

Load pattern: requests that all differ share a part on which an endpoint ends as
it begins the answer. Each of them is at one or two crashes only, so nothing is
learned from the requests themselves, and each new one takes down an endpoint.

A part is accused by the crashes at which a request with it had not begun its
answer, and cleared by every answer that has begun with it since. Parts that
many requests share are answered all the time, so that what remains are parts
that are never answered. A part is a culprit once it is accused by enough
crashes, of different requests and at different moments: endpoints of a rack
that fail together accuse every part in use there.

Parts accused by the same crashes are one culprit, which a request has to hold
as a whole: requests with some of them go on, and are answered or crash another
endpoint. The verdict depends only on the crashes and answers, so that all
instances that know the same agree.
"""

from collections import abc
import dataclasses
import functools
import hashlib
import itertools
import math

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids

__all__ = ["Crash", "Culprit", "PartEvidence", "part_keys"]

CRASHES_OF_CULPRIT = 3

REQUESTS_OF_CULPRIT = 2
"""A single request that crashes endpoints is no evidence against its parts."""

MIN_SPAN_S = 1.0
"""Least time between the first and the last crash of a culprit."""

WATCH_S = 2.0
"""Least time from the first crash to a verdict: an answer anywhere has to be
reported to all domains before."""

TRIAL_AFTER_S = 60.0
"""Time from the last crash until one request with a culprit is tried."""

TRIAL_FACTOR = 4.0
MAX_TRIAL_AFTER_S = 240.0
TRIAL_GAP_S = 20.0
"""Least time between crashes of which the second ended a trial."""

MAX_KEYS = 4_096
"""Parts whose digests are remembered."""

MAX_ANSWERED = 4_096
"""Parts of which the last answer is remembered."""

_DIGEST_BYTES = 8


@functools.lru_cache(MAX_KEYS)
def _part_key(
    service: ids.ServiceId, model: ids.ModelId, part: str
) -> ids.PartKey:
    digest = hashlib.blake2b(
        f"{service}\n{model}\n{part}".encode(), digest_size=_DIGEST_BYTES
    )
    return ids.PartKey(int.from_bytes(digest.digest()))


def part_keys(job: messages.Job) -> tuple[ids.PartKey, ...]:
    """Returns digests of the parts that a job shares with others.

    A part that crashes one model's endpoints may be harmless to another's.
    """
    return tuple(
        _part_key(job.service, job.model, each.part)
        for each in job.shared_parts
    )


@dataclasses.dataclass(eq=False, slots=True)
class Crash:
    """One crash of an endpoint.

    Attributes:
        reports: The reports about it, of different instances.
        suspects: The requests that were running and have not completed since.
        explained: Whether a culprit was running.
        parts: Parts of requests that had not begun their answers.
        has_culprit_part: Whether a request with a culprit part was running.
    """

    reports: list[messages.SuspectReport]
    suspects: set[ids.Fingerprint] = dataclasses.field(default_factory=set)
    explained: bool = False
    parts: set[ids.PartKey] = dataclasses.field(default_factory=set)
    has_culprit_part: bool = False

    @property
    def seen_s(self) -> float:
        """When it was first seen."""
        return min(report.seen_s for report in self.reports)

    @property
    def witness(self) -> ids.InstanceId:
        """One of the instances that saw it, the same at all instances."""
        return min(report.instance for report in self.reports)


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """Parts of prompts that crash endpoints if a request holds all of them.

    Attributes:
        crashes: The crashes that accuse them, in order of time.
        trial_s: When one request with them may be tried again, by the witness
            of the last crash.
    """

    parts: frozenset[ids.PartKey]
    crashes: tuple[Crash, ...]
    trial_s: float


class PartEvidence:
    """Crashes and answers by part, and the verdict from them.

    Attributes:
        culprits: The verdict.
        due_s: When `judge` may come to another verdict without a report;
            infinite for never.
    """

    def __init__(self):
        self.culprits: tuple[Culprit, ...] = ()
        self.due_s = math.inf
        self._accused: dict[ids.PartKey, dict[Crash, set[ids.Fingerprint]]] = {}
        self._answered_s: dict[ids.PartKey, float] = {}
        self._changed = False

    def __bool__(self) -> bool:
        """Returns whether any part is accused."""
        return bool(self._accused)

    def add_crash(
        self,
        crash: Crash,
        fingerprint: ids.Fingerprint,
        parts: abc.Iterable[ids.PartKey],
    ) -> None:
        """Adds a crash at which a request had not begun its answer."""
        for part in parts:
            crash.parts.add(part)
            crashes = self._accused.setdefault(part, {})
            crashes.setdefault(crash, set()).add(fingerprint)
            self._changed |= len(crashes) >= CRASHES_OF_CULPRIT

    def remove_crash(self, crash: Crash) -> None:
        """Removes a crash that no longer counts."""
        self._changed |= crash.has_culprit_part
        for part in crash.parts:
            crashes = self._accused[part]
            del crashes[crash]
            if not crashes:
                del self._accused[part]

    def add_answer(
        self, parts: abc.Iterable[ids.PartKey], begun_s: float
    ) -> None:
        """Adds an answer that has begun to a request with these parts."""
        for part in parts:
            known_s = self._answered_s.pop(part, -math.inf)
            self._answered_s[part] = max(known_s, begun_s)
            self._changed |= part in self._accused
            if len(self._answered_s) > MAX_ANSWERED:
                del self._answered_s[next(iter(self._answered_s))]

    def watched(
        self, parts: abc.Iterable[ids.PartKey]
    ) -> tuple[ids.PartKey, ...]:
        """Returns those parts of which an answer has to be reported."""
        return tuple(
            part
            for part in parts
            if part in self._accused and self._crashes(part)
        )

    def most_accused(
        self, parts: abc.Iterable[ids.PartKey], now_s: float
    ) -> ids.PartKey | None:
        """Returns the accused part with the most crashes; None without one."""
        accused = [part for part in parts if self._is_accused(part, now_s)]
        return max(
            accused,
            key=lambda part: (len(self._crashes(part)), part),
            default=None,
        )

    def count_accused(self, now_s: float) -> int:
        """Counts the parts that are accused."""
        return sum(self._is_accused(part, now_s) for part in self._accused)

    def _is_accused(self, part: ids.PartKey, now_s: float) -> bool:
        """Returns whether a part lacks only crashes at another moment."""
        if len(self._accused.get(part, ())) < CRASHES_OF_CULPRIT:
            return False
        crashes = self._crashes(part)
        return (
            len(crashes) >= CRASHES_OF_CULPRIT
            and now_s >= crashes[0].seen_s + WATCH_S
        )

    def culprit(self, parts: abc.Collection[ids.PartKey]) -> Culprit | None:
        """Returns a culprit that a request with these parts holds."""
        for culprit in self.culprits:
            if culprit.parts.issubset(parts):
                return culprit
        return None

    def judge(self, now_s: float) -> None:
        """Works out the verdict.

        Parts with the most crashes come first, and explain their crashes.
        """
        if not self._changed and now_s < self.due_s:
            return
        self._changed = False
        self.due_s = math.inf
        in_order = {
            part: self._crashes(part)
            for part, crashes in self._accused.items()
            if len(crashes) >= CRASHES_OF_CULPRIT
        }
        crashes_of = {part: frozenset(each) for part, each in in_order.items()}
        ranked = sorted(
            crashes_of, key=lambda part: (-len(crashes_of[part]), part)
        )
        explained: set[Crash] = set()
        culprits = []
        for part in ranked:
            crashes = crashes_of[part] - explained
            if len(crashes) < CRASHES_OF_CULPRIT:
                continue
            explained |= crashes
            if self._is_proven(part, in_order[part], now_s):
                equal = frozenset(
                    each
                    for each in ranked
                    if crashes_of[each] == crashes_of[part]
                )
                culprits.append(_culprit(equal, in_order[part]))
        self.culprits = tuple(culprits)

    def _crashes(self, part: ids.PartKey) -> list[Crash]:
        """Returns the crashes since a part's last answer, in order of time."""
        answered_s = self._answered_s.get(part, -math.inf)
        return sorted(
            (
                crash
                for crash in self._accused[part]
                if crash.seen_s > answered_s
            ),
            key=lambda crash: crash.seen_s,
        )

    def _is_proven(
        self, part: ids.PartKey, crashes: list[Crash], now_s: float
    ) -> bool:
        if crashes[-1].seen_s - crashes[0].seen_s < MIN_SPAN_S:
            return False
        requests = set().union(
            *(self._accused[part][crash] for crash in crashes)
        )
        if len(requests) < REQUESTS_OF_CULPRIT:
            return False
        watched_s = crashes[0].seen_s + WATCH_S
        if now_s < watched_s:
            self.due_s = min(self.due_s, watched_s)
            return False
        return True


def _culprit(parts: frozenset[ids.PartKey], crashes: list[Crash]) -> Culprit:
    wait_s = TRIAL_AFTER_S
    for before, crash in itertools.pairwise(crashes):
        if crash.seen_s - before.seen_s >= TRIAL_GAP_S:
            wait_s = min(wait_s * TRIAL_FACTOR, MAX_TRIAL_AFTER_S)
    return Culprit(parts, tuple(crashes), crashes[-1].seen_s + wait_s)
