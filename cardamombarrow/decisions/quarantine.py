"""Keeps a request that crashes endpoints from the endpoints that are left.

Load pattern answered: one request ends the process of each engine that runs
it, and its caller sends it again, through any entry. Without this module one
caller takes down every engine of a domain, over and over, and with each the
requests of everybody else on it.

All requests on an engine that dies are suspects, most of them innocent. A
suspect runs alone from then on (`solo`): if it ends, it is cleared; if the
engine dies again while it is the only one of this instance on it, it is
quarantined for a time and the mark spreads by gossip. A second crash in
company condemns nobody.

The quarantine outlasts a caller's resends, and is short enough that a mended
engine serves the same body again. The tables are bounded and drop the oldest.
"""

import dataclasses

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["CrashQuarantine"]

CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
SUSPICION_S = 600.0
TABLE = 4_096


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes that a fingerprint was in flight at."""

    crashes: int
    seen_at_s: float


@registry.plugin("quarantine", "crashes")
class CrashQuarantine(base.Quarantine):
    """Two crashes, the second one alone, quarantine a fingerprint."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._suspects: dict[ids.Fingerprint, _Suspect] = {}
        self._until_s: dict[ids.Fingerprint, float] = {}

    def refuse(self, job: messages.Job, now_s: float) -> str | None:
        """Returns why a quarantined job must not run, or None."""
        until_s = self._until_s.get(job.fingerprint)
        if until_s is None:
            return None
        if now_s >= until_s:
            del self._until_s[job.fingerprint]
            return None
        left_s = until_s - now_s
        return f"it crashed endpoints; quarantined for {left_s:.0f} s more"

    def solo(self, job: messages.Job, now_s: float) -> bool:
        """Tells whether a job is a suspect."""
        return bool(self._suspects) and self._is_suspect(job, now_s)

    def _is_suspect(self, job: messages.Job, now_s: float) -> bool:
        suspect = self._suspects.get(job.fingerprint)
        if suspect is None:
            return False
        if now_s - suspect.seen_at_s < SUSPICION_S:
            return True
        del self._suspects[job.fingerprint]
        return False

    def on_crash(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Suspects all that ran there; condemns a suspect that ran alone."""
        for job in suspects:
            if job.fingerprint is None:
                continue
            known = self._suspects.pop(job.fingerprint, None)
            crashes = 1 if known is None else known.crashes + 1
            alone = len(suspects) == 1
            if alone and crashes >= CRASHES_TO_QUARANTINE:
                self._condemn(job.fingerprint, now_s + QUARANTINE_S)
                continue
            self._suspects[job.fingerprint] = _Suspect(crashes, now_s)
            _drop_oldest(self._suspects)

    def _condemn(self, fingerprint: ids.Fingerprint, until_s: float) -> None:
        self._suspects.pop(fingerprint, None)
        longest_s = max(until_s, self._until_s.pop(fingerprint, until_s))
        self._until_s[fingerprint] = longest_s
        _drop_oldest(self._until_s)

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Clears a suspect whose answer came whole."""
        if outcome is messages.Outcome.DONE:
            self._suspects.pop(job.fingerprint, None)

    def marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and seconds left, for gossip."""
        return {
            fingerprint: until_s - now_s
            for fingerprint, until_s in self._until_s.items()
            if until_s > now_s
        }

    def merge(self, marks: dict[ids.Fingerprint, float], now_s: float) -> None:
        """Takes fingerprints that another instance quarantined."""
        for fingerprint, left_s in marks.items():
            if left_s > 0.0:
                until_s = now_s + min(left_s, QUARANTINE_S)
                self._condemn(fingerprint, until_s)


def _drop_oldest(table: dict) -> None:
    if len(table) > TABLE:
        del table[next(iter(table))]
