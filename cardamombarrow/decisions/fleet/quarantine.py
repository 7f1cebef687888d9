"""Quarantine of requests that crash endpoints.

Load pattern: one request crashes each engine that runs it, and its caller
resends it through any entry; or many requests do that share a part of their
prompts. Without this module they repeatedly take down every engine of all
domains, together with the other requests on them.

All requests on an engine that crashes are suspects, most of them harmless. A
suspect runs alone from then on (`must_run_alone`): if it completes, it is
cleared. One that explains two crashes on its own is quarantined for a time;
`crash_evidence` combines what all instances have seen. Requests that hold a
part that crashes engines (`part_evidence`) are refused, but for a trial by one
instance from time to time. While a part is accused, but not yet found guilty,
each instance tries one request with it at a time.

The quarantine outlasts a caller's resends, and is short enough that a fixed
engine serves the same body again. The tables are bounded and drop the oldest.
"""

from collections import abc
import dataclasses

from cardamombarrow.decisions import base
from cardamombarrow.decisions import context as context_module
from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import crash_evidence
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import registry

__all__ = ["CrashQuarantine"]

QUARANTINE_S = 600.0
MAX_FINGERPRINTS = 4_096
_NUMBER_BITS = 63

SETTLED_S = 0.3
"""Time after its first token from which an answer counts as begun: an endpoint
may end a moment after it has sent one."""

MAX_REPORT_DELAY_S = 0.4
"""Longest random delay of a report that parts are answered: most instances
hear of another's report in that time and send none."""

MIN_RETRY_AFTER_S = 1.0

ACCUSED_TIMEOUT_S = 3.0
"""Time after which the trial of an accused part that has not ended is given up:
harmless requests may be waiting for it."""

CULPRIT_TIMEOUT_S = 30.0
"""The same for the trial of a culprit."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BegunAnswer:
    """A running answer to a request with parts that were at a crash.

    Attributes:
        report_s: When it is reported if it still runs.
    """

    parts: tuple[ids.PartKey, ...]
    first_token_s: float
    report_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A request that is run to see if its parts crash endpoints.

    Attributes:
        until_s: When another one may be tried.
    """

    request_id: ids.RequestId
    until_s: float


