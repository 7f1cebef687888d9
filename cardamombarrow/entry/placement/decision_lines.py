"""The log lines of the dispatcher's decisions.

They are formatted after the dispatcher's lock is released: every request
thread waits for that lock and should not wait for JSON encoding as well.
"""

from collections import abc
import dataclasses

from cardamombarrow.decisions import messages
from cardamombarrow.kernel import logs

__all__ = ["DecisionLine", "RetryLine", "write", "write_retry"]


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionLine:
    """A decision to be logged once the lock is released.

    Attributes:
        placer: The instance that decided; empty for a local decision.
        asked_s: Time from the question to the decision, in seconds.
    """

    job: messages.Job
    decision: messages.Decision
    attempt: int = 0
    placer: str = ""
    asked_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLine:
    """Whether a failed request is retried, to be logged.

    Attributes:
        outcome: How its last run ended.
        attempts: How often it was placed so far.
        use: What is used of the bound on retries; None if there is none.
    """

    job: messages.Job
    outcome: messages.Outcome
    allowed: bool
    attempts: int
    use: messages.RetryUse | None


def write_retry(line: RetryLine) -> None:
    """Writes a line for a decision on a retry."""
    use = line.use
    bound = {"spent": use.spent, "most": round(use.allowed, 2)} if use else {}
    logs.decision(
        "retry" if line.allowed else "no retry",
        request_id=line.job.request_id,
        service=line.job.service,
        outcome=line.outcome.value,
        attempts=line.attempts,
        tried=line.job.tried,
        **bound,
    )


def write(lines: abc.Iterable[DecisionLine]) -> None:
    """Writes a line for each decision."""
    for line in lines:
        job = line.job
        shared: dict[str, object] = {
            "request_id": job.request_id,
            "workspace": job.workspace,
            "class_id": job.class_id,
            "rank": job.rank,
            "service": job.service,
        }
        if line.placer:
            shared["placer"] = line.placer
            shared["asked_s"] = round(line.asked_s, 4)
        name, fields = _details(line.decision)
        logs.decision(name, **shared, **fields, attempt=line.attempt)


def _details(decision: messages.Decision) -> tuple[str, dict[str, object]]:
    if isinstance(decision, messages.Placement):
        return "place", {
            "endpoint": decision.endpoint,
            "candidates": decision.candidates,
            "reason": decision.reason,
            "wait_s": round(decision.wait_s, 4),
            "report_age_s": decision.report_age_s
            and round(decision.report_age_s, 3),
            **_fetch_details(decision.fetch),
            **_limit_details(decision),
            **({"paused": decision.paused} if decision.paused else {}),
            **_speed_details(decision.speed),
        }
    if isinstance(decision, messages.Refusal):
        return "refuse", {
            "kind": decision.kind.value,
            "reason": decision.detail,
            "retry_after_s": decision.retry_after_s,
            "less_urgent_running": decision.less_urgent_running,
            "check": decision.check.value,
            "less_urgent_start_age_s": decision.less_urgent_start_age_s
            and round(decision.less_urgent_start_age_s, 3),
            **({} if decision.wait is None else decision.wait.fields()),
        }
    return "preempt", {
        "endpoint": decision.endpoint,
        "reason": decision.reason,
        "wasted_tokens": decision.wasted_tokens,
        "requeue": decision.requeue,
    }


def _fetch_details(fetch: messages.Fetch | None) -> dict[str, object]:
    if fetch is None:
        return {}
    return {
        "fetch_from": fetch.source,
        "fetch_tokens": fetch.tokens,
        "fetch_age_s": fetch.age_s and round(fetch.age_s, 3),
    }


def _speed_details(speed: messages.EndpointSpeed | None) -> dict[str, object]:
    if speed is None:
        return {}
    return {
        "speed_factor": round(speed.factor, 3),
        "work_time_age_s": speed.report_age_s and round(speed.report_age_s, 3),
    }


def _limit_details(placement: messages.Placement) -> dict[str, object]:
    if placement.limit_per_s is None:
        return {}
    return {
        "limit_per_s": placement.limit_per_s,
        "limit_age_s": placement.limit_age_s
        and round(placement.limit_age_s, 3),
    }
