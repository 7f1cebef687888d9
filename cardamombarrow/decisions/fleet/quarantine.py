"""Quarantine of requests that crash endpoints.

Load pattern: one request crashes each engine that runs it, and its caller
resends it through any entry. Without this module one caller repeatedly takes
down every engine of a domain, together with the other requests on it.

All requests on an engine that crashes are suspects, most of them harmless. A
suspect runs alone from then on (`must_run_alone`): if it completes, it is
cleared; if the engine crashes again while it is the only request of this
instance on it, its fingerprint is quarantined for a time and spread by gossip.
A second crash with other requests on the engine quarantines none of them.

The quarantine outlasts a caller's resends, and is short enough that a fixed
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
MAX_FINGERPRINTS = 4_096


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes during which a fingerprint was in flight."""

    crashes: int
    seen_at_s: float


@registry.plugin("quarantine", "crashes")
class CrashQuarantine(base.Quarantine):
    """Quarantines a fingerprint after two crashes, the second one alone."""

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

    def must_run_alone(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a job is a suspect."""
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
        """Marks all jobs as suspects; quarantines a suspect that ran alone."""
        for job in suspects:
            if job.fingerprint is None:
                continue
            known = self._suspects.pop(job.fingerprint, None)
            crashes = 1 if known is None else known.crashes + 1
            alone = len(suspects) == 1
            if alone and crashes >= CRASHES_TO_QUARANTINE:
                self._quarantine(job.fingerprint, now_s + QUARANTINE_S)
                continue
            self._suspects[job.fingerprint] = _Suspect(crashes, now_s)
            _drop_oldest(self._suspects)

    def _quarantine(self, fingerprint: ids.Fingerprint, until_s: float) -> None:
        self._suspects.pop(fingerprint, None)
        longest_s = max(until_s, self._until_s.pop(fingerprint, until_s))
        self._until_s[fingerprint] = longest_s
        _drop_oldest(self._until_s)

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Clears a suspect whose answer completed."""
        if outcome is messages.Outcome.DONE:
            self._suspects.pop(job.fingerprint, None)

    def marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their remaining seconds."""
        return {
            fingerprint: until_s - now_s
            for fingerprint, until_s in self._until_s.items()
            if until_s > now_s
        }

    def merge(self, marks: dict[ids.Fingerprint, float], now_s: float) -> None:
        """Adds fingerprints that another instance quarantined."""
        for fingerprint, left_s in marks.items():
            if left_s > 0.0:
                until_s = now_s + min(left_s, QUARANTINE_S)
                self._quarantine(fingerprint, until_s)


def _drop_oldest(table: dict) -> None:
    if len(table) > MAX_FINGERPRINTS:
        del table[next(iter(table))]