@registry.plugin("quarantine", "crashes")
class CrashQuarantine(base.Quarantine):
    """Quarantines requests, and parts of prompts, that explain crashes."""

    def __init__(self, context: context_module.PolicyContext):
        super().__init__(context)
        self._evidence = crash_evidence.CrashEvidence()
        self._own_reports: list[messages.SuspectReport] = []
        self._until_s: dict[ids.Fingerprint, float] = {}
        self._blamed: set[ids.Fingerprint] = set()
        self._begun: dict[ids.RequestId, _BegunAnswer] = {}
        self._trials: dict[frozenset[ids.PartKey], _Trial] = {}

    def refuse(self, job: messages.Job, now_s: float) -> str | None:
        """Returns why a quarantined job must not run, or None."""
        return self._refuse_request(job, now_s) or self._refuse_part(job, now_s)

    def _refuse_request(self, job: messages.Job, now_s: float) -> str | None:
        until_s = self._until_s.get(job.fingerprint)
        if until_s is None:
            return None
        if now_s >= until_s:
            self._release(job.fingerprint)
            return None
        left_s = until_s - now_s
        return f"it crashed endpoints; quarantined for {left_s:.0f} s more"

    def _refuse_part(self, job: messages.Job, now_s: float) -> str | None:
        parts = self._evidence.parts
        if not parts or not job.parts:
            return None
        keys = part_evidence.part_keys(job)
        culprit = parts.culprit(keys)
        if culprit is not None:
            return self._refuse_culprit(job, culprit, now_s)
        part = parts.most_accused(keys, now_s)
        if part is None:
            return None
        accused = frozenset((part,))
        if self._is_trial(accused, job, now_s) or self._begin_trial(
            accused, job, now_s, ACCUSED_TIMEOUT_S
        ):
            return None
        return (
            f"another request with {_names(job, accused)} in its prompt is "
            f"tried first: it may crash endpoints"
        )

    def _refuse_culprit(
        self, job: messages.Job, culprit: part_evidence.Culprit, now_s: float
    ) -> str | None:
        if self._is_trial(culprit.parts, job, now_s):
            return None
        may_begin = (
            now_s >= culprit.trial_s
            and self.context.instance == culprit.crashes[-1].witness
            and not self.context.whole_domain
        )
        if may_begin and self._begin_trial(
            culprit.parts, job, now_s, CULPRIT_TIMEOUT_S
        ):
            return None
        return (
            f"requests with {_names(job, culprit.parts)} in their prompts have "
            f"crashed {len(culprit.crashes)} endpoints"
        )

    def _is_trial(
        self, parts: frozenset[ids.PartKey], job: messages.Job, now_s: float
    ) -> bool:
        """Returns whether a job is the one that runs to try some parts."""
        trial = self._trials.get(parts)
        return (
            trial is not None
            and now_s < trial.until_s
            and trial.request_id == job.request_id
        )

    def _begin_trial(
        self,
        parts: frozenset[ids.PartKey],
        job: messages.Job,
        now_s: float,
        timeout_s: float,
    ) -> bool:
        """Has a job run to try some parts, unless another one does."""
        self._trials = {
            each: trial
            for each, trial in self._trials.items()
            if now_s < trial.until_s
        }
        if parts in self._trials:
            return False
        self._trials[parts] = _Trial(job.request_id, now_s + timeout_s)
        return True

    def retry_after_s(self, job: messages.Job, now_s: float) -> float | None:
        """Returns when a quarantined job may be run again.

        The longer a part is quarantined, the less likely is the verdict to be
        revised by an answer that has yet to be reported.
        """
        until_s = self._until_s.get(job.fingerprint)
        if until_s is not None:
            return until_s - now_s
        keys = part_evidence.part_keys(job)
        culprit = self._evidence.parts.culprit(keys)
        if culprit is None:
            return MIN_RETRY_AFTER_S
        quiet_s = now_s - culprit.crashes[-1].seen_s
        return max(min(quiet_s, culprit.trial_s - now_s), MIN_RETRY_AFTER_S)

    def must_run_alone(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a job is a suspect."""
        if not self._evidence:
            return False
        if self._evidence.is_suspect(job.fingerprint, now_s):
            return True
        parts = self._evidence.parts
        if not parts or not job.parts:
            return False
        keys = part_evidence.part_keys(job)
        return parts.most_accused(keys, now_s) is not None

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
        jobs = {job.fingerprint: job for job in suspects if job.fingerprint}
        if not jobs:
            return
        fingerprints = tuple(sorted(jobs))
        parts = tuple(
            ()
            if _has_begun(jobs[fingerprint], now_s)
            else part_evidence.part_keys(jobs[fingerprint])
            for fingerprint in fingerprints
        )
        self._observe(
            fingerprints, now_s, now_s, endpoint=endpoint, parts=parts
        )

    def on_first_token(self, job: messages.Job, now_s: float) -> None:
        """Prepares to report that accused parts are answered."""
        self._report_answers(now_s)
        watched = self._watched(job)
        if watched:
            delay_s = self.context.rng.uniform(0.0, MAX_REPORT_DELAY_S)
            self._begun[job.request_id] = _BegunAnswer(
                watched, now_s, now_s + SETTLED_S + delay_s
            )

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Clears a suspect whose answer completed."""
        begun = self._begun.pop(job.request_id, None)
        self._end_trial(job)
        if outcome is not messages.Outcome.DONE:
            return
        if begun is not None:
            self._report_answer(begun, now_s)
        if self._evidence and self._evidence.is_suspect(job.fingerprint, now_s):
            self._observe((job.fingerprint,), now_s, now_s)

    def _end_trial(self, job: messages.Job) -> None:
        for parts, trial in list(self._trials.items()):
            if trial.request_id == job.request_id:
                del self._trials[parts]

    def _watched(self, job: messages.Job) -> tuple[ids.PartKey, ...]:
        parts = self._evidence.parts
        if not parts or not job.parts:
            return ()
        return parts.watched(part_evidence.part_keys(job))

    def _report_answers(self, now_s: float) -> None:
        """Reports the answers that have gone on long enough."""
        for request_id, begun in list(self._begun.items()):
            if now_s >= begun.report_s:
                del self._begun[request_id]
                self._report_answer(begun, now_s)

    def _report_answer(self, begun: "_BegunAnswer", now_s: float) -> None:
        answered = self._evidence.parts.watched(begun.parts)
        if answered:
            self._observe((), begun.first_token_s, now_s, answered=answered)

    def _observe(
        self,
        fingerprints: tuple[ids.Fingerprint, ...],
        seen_s: float,
        now_s: float,
        *,
        endpoint: ids.EndpointId | None = None,
        parts: tuple[tuple[ids.PartKey, ...], ...] = (),
        answered: tuple[ids.PartKey, ...] = (),
    ) -> None:
        report = messages.SuspectReport(
            self.context.instance,
            self.context.rng.getrandbits(_NUMBER_BITS),
            fingerprints,
            endpoint,
            seen_s,
            parts,
            answered,
        )
        self._own_reports.append(report)
        self._apply(report, now_s)

    def review(self, now_s: float) -> None:
        """Reports answers that are due, and revises the verdict on parts."""
        self._report_answers(now_s)
        self._update(self._evidence.review(now_s), now_s)

    def next_review_s(self) -> float:
        """Returns when `review` has to be called; infinity for never."""
        due_s = [begun.report_s for begun in self._begun.values()]
        return min([self._evidence.parts.due_s, *due_s])

    def culprits(self) -> tuple[part_evidence.Culprit, ...]:
        """Returns the parts of prompts that are quarantined."""
        return self._evidence.parts.culprits

    def accused_count(self, now_s: float) -> int:
        """Counts the parts of prompts that are accused of several crashes."""
        return self._evidence.parts.count_accused(now_s)

    def _apply(self, report: messages.SuspectReport, now_s: float) -> None:
        self._update(self._evidence.add(report, now_s), now_s)
        if report.endpoint is None:
            for fingerprint in report.fingerprints:
                self._end(fingerprint)

    def _update(self, changed: set[ids.Fingerprint], now_s: float) -> None:
        for fingerprint in changed:
            is_culprit = fingerprint in self._evidence.culprits
            if is_culprit and fingerprint not in self._blamed:
                self._blamed.add(fingerprint)
                self._quarantine(fingerprint, now_s + QUARANTINE_S)
            elif not is_culprit and fingerprint in self._blamed:
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


def _names(job: messages.Job, parts: frozenset[ids.PartKey]) -> str:
    keys = part_evidence.part_keys(job)
    named = zip(job.shared_parts, keys, strict=True)
    return " and ".join(each.part for each, key in named if key in parts)


def _has_begun(job: messages.Job, now_s: float) -> bool:
    """Returns whether a job's answer has begun for certain."""
    return (
        job.first_token_s is not None and now_s - job.first_token_s >= SETTLED_S
    )
