"""The base class of policies that block requests after crashes."""

import abc
from collections import abc as collections_abc
import math

from cardamombarrow.decisions import messages
from cardamombarrow.decisions.base import policy
from cardamombarrow.decisions.fleet import part_evidence
from cardamombarrow.kernel import ids

__all__ = ["Quarantine"]


class Quarantine(policy.Policy):
    """Blocks requests that crash endpoints."""

    @abc.abstractmethod
    def refuse(self, job: messages.Job, now_s: float) -> str | None:
        """Returns why a job must not run, or None."""

    @abc.abstractmethod
    def on_crash(
        self,
        endpoint: ids.EndpointId,
        suspects: list[messages.Job],
        now_s: float,
    ) -> None:
        """Handles the crash of an endpoint that ran these jobs."""

    def must_run_alone(self, job: messages.Job, now_s: float) -> bool:
        """Returns whether a job may only run alone on an endpoint."""
        return False

    def retry_after_s(self, job: messages.Job, now_s: float) -> float | None:
        """Returns when a refused job may be run again; None if unknown."""
        return None

    def on_first_token(self, job: messages.Job, now_s: float) -> None:
        """Handles the first token of a request."""

    def on_finish(
        self, job: messages.Job, outcome: messages.Outcome, now_s: float
    ) -> None:
        """Handles the end of a request."""

    def review(self, now_s: float) -> None:
        """Revises what is blocked, as far as time alone changes it."""

    def next_review_s(self) -> float:
        """Returns when `review` has to be called; infinity for never."""
        return math.inf

    def culprits(self) -> tuple[part_evidence.Culprit, ...]:
        """Returns the parts of prompts that are quarantined."""
        return ()

    def accused_count(self, now_s: float) -> int:
        """Counts the parts of prompts that are accused of several crashes."""
        return 0

    def marks(self, now_s: float) -> dict[ids.Fingerprint, float]:
        """Returns quarantined fingerprints and their remaining seconds."""
        return {}

    def merge(self, marks: dict[ids.Fingerprint, float], now_s: float) -> None:
        """Adds fingerprints that another instance quarantined."""

    def reports(self, now_s: float) -> list[messages.SuspectReport]:
        """Returns the observations of all instances that still count."""
        return []

    def take_own_reports(self) -> list[messages.SuspectReport]:
        """Returns the observations made here since the last call."""
        return []

    def merge_reports(
        self,
        reports: collections_abc.Iterable[messages.SuspectReport],
        now_s: float,
    ) -> None:
        """Adds observations of other instances."""

    def suspect_count(self) -> int:
        """Returns the number of requests that have to run alone."""
        return 0
