"""Computes target attainment per class from log lines, with generators."""

import collections
from collections import abc
import dataclasses
import json
import typing

from hdrh import histogram

from cardamombarrow.document import schema
from cardamombarrow.kernel import ids

__all__ = [
    "ClassReport",
    "Refused",
    "Settled",
    "collect",
    "parse_decisions",
    "read_decisions",
]

MAX_FIRST_TOKEN_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True)
class Settled:
    """A run that ended, with a complete answer or not.

    Attributes:
        first_token_s: Time from arrival to the first byte, in seconds; None if
            there was none.
        tokens: Tokens relayed.
    """

    class_id: ids.ClassId
    workspace: ids.WorkspaceId
    outcome: str
    tokens: int
    first_token_s: float | None
    target_first_token_s: float

    @property
    def whole(self) -> bool:
        """Whether the caller received the complete answer."""
        return self.outcome == "done"

    @property
    def in_target(self) -> bool:
        """Whether the answer was complete and its first token in time."""
        return (
            self.whole
            and self.first_token_s is not None
            and self.first_token_s <= self.target_first_token_s
        )


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that was answered with an error before it ran."""

    class_id: ids.ClassId
    workspace: ids.WorkspaceId
    kind: str


@dataclasses.dataclass
class ClassReport:
    """Results of one request class.

    Attributes:
        ended: Runs by outcome.
        refused: Refusals by error code.
        in_target: Complete answers whose first token was in time.
        useful_tokens: Tokens of complete answers.
        wasted_tokens: Tokens of all other runs.
        first_token_ms: Histogram of the complete answers.
    """

    class_id: ids.ClassId
    ended: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_target: int = 0
    useful_tokens: int = 0
    wasted_tokens: int = 0
    first_token_ms: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, MAX_FIRST_TOKEN_MS, SIGNIFICANT_DIGITS
        )
    )

    @property
    def answered(self) -> int:
        """Requests with a complete or cut answer, or a refusal."""
        return self.ended.total() + self.refused.total()

    @property
    def attainment_share(self) -> float | None:
        """Share of answered requests in target; None without any request.

        A refusal counts as a missed target, because the caller was promised an
        answer. A request that is refused and served later counts twice, once as
        a refusal and once as an answer.
        """
        return self.in_target / self.answered if self.answered else None

    def met(self, request_class: schema.RequestClass) -> bool:
        """Returns whether the class met its sold attainment target."""
        share = self.attainment_share
        return share is None or share >= request_class.attainment_share


def read_decisions(
    files: abc.Iterable[typing.TextIO],
) -> abc.Iterator[dict[str, typing.Any]]:
    """Yields each decision in the logs; lines that are not JSON are skipped."""
    for file in files:
        for line in file:
            if '"decision"' not in line:
                continue
            try:
                yield json.loads(line)
            except ValueError:
                # The last line of a killed process may be truncated.
                continue


def parse_decisions(
    decisions: abc.Iterable[dict[str, typing.Any]],
) -> abc.Iterator[Settled | Refused]:
    """Yields the decisions that end a request or a run."""
    for raw in decisions:
        if raw.get("decision") == "settle":
            yield Settled(
                ids.ClassId(raw["class_id"]),
                ids.WorkspaceId(raw["workspace"]),
                raw["outcome"],
                raw["tokens"],
                raw["first_token_s"],
                raw["target_first_token_s"],
            )
        elif raw.get("decision") == "refuse":
            yield Refused(
                ids.ClassId(raw["class_id"]),
                ids.WorkspaceId(raw["workspace"]),
                raw["kind"],
            )


def collect(
    ended: abc.Iterable[Settled | Refused],
) -> dict[ids.ClassId, ClassReport]:
    """Adds up the results of each class."""
    reports: dict[ids.ClassId, ClassReport] = {}
    for event in ended:
        report = reports.setdefault(event.class_id, ClassReport(event.class_id))
        if isinstance(event, Refused):
            report.refused[event.kind] += 1
            continue
        report.ended[event.outcome] += 1
        report.in_target += event.in_target
        if not event.whole:
            report.wasted_tokens += event.tokens
            continue
        report.useful_tokens += event.tokens
        if event.first_token_s is not None:
            first_ms = max(1, round(event.first_token_s * 1_000))
            report.first_token_ms.record_value(
                min(first_ms, MAX_FIRST_TOKEN_MS)
            )
    return reports
