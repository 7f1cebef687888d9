"""Requests that crash endpoints: what this entry saw and others reported."""

import collections
from collections import abc as collections_abc
import typing

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.entry.placement import broker_statements
from cardamombarrow.entry.placement import decision_lines
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import logs

__all__ = ["QuarantineBroker"]

MAX_OWN_SUSPECTS = 128
"""Reports of suspects that this instance keeps publishing: crashes are rare."""


class QuarantineBroker(broker_statements.StatementBroker):
    """A broker that shares crashes and refuses what has caused them."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any):
        """Builds the broker; see `broker_base.BrokerBase`."""
        super().__init__(*args, **kwargs)
        self._on_suspects: collections_abc.Callable[[], None] = lambda: None
        self._own_suspects: collections.deque[messages.SuspectReport] = (
            collections.deque(maxlen=MAX_OWN_SUSPECTS)
        )

    def set_suspect_listener(
        self, on_suspects: collections_abc.Callable[[], None]
    ) -> None:
        """Sets what is called when this instance has reports of suspects."""
        self._on_suspects = on_suspects

    def crashed(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        broke_s: float,
    ) -> None:
        """Records that an endpoint crashed while these jobs ran on it.

        One that has fallen over for its rejections makes no job a suspect.

        Args:
            endpoint: The endpoint.
            suspects: The jobs.
            broke_s: When its connections broke.
        """
        if self._context.rejection_limits.may_have_fallen(
            endpoint, self._clock.now_s()
        ):
            logs.event("endpoint fell over", "WARNING", endpoint=endpoint)
            return
        self._update_quarantine(
            lambda _: self._dispatcher.crashed(endpoint, suspects, broke_s),
            f"crash of {endpoint}",
        )

    def _update_quarantine(
        self, update: collections_abc.Callable[[float], None], source: str
    ) -> None:
        """Updates what is quarantined, and refuses what waits of it."""
        with self._lock:
            now_s = self._clock.now_s()
            before = self._dispatcher.quarantine_marks(now_s)
            parts_before = _by_parts(self._dispatcher.culprits())
            update(now_s)
            after = self._dispatcher.quarantine_marks(now_s)
            parts_after = _by_parts(self._dispatcher.culprits())
            withdrawn: list[ids.RequestId] = []
            lines: list[decision_lines.DecisionLine] = []
            if (
                after.keys() - before.keys()
                or parts_after.keys() - parts_before.keys()
            ):
                withdrawn = self._dispatcher.refuse_quarantined(now_s)
                lines = self._run_due()
            self._wake_if_earlier()
            reports = self._take_suspects()
        self._share_suspects(reports)
        for request_id in withdrawn:
            self._remote_placer.withdraw(request_id)
        decision_lines.write(lines)
        for fingerprint in after.keys() ^ before.keys():
            is_new = fingerprint in after
            logs.decision(
                "quarantine" if is_new else "quarantine ended",
                fingerprint=fingerprint,
                left_s=round(after.get(fingerprint, 0.0), 3),
                source=source,
            )
        for parts in parts_after.keys() ^ parts_before.keys():
            _log_parts(
                parts_after.get(parts) or parts_before[parts],
                is_new=parts in parts_after,
                source=source,
                now_s=now_s,
            )

    def _look(self) -> None:
        """Carries out what is due, also of the quarantine."""
        super()._look()
        with self._lock:
            due_s = self._dispatcher.next_quarantine_review_s()
        if self._clock.now_s() >= due_s:
            self._update_quarantine(
                self._dispatcher.review_quarantine, "time since the crashes"
            )

    def _next_s(self) -> float:
        """Returns when something is due, also of the quarantine."""
        return min(
            super()._next_s(), self._dispatcher.next_quarantine_review_s()
        )

    def _take_suspects(self) -> list[messages.SuspectReport]:
        """Returns this instance's new reports of suspects, under the lock."""
        reports = self._dispatcher.take_suspect_reports()
        self._own_suspects.extend(reports)
        return reports

    def _share_suspects(self, reports: list[messages.SuspectReport]) -> None:
        """Passes new reports of suspects on."""
        if not reports:
            return
        if self._domain_broker is not None:
            self._domain_broker.merge_suspects(reports)
        self._on_suspects()

    def own_suspects(self) -> list[messages.SuspectReport]:
        """Returns this instance's latest reports of suspects."""
        if not self._own_suspects:
            return []
        with self._lock:
            return list(self._own_suspects)

    def known_suspects(self) -> list[messages.SuspectReport]:
        """Returns all instances' reports of suspects that still count."""
        with self._lock:
            return self._dispatcher.suspect_reports(self._clock.now_s())

    def merge_suspects(
        self, reports: collections_abc.Sequence[messages.SuspectReport]
    ) -> None:
        """Adds other instances' reports of suspects."""
        instances = sorted({report.instance for report in reports})
        self._update_quarantine(
            lambda now_s: self._dispatcher.merge_suspect_reports(
                reports, now_s
            ),
            f"reports of {', '.join(instances)}",
        )
        if self._domain_broker is not None:
            self._domain_broker.merge_suspects(reports)

    def suspect_counts(self) -> messages.SuspectCounts:
        """Counts what is suspected and what is quarantined."""
        with self._lock:
            now_s = self._clock.now_s()
            marks = self._dispatcher.quarantine_marks(now_s)
            return messages.SuspectCounts(
                self._dispatcher.suspect_count(),
                len(marks),
                self._dispatcher.accused_count(now_s),
                len(self._dispatcher.culprits()),
            )

    def quarantine_marks(self) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their seconds left."""
        with self._lock:
            return self._dispatcher.quarantine_marks(self._clock.now_s())

    def merge_quarantine(self, marks: dict[ids.Fingerprint, float]) -> None:
        """Adds fingerprints that another instance quarantined."""
        self._update_quarantine(
            lambda now_s: self._dispatcher.merge_quarantine(marks, now_s),
            "another instance",
        )
        if self._domain_broker is not None:
            self._domain_broker.merge_quarantine(marks)


def _by_parts(
    culprits: collections_abc.Iterable[part_evidence.Culprit],
) -> dict[frozenset[ids.PartKey], part_evidence.Culprit]:
    return {culprit.parts: culprit for culprit in culprits}


def _log_parts(
    culprit: part_evidence.Culprit, *, is_new: bool, source: str, now_s: float
) -> None:
    logs.decision(
        "parts quarantined" if is_new else "parts released",
        parts=sorted(f"{part:016x}" for part in culprit.parts),
        crashed=[
            crash.reports[0].endpoint
            for crash in culprit.crashes
            if crash.reports
        ],
        crash_ages_s=[
            round(now_s - crash.seen_s, 3)
            for crash in culprit.crashes
            if crash.reports
        ],
        requests=len(set().union(*(c.suspects for c in culprit.crashes))),
        trial_in_s=round(culprit.trial_s - now_s, 3),
        trial_by=culprit.crashes[-1].witness,
        source=source,
    )
