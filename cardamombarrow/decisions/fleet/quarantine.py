"""Quarantine of requests that crash endpoints.

Load pattern: one request crashes each engine that runs it, and its caller
resends it through any entry. Without this module one caller repeatedly takes
down every engine of all domains, together with the other requests on them.

All requests on an engine that crashes are suspects, most of them harmless. A
suspect runs alone from then on (`must_run_alone`): if it completes, it is
cleared. One that explains two crashes on its own is quarantined for a time;
`crash_evidence` combines what all instances have seen.

The quarantine outlasts a caller's resends, and is short enough that a fixed
engine serves the same body again. The tables are bounded and drop the oldest.
"""

from collections import abc

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import crash_evidence
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["CrashQuarantine"]

QUARANTINE_S = 600.0
MAX_FINGERPRINTS = 4_096
_NUMBER_BITS = 63


@registry.plugin("quarantine", "crashes")
class CrashQuarantine(base.Quarantine):
    """Quarantines a request that alone explains two crashes."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._evidence = crash_evidence.CrashEvidence()
        self._own_reports: list[messages.SuspectReport] = []
        self._until_s: dict[ids.Fingerprint, float] = {}
        self._blamed: set[ids.Fingerprint] = set()

    def refuse(self, job: messages.Job, now_s: float) -> str | None:
        """Returns why a quarantined job must not run, or None."""
        until_s = self._until_s.get(job.fingerprint)
        if until_s is None:
            return None
        if now_s >= until_s:
            self._release(job.fingerprint)
            return None
        left_s = until_s - now_s
        return f"it crashed endpoints; quarantined for {left_s:.0f} s more"

    def must_run_alone(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a job is a suspect."""
        return bool(self._evidence) and self._evidence.is_suspect(
            job.fingerprint, now_s
        )

    def suspect_count(self) -> int:
        """Returns the number of requests that have to run alone."""
        return self._evidence.count_suspects()

    def on_crash(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Records a crash; quarantines a job that now explains two."""
        fingerprints = {job.fingerprint for job in suspects} - {None}
        if fingerprints:
            self._observe(tuple(sorted(fingerprints)), endpoint, now_s)

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Clears a suspect whose answer completed."""
        if outcome is messages.Outcome.DONE and self.must_run_alone(job, now_s):
            self._observe((job.fingerprint,), None, now_s)

    def _observe(
        self,
        fingerprints: tuple[ids.Fingerprint, ...],
        endpoint: ids.EndpointId | None,
        now_s: float,
    ) -> None:
        report = messages.SuspectReport(
            self.context.instance,
            self.context.rng.getrandbits(_NUMBER_BITS),
            fingerprints,
            endpoint,
            now_s,
        )
        self._own_reports.append(report)
        self._apply(report, now_s)

    def _apply(self, report: messages.SuspectReport, now_s: float) -> None:
        for fingerprint in self._evidence.add(report, now_s):
            is_culprit = fingerprint in self._evidence.culprits
            if is_culprit and fingerprint not in self._blamed:
                self._blamed.add(fingerprint)
                self._quarantine(fingerprint, now_s + QUARANTINE_S)
            elif not is_culprit and fingerprint in self._blamed:
                self._end(fingerprint)
        if report.endpoint is None:
            for fingerprint in report.fingerprints:
                self._end(fingerprint)

    def _quarantine(self, fingerprint: ids.Fingerprint, until_s: float) -> None:
        longest_s = max(until_s, self._until_s.pop(fingerprint, until_s))
        self._until_s[fingerprint] = longest_s
        if len(self._until_s) > MAX_FINGERPRINTS:
            self._release(next(iter(self._until_s)))

    def _end(self, fingerprint: ids.Fingerprint) -> None:
        self._blamed.discard(fingerprint)
        self._until_s.pop(fingerprint, None)

    def _release(self, fingerprint: ids.Fingerprint) -> None:
        self._end(fingerprint)
        self._evidence.forget(fingerprint)

    def marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their remaining seconds."""
        return {
            fingerprint: until_s - now_s
            for fingerprint, until_s in self._until_s.items()
            if until_s > now_s
        }

    def merge(self, marks: dict[ids.Fingerprint, float], now_s: float) -> None:
        """Adds fingerprints that another instance quarantined.

        Where there is evidence here, this instance comes to the same verdict,
        and to a later one as soon as a report revises it.
        """
        for fingerprint, left_s in marks.items():
            if left_s > 0.0 and not self._evidence.is_known(fingerprint):
                until_s = now_s + min(left_s, QUARANTINE_S)
                self._quarantine(fingerprint, until_s)

    def reports(self, now_s: float) -> list[messages.SuspectReport]:
        """Returns the observations of all instances that still count."""
        return self._evidence.reports(now_s)

    def take_own_reports(self) -> list[messages.SuspectReport]:
        """Returns the observations made here since the last call."""
        taken, self._own_reports = self._own_reports, []
        return taken

    def merge_reports(
        self, reports: abc.Iterable[messages.SuspectReport], now_s: float
    ) -> None:
        """Adds observations of other instances."""
        for report in reports:
            self._apply(report, now_s)
