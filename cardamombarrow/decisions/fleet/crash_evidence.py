"""Evidence of which requests crash endpoints, from all instances.

Each instance observes the crashes under its own requests. Repeats of a request
may arrive at any instance, so the observations of all are combined: a request
is a culprit if it was running at two crashes and no other suspect was running
at all of these. Its crashes are then explained, and the requests that ran
beside it are no longer suspects. A crash is also explained by a part of a
prompt that is a culprit.

Reports may arrive in any order, late and more than once; the verdict is worked
out again from all of them, so that a late report can revise it.
"""

from collections import abc
import math

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.kernel import ids

__all__ = ["CrashEvidence"]

CRASHES_OF_CULPRIT = 2

SUSPICION_S = 600.0
"""How long a report counts: longer than callers repeat a request."""

SAME_CRASH_S = 2.0
"""Longest time between the reports of two instances about one crash: they
notice it with a probe of one second, and a restart takes longer."""

LATEST_CRASHES = 4
"""Crashes of an endpoint that a report may be about."""

MAX_REPORTS = 4_096
"""A rack of 32 engines that fails under 36 entries causes 1,152 reports."""

MAX_COMPLETED = 4_096


class CrashEvidence:
    """Reports of crashes and completions, and the verdict from them.

    Tables are bounded and drop the oldest entries.

    Attributes:
        culprits: The requests that explain crashes.
        parts: The same for parts of prompts.
    """

    def __init__(self):
        self.culprits: set[ids.Fingerprint] = set()
        self.parts = part_evidence.PartEvidence()
        self._reports: dict[
            tuple[ids.InstanceId, int], messages.SuspectReport
        ] = {}
        self._crashes_at: dict[ids.EndpointId, list[part_evidence.Crash]] = {}
        self._crashes_of: dict[ids.Fingerprint, list[part_evidence.Crash]] = {}
        self._completed_s: dict[ids.Fingerprint, float] = {}

    def __bool__(self) -> bool:
        """Returns whether a request was running at a crash that counts."""
        return bool(self._crashes_of)

    def reports(self, now_s: float) -> list[messages.SuspectReport]:
        """Returns all reports that still count."""
        self._expire(now_s)
        return list(self._reports.values())

    def is_known(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether there is evidence about a request."""
        return fingerprint in self._crashes_of

    def is_suspect(self, fingerprint: ids.Fingerprint, now_s: float) -> bool:
        """Returns whether a request was running at an unexplained crash."""
        return any(
            not crash.explained
            and now_s - crash.reports[-1].seen_s < SUSPICION_S
            for crash in self._crashes_of.get(fingerprint, ())
        )

    def count_suspects(self) -> int:
        """Returns the number of requests at unexplained crashes."""
        return sum(
            any(not crash.explained for crash in crashes)
            for crashes in self._crashes_of.values()
        )

    def add(
        self, report: messages.SuspectReport, now_s: float
    ) -> set[ids.Fingerprint]:
        """Adds a report and revises the verdict.

        Returns:
            The requests about which the verdict may have changed.
        """
        self._expire(now_s)
        key = (report.instance, report.number)
        is_old = now_s - report.seen_s >= SUSPICION_S
        if is_old or key in self._reports:
            return set()
        self._reports[key] = report
        if len(self._reports) > MAX_REPORTS:
            self._remove(next(iter(self._reports)))
        if report.endpoint is None:
            self.parts.add_answer(report.answered, report.seen_s)
            changed = self._complete(report)
        else:
            changed = self._record(report, report.endpoint)
        return changed | self.review(now_s)

    def review(self, now_s: float) -> set[ids.Fingerprint]:
        """Revises the verdict on parts, as far as time alone changes it.

        Returns:
            The requests about which the verdict may have changed.
        """
        before = _crashes_of(self.parts.culprits)
        self.parts.judge(now_s)
        after = _crashes_of(self.parts.culprits)
        beside: set[ids.Fingerprint] = set()
        for crash in before ^ after:
            crash.has_culprit_part = crash in after
            beside |= crash.suspects
        return self._judge(beside)

    def forget(self, fingerprint: ids.Fingerprint) -> None:
        """Drops all evidence about a request."""
        self.culprits.discard(fingerprint)
        for crash in self._crashes_of.pop(fingerprint, ()):
            crash.suspects.discard(fingerprint)

    def _record(
        self, report: messages.SuspectReport, endpoint: ids.EndpointId
    ) -> set[ids.Fingerprint]:
        crash = self._find_crash(report, endpoint)
        for fingerprint, parts in zip(report.fingerprints, report.parts):
            self.parts.add_crash(crash, fingerprint, parts)
        for fingerprint in report.fingerprints:
            completed_s = self._completed_s.get(fingerprint, -math.inf)
            if report.seen_s > completed_s:
                crash.suspects.add(fingerprint)
                crashes = self._crashes_of.setdefault(fingerprint, [])
                if crash not in crashes:
                    crashes.append(crash)
        return self._judge(crash.suspects)

    def _find_crash(
        self, report: messages.SuspectReport, endpoint: ids.EndpointId
    ) -> part_evidence.Crash:
        crashes = self._crashes_at.setdefault(endpoint, [])
        for crash in crashes[-LATEST_CRASHES:]:
            if _is_about(report, crash):
                crash.reports.append(report)
                return crash
        crashes.append(part_evidence.Crash([report]))
        return crashes[-1]

    def _complete(self, report: messages.SuspectReport) -> set[ids.Fingerprint]:
        """Clears requests that have completed after their crashes."""
        beside: set[ids.Fingerprint] = set()
        for fingerprint in report.fingerprints:
            for crash in self._crashes_of.get(fingerprint, ()):
                beside |= crash.suspects
            known_s = self._completed_s.pop(fingerprint, report.seen_s)
            self._completed_s[fingerprint] = max(known_s, report.seen_s)
            if len(self._completed_s) > MAX_COMPLETED:
                del self._completed_s[next(iter(self._completed_s))]
            later = [
                crash
                for crash in self._crashes_of.get(fingerprint, ())
                if crash.reports[0].seen_s > report.seen_s
            ]
            self.forget(fingerprint)
            for crash in later:
                crash.suspects.add(fingerprint)
            if later:
                self._crashes_of[fingerprint] = later
        return self._judge(beside)

    def _is_repeated(self, fingerprint: ids.Fingerprint) -> bool:
        crashes = self._crashes_of.get(fingerprint, ())
        return len(crashes) >= CRASHES_OF_CULPRIT

    def _judge(self, changed: set[ids.Fingerprint]) -> set[ids.Fingerprint]:
        """Works out the culprits among requests and all connected ones.

        Those with the most crashes come first. A culprit whose reports have
        been dropped meanwhile remains one.

        Returns:
            The requests that were considered.
        """
        repeated = sorted(
            self._connected(changed),
            key=lambda each: (-len(self._crashes_of[each]), each),
        )
        self.culprits.difference_update(repeated)
        for fingerprint in repeated:
            if self._is_culprit(fingerprint):
                self.culprits.add(fingerprint)
        for fingerprint in (*repeated, *changed):
            for crash in self._crashes_of.get(fingerprint, ()):
                crash.explained = (
                    crash.has_culprit_part
                    or not crash.suspects.isdisjoint(self.culprits)
                )
        return set(repeated)

    def _connected(self, changed: set[ids.Fingerprint]) -> set[ids.Fingerprint]:
        """Returns the requests with several crashes that share some."""
        connected: set[ids.Fingerprint] = set()
        pending = list(changed)
        while pending:
            fingerprint = pending.pop()
            if fingerprint in connected or not self._is_repeated(fingerprint):
                continue
            connected.add(fingerprint)
            for crash in self._crashes_of[fingerprint]:
                pending.extend(crash.suspects)
        return connected

    def _is_culprit(self, fingerprint: ids.Fingerprint) -> bool:
        crashes = [
            crash
            for crash in self._crashes_of[fingerprint]
            if not crash.has_culprit_part and not crash.suspects & self.culprits
        ]
        if len(crashes) < CRASHES_OF_CULPRIT:
            return False
        common = set.intersection(*(crash.suspects for crash in crashes))
        return common == {fingerprint}

    def _expire(self, now_s: float) -> None:
        while self._reports:
            key, oldest = next(iter(self._reports.items()))
            if now_s - oldest.seen_s < SUSPICION_S:
                break
            self._remove(key)

    def _remove(self, key: tuple[ids.InstanceId, int]) -> None:
        report = self._reports.pop(key)
        crashes = self._crashes_at.get(report.endpoint, [])
        for crash in crashes:
            if report not in crash.reports:
                continue
            if len(crash.reports) > 1:
                crash.reports.remove(report)
                return
            crashes.remove(crash)
            self.parts.remove_crash(crash)
            for fingerprint in crash.suspects:
                self._crashes_of[fingerprint].remove(crash)
                if not self._crashes_of[fingerprint]:
                    del self._crashes_of[fingerprint]
            break
        if not crashes:
            self._crashes_at.pop(report.endpoint, None)


def _is_about(
    report: messages.SuspectReport, crash: part_evidence.Crash
) -> bool:
    """Returns whether another instance's report is about this crash."""
    first = crash.reports[0]
    return abs(first.seen_s - report.seen_s) < SAME_CRASH_S and all(
        each.instance != report.instance for each in crash.reports
    )


def _crashes_of(
    culprits: abc.Iterable[part_evidence.Culprit],
) -> set[part_evidence.Crash]:
    return {crash for culprit in culprits for crash in culprit.crashes}
